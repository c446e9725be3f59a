"""A load balancer that follows `/healthz`, and clients that keep their connections and retry."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from hopshed.interface import RequestClass, Settings
from yewhook.loop import Loop
from yewhook.platform import http
from yewlab.rules import Rules
from yewlab.workload import Traffic

from .http_connections import ClientConnection
from .instances import Instance, TimedCall

HEALTH_POLL_S = 0.1
UNHEALTHY_GRACE_S = 0.2  # the load balancer still sends to an instance for this time after a failed check
MAX_RETRIES = 2
RETRY_DELAY_S = 0.3  # if the answer has no Retry-After
PROMPT_TOKENS = (300.0, 1500.0)  # at the usual rate this keeps readers busy for 60 % of the time
# After a refusal, a worker may see the cancellation of an earlier attempt only after this time, because two
# connections have no common order.
REFUSAL_SETTLE_S = 0.1
KILL_DETECTION_S = 1.0  # the connections of a killed process break within this time


@dataclass(eq=False, slots=True)
class Route:
    """One instance as the load balancer and its clients see it."""

    instance: Instance
    healthy: bool = False
    unhealthy_since: float = -1e9
    killed_at: float = -1e9  # when one of its processes was last killed
    connections: list[ClientConnection] = field(default_factory=list)
    requests_sent: int = 0
    last_sent_at: float = -1e9
    last_answered_at: float = -1e9

    def accepts_at(self, now: float) -> bool:
        """Whether the load balancer sends requests here at this time."""
        return self.healthy or now - self.unhealthy_since < UNHEALTHY_GRACE_S


@dataclass(slots=True)
class Tally:
    """The outcomes of all requests, each request id counted once."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    broken_streams: int = 0  # streams that ended early
    lost_with_process: int = 0  # the router process was killed
    unanswered_on_new: int = 0  # on new connections that were refused, reset or closed without an answer
    no_route: int = 0  # tries for which no instance was available
    # Worth of turns (not of tries) by lane: asked for, answered, and answered within the aim.
    asked: dict[str, float] = field(default_factory=dict)
    answered: dict[str, float] = field(default_factory=dict)
    in_time: dict[str, float] = field(default_factory=dict)
    # (second of the clock, lane) -> [worth asked for, worth answered]
    seconds: dict[tuple[int, str], list[float]] = field(default_factory=dict)

    @property
    def answered_once(self) -> int:
        """The number of requests that got an answer of any kind."""
        return self.served + self.refused + self.failed + self.broken_streams


class Clients:
    """Sends turns of sessions to the healthy instances, as a Poisson process."""

    def __init__(
        self,
        loop: Loop,
        rules: Rules,
        settings: Settings,
        lanes: dict[str, Traffic],
        tenants: tuple[str, ...],
        instances: list[Instance],
        turns_per_s: float,
        random: Random,
    ) -> None:
        self.loop, self.rules, self.settings, self.random = loop, rules, settings, random
        self.lanes, self.tenants = lanes, tenants
        self.routes = [Route(instance) for instance in instances]
        self.tally, self.open_requests = Tally(), 0
        self.turns_per_s, self._serial, self.stopped = turns_per_s, 0, False
        self.paused = False  # no turns start for now
        self.only_lane: str | None = None  # if set, all turns are in this lane
        for route in self.routes:
            self._poll_health(route)

    # ---- the load balancer ----

    def _poll_health(self, route: Route) -> None:
        def on_status(status: int) -> None:
            if route.healthy and status != 200:
                route.unhealthy_since = self.loop.now
            route.healthy = status == 200

        TimedCall(self.loop, route.instance.address, "GET", "/healthz", on_status)
        self.loop.after(HEALTH_POLL_S, lambda: self._poll_health(route))

    def choose_route(self) -> Route | None:
        """Choose an available instance at random; None if there is none."""
        routes = [route for route in self.routes if route.accepts_at(self.loop.now)]
        return self.random.choice(routes) if routes else None

    # ---- arrivals ----

    def start(self) -> None:
        """Start the arrivals."""
        self._next_arrival()

    def _next_arrival(self) -> None:
        if self.stopped:
            return
        if not self.paused:
            self.start_turn()
        self.loop.after(self.random.expovariate(self.turns_per_s), self._next_arrival)

    def start_turn(self) -> None:
        """Start one turn of a random lane and tenant."""
        lane = self.random.choices(list(self.lanes), [t.part for t in self.lanes.values()])[0]
        lane = self.only_lane or lane
        self._serial += 1
        session = f"s{self._serial // 3}"  # three turns in a row belong to one session
        turn = Turn(
            self, lane, session, self.random.choice(self.tenants), self.random.uniform(*PROMPT_TOKENS)
        )
        turn.start()

    def class_of(self, lane: str) -> RequestClass:
        """Return the request class of a lane."""
        return self.settings.classes[list(self.lanes).index(lane)]

    def new_request_id(self) -> str:
        """Return a new unique request id."""
        self._serial += 1
        return f"{self.random.getrandbits(48):012x}{self._serial:04x}"

    def close(self) -> None:
        """Close all connections of the clients."""
        for route in self.routes:
            for connection in route.connections:
                connection.close()


@dataclass(eq=False)
class Turn:
    """One turn with its tries, one after the other."""

    clients: Clients
    lane: str
    session: str
    tenant: str
    prompt: float
    tries: int = 0
    cls: RequestClass = field(init=False)
    tally: Tally = field(init=False)  # the tally that was current at the start
    id: str = ""
    sent_at: float = 0.0
    status: int = 0
    streaming: bool = False
    retry_after_s: float = 0.0
    started_at: float = 0.0  # time of the first try
    first_event_at: float = 0.0  # first event of the answer to this try
    resent: bool = False  # sent again on a new connection, because the kept one was closed

    def start(self) -> None:
        """Send the first try, and count the worth of the turn as asked for."""
        clients = self.clients
        self.started_at, self.tally, self.cls = clients.loop.now, clients.tally, clients.class_of(self.lane)
        asked = self.tally.asked
        asked[self.lane] = asked.get(self.lane, 0.0) + self.cls.worth
        self.tally.seconds.setdefault((int(self.started_at), self.lane), [0.0, 0.0])[0] += self.cls.worth
        self.send_try()

    def _count_served(self) -> None:
        tally, cls = self.tally, self.cls
        in_time = self.first_event_at - self.started_at <= cls.aim_of(self.prompt)
        worth = cls.worth if in_time else cls.late_worth
        for worths in [tally.answered, tally.in_time] if in_time else [tally.answered]:
            worths[self.lane] = worths.get(self.lane, 0.0) + worth
        tally.seconds[int(self.started_at), self.lane][1] += worth

    def send_try(self) -> None:
        """Send the next try to an available instance."""
        clients = self.clients
        route = clients.choose_route()
        self.tries += 1
        if route is None:
            self.tally.no_route += 1
            return self._retry(RETRY_DELAY_S)
        self.id, self.resent = clients.new_request_id(), False
        self.tally.requests += 1
        route.requests_sent, route.last_sent_at = route.requests_sent + 1, clients.loop.now
        clients.open_requests += 1
        self.sent_at = clients.loop.now
        self.patience = self.cls.patience * clients.random.uniform(0.5, 1.0)
        clients.rules.came(self.id, self.cls.effect, self.sent_at + self.patience, self.sent_at)
        self._send_on(route, clients.random.random() < 0.7)
        return None

    def _send_on(self, route: Route, kept: bool) -> None:
        """Send the request, on a kept connection if `kept` and there is a usable one, else on a new one."""
        clients, self.route, self.status, self.streaming = self.clients, route, 0, False
        route.connections = [connection for connection in route.connections if not connection.channel.closed]
        usable = [connection for connection in route.connections if connection.usable] if kept else []
        try:
            self.connection = usable[-1] if usable else ClientConnection(clients.loop, route.instance.address)
        except OSError as error:
            return self._handle_loss(error, new=True)
        if not usable:
            route.connections.append(self.connection)
        body = b'{"stream":true}'
        left = self.sent_at + self.patience - clients.loop.now
        fields = {
            "Host": "app.svc", "X-Txn": self.id, "X-Lane": self.lane, "X-Org": self.tenant,
            "X-Entity": self.session, "X-Remaining": f"{left * 1000:.3f}m",
            "X-Labels": f"prompt_len={self.prompt:.0f},max_out=400", "Content-Length": str(len(body)),
        }  # fmt: skip
        self.connection.send_request(self, http.head("POST /v1/chat/completions HTTP/1.1", fields) + body)
        return None

    # ---- the response ----

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        """Keep the status and the advice when to retry."""
        self.status, self.retry_after_s = status, float(headers.get("retry-after", 0.0))

    def body_received(self, data: bytes) -> None:
        """Note the first event of the stream."""
        if self.status == 200 and not self.streaming and b"data:" in data:
            self.streaming, self.first_event_at = True, self.clients.loop.now
            self.clients.rules.began(self.id, self.clients.loop.now)

    def completed(self) -> None:
        """Count the outcome; retry after a refusal."""
        refused = self.status in (429, 503)
        tally = self.tally
        if self.status == 200:
            tally.served += 1
            self._count_served()
        elif refused:
            tally.refused += 1
        else:
            tally.failed += 1
        self._count_answered(refused)
        if refused:
            self._retry(self.retry_after_s or RETRY_DELAY_S)

    def _count_answered(self, refused: bool) -> None:
        clients, request = self.clients, self.id
        clients.open_requests -= 1
        self.route.last_answered_at = clients.loop.now
        clients.rules.answered(request, False, clients.loop.now)
        if refused:
            clients.loop.after(REFUSAL_SETTLE_S, lambda: clients.rules.refused(request, clients.loop.now))

    def connection_lost(self, error: OSError | None) -> None:
        """Count the loss, or send the request again on a new connection."""
        self._handle_loss(error, new=self.connection.request_count == 1)

    def _handle_loss(self, error: OSError | None, new: bool) -> None:
        clients = self.clients
        if clients.loop.now - self.route.killed_at < KILL_DETECTION_S:
            self.tally.lost_with_process += 1
            clients.open_requests -= 1
            return clients.rules.lost(self.id)
        if self.status == 200:  # a stream broken off counts as answered; its client goes on elsewhere
            self.tally.broken_streams += 1
            return self._count_answered(False)
        if new or self.resent:
            self.tally.unanswered_on_new += 1
            clients.open_requests -= 1
            return clients.rules.lost(self.id)
        self.resent = True
        return self._send_on(self.route, kept=False)

    def _retry(self, after: float) -> None:
        if self.tries <= MAX_RETRIES and not self.clients.stopped:
            self.clients.loop.after(after, self.send_try)
