"""Clients: sessions that come whatever becomes of earlier ones, each with turns, repeats and a patience of
its own."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from hopshed import interface as i
from yewhook.core.ending import Ending
from yewhook.core.router import Router

from .rules import Rules
from .simulation import Simulation

REPEATS = 2  # by a client's own
WAIT = 0.5  # s until a repeat where no advice was given


@dataclass(frozen=True, slots=True)
class Traffic:
    """One class's sessions; ranges are drawn from evenly."""

    part: float  # of all turns
    turns: tuple[float, float]
    adds: tuple[float, float]  # tokens that each turn adds to the prompt
    answer: tuple[float, float]  # tokens
    shared: float  # part of the sessions that begin with a shared text
    prefix: tuple[float, float]  # tokens of that
    prefixes: int = 20
    think: tuple[float, float] = (2.0, 12.0)  # s from one turn's coming to the next one's
    max_out: float = 800.0


@dataclass(frozen=True, slots=True)
class Turn:
    """What is asked, and the truth about it that no router is told."""

    cls: int
    tenant: int
    session: str
    prefix: str | None
    prefix_tokens: float
    prompt: float
    answer: float
    new: float  # tokens of the prompt that no earlier turn brought

    @property
    def work(self) -> float:
        """In tokens of answer; a token that must be read costs a twelfth."""
        return self.answer + self.new / 12.0


@dataclass(slots=True)
class Tally:
    """Worth by class: asked for, answered in time, answered late."""

    asked: list[float]
    in_time: list[float]
    late: list[float]
    turns: int = 0
    refused: int = 0
    failed: int = 0

    @classmethod
    def of(cls, settings: i.Settings) -> Tally:
        return cls.of_classes(len(settings.classes))

    @classmethod
    def of_classes(cls, count: int) -> Tally:
        zeros = [0.0] * count
        return cls(list(zeros), list(zeros), list(zeros))

    def add(self, other: Tally) -> None:
        for mine, theirs in (
            (self.asked, other.asked),
            (self.in_time, other.in_time),
            (self.late, other.late),
        ):
            mine[:] = [a + b for a, b in zip(mine, theirs, strict=True)]
        self.turns += other.turns
        self.refused += other.refused
        self.failed += other.failed

    @property
    def worth(self) -> float:
        """Worth answered, late answers at what they are still worth, over the worth asked for."""
        return (sum(self.in_time) + sum(self.late)) / max(1e-9, sum(self.asked))

    def served(self, cls: int) -> float:
        """Of one class, the worth answered in time over that asked for."""
        return self.in_time[cls] / self.asked[cls] if self.asked[cls] else 1.0


class Routers(Protocol):
    """Whom the clients ask, by number."""

    def __len__(self) -> int: ...

    def __getitem__(self, number: int, /) -> Router | None:
        """None where nobody serves."""


class Clients:
    """Sends turns to routers and books what becomes of them."""

    def __init__(
        self,
        sim: Simulation,
        settings: i.Settings,
        traffic: tuple[Traffic, ...],
        seed: str,
        routers: Routers,
        rules: Rules,
        rate: Callable[[float], float],
        until: float,
        phase: Callable[[float], str] = lambda now: "run",
        tenants: tuple[float, ...] | None = None,
    ) -> None:
        """`rate` gives turns a second at a time, `phase` a name under which turns that come then are
        booked."""
        self.sim, self.settings, self.traffic = sim, settings, traffic
        self.routers, self.rules = routers, rules
        self.tallies: dict[str, Tally] = {}
        self.by_tenant = [Tally.of(settings) for _ in settings.tenants or (None,)]
        self._rate, self._until, self._phase = rate, until, phase
        self._tenants = tenants or tuple(t.share for t in settings.tenants) or (1.0,)
        self._random, self._serial = Random(f"clients {seed}"), 0
        self._quota = [(0.0, sim.now) for _ in self._tenants]
        # Sessions of each class for each turn that comes
        self._sessions = [t.part / ((t.turns[0] + t.turns[1]) / 2.0) for t in traffic]
        self._arrive()

    @property
    def tally(self) -> Tally:
        """Of all phases."""
        whole = Tally.of(self.settings)
        for tally in self.tallies.values():
            whole.add(tally)
        return whole

    # ---- arrivals ----

    def _arrive(self) -> None:
        """The next session: sessions come as in a Poisson process whose rate follows the turns wanted."""
        rate = max(1e-6, self._rate(self.sim.now) * sum(self._sessions))
        at = self.sim.now + min(5.0, self._random.expovariate(rate))
        if at >= self._until:
            return
        # Beyond 5 s the rate is asked for anew: it may have risen.
        self.sim.at(at, self._session if at < self.sim.now + 5.0 else self._arrive)

    def _session(self) -> None:
        draw = self._random
        cls = draw.choices(range(len(self.traffic)), self._sessions)[0]
        traffic = self.traffic[cls]
        tenant = draw.choices(range(len(self._tenants)), self._tenants)[0]
        self._serial += 1
        session = f"s{self._serial}"
        prefix, tokens = None, 0.0
        if draw.random() < traffic.shared:
            popular = int(traffic.prefixes ** draw.random())  # a few are asked for most, as by Zipf's law
            prefix = f"{cls}-{popular}"
            tokens = Random(prefix).uniform(*traffic.prefix)
        mean = draw.uniform(*traffic.turns)
        count = math.floor(mean) + (draw.random() < mean % 1.0)
        prompt, at = tokens, self.sim.now
        for _ in range(max(1, count)):
            adds, answer = draw.uniform(*traffic.adds), draw.uniform(*traffic.answer)
            prompt += adds
            turn = Turn(cls, tenant, session, prefix, tokens, prompt, answer, adds)
            self._plan(turn, at)
            prompt += answer
            at += draw.uniform(*traffic.think)
        self._arrive()

    def _plan(self, turn: Turn, at: float) -> None:
        patience = self.settings.classes[turn.cls].patience * self._random.uniform(0.5, 1.0)
        router = self._random.randrange(len(self.routers))
        wait = self._random.uniform(0.5, 1.0)
        if at < self._until:
            self.sim.at(at, lambda: self._first(turn, patience, router, wait))

    def _first(self, turn: Turn, patience: float, router: int, wait: float) -> None:
        over = self._over(turn.tenant)
        phase = self._phase(self.sim.now)
        worth = self.settings.classes[turn.cls].worth * turn.work
        worth *= self.settings.over_share_worth if over else 1.0
        tally = self.tallies.setdefault(phase, Tally.of(self.settings))
        tallies = [tally, self.by_tenant[turn.tenant]]
        for tally in tallies:
            tally.turns += 1
            tally.asked[turn.cls] += worth
        Try(self, turn, worth, tallies, patience, self.sim.now, router, wait).send()

    def _over(self, tenant: int) -> bool:
        """Whether a turn is beyond its tenant's quota, over all routers: a bucket of three seconds."""
        quota = self.settings.tenants[tenant].quota_per_s if self.settings.tenants else 0.0
        if quota <= 0:
            return False
        used, at = self._quota[tenant]
        used = max(0.0, used - (self.sim.now - at) * quota)
        over = used + 1.0 > max(3.0, 3.0 * quota)
        self._quota[tenant] = (used + (not over), self.sim.now)
        return over


@dataclass(slots=True)
class Try:
    """One turn's tries, one after the other: the core's `Client` of each."""

    clients: Clients
    turn: Turn
    worth: float
    tallies: list[Tally]
    patience: float
    began: float
    router: int
    wait: float
    tries: int = 0
    id: str = ""
    first: float | None = None

    def send(self) -> None:
        clients, turn, now = self.clients, self.turn, self.clients.sim.now
        cls = clients.settings.classes[turn.cls]
        left = self.began + cls.patience - now
        patience = min(self.patience, left)
        if patience <= 0.1:
            return self._unserved()
        router = clients.routers[(self.router + self.tries) % len(clients.routers)]
        if router is None:
            clients.sim.after(WAIT * self.wait, self.send)
            return None
        clients._serial += 1
        self.id, self.first = f"r{clients._serial}", None
        self.tries += 1
        clients.rules.came(self.id, cls.effect, now + patience, now)
        router.accept(
            i.RequestArrived(
                self.id, turn.cls, turn.tenant, turn.session, patience, turn.prompt, turn.prefix,
                turn.prefix_tokens, clients.traffic[turn.cls].max_out, None, False, self.tries > 1,
            ),
            self,
            turn,
        )  # fmt: skip
        return None

    @property
    def disconnected(self) -> bool:
        """What clients do here is heard in the moment in which they do it."""
        return False

    def send_event(self, event: object) -> None:
        self.clients.rules.began(self.id, self.clients.sim.now)
        self.first = self.clients.sim.now

    def finish(self) -> None:
        sim, settings = self.clients.sim, self.clients.settings
        self.clients.rules.answered(self.id, False, sim.now)
        assert self.first is not None
        cls = settings.classes[self.turn.cls]
        pace = (sim.now - self.first) / self.turn.answer
        well = self.first - self.began <= cls.aim_of(self.turn.prompt) and pace <= cls.token_aim
        for tally in self.tallies:
            if well:
                tally.in_time[self.turn.cls] += self.worth
            elif pace <= 2 * cls.token_aim:
                tally.late[self.turn.cls] += self.worth * cls.late_worth

    def abort_stream(self, ending: Ending) -> None:
        self.clients.rules.answered(self.id, False, self.clients.sim.now)
        self._unserved()

    def refuse(self, retry_after: float) -> None:
        self.clients.rules.answered(self.id, True, self.clients.sim.now)
        for tally in self.tallies:
            tally.refused += 1
        if self.tries <= REPEATS:
            self.clients.sim.after((retry_after or WAIT) * (1.0 + 0.2 * self.wait), self.send)
        else:
            self._unserved()

    def fail(self, ending: Ending | None) -> None:
        self.clients.rules.answered(self.id, False, self.clients.sim.now)
        self._unserved()

    def _unserved(self) -> None:
        for tally in self.tallies:
            tally.failed += 1
