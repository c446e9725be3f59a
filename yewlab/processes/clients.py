"""A front that follows `/healthz`, and clients behind it that keep their connections and come again."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from hopshed.interface import RequestClass, Settings
from yewhook.loop import Loop
from yewhook.platform import http
from yewlab.rules import Rules
from yewlab.workload import Traffic

from .host import Bounded, Instance
from .net import ClientSide

ASK_EVERY, STILL_SENDS = 0.1, 0.2  # s between the front's questions; s for which it sends on after a no
REPEATS, AGAIN = 2, 0.3  # further tries of a client; s until one where no advice was given
PROMPT = (300.0, 1500.0)  # tokens: at the usual rate readers are busy for some six tenths of the time
# s after a refusal at which a worker has seen what was given up before it: two connections keep no order.
SETTLES = 0.1
KILL_SHOWS = 1.0  # s after a process was killed in which its connections are found broken


@dataclass(eq=False, slots=True)
class Way:
    """One instance as the front and its clients see it."""

    instance: Instance
    healthy: bool = False
    no_since: float = -1e9
    killed_at: float = -1e9  # the last time that one of its processes was killed outright
    sides: list[ClientSide] = field(default_factory=list)
    taken: int = 0  # requests that were sent there
    last_taken: float = -1e9
    last_answered: float = -1e9

    def open_to(self, now: float) -> bool:
        return self.healthy or now - self.no_since < STILL_SENDS


@dataclass(slots=True)
class Tally:
    """What came of all requests, each id counted once."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    broken: int = 0  # streams that ended before they were whole
    lost_with_process: int = 0  # their process was killed outright
    unread: int = 0  # on new connections that were refused, reset or ended with no answer
    untried: int = 0  # no instance was open to new connections
    # By class, of turns and not of tries: worth asked for, answered, and answered within its aim
    asked: dict[str, float] = field(default_factory=dict)
    answered: dict[str, float] = field(default_factory=dict)
    in_time: dict[str, float] = field(default_factory=dict)
    # Second of the clock and lane -> worth asked, answered
    seconds: dict[tuple[int, str], list[float]] = field(default_factory=dict)

    @property
    def answered_once(self) -> int:
        return self.served + self.refused + self.failed + self.broken


class Clients:
    """Sends turns of sessions to the instances that the front has, at an even rate."""

    def __init__(
        self,
        loop: Loop,
        rules: Rules,
        settings: Settings,
        lanes: dict[str, Traffic],
        tenants: tuple[str, ...],
        instances: list[Instance],
        rate: float,
        random: Random,
    ) -> None:
        self.loop, self.rules, self.settings, self.random = loop, rules, settings, random
        self.lanes, self.tenants = lanes, tenants
        self.ways = [Way(instance) for instance in instances]
        self.tally, self.open = Tally(), 0
        self.rate, self._serial, self.stopped = rate, 0, False
        self.paused = False  # nobody comes for now
        self.only: str | None = None  # the one lane in which clients ask
        for way in self.ways:
            self._ask(way)

    # ---- the front ----

    def _ask(self, way: Way) -> None:
        def heard(status: int) -> None:
            if way.healthy and status != 200:
                way.no_since = self.loop.now
            way.healthy = status == 200

        Bounded(self.loop, way.instance.address, "GET", "/healthz", heard)
        self.loop.after(ASK_EVERY, lambda: self._ask(way))

    def choose(self) -> Way | None:
        ways = [way for way in self.ways if way.open_to(self.loop.now)]
        return self.random.choice(ways) if ways else None

    # ---- arrivals ----

    def begin(self) -> None:
        self._arrive()

    def _arrive(self) -> None:
        if self.stopped:
            return
        if not self.paused:
            self.ask()
        self.loop.after(self.random.expovariate(self.rate), self._arrive)

    def ask(self) -> None:
        """One client's turn."""
        lane = self.random.choices(list(self.lanes), [t.part for t in self.lanes.values()])[0]
        lane = self.only or lane
        self._serial += 1
        session = f"s{self._serial // 3}"  # three turns in a row are of one session
        turn = Turn(self, lane, session, self.random.choice(self.tenants), self.random.uniform(*PROMPT))
        turn.come()

    def class_of(self, lane: str) -> RequestClass:
        return self.settings.classes[list(self.lanes).index(lane)]

    def next_id(self) -> str:
        self._serial += 1
        return f"{self.random.getrandbits(48):012x}{self._serial:04x}"

    def close(self) -> None:
        for way in self.ways:
            for side in way.sides:
                side.close()


@dataclass(eq=False)
class Turn:
    """One turn's tries, one after the other."""

    clients: Clients
    lane: str
    session: str
    tenant: str
    prompt: float
    tries: int = 0
    cls: RequestClass = field(init=False)
    tally: Tally = field(init=False)  # of the time in which it came
    id: str = ""
    began: float = 0.0
    status: int = 0
    events: bool = False
    advice: float = 0.0
    came: float = 0.0  # its first try
    first_at: float = 0.0  # first event of this try's answer
    again: bool = False  # once more on a new connection, for the kept one was being closed

    def come(self) -> None:
        """The first try; its worth is asked for now, whatever becomes of it."""
        clients = self.clients
        self.came, self.tally, self.cls = clients.loop.now, clients.tally, clients.class_of(self.lane)
        asked = self.tally.asked
        asked[self.lane] = asked.get(self.lane, 0.0) + self.cls.worth
        self.tally.seconds.setdefault((int(self.came), self.lane), [0.0, 0.0])[0] += self.cls.worth
        self.send()

    def _served(self) -> None:
        tally, cls = self.tally, self.cls
        in_time = self.first_at - self.came <= cls.aim_of(self.prompt)
        worth = cls.worth if in_time else cls.late_worth
        for book in [tally.answered, tally.in_time] if in_time else [tally.answered]:
            book[self.lane] = book.get(self.lane, 0.0) + worth
        tally.seconds[int(self.came), self.lane][1] += worth

    def send(self) -> None:
        clients = self.clients
        way = clients.choose()
        self.tries += 1
        if way is None:
            self.tally.untried += 1
            return self._again(AGAIN)
        self.id, self.again = clients.next_id(), False
        self.tally.requests += 1
        way.taken, way.last_taken = way.taken + 1, clients.loop.now
        clients.open += 1
        self.began = clients.loop.now
        self.patience = self.cls.patience * clients.random.uniform(0.5, 1.0)
        clients.rules.came(self.id, self.cls.effect, self.began + self.patience, self.began)
        self._ask(way, clients.random.random() < 0.7)
        return None

    def _ask(self, way: Way, kept: bool) -> None:
        """On a kept connection where there is one, and clients mostly use those, else on a new one."""
        clients, self.way, self.status, self.events = self.clients, way, 0, False
        way.sides = [side for side in way.sides if not side.channel.closed]
        usable = [side for side in way.sides if side.usable] if kept else []
        try:
            self.side = usable[-1] if usable else ClientSide(clients.loop, way.instance.address)
        except OSError as error:
            return self._lost(error, new=True)
        if not usable:
            way.sides.append(self.side)
        body = b'{"stream":true}'
        left = self.began + self.patience - clients.loop.now
        fields = {
            "Host": "app.svc", "X-Txn": self.id, "X-Lane": self.lane, "X-Org": self.tenant,
            "X-Entity": self.session, "X-Remaining": f"{left * 1000:.3f}m",
            "X-Labels": f"prompt_len={self.prompt:.0f},max_out=400", "Content-Length": str(len(body)),
        }  # fmt: skip
        self.side.ask(self, http.head("POST /v1/chat/completions HTTP/1.1", fields) + body)
        return None

    # ---- what comes back ----

    def begun(self, status: int, headers: dict[str, str]) -> None:
        self.status, self.advice = status, float(headers.get("retry-after", 0.0))

    def data(self, data: bytes) -> None:
        if self.status == 200 and not self.events:
            self.events, self.first_at = True, self.clients.loop.now
            self.clients.rules.began(self.id, self.clients.loop.now)

    def whole(self) -> None:
        refused = self.status in (429, 503)
        tally = self.tally
        if self.status == 200:
            tally.served += 1
            self._served()
        elif refused:
            tally.refused += 1
        else:
            tally.failed += 1
        self._answered(refused)
        if refused:
            self._again(self.advice or AGAIN)

    def _answered(self, refused: bool) -> None:
        clients, request = self.clients, self.id
        clients.open -= 1
        self.way.last_answered = clients.loop.now
        clients.rules.answered(request, False, clients.loop.now)
        if refused:
            clients.loop.after(SETTLES, lambda: clients.rules.refused(request, clients.loop.now))

    def lost(self, error: OSError | None) -> None:
        self._lost(error, new=self.side.used == 1)

    def _lost(self, error: OSError | None, new: bool) -> None:
        clients = self.clients
        if clients.loop.now - self.way.killed_at < KILL_SHOWS:
            self.tally.lost_with_process += 1
            clients.open -= 1
            return clients.rules.lost(self.id)
        if self.status == 200:  # broken off: an answer like any other, and its client goes on elsewhere
            self.tally.broken += 1
            return self._answered(False)
        if new or self.again:
            self.tally.unread += 1
            clients.open -= 1
            return clients.rules.lost(self.id)
        self.again = True
        return self._ask(self.way, kept=False)

    def _again(self, after: float) -> None:
        if self.tries <= REPEATS and not self.clients.stopped:
            self.clients.loop.after(after, self.send)
