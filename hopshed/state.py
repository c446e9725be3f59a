"""Plain records that the decision module keeps. No decision, table or tuned value stands here."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from .backlog import Backlog
from .estimate import Estimate
from .interface import Load, Outcome, RequestArrived, Role, Server


class TokenBucket:
    """A token bucket, full at first; rate and size are the module's."""

    def __init__(self) -> None:
        self.level, self.at = math.inf, 0.0

    def take(self, rate: float, size: float, now: float) -> bool:
        self.level = min(size, self.level + rate * (now - self.at))
        self.at = now
        enough = self.level >= 1.0
        self.level -= enough
        return enough


def drop_unused(table: dict[Any, Any], time: float) -> None:
    """Drop the entries last used before a time; the table is in the order of last use."""
    while table and table[key := next(iter(table))].at < time:
        del table[key]


@dataclass(slots=True)
class Session:
    cst: float = 0.0  # critical path service time
    reader: int | None = None  # the last one
    prompt: float = 0.0  # tokens of its last read prompt
    at: float = 0.0  # last use


@dataclass(eq=False, slots=True)
class Attempt:
    server: Worker
    read_only: bool  # a read only; else it hands a state over, or is a whole turn at a mixed server
    sent_at: float
    fresh_tokens: float  # prompt tokens it must read
    expected_read_time: float = 0.0  # s until the prompt would be read, as believed when it was sent
    expected_wait: float = 0.0  # the part of it that its server's queue would take, where that is known
    backlog_mark: float = 0.0  # its place in that queue
    first_token_time: float = 0.0  # time to the first token
    live: bool = True
    streaming: bool = False
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return not self.read_only and not (self.outcome and self.outcome.never_ran)


@dataclass(eq=False, slots=True)
class Request:
    arrival: RequestArrived
    tenant: int
    arrived_at: float
    deadline: float
    first_token_due: float
    service_time: float = 0.0
    over_quota: bool = False  # beyond its tenant's share
    held: bool = True
    done: bool = False  # no answer is owed any more
    state_reader: Worker | None = None  # the reader at which the read state waits
    state_since: float = 0.0
    writer_pair: list[Worker] = field(default_factory=list)  # writers drawn for it while it is read
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def possibly_run(self) -> list[Attempt]:
        return [a for a in self.attempts if a.may_have_run]

    @property
    def in_flight(self) -> bool:
        return any(a.live for a in self.attempts)


class Worker:
    """What a router knows of one server."""

    def __init__(self, info: Server, role: Role, now: float, listed: float) -> None:
        self.info, self.role = info, role
        self.listed = listed
        self.gone_at = math.inf
        self.reads, self.streams = 0, 0
        self.pending: list[Attempt] = []  # ours that have not been read, or have no first token yet
        self.reset(now)

    def reset(self, now: float) -> None:
        """Forget what was learnt of the process; what we have out there stays."""
        self.load: Load | None = None
        self.load_at, self.streams_at_load, self.sends_since_load = -math.inf, 0, 0
        self.wait, self.wait_at, self.floor = 0.0, now, math.inf  # learnt wait; least time to a first token
        self.limit: float | None = None  # adaptive concurrency limit
        self.hit = 1.0  # part of the tokens that should have been kept and were
        self.drag = 1.0  # its streams' time against the class's mean over servers
        self.errors, self.ejected, self.ejections, self.trial = 0.0, -math.inf, 0, False
        self.failed_at = -math.inf
        self.life, self.probe_in_flight, self.probed_at, self.probe_failures = now, False, -math.inf, 0
        self.cold_level, self.cold_at = 0.0, now
        # Found running, warm, not ejected and not on trial, and nothing has changed that since.
        self.known_usable = False
        self.work_rate = Estimate()  # rate of requests sent there
        self.backlog = Backlog()  # of all routers' reads there, where they tell one another

    def add_attempt(self, a: Attempt) -> None:
        self.pending.append(a)
        self.reads += a.read_only
        self.streams += not a.read_only
        self.sends_since_load += not a.read_only

    def remove_attempt(self, a: Attempt) -> None:
        if a in self.pending:
            self.pending.remove(a)
        self.reads -= a.read_only
        self.streams -= not a.read_only

    def longest_wait(self, now: float) -> float:
        """Age of our longest wait here, a wait that no finished one has told of yet."""
        return now - self.pending[0].sent_at if self.pending else 0.0
