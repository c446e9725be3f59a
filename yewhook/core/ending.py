"""Every way in which an attempt's connection can end, and the one map from there to the module's outcomes."""

from __future__ import annotations

from enum import Enum, auto

from hopshed.interface import Outcome


class Ending(Enum):
    SERVED = auto()  # a whole stream, to its last chunk
    READ = auto()  # a reader has read the prompt and keeps its state
    ERROR = auto()  # the worker answered that it failed
    GARBLED = auto()  # what came back is not an answer of the protocol
    TURNED_AWAY = auto()  # refused by the worker before it began: full, draining or over
    STATE_GONE = auto()  # turned away because there is no read state to fetch
    CONNECT_REFUSED = auto()  # no connection: refused, reset or no route
    CONNECT_SILENT = auto()  # no connection in time
    NO_SOCKET = auto()  # no connection: this router holds as many sockets as it may
    BROKEN_UNSENT = auto()  # the connection broke before the request's last byte was written
    UNSENT_IN_TIME = auto()  # the attempt's time ran out before the last byte was written
    BROKEN = auto()  # reset after the last byte was written
    CLOSED = auto()  # ended in good order, but before the answer did
    TIMED_OUT = auto()  # no answer within the attempt's time
    CANCELED = auto()  # withdrawn by the module
    CLIENT_LEFT = auto()  # withdrawn because the client went away
    MOVED = auto()  # a running stream ended so that its client goes on elsewhere
    CLIENT_STALLED = auto()  # a running stream ended because its client does not read
    WORKER_STALLED = auto()  # a running stream stood still for too long
    TOOL_TIMED_OUT = auto()  # the worker gave up because a tool did not answer in time
    TOOL_GONE = auto()  # the worker gave up because there is no server for a tool, or it went away
    TOOL_ERROR = auto()  # the worker gave up because a tool answered with an error
    SERVER_LEFT = auto()  # withdrawn before it was on its way: its server was told to drain, or is gone
    NOT_SENT = auto()  # withheld by the core: a rule forbids it, or the request is over


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

NO_STATE_NOTE = 1  # the note by which the module knows that a full writer had no state to fetch

# After these a reader may hold a state: it kept one, or the end of its read crossed ours.
MAY_HOLD = frozenset({Outcome.READ, Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELED, Outcome.FAILED})

# These are our own doing: the worker learns of them when it sees the connection close.
GIVEN_UP = frozenset({Ending.TIMED_OUT, Ending.CANCELED, Ending.CLIENT_LEFT})
