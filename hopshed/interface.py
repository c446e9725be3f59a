"""The types, events and actions of hopshed's decision module. No decision is taken here.

Times are float seconds on one monotonic clock. A *reader* reads prompts and keeps the read state, a
*writer* fetches that state and streams the answer, a *mixed* server does either. An *attempt* is one
send of a request to one server.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

FORGET_AFTER = 30.0  # s for which a server that is gone is kept: no rule and no request reaches back as far


class Role(Enum):
    READER = "reader"
    WRITER = "writer"
    MIXED = "mixed"


class Effect(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"  # may be repeated at will
    KEYED = "keyed"  # repeats are dropped inside a group of servers, for a time
    UNSAFE = "unsafe"  # must not run twice


class Group(Enum):
    """Which servers drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    OK = "ok"
    READ = "read"  # the prompt is read, its state waits at the reader
    FAILED = "failed"
    FULL = "full"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELED = "canceled"
    NOT_SENT = "not_sent"

    @property
    def never_ran(self) -> bool:
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.READ)


class ServerState(Enum):
    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"  # the last list this router held, possibly outdated
    FAILED = "failed"  # a subscription or fetch failed; no entries


@dataclass(frozen=True, slots=True)
class RequestClass:
    aim: float  # first token wanted within this
    aim_per_1k: float  # and so much more for each 1,000 prompt tokens
    token_aim: float  # wanted mean gap between tokens
    patience: float  # the client's time over all its tries
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    dedup_window: float = 0.0

    def aim_of(self, prompt_tokens: float) -> float:
        """s within which the first token is wanted for a prompt of this length."""
        return self.aim + self.aim_per_1k * prompt_tokens / 1000


@dataclass(frozen=True, slots=True)
class Tenant:
    quota_per_s: float  # over all routers; 0 = no limit known
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    roles: tuple[Role, ...]  # one for each server kind
    memory_tokens: tuple[float, ...] = ()  # one for each server kind; empty = not told
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    worth_by_work: bool = False  # worth is counted for a unit of work, not for a request
    instances: int = 1
    zone: int = 0
    # What load reports may hold, in interface names (fields of Load); empty = none
    report_fields: tuple[str, ...] = ()
    reports_in_answers: bool = False
    may_probe: bool = False
    may_cancel: bool = False
    may_tell: bool = False  # routers may send each other short messages
    may_resume: bool = False
    second_copies: bool = False
    retry_advice: bool = False
    max_retry_after: float = 0.0
    max_attempts: int = 1
    subscribe: bool = False  # discovery must be asked for
    ask_within: float = 10.0
    drain_grace: float = 1.0
    cold_from: float = 1.0
    cold_time: float = 0.0
    fall_multiple: float = 2.0
    fall_window: float = 1.0
    release_within: float = 1.0
    answer_slack: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings: at least one request class is needed")
        if not self.roles:
            raise ValueError("settings: at least one server kind with a role is needed")
        if self.memory_tokens and len(self.memory_tokens) != len(self.roles):
            raise ValueError("settings: memory_tokens must name one figure for each server kind")
        if self.instances < 1 or self.max_attempts < 1:
            raise ValueError("settings: instances and max_attempts must be at least 1")
        times = [
            self.ask_within,
            self.drain_grace,
            self.cold_time,
            self.fall_window,
            self.release_within,
            self.answer_slack,
            self.max_retry_after,
        ]
        for c in self.classes:
            times += [c.aim, c.aim_per_1k, c.token_aim, c.patience, c.dedup_window]
        if any(t < 0 for t in times):
            raise ValueError("settings: times must not be negative")
        if not 0 < self.cold_from <= 1:
            raise ValueError("settings: cold_from must lie above 0 and at most at 1")


@dataclass(frozen=True, slots=True)
class Load:
    """A load report. What a deployment does not report is None."""

    in_flight: float | None = None
    queued: float | None = None
    utilization: float | None = None
    service_time: float | None = None  # seconds
    rate: float | None = None
    error_rate: float | None = None
    memory_share: float | None = None
    backlog_tokens: float | None = None


class Server(NamedTuple):
    id: int
    kind: int  # place in Settings.roles
    zone: int
    cell: int
    state: ServerState
    started: float | None = None  # its latest start; None = long ago
    weight: float = 1.0


class RoleUsage(NamedTuple):
    """What the module believes of one role's servers."""

    listed: int  # running, by the list
    usable: float  # of those not ejected; a cold one counts by its share
    busy: float  # part of the usable capacity in use by this router's part of the load; over 1 = too much


# ---- events ----


class ServersListed(NamedTuple):
    kind: ListKind
    servers: tuple[Server, ...]


class RequestArrived(NamedTuple):
    id: str
    cls: int
    tenant: int
    session: str
    patience: float  # left for this try
    prompt_tokens: float
    prefix: str | None = None
    prefix_tokens: float = 0.0
    max_tokens: float = 0.0
    length_hint: float | None = None  # seconds of streaming at the class's pace
    resumed: bool = False  # back after a broken or moved stream
    repeat: bool = False  # the client's own repeat of a request that was not served
    admit: float = 1.0  # share of turns like this one that the level of service has room for


class StreamStarted(NamedTuple):
    id: str
    attempt: int
    server: int
    latency: float


class AttemptEnded(NamedTuple):
    id: str
    attempt: int
    server: int
    outcome: Outcome
    latency: float
    closed: bool  # the request is finished; no answer is owed
    note: int = 0  # READ, OK: prompt tokens found kept; FULL: 1 = no state to fetch
    load: Load | None = None


class ClientGone(NamedTuple):
    id: str


class StateReleased(NamedTuple):
    """The state that waited for a request has been let go, for its time was over."""

    id: str


class ProbeEnded(NamedTuple):
    server: int
    ok: bool
    latency: float
    load: Load | None = None


class TimerFired(NamedTuple):
    token: int


class PeerSaid(NamedTuple):
    """A message of another router of the tier."""

    sender: int
    data: bytes


class ServiceLevel(NamedTuple):
    """What the level of service asks of the module from now on; requests that it has taken go on as they
    are."""

    name: str = ""  # empty = full service: the module's own advice stands
    retry_after: tuple[float, float] = (0.0, 0.0)  # s, least and most advice to refused clients
    certain: bool = False  # a turn that finds no room at once is refused at once


class WarmRates(NamedTuple):
    """What a warm server of each role took from this router before all were lost, in sends of mean work a
    second; while none is warm, no other one tells."""

    rates: tuple[tuple[Role, float], ...]


Event = (
    ServersListed | RequestArrived | StreamStarted | AttemptEnded | ClientGone | ProbeEnded | TimerFired
    | ServiceLevel | PeerSaid | WarmRates | StateReleased
)  # fmt: skip


# ---- actions ----


class Send(NamedTuple):
    id: str
    server: int
    timeout: float  # 0 = until the client gives up


class Refuse(NamedTuple):
    """Final: not served, and trying again is harmless."""

    id: str
    retry_after: float = 0.0  # 0 = no advice
    gave_way: bool = False  # refused for the level of service, not for want of room or time


class Fail(NamedTuple):
    """Final: not served, nothing promised."""

    id: str


class ReleaseState(NamedTuple):
    id: str


class CancelAttempt(NamedTuple):
    id: str
    attempt: int


class MoveStream(NamedTuple):
    """End a running stream in good order; its client comes back and goes on elsewhere."""

    id: str


class Probe(NamedTuple):
    server: int


class SetTimer(NamedTuple):
    delay: float
    token: int


class Subscribe(NamedTuple):
    pass


class Tell(NamedTuple):
    """A message to all other routers of the tier; it may be lost."""

    data: bytes


class Log(NamedTuple):
    text: str


Action = (
    Send
    | Refuse
    | Fail
    | ReleaseState
    | CancelAttempt
    | MoveStream
    | Probe
    | SetTimer
    | Subscribe
    | Log
    | Tell
)
