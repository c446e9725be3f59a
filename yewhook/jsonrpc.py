"""JSON-RPC 2.0 over TCP, one message per line. Either end of a connection may send requests."""

from __future__ import annotations

import itertools
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Protocol

from .block_buffer import BlockBuffer
from .channel import Channel
from .config import Address
from .deadlines import Deadline
from .loop import Loop, Timer
from .memory_budget import ELEMENT_BYTES, ShedOrder, data_cost

MAX_MESSAGE_BYTES = 512 * 1024
MAX_ELEMENTS = 16_384  # of a message's objects and lists: each takes far more memory than its bytes
ELEMENT_MARKS = (b",", b":", b"{", b"[")  # one of them precedes each element; those within texts count too
MAX_ID_LENGTH = 256  # characters of a request's id, which is repeated in its response
MAX_OPEN_REQUESTS = 64  # requests of the peer that may await their response on one connection
MAX_UNSENT_BYTES = 4 * 1024 * 1024  # beyond this the connection is closed
# Time for a message to arrive completely, from its first byte. On connections that were opened here, to
# servers that may write slowly, it runs from the last byte.
PARTIAL_TIMEOUT_S = 2.2
PAUSED_TIMEOUT_S = (
    10.0  # the same for accepted connections that are not read, since the other end reads slowly
)


class Code(IntEnum):
    """The JSON-RPC error codes in use: those of the standard, then those of this project."""

    PARSE_ERROR = -32700
    INVALID_REQUEST = -32600
    METHOD_NOT_FOUND = -32601
    INVALID_PARAMS = -32602
    INTERNAL_ERROR = -32603
    REFUSED = -32001  # not served, safe to retry; data.retry_after (seconds) says when
    FAILED = -32002  # not served, but it may have run, so a retry may run it twice
    TOOL_TIMED_OUT = -32003  # the tool server did not answer in time
    TOOL_GONE = -32004  # no server offers this tool, or its connection was lost during the call
    TOOL_ERROR = -32005  # the tool server answered with an error
    STREAM_ABORTED = -32006  # the stream ended early; the request may be repeated
    TURNED_AWAY = -32010  # a worker did not start the request: full, draining or stopping
    STATE_GONE = -32011  # a writer found no held state to fetch


class RpcError(Exception):
    """An error response; `code` is usually a `Code`, but a peer may send any integer."""

    def __init__(self, code: int, message: str, data: dict[str, Any] | None = None) -> None:
        super().__init__(message)
        self.code, self.message, self.data = code, message, data

    def as_object(self) -> dict[str, Any]:
        """The error member of a JSON-RPC response."""
        data = {"data": self.data} if self.data else {}
        return {"code": int(self.code), "message": self.message} | data


class ConnectionLost(RpcError):
    """The connection ended before the response arrived.

    `sent`: the last byte of the request had been written. `connected`: the connection had been established.
    `closed_cleanly`: it ended without a socket error.
    """

    def __init__(self, sent: bool, connected: bool, closed_cleanly: bool) -> None:
        super().__init__(Code.INTERNAL_ERROR, "the connection ended")
        self.sent, self.connected, self.closed_cleanly = sent, connected, closed_cleanly


class RequestTimedOut(RpcError):
    """No response arrived before the request's deadline."""

    def __init__(self) -> None:
        super().__init__(Code.INTERNAL_ERROR, "no reply in time")


Params = dict[str, Any]
Reply = Callable[[Any, RpcError | None], None]
Id = str | int


class PeerHandler(Protocol):
    """Receives the requests, notifications and state changes of a peer."""

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Respond by `peer.result` or `peer.error`, now or later; a raised RpcError is the response."""

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Handle a message that expects no response."""

    def gone(self, peer: Peer) -> None:
        """The connection has ended."""

    def slow(self, peer: Peer, slow: bool) -> None:
        """The send buffer exceeds SLOW_PEER_BYTES (`slow` true), or has been flushed (false)."""


# Unsent bytes beyond which a peer is reported as slow; the lesser where memory is scarce
SLOW_PEER_BYTES, SCARCE_SLOW_PEER_BYTES = 65536, 8192


@dataclass(slots=True)
class _PendingRequest:
    compose: Callable[[], bytes]
    reply: Reply
    timer: Deadline | None
    end: int | None = None  # its end among the bytes that are sent on the connection; None = not sent yet


def element_count(line: bytes) -> int:
    """An upper bound of the elements of a message, found without parsing it."""
    return sum(line.count(mark) for mark in ELEMENT_MARKS)


def encode_message(message: dict[str, Any]) -> bytes:
    """A JSON-RPC message as one line of JSON."""
    return json.dumps({"jsonrpc": "2.0"} | message, separators=(",", ":")).encode() + b"\n"


class Peer:
    """One end of a connection. Sends requests to the other end and dispatches those that it receives.

    The ids of the two directions are independent of each other.
    """

    def __init__(self, loop: Loop, handler: PeerHandler) -> None:
        self.loop, self.handler = loop, handler
        self.channel: Channel
        self.is_connected, self._connect_timeout = False, 0.0  # seconds; outgoing connections only
        self._is_outgoing = False
        self.address: Address = ("", 0)
        self.idle_since = 0.0
        self.open_requests: set[Id] = set()  # ids of the peer's requests that await a response
        self._pending: dict[Id, _PendingRequest] = {}
        self._ids = itertools.count(1)
        self._buffer = BlockBuffer()
        self.progressed_at = loop.now
        self.message_cost = 0  # bytes of memory that the message being handled takes
        self._slow = False
        self._message_began_at = loop.now  # the time from which a partial message is late
        self._skips_line = False  # what arrives is dropped up to the next end of a line
        self._is_draining = False  # it is closed once nothing is open on it; new requests are refused
        self._timer = Timer(loop)  # limits the connection setup, then the arrival of a partial message

    @classmethod
    def connect(cls, loop: Loop, address: Address, handler: PeerHandler, timeout: float) -> Peer:
        """Start connecting; `timeout` in seconds. Raises OSError."""
        peer = cls(loop, handler)
        peer.address, peer._is_outgoing = address, True
        peer.channel = Channel.connect(loop, address, peer)
        peer._connect_timeout = timeout
        peer._timer.set(timeout, peer._abort)
        return peer

    @classmethod
    def accepted(cls, loop: Loop, sock: socket.socket, handler: PeerHandler) -> Peer:
        """A peer on an accepted connection."""
        peer = cls(loop, handler)
        peer.is_connected, peer.idle_since = True, loop.now
        peer.channel = Channel(loop, sock, peer)
        return peer

    def limit_connect_time(self, timeout: float) -> None:
        """Shorten the time for the connection to be established to `timeout` seconds from now."""
        if not self.is_connected and timeout < self._connect_timeout:
            self._timer.set(timeout, self._abort)

    def _abort(self) -> None:
        """Close at once; all pending requests fail with ConnectionLost."""
        self.channel.abort()
        self._connection_ended(True)

    @property
    def idle(self) -> bool:
        """Whether the peer has no open request and no partial message has arrived."""
        return not self.open_requests and not self._buffer

    @property
    def unread(self) -> bool:
        """Whether received data waits in the socket."""
        return self.channel.unread

    def has_written(self, request_id: Id) -> bool:
        """Whether the last byte of an open request has been written; what follows it may still be unsent."""
        pending = self._pending.get(request_id)
        return pending is not None and self._is_written(pending)

    def _is_written(self, pending: _PendingRequest) -> bool:
        return pending.end is not None and self.channel.sent_bytes >= pending.end

    # ---- outgoing requests ----

    def ask(
        self, method: str, params: Params | Callable[[], Params], reply: Reply, timeout: float | None = None
    ) -> Id:
        """Send a request, as soon as the connection is established, and return its id.

        `params` may be a function that is called when the request is sent. `reply` is called once, with the
        result or the error, unless the request is cancelled or the peer is closed first. `timeout` in
        seconds; None = no limit.
        """
        request_id = next(self._ids)
        timer = None
        if timeout is not None:
            timer = self.loop.deadlines.set(
                self.loop.now + timeout, lambda: self._request_timed_out(request_id)
            )

        def compose() -> bytes:
            content = params() if callable(params) else params
            return encode_message({"id": request_id, "method": method, "params": content})

        pending = self._pending[request_id] = _PendingRequest(compose, reply, timer)
        if self.is_connected:
            self._send_request(pending)
        return request_id

    def _send_request(self, pending: _PendingRequest) -> None:
        data = pending.compose()
        pending.end = self.channel.sent_bytes + self.channel.unsent + len(data)
        self._send(data)

    def notify(self, method: str, params: dict[str, Any]) -> None:
        """Send a message that expects no response."""
        self._send(encode_message({"method": method, "params": params}))

    def cancel(self, request_id: Id, reason: str) -> None:
        """Cancel a request as the Model Context Protocol does; a late response is ignored."""
        if (pending := self._pending.pop(request_id, None)) is None:
            return
        self.loop.deadlines.cancel(pending.timer)
        if pending.end is not None:
            self.notify("notifications/cancelled", {"requestId": request_id, "reason": reason})

    def _request_timed_out(self, request_id: Id) -> None:
        if (pending := self._pending.get(request_id)) is not None:
            self.cancel(request_id, "timed out")
            pending.reply(None, RequestTimedOut())
            self._close_if_drained()

    # ---- responses to incoming requests ----

    def result(self, request_id: Id, result: Any) -> None:
        """Respond to a request with its result."""
        self.idle_since = self.loop.now
        self._send(encode_message({"id": request_id, "result": result}))
        self.forget_request(request_id)

    def error(self, request_id: Id | None, error: RpcError) -> None:
        """Respond with an error; the id is None where the id of the request is unknown."""
        self._send(encode_message({"id": request_id, "error": error.as_object()}))
        if request_id is not None:
            self.forget_request(request_id)

    def forget_request(self, request_id: Id) -> None:
        """A request of the peer is over: it has its response, or needs none since it was cancelled."""
        self.open_requests.discard(request_id)
        self._close_if_drained()

    def _send(self, data: bytes) -> None:
        self.channel.send(data)
        if self.channel.unsent > MAX_UNSENT_BYTES:
            return self._abort()
        most = self.loop.memory.allowance(SLOW_PEER_BYTES, SCARCE_SLOW_PEER_BYTES)
        if self.channel.unsent > most and not self._slow:
            self._slow = True
            self.handler.slow(self, True)
            if not self._is_outgoing:  # it may send requests, whose responses would be unsent too
                self.channel.pause(True)

    # ---- channel events ----

    def connected(self) -> None:
        """The connection is established; send the requests that wait for it."""
        self.is_connected = True
        self._timer.cancel()
        for pending in list(self._pending.values()):
            self._send_request(pending)

    def drained(self) -> None:
        """The send buffer has been flushed."""
        if self._slow:
            self._slow = False
            self.handler.slow(self, False)
            if not self._is_outgoing:
                self.channel.pause(False)

    def received(self, data: bytes) -> None:
        """Handle the complete lines and keep the rest for the next read."""
        self.progressed_at = self.loop.now
        if self._skips_line:
            _, end_of_line, data = data.partition(b"\n")
            if not end_of_line:
                return None
            self._skips_line = False
        lines = self._complete_lines(data)
        for line in lines:
            if line.strip() and not self.channel.closed:
                self._handle_message(line)
        if self.channel.closed:
            return self._timer.cancel()
        self.loop.memory.hold(self, data_cost(len(self._buffer)))
        if len(self._buffer) > MAX_MESSAGE_BYTES:
            return self._reject("the message is too long")
        if not self._buffer or self.channel.closed:
            return self._timer.cancel()
        if lines or self._is_outgoing or not self._timer.running:
            self._message_began_at = self.loop.now
            return self._timer.set(PARTIAL_TIMEOUT_S, self._message_timed_out)
        return None

    def _message_timed_out(self) -> None:
        """Reject the message that is arriving; while reading is paused, its rest may be here, so later."""
        has_paused_too_long = self.loop.now - self._message_began_at >= PAUSED_TIMEOUT_S
        if self.channel.paused and (self._is_outgoing or not has_paused_too_long):
            return self._timer.set(PARTIAL_TIMEOUT_S, self._message_timed_out)
        return self._reject("the message took too long to arrive")

    def _complete_lines(self, data: bytes) -> list[bytes]:
        """Buffer received bytes; returns the lines that are complete now."""
        *lines, rest = data.split(b"\n")
        if lines:
            self._buffer.append(lines[0])
            lines[0] = self._buffer.joined()
            self._buffer.clear()
        self._buffer.append(rest)
        return lines

    @property
    def shed_order(self) -> ShedOrder:
        """Requests that are not whole may be refused; answers arrive on connections that were opened here."""
        return ShedOrder.NEVER if self._is_outgoing else ShedOrder.FIRST

    def shed(self) -> None:
        """Refuse a message that has not arrived whole, since memory is short."""
        self._reject("too large for the memory that is left")

    def _reject(self, reason: str) -> None:
        """Refuse a message that does not arrive whole, drop the rest of its line, and drain the connection.

        On connections that were opened here the message is a part of the one exchange, which fails with it.
        """
        size, open_count = len(self._buffer), len(self.open_requests)
        self.loop.log(
            "message refused", f"{reason}: {size} bytes; {open_count} requests are open on {self.channel}"
        )
        self._timer.cancel()
        self._buffer.clear()
        self.loop.memory.hold(self, 0)
        self.error(None, RpcError(Code.INVALID_REQUEST, reason))
        if self._is_outgoing:
            return self.close_gracefully()
        self._skips_line = self._is_draining = True
        return self._close_if_drained()

    def _close_if_drained(self) -> None:
        """Close a draining connection on which neither end waits for a response."""
        if self._is_draining and not self.open_requests and not self._pending:
            self.loop.after(0.0, self._close_drained)

    def _close_drained(self) -> None:
        """Answer what has arrived by now, and close unless this end waits for a response again."""
        self.channel.catch_up()
        if not self._pending:
            self.close_gracefully()

    def close_gracefully(self) -> None:
        """Flush the send buffer and close; the handler is told that the peer is gone.

        If a request is not written completely, the connection is closed at once: the request fails as unsent,
        so the rest of it must not be flushed.
        """
        if not self.channel.is_open:
            return
        if all(self._is_written(pending) for pending in self._pending.values()):
            self.channel.finish()
        else:
            self.channel.abort()
        self._connection_ended(True)

    def close(self) -> None:
        """Close at once and drop pending requests; neither their callbacks nor the handler are called."""
        self._pending.clear()
        self._timer.cancel()
        self.loop.memory.hold(self, 0)
        self.channel.abort()

    def lost(self, error: OSError | None) -> None:
        """The channel has failed, or the other end has closed it (`error` is None)."""
        self._connection_ended(error is None)

    def _connection_ended(self, closed_cleanly: bool) -> None:
        self._timer.cancel()
        self.loop.memory.hold(self, 0)
        self._buffer.clear()
        pending, self._pending = self._pending, {}
        for request in pending.values():
            self.loop.deadlines.cancel(request.timer)
            sent = self._is_written(request)
            request.reply(None, ConnectionLost(sent, self.is_connected, closed_cleanly))
        self.handler.gone(self)

    def _handle_message(self, line: bytes) -> None:
        elements = element_count(line)
        if elements > MAX_ELEMENTS:
            return self.error(None, RpcError(Code.INVALID_REQUEST, "too many elements in one message"))
        self.message_cost = data_cost(len(line)) + ELEMENT_BYTES * elements
        try:
            message = json.loads(line) if len(line) <= MAX_MESSAGE_BYTES else None
        except (ValueError, RecursionError):
            return self.error(None, RpcError(Code.PARSE_ERROR, "not JSON"))
        if not isinstance(message, dict) or message.get("jsonrpc") != "2.0":
            return self.error(None, RpcError(Code.INVALID_REQUEST, "expected one JSON-RPC 2.0 object"))
        if "method" in message:
            return self._handle_call(message)
        return self._handle_response(message)

    def _handle_call(self, message: dict[str, Any]) -> None:
        request_id, method, params = message.get("id"), message["method"], message.get("params", {})
        if not isinstance(method, str) or isinstance(request_id, bool):
            return self.error(None, RpcError(Code.INVALID_REQUEST, "method must be text"))
        if "id" not in message:
            if isinstance(params, dict):
                self.handler.notification(self, method, params)
            return None
        if not isinstance(request_id, str | int):
            return self.error(None, RpcError(Code.INVALID_REQUEST, "id must be text or a whole number"))
        if len(str(request_id)) > MAX_ID_LENGTH:
            return self.error(None, RpcError(Code.INVALID_REQUEST, "id is too long"))
        if request_id in self.open_requests:
            # A response with this id would be taken as that of the request which is already open.
            return self.error(None, RpcError(Code.INVALID_REQUEST, f"id {request_id!r} is in use"))
        try:
            if not isinstance(params, dict):
                raise RpcError(Code.INVALID_PARAMS, "params must be an object")
            if self._is_draining:
                raise RpcError(Code.REFUSED, "the connection is being closed; trying again is harmless")
            if len(self.open_requests) >= MAX_OPEN_REQUESTS:
                raise RpcError(Code.REFUSED, "too many requests open on this connection")
            self.open_requests.add(request_id)
            self.handler.request(self, request_id, method, params)
        except RpcError as error:
            self.error(request_id, error)
        return None

    def _handle_response(self, message: dict[str, Any]) -> None:
        request_id = message.get("id")
        pending = self._pending.pop(request_id, None) if isinstance(request_id, str | int) else None
        if pending is None:
            return self.loop.log("reply nobody waits for", f"id {request_id!r}, late or a duplicate")
        self.loop.deadlines.cancel(pending.timer)
        self._close_if_drained()
        error = message.get("error")
        if error is None and "result" in message:
            return pending.reply(message["result"], None)
        if not isinstance(error, dict) or not isinstance(error.get("code"), int):
            error = {"code": Code.INTERNAL_ERROR, "message": "neither a result nor an error"}
        data = error.get("data") if isinstance(error.get("data"), dict) else None
        return pending.reply(None, RpcError(error["code"], str(error.get("message", "")), data))
