"""Settings, events and actions of the decision module: plain data, no decisions.

Events are what happened (a request arrived, an attempt ended); actions are what the caller has to do. Times
are float seconds: points in time on one monotonic clock, or durations. A *reader* reads prompts and holds the
read state, a *writer* fetches that state and streams the answer, a *mixed* server does both. An *attempt* is
one send of a request to one server. A *router* is one instance of the tier that runs this module.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

FORGET_AFTER = 30.0  # seconds a server that is gone stays known: longer than any rule or request refers to it


class Role(Enum):
    """What a server does for requests."""

    READER = "reader"
    WRITER = "writer"
    MIXED = "mixed"


class Effect(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"  # may be repeated any number of times
    KEYED = "keyed"  # servers of a group drop repeats by the request's key, within `dedup_window`
    UNSAFE = "unsafe"  # must not run twice


class Group(Enum):
    """The servers that recognize each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"  # the answer has been streamed to its end
    READ = "read"  # the prompt has been read; the reader holds the state
    FAILED = "failed"  # the server answered with an error or not according to the protocol
    FULL = "full"  # the server refused the attempt before it ran: no room, draining, or no state to fetch
    TIMED_OUT = "timed_out"  # no answer in time, or the stream stalled
    UNREACHABLE = "unreachable"  # no connection, or it broke before the whole request was sent
    RESET = "reset"  # the connection ended before the answer did
    CANCELED = "canceled"  # by this router, also where the client left
    NOT_SENT = "not_sent"  # withheld by this router before the request was sent

    @property
    def never_ran(self) -> bool:
        """Whether the request itself certainly did not run, so that repeating it is harmless."""
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.READ)


class ServerState(Enum):
    """What discovery says of a server."""

    RUNNING = "running"
    DRAINING = "draining"  # finishes its requests and is to get no new ones
    GONE = "gone"  # no longer listed


class ListKind(Enum):
    """How a list of servers is to be applied."""

    CHANGES = "changes"  # only the servers that changed
    FULL = "full"  # all servers; one that is not listed is gone
    SAVED = "saved"  # the last full list that this router had, possibly outdated; applied as FULL is
    FAILED = "failed"  # a subscription or fetch failed; the list has no entries


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Targets, value and repeat rules of one class of requests. Times are in seconds."""

    aim: float  # target for the time to the first token
    aim_per_1k: float  # added to `aim` for each 1,000 prompt tokens
    token_aim: float  # target for the mean time between tokens
    patience: float  # the client's time-out over all its tries
    worth: float = 1.0  # value of an answer in time
    late_worth: float = 0.0  # part of `worth` that a late answer has
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    dedup_window: float = 0.0  # how long servers recognize repeats of a keyed request

    def aim_of(self, prompt_tokens: float) -> float:
        """Target for the time to the first token, in seconds, for a prompt of this length."""
        return self.aim + self.aim_per_1k * prompt_tokens / 1000


@dataclass(frozen=True, slots=True)
class Tenant:
    """A client with a quota and a share of the capacity."""

    quota_per_s: float  # requests per second over all routers; 0 = no limit known
    share: float = 0.0  # weight against other tenants where capacity is divided


@dataclass(frozen=True, slots=True)
class Settings:
    """What a deployment tells the module. Times are in seconds. Raises ValueError for impossible values."""

    classes: tuple[RequestClass, ...]
    roles: tuple[Role, ...]  # the role of each server kind
    memory_tokens: tuple[float, ...] = ()  # memory of each server kind, in tokens; empty = unknown
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # factor on the worth of requests beyond their tenant's share
    worth_by_work: bool = False  # whether `worth` is counted per unit of work instead of per request
    instances: int = 1  # routers of the tier
    zone: int = 0  # this router's zone
    report_fields: tuple[str, ...] = ()  # fields of `Load` that load reports may hold; empty = no reports
    reports_in_answers: bool = False  # whether load reports come with answers instead of probes
    may_probe: bool = False
    may_cancel: bool = False
    may_tell: bool = False  # whether routers may send each other short messages
    may_resume: bool = False  # whether clients resume streams that are moved or broken
    second_copies: bool = False  # whether a request may be sent again while an attempt is out
    retry_advice: bool = False  # whether refusals may tell clients when to try again
    max_retry_after: float = 0.0  # the longest such advice that clients follow
    max_attempts: int = 1  # for each request
    subscribe: bool = False  # whether the list of servers has to be subscribed to
    ask_within: float = 10.0  # after a failed subscription, the time within which to subscribe again
    drain_grace: float = 1.0  # how long requests may still be sent to a server told to drain
    cold_from: float = 1.0  # part of its capacity that a server has when it starts; above 0, at most 1
    cold_time: float = 0.0  # time after its start in which a server reaches its capacity
    fall_multiple: float = 2.0  # a cold server that is sent more than so many times its capacity fails
    fall_window: float = 1.0  # time over which `fall_multiple` is counted
    release_within: float = 1.0  # time within which a reader's held state must be fetched or released
    answer_slack: float = 0.0  # how far an answer may come after the client's deadline

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings: at least one request class is required")
        if not self.roles:
            raise ValueError("settings: roles must name the role of at least one server kind")
        if self.memory_tokens and len(self.memory_tokens) != len(self.roles):
            raise ValueError("settings: memory_tokens must have one value for each server kind")
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
        for cls in self.classes:
            times += [cls.aim, cls.aim_per_1k, cls.token_aim, cls.patience, cls.dedup_window]
        if any(time < 0 for time in times):
            raise ValueError("settings: times must not be negative")
        if not 0 < self.cold_from <= 1:
            raise ValueError("settings: cold_from must be greater than 0 and at most 1")


@dataclass(frozen=True, slots=True)
class Load:
    """A load report. Values that the deployment does not report are None."""

    in_flight: float | None = None  # requests
    queued: float | None = None  # requests
    utilization: float | None = None  # 0 to 1
    service_time: float | None = None  # mean, in seconds
    rate: float | None = None  # requests per second
    error_rate: float | None = None  # errors per second
    memory_share: float | None = None  # part of the memory in use, 0 to 1
    backlog_tokens: float | None = None  # prompt tokens waiting to be read


class Server(NamedTuple):
    """A server as discovery lists it."""

    id: int
    kind: int  # index into Settings.roles
    zone: int
    cell: int
    state: ServerState
    started: float | None = None  # time of its latest start; None = long ago
    weight: float = 1.0  # relative, as discovery states it


class RoleUsage(NamedTuple):
    """Estimated capacity and use of the servers of one role."""

    listed: int  # servers that run according to the list
    usable: float  # running servers that are not ejected; a cold one counts by its part of the capacity
    busy: float  # part of the usable capacity in use, judged by this router's load; over 1 = overloaded


# ---- events ----


class ServersListed(NamedTuple):
    """A list of servers came from discovery."""

    kind: ListKind
    servers: tuple[Server, ...]


class RequestArrived(NamedTuple):
    """A client sent a request."""

    id: str
    cls: int  # index into Settings.classes
    tenant: int  # index into Settings.tenants
    session: str
    patience: float  # seconds left until the client gives up this try
    prompt_tokens: float
    prefix: str | None = None  # name of the beginning that the prompt shares with others
    prefix_tokens: float = 0.0  # length of that beginning
    max_tokens: float = 0.0  # limit on the tokens of the answer
    length_hint: float | None = None  # expected seconds of streaming at the class's token_aim
    resumed: bool = False  # the client continues a stream that broke or was moved
    repeat: bool = False  # the client tries again after a request that was not served
    admit: float = 1.0  # probability with which the level of service admits requests like this one


class StreamStarted(NamedTuple):
    """An attempt's first token arrived."""

    id: str
    attempt: int  # index of the attempt in the request, from 0
    server: int
    latency: float  # seconds since the attempt was sent


class AttemptEnded(NamedTuple):
    """An attempt ended, however it went."""

    id: str
    attempt: int  # index of the attempt in the request, from 0
    server: int
    outcome: Outcome
    latency: float  # seconds since the attempt was sent
    closed: bool  # whether the request is finished, so that the client needs no other answer
    note: int = 0  # READ, OK: prompt tokens found in the server's cache; FULL: 1 = no state to fetch
    load: Load | None = None


class ClientGone(NamedTuple):
    """The client of a request disconnected."""

    id: str


class StateReleased(NamedTuple):
    """The held state of a request was released because its time was over."""

    id: str


class ProbeEnded(NamedTuple):
    """A probe was answered or lost."""

    server: int
    ok: bool
    latency: float  # seconds since the probe was sent
    load: Load | None = None


class TimerFired(NamedTuple):
    """The timer with this token, set by SetTimer, is due."""

    token: int


class PeerSaid(NamedTuple):
    """A message came from another router of the tier."""

    sender: int  # the router's number
    data: bytes


class ServiceLevel(NamedTuple):
    """The level of service for requests from now on; requests that were admitted before are not affected."""

    name: str = ""  # empty = full service: the module chooses the advice to refused clients itself
    retry_after: tuple[float, float] = (0.0, 0.0)  # seconds; least and most advice to refused clients
    certain: bool = False  # whether a request that finds no room at once is refused instead of held


class WarmRates(NamedTuple):
    """The work that a warm server of each role took from this router before all servers of it were lost.

    The least rate to assume from now on: while no server of the role is warm, none can be measured."""

    rates: tuple[tuple[Role, float], ...]  # requests of mean size per second


Event = (
    ServersListed | RequestArrived | StreamStarted | AttemptEnded | ClientGone | ProbeEnded | TimerFired
    | ServiceLevel | PeerSaid | WarmRates | StateReleased
)  # fmt: skip


# ---- actions ----


class Send(NamedTuple):
    """Send a request to a server."""

    id: str
    server: int
    timeout: float  # seconds; 0 = until the client gives up


class Refuse(NamedTuple):
    """Answer finally that a request is not served and may safely be sent again."""

    id: str
    retry_after: float = 0.0  # seconds after which the client should try again; 0 = no advice
    gave_way: bool = False  # refused by the level of service, not for lack of room or time


class Fail(NamedTuple):
    """Answer finally that a request is not served and may have run."""

    id: str


class ReleaseState(NamedTuple):
    """Release the held state of a request."""

    id: str


class CancelAttempt(NamedTuple):
    """Cancel an attempt that is out."""

    id: str
    attempt: int  # index of the attempt in the request, from 0


class MoveStream(NamedTuple):
    """End a running stream in an orderly way, so that its client resumes it and it continues elsewhere."""

    id: str


class Probe(NamedTuple):
    """Probe a server, for signs of life and its load."""

    server: int


class SetTimer(NamedTuple):
    """Ask for TimerFired with this token."""

    delay: float  # seconds
    token: int


class Subscribe(NamedTuple):
    """Subscribe to the list of servers."""


class Tell(NamedTuple):
    """Send a message to all other routers of the tier; it may be lost."""

    data: bytes


class Log(NamedTuple):
    """Write a line to the log."""

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
