"""Records that the decision module keeps of servers, requests, attempts and sessions."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from .backlog import Backlog
from .estimate import Estimate
from .interface import Load, Outcome, RequestArrived, Role, Server


class TokenBucket:
    """A token bucket that starts full. Its rate and size are given with each call."""

    def __init__(self) -> None:
        self.level = math.inf  # tokens
        self.at = 0.0  # time of `level`, in seconds

    def take(self, rate: float, size: float, now: float) -> bool:
        """Take a token if there is one; `rate` in tokens a second, `size` in tokens."""
        self.level = min(size, self.level + rate * (now - self.at))
        self.at = now
        enough = self.level >= 1.0
        self.level -= enough
        return enough


def drop_unused(table: dict[Any, Any], before: float, most: int | None = None) -> None:
    """Drop the entries last used before a time, and the oldest ones of more than `most`.

    The table must be in the order of last use.
    """
    while table and (table[key := next(iter(table))].at < before or (most is not None and len(table) > most)):
        del table[key]


MAX_SESSIONS = 8192  # of about 400 bytes; a router serves far fewer within the time that they are kept


@dataclass(slots=True)
class Session:
    """What is known of a session. It is handed over and stored under these field names."""

    cst: float = 0.0  # accumulated service time, in seconds
    reader: int | None = None  # id of the server that read its last turn
    prompt: float = 0.0  # tokens of the last prompt that was read
    at: float = 0.0  # time of last use


@dataclass(eq=False, slots=True)
class Attempt:
    """One send of a request to one server."""

    server: Worker
    read_only: bool  # at a reader; otherwise it fetches a state, or reads and answers at a mixed server
    sent_at: float
    fresh_tokens: float  # prompt tokens that the server is expected to read, as it has not cached them
    expected_read_time: float = 0.0  # seconds from sending until the prompt is expected to be read
    queue_wait: float = 0.0  # seconds of it expected to pass in the server's queue, if that is known
    work: float = 0.0  # in sends of mean work
    backlog_mark: float = 0.0  # the read's position in the server's backlog, see Backlog.add; 0 = none
    ttft: float = 0.0  # time to the first token, in seconds
    live: bool = True  # has not ended
    streaming: bool = False  # its first token has come
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun to generate an answer."""
        return not self.read_only and not (self.outcome and self.outcome.never_ran)


@dataclass(eq=False, slots=True)
class Request:
    """A request from its arrival until it is closed and none of its attempts is in flight."""

    event: RequestArrived
    tenant: int  # index into Settings.tenants, 0 without tenants
    arrived_at: float
    deadline: float  # when the client gives up
    first_token_due: float  # when the first token is wanted
    service_time: float = 0.0  # its session's accumulated service time on arrival, in seconds
    over_quota: bool = False  # beyond its tenant's quota
    held: bool = True  # waits in the hold queue
    done: bool = False  # no answer is owed any more
    state_reader: Worker | None = None  # the reader that holds the read state
    state_since: float = 0.0  # when the state was read, or last known to be held
    writer_pair: list[Worker] = field(default_factory=list)  # the writers drawn for it when its read began
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def possibly_run(self) -> list[Attempt]:
        """The attempts that may have run."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    @property
    def in_flight(self) -> bool:
        """Whether any attempt has not ended."""
        return any(attempt.live for attempt in self.attempts)


class Worker:
    """What a router knows of one server."""

    def __init__(self, info: Server, role: Role, now: float, listed: float) -> None:
        """`listed` = when the server was first listed, -inf if it was in the first list."""
        self.info, self.role = info, role
        self.listed = listed  # time at which it was first listed
        self.gone_at = math.inf  # time at which the list reported it gone
        self.reads, self.streams = 0, 0  # this router's live attempts: reads only, and all others
        self.pending: list[Attempt] = []  # live attempts that have no first token, oldest first
        self.reset(now)

    def reset(self, now: float) -> None:
        """Forget what was learned of the server's process, but not this router's live attempts."""
        self.load: Load | None = None  # the latest load report
        self.load_at = -math.inf  # when it came
        self.streams_at_load = 0  # `streams` at that time
        self.sends_since_load = 0  # streams sent since
        self.wait = 0.0  # learned wait in the server's queue, in seconds
        self.wait_at = now  # time of `wait`
        self.floor = math.inf  # shortest time to a first token, in seconds; slowly rises
        self.limit: float | None = None  # adaptive concurrency limit, in streams; None = not yet known
        self.hit = 1.0  # share of the tokens expected in the server's cache that were found there
        self.drag = 1.0  # mean time of its streams as a multiple of their class's mean over all servers
        self.errors = 0.0  # moving average of the share of attempts that failed, 0 to 1
        self.ejected = -math.inf  # time at which the latest ejection ends
        self.ejections = 0  # ejections in a row
        self.trial = False  # whether it was ejected and has not answered a request since
        self.failed_at = -math.inf  # time of the latest failed attempt
        self.life = now  # time of the latest sign of life
        self.probe_in_flight, self.probed_at = False, -math.inf
        self.probe_failures = 0  # lost probes in a row
        self.cold_level = 0.0  # slow start: level of the token bucket, in sends of mean work
        self.cold_at = now  # time of `cold_level`
        self.cold_grant = 0.0  # what of it was granted when the server started
        self.known_usable = False  # found running, warm, not ejected and not on trial, with no change since
        self.work_rate = Estimate()  # work that it has taken, in sends of mean work a second
        self.was_sent_to = False  # whether this router has sent it anything
        self.backlog = Backlog()  # reads of all routers there, if they share them by gossip

    def add_attempt(self, attempt: Attempt) -> None:
        """Count an attempt that is sent to the server."""
        self.pending.append(attempt)
        self.was_sent_to = True
        self.reads += attempt.read_only
        self.streams += not attempt.read_only
        self.sends_since_load += not attempt.read_only

    def remove_attempt(self, attempt: Attempt) -> None:
        """Count an attempt that has ended."""
        if attempt in self.pending:
            self.pending.remove(attempt)
        self.reads -= attempt.read_only
        self.streams -= not attempt.read_only

    def longest_wait(self, now: float) -> float:
        """Seconds that the oldest pending attempt has waited; learned waits don't include it yet."""
        return now - self.pending[0].sent_at if self.pending else 0.0
