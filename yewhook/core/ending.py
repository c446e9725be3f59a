"""The ways in which an attempt can end, and the outcome that each one is reported to `hopshed` as."""

from __future__ import annotations

from enum import Enum, auto

from hopshed.interface import Outcome


class Ending(Enum):
    """How an attempt ended, as seen on its connection; logs and error answers use the names in lower case."""

    SERVED = auto()  # the stream arrived complete
    READ = auto()  # a reader has processed the prompt and holds its state
    ERROR = auto()  # the worker answered with an error
    GARBLED = auto()  # the response violates the protocol
    TURNED_AWAY = auto()  # rejected before it ran: the worker is full or drains, or the time is over
    STATE_GONE = auto()  # rejected before it ran: there is no held state to fetch
    CONNECT_REFUSED = auto()  # connecting failed: refused, reset or no route to the host
    CONNECT_SILENT = auto()  # connecting timed out
    NO_SOCKET = auto()  # not connected: this router has reached its socket limit
    BROKEN_UNSENT = auto()  # the connection broke before the last byte of the request was written
    UNSENT_IN_TIME = auto()  # the attempt timed out before the last byte was written
    BROKEN = auto()  # the connection was reset after the last byte was written
    CLOSED = auto()  # the connection was closed cleanly before the response was complete
    TIMED_OUT = auto()  # no response within the attempt's timeout
    CANCELED = auto()  # canceled by `hopshed`
    CLIENT_LEFT = auto()  # canceled because the client disconnected
    MOVED = auto()  # a running stream was ended so that its client resumes on another server
    CLIENT_STALLED = auto()  # a running stream was ended because its client does not read it
    WORKER_STALLED = auto()  # a running stream made no progress for too long
    TOOL_TIMED_OUT = auto()  # the worker gave up: a tool did not answer in time
    TOOL_GONE = auto()  # the worker gave up: a tool has no server, or its server disappeared
    TOOL_ERROR = auto()  # the worker gave up: a tool answered with an error
    SERVER_LEFT = auto()  # withdrawn before any byte was written: its server drains or is gone
    NOT_SENT = auto()  # never sent: a rule on sending forbids it, or the request has ended


OUTCOMES: dict[Ending, Outcome] = {
    Ending.SERVED: Outcome.OK,
    Ending.READ: Outcome.READ,
    Ending.ERROR: Outcome.FAILED,
    Ending.GARBLED: Outcome.FAILED,
    Ending.TURNED_AWAY: Outcome.FULL,
    Ending.STATE_GONE: Outcome.FULL,
    Ending.CONNECT_REFUSED: Outcome.UNREACHABLE,
    Ending.CONNECT_SILENT: Outcome.UNREACHABLE,
    Ending.NO_SOCKET: Outcome.UNREACHABLE,
    Ending.BROKEN_UNSENT: Outcome.UNREACHABLE,
    Ending.UNSENT_IN_TIME: Outcome.UNREACHABLE,
    Ending.BROKEN: Outcome.RESET,
    Ending.CLOSED: Outcome.RESET,
    Ending.TIMED_OUT: Outcome.TIMED_OUT,
    Ending.CANCELED: Outcome.CANCELED,
    Ending.CLIENT_LEFT: Outcome.CANCELED,
    Ending.MOVED: Outcome.CANCELED,
    Ending.CLIENT_STALLED: Outcome.CANCELED,
    Ending.WORKER_STALLED: Outcome.TIMED_OUT,
    Ending.TOOL_TIMED_OUT: Outcome.FAILED,
    Ending.TOOL_GONE: Outcome.FAILED,
    Ending.TOOL_ERROR: Outcome.FAILED,
    Ending.SERVER_LEFT: Outcome.NOT_SENT,
    Ending.NOT_SENT: Outcome.NOT_SENT,
}

NO_STATE_NOTE = 1  # `AttemptEnded.note` of a FULL outcome where the writer found no state to fetch

# After these outcomes a reader may hold state: the read succeeded, or may have completed just before the
# router saw the attempt end.
MAY_LEAVE_STATE = frozenset(
    {Outcome.READ, Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELED, Outcome.FAILED}
)

# In these cases this router closes the connection: the worker learns of it only when it sees the close.
CLOSED_BY_ROUTER = frozenset({Ending.TIMED_OUT, Ending.CANCELED, Ending.CLIENT_LEFT})
