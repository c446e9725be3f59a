"""How endings are told on this wire, and the other way round: the one table of both directions."""

from __future__ import annotations

from ..core.ending import Ending
from ..jsonrpc import Code, ConnectionLost, RequestTimedOut, RpcError

TO_CLIENT: dict[Ending, Code] = {
    Ending.TOOL_TIMED_OUT: Code.TOOL_TIMED_OUT,
    Ending.TOOL_GONE: Code.TOOL_GONE,
    Ending.TOOL_ERROR: Code.TOOL_ERROR,
    Ending.ERROR: Code.FAILED,
    Ending.GARBLED: Code.FAILED,
}  # a stream that ended in any other way is BROKEN_OFF
FROM_WORKER: dict[int, Ending] = {
    Code.TURNED_AWAY: Ending.TURNED_AWAY,
    Code.REFUSED: Ending.TURNED_AWAY,
    Code.STATE_GONE: Ending.STATE_GONE,
    Code.TOOL_TIMED_OUT: Ending.TOOL_TIMED_OUT,
    Code.TOOL_GONE: Ending.TOOL_GONE,
    Code.TOOL_ERROR: Ending.TOOL_ERROR,
}  # any other code is an ERROR


def of_worker(error: RpcError) -> Ending:
    """How an attempt ended whose worker did not answer with a result."""
    if isinstance(error, ConnectionLost):
        if not error.connected:
            return Ending.CONNECT_SILENT if error.closed_cleanly else Ending.CONNECT_REFUSED
        if not error.sent:
            return Ending.BROKEN_UNSENT
        return Ending.CLOSED if error.closed_cleanly else Ending.BROKEN
    return FROM_WORKER.get(error.code, Ending.ERROR)


def of_tool(error: RpcError, name: str) -> RpcError:
    """What a worker and its client are told of a tool call that failed."""
    if isinstance(error, RequestTimedOut):
        return RpcError(Code.TOOL_TIMED_OUT, f"tool {name!r} did not answer in time")
    if isinstance(error, ConnectionLost):
        return RpcError(Code.TOOL_GONE, f"the server of tool {name!r} went away during the call")
    data = {"code": error.code, "message": error.message}
    return RpcError(Code.TOOL_ERROR, f"tool {name!r} failed: {error.message}", data)
