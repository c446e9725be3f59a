"""Simulated clients: sessions arrive as an open workload, each with its own turns, retries and patience."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from hopshed import interface
from yewhook.core.ending import Ending
from yewhook.core.router import Router

from .rules import Rules
from .simulation import Simulation

MAX_RETRIES = 2  # of one turn, by its client
DEFAULT_RETRY_WAIT_S = 0.5  # where a refusal gave no advice


@dataclass(frozen=True, slots=True)
class Traffic:
    """The sessions of one class; values are drawn uniformly from ranges."""

    part: float  # fraction of all turns
    turns: tuple[float, float]  # of a session
    prompt_growth: tuple[float, float]  # tokens that each turn adds to the prompt
    answer: tuple[float, float]  # tokens
    prefix_share: float  # fraction of the sessions that begin with a shared prefix
    prefix_tokens: tuple[float, float]
    prefix_count: int = 20
    turn_interval: tuple[float, float] = (2.0, 12.0)  # seconds from one turn's arrival to the next one's
    max_tokens: float = 800.0  # limit of an answer, as the request states it


@dataclass(frozen=True, slots=True)
class Turn:
    """One turn of a session, with its actual answer length, which routers do not know; lengths in tokens."""

    cls: int
    tenant: int
    session: str
    prefix: str | None
    prefix_tokens: float
    prompt: float
    answer: float
    new_tokens: float  # the part of the prompt that is new in this turn

    @property
    def work(self) -> float:
        """The work in tokens of answer; a token that must be read counts as a twelfth of one."""
        return self.answer + self.new_tokens / 12.0


@dataclass(slots=True)
class Tally:
    """The worth of turns, by class, and how many were refused or failed."""

    asked: list[float]  # worth of all turns
    in_time: list[float]  # worth of answers within their aims
    late: list[float]  # what late answers are still worth
    turns: int = 0
    refused: int = 0  # refusals, several of a turn included
    failed: int = 0  # turns without a complete answer

    @classmethod
    def for_settings(cls, settings: interface.Settings) -> Tally:
        """An empty tally for the classes of the settings."""
        return cls.for_class_count(len(settings.classes))

    @classmethod
    def for_class_count(cls, count: int) -> Tally:
        """An empty tally for so many classes."""
        zeros = [0.0] * count
        return cls(list(zeros), list(zeros), list(zeros))

    def add(self, other: Tally) -> None:
        """Add another tally to this one."""
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
        """Worth of all answers, late ones at their reduced worth, as a fraction of the worth asked for."""
        return (sum(self.in_time) + sum(self.late)) / max(1e-9, sum(self.asked))

    def in_time_share(self, cls: int) -> float:
        """Worth of one class answered in time, as a fraction of that asked for."""
        return self.in_time[cls] / self.asked[cls] if self.asked[cls] else 1.0


class Routers(Protocol):
    """The routers that clients use, by number."""

    def __len__(self) -> int:
        """How many routers there are."""

    def __getitem__(self, number: int, /) -> Router | None:
        """The router that serves the clients of router `number`; None if no router serves."""


class Clients:
    """Sends turns to routers and records the results."""

    def __init__(
        self,
        sim: Simulation,
        settings: interface.Settings,
        traffic: tuple[Traffic, ...],
        seed: str,
        routers: Routers,
        rules: Rules,
        rate: Callable[[float], float],
        until: float,
        phase: Callable[[float], str] = lambda now: "run",
        tenants: tuple[float, ...] | None = None,
    ) -> None:
        """`rate` maps a time to turns per second, `phase` to the name of the tally of turns that arrive then.

        No turn arrives after `until`; `tenants` are shares of the sessions, by default the settings' shares.
        """
        self.sim, self.settings, self.traffic = sim, settings, traffic
        self.routers, self.rules = routers, rules
        self.tallies: dict[str, Tally] = {}
        self.by_tenant = [Tally.for_settings(settings) for _ in settings.tenants or (None,)]
        self._rate, self._until, self._phase = rate, until, phase
        self._tenants = tenants or tuple(t.share for t in settings.tenants) or (1.0,)
        self._random, self._serial = Random(f"clients {seed}"), 0
        self._quota = [(0.0, sim.now) for _ in self._tenants]
        # Sessions of each class per turn that arrives
        self._sessions_per_turn = [t.part / ((t.turns[0] + t.turns[1]) / 2.0) for t in traffic]
        self._schedule_session()

    @property
    def tally(self) -> Tally:
        """The sum of the tallies of all phases."""
        total = Tally.for_settings(self.settings)
        for tally in self.tallies.values():
            total.add(tally)
        return total

    # ---- arrivals ----

    def _schedule_session(self) -> None:
        """Schedule the next session; arrivals are a Poisson process with the rate for the wanted turns."""
        rate = max(1e-6, self._rate(self.sim.now) * sum(self._sessions_per_turn))
        at = self.sim.now + min(5.0, self._random.expovariate(rate))
        if at >= self._until:
            return
        # After 5 seconds without a session the rate is read again, since it may have risen.
        self.sim.at(at, self._start_session if at < self.sim.now + 5.0 else self._schedule_session)

    def _start_session(self) -> None:
        draw = self._random
        cls = draw.choices(range(len(self.traffic)), self._sessions_per_turn)[0]
        traffic = self.traffic[cls]
        tenant = draw.choices(range(len(self._tenants)), self._tenants)[0]
        self._serial += 1
        session = f"s{self._serial}"
        prefix, tokens = None, 0.0
        if draw.random() < traffic.prefix_share:
            popular = int(
                traffic.prefix_count ** draw.random()
            )  # few prefixes are used most, as by Zipf's law
            prefix = f"{cls}-{popular}"
            tokens = Random(prefix).uniform(*traffic.prefix_tokens)
        mean = draw.uniform(*traffic.turns)
        count = math.floor(mean) + (draw.random() < mean % 1.0)
        prompt, at = tokens, self.sim.now
        for _ in range(max(1, count)):
            new_tokens, answer = draw.uniform(*traffic.prompt_growth), draw.uniform(*traffic.answer)
            prompt += new_tokens
            turn = Turn(cls, tenant, session, prefix, tokens, prompt, answer, new_tokens)
            self._schedule_turn(turn, at)
            prompt += answer
            at += draw.uniform(*traffic.turn_interval)
        self._schedule_session()

    def _schedule_turn(self, turn: Turn, at: float) -> None:
        patience = self.settings.classes[turn.cls].patience * self._random.uniform(0.5, 1.0)
        router = self._random.randrange(len(self.routers))
        jitter = self._random.uniform(0.5, 1.0)
        if at < self._until:
            self.sim.at(at, lambda: self._start_turn(turn, patience, router, jitter))

    def _start_turn(self, turn: Turn, patience: float, router: int, jitter: float) -> None:
        over_quota = self._charge_quota(turn.tenant)
        phase = self._phase(self.sim.now)
        worth = self.settings.classes[turn.cls].worth * turn.work
        worth *= self.settings.over_share_worth if over_quota else 1.0
        tally = self.tallies.setdefault(phase, Tally.for_settings(self.settings))
        tallies = [tally, self.by_tenant[turn.tenant]]
        for tally in tallies:
            tally.turns += 1
            tally.asked[turn.cls] += worth
        TurnClient(self, turn, worth, tallies, patience, self.sim.now, router, jitter).send()

    def _charge_quota(self, tenant: int) -> bool:
        """Charge a turn to its tenant's quota over all routers; returns whether it exceeds the quota.

        The quota is a leaky bucket that holds three seconds' turns, and at least three.
        """
        quota = self.settings.tenants[tenant].quota_per_s if self.settings.tenants else 0.0
        if quota <= 0:
            return False
        used, at = self._quota[tenant]
        used = max(0.0, used - (self.sim.now - at) * quota)
        over_quota = used + 1.0 > max(3.0, 3.0 * quota)
        self._quota[tenant] = (used + (not over_quota), self.sim.now)
        return over_quota


@dataclass(slots=True)
class TurnClient:
    """The client of one turn and its retries; implements `yewhook.core.ports.Client` for each request."""

    clients: Clients
    turn: Turn
    worth: float
    tallies: list[Tally]
    patience: float  # of each request, in seconds
    started: float
    first_router: int
    retry_jitter: float  # 0.5 to 1; scales retry delays
    tries: int = 0
    request_id: str = ""
    first_event_at: float | None = None

    def send(self) -> None:
        """Send the turn to the next router in line, or count it as unserved if its time is over."""
        clients, turn, now = self.clients, self.turn, self.clients.sim.now
        cls = clients.settings.classes[turn.cls]
        remaining = self.started + cls.patience - now
        patience = min(self.patience, remaining)
        if patience <= 0.1:
            return self._count_unserved()
        router = clients.routers[(self.first_router + self.tries) % len(clients.routers)]
        if router is None:
            clients.sim.after(DEFAULT_RETRY_WAIT_S * self.retry_jitter, self.send)
            return None
        clients._serial += 1
        self.request_id, self.first_event_at = f"r{clients._serial}", None
        self.tries += 1
        clients.rules.came(self.request_id, cls.effect, now + patience, now)
        router.accept(
            interface.RequestArrived(
                self.request_id, turn.cls, turn.tenant, turn.session, patience, turn.prompt, turn.prefix,
                turn.prefix_tokens, clients.traffic[turn.cls].max_tokens, None, False, self.tries > 1,
            ),
            self,
            turn,
        )  # fmt: skip
        return None

    @property
    def disconnected(self) -> bool:
        """Always False: the router learns at once of everything that clients do here."""
        return False

    def send_event(self, event: object) -> None:
        """Take the first event of the stream; the rest is not simulated."""
        self.clients.rules.began(self.request_id, self.clients.sim.now)
        self.first_event_at = self.clients.sim.now

    def finish(self) -> None:
        """Take the end of a complete stream and record its worth."""
        sim, settings = self.clients.sim, self.clients.settings
        self.clients.rules.answered(self.request_id, False, sim.now)
        assert self.first_event_at is not None
        cls = settings.classes[self.turn.cls]
        pace = (sim.now - self.first_event_at) / self.turn.answer
        in_time = self.first_event_at - self.started <= cls.aim_of(self.turn.prompt) and pace <= cls.token_aim
        for tally in self.tallies:
            if in_time:
                tally.in_time[self.turn.cls] += self.worth
            elif pace <= 2 * cls.token_aim:
                tally.late[self.turn.cls] += self.worth * cls.late_worth

    def abort_stream(self, ending: Ending) -> None:
        """Take the end of an incomplete stream; the turn is not retried."""
        self.clients.rules.answered(self.request_id, False, self.clients.sim.now)
        self._count_unserved()

    def refuse(self, retry_after: float) -> None:
        """Take a refusal and retry after the advised delay, unless all retries are used."""
        self.clients.rules.answered(self.request_id, True, self.clients.sim.now)
        for tally in self.tallies:
            tally.refused += 1
        if self.tries <= MAX_RETRIES:
            self.clients.sim.after(
                (retry_after or DEFAULT_RETRY_WAIT_S) * (1.0 + 0.2 * self.retry_jitter), self.send
            )
        else:
            self._count_unserved()

    def fail(self, ending: Ending | None) -> None:
        """Take a failure; the turn is not retried."""
        self.clients.rules.answered(self.request_id, False, self.clients.sim.now)
        self._count_unserved()

    def _count_unserved(self) -> None:
        for tally in self.tallies:
            tally.failed += 1
