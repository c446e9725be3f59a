"""Mapping between the endings of attempts and JSON-RPC error codes, in both directions."""

from __future__ import annotations

from ..core.ending import Ending
from ..jsonrpc import Code, ConnectionLost, RequestTimedOut, RpcError

CODE_BY_ENDING: dict[Ending, Code] = {
    Ending.TOOL_TIMED_OUT: Code.TOOL_TIMED_OUT,
    Ending.TOOL_GONE: Code.TOOL_GONE,
    Ending.TOOL_ERROR: Code.TOOL_ERROR,
    Ending.ERROR: Code.FAILED,
    Ending.GARBLED: Code.FAILED,
}  # any other ending is STREAM_ABORTED during a stream and FAILED before it
ENDING_BY_CODE: dict[int, Ending] = {
    Code.TURNED_AWAY: Ending.TURNED_AWAY,
    Code.REFUSED: Ending.TURNED_AWAY,
    Code.STATE_GONE: Ending.STATE_GONE,
    Code.TOOL_TIMED_OUT: Ending.TOOL_TIMED_OUT,
    Code.TOOL_GONE: Ending.TOOL_GONE,
    Code.TOOL_ERROR: Ending.TOOL_ERROR,
}  # any other code is Ending.ERROR


def ending_of_error(error: RpcError) -> Ending:
    """The ending of an attempt whose request to the worker failed."""
    if isinstance(error, ConnectionLost):
        if not error.connected:
            return Ending.CONNECT_SILENT if error.closed_cleanly else Ending.CONNECT_REFUSED
        if not error.sent:
            return Ending.BROKEN_UNSENT
        return Ending.CLOSED if error.closed_cleanly else Ending.BROKEN
    return ENDING_BY_CODE.get(error.code, Ending.ERROR)


def tool_call_error(error: RpcError, tool: str) -> RpcError:
    """The error of a failed tool call, as reported to the worker and its client."""
    if isinstance(error, RequestTimedOut):
        return RpcError(Code.TOOL_TIMED_OUT, f"tool {tool!r} did not answer in time")
    if isinstance(error, ConnectionLost):
        return RpcError(Code.TOOL_GONE, f"the server of tool {tool!r} went away during the call")
    data = {"code": error.code, "message": error.message}
    return RpcError(Code.TOOL_ERROR, f"tool {tool!r} failed: {error.message}", data)
