"""JSON-RPC 2.0, one message a line over TCP, both ways on one connection."""

from __future__ import annotations

import itertools
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Protocol

from .channel import Channel
from .config import Address
from .deadlines import Deadline
from .loop import Loop, Timer

LINE_LIMIT = 512 * 1024  # bytes of one message
OPEN_LIMIT = 64  # requests of the peer's that may be open on one connection
UNSENT_LIMIT = 4 * 1024 * 1024  # bytes that a peer may leave unread
UNFINISHED = 2.2  # s in which a message that has begun must go on to its end


class Code(IntEnum):
    """Every error code that goes over this wire: the standard's, then this project's own."""

    PARSE_ERROR = -32700
    INVALID_REQUEST = -32600
    METHOD_NOT_FOUND = -32601
    INVALID_PARAMS = -32602
    INTERNAL_ERROR = -32603
    REFUSED = -32001  # not served, and trying again is harmless; data.retry_after tells when
    FAILED = -32002  # not served, nothing promised
    TOOL_TIMED_OUT = -32003  # the tool server did not answer in time
    TOOL_GONE = -32004  # no tool server for this tool, or it went away during the call
    TOOL_ERROR = -32005  # the tool server answered with an error
    BROKEN_OFF = -32006  # the stream ended before it was whole; it may be asked for again
    TURNED_AWAY = -32010  # a worker did not begin: full, draining or over
    STATE_GONE = -32011  # a writer had no read state to fetch


class RpcError(Exception):
    def __init__(self, code: int, message: str, data: dict[str, Any] | None = None) -> None:
        super().__init__(message)
        self.code, self.message, self.data = code, message, data

    def as_object(self) -> dict[str, Any]:
        data = {"data": self.data} if self.data else {}
        return {"code": int(self.code), "message": self.message} | data


class ConnectionLost(RpcError):
    """The connection ended with the request unanswered; `sent` = its last byte had been written."""

    def __init__(self, sent: bool, connected: bool, clean: bool) -> None:
        super().__init__(Code.INTERNAL_ERROR, "the connection ended")
        self.sent, self.connected, self.closed_cleanly = sent, connected, clean


class RequestTimedOut(RpcError):
    """The request's deadline passed."""

    def __init__(self) -> None:
        super().__init__(Code.INTERNAL_ERROR, "no reply in time")


Reply = Callable[[Any, RpcError | None], None]
Id = str | int


class PeerHandler(Protocol):
    """What a peer's own messages are handed to."""

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Answer by `peer.result` or `peer.error`, now or later; RpcError raised is the answer."""

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None: ...

    def gone(self, peer: Peer) -> None: ...

    def slow(self, peer: Peer, slow: bool) -> None:
        """The peer takes its messages too slowly, or has caught up."""


SLOW = 65536  # bytes not yet taken


@dataclass(slots=True)
class _Asked:
    reply: Reply
    timer: Deadline | None


def encode_message(message: dict[str, Any]) -> bytes:
    return json.dumps({"jsonrpc": "2.0"} | message, separators=(",", ":")).encode() + b"\n"


class Peer:
    """One end of a connection: asks, is asked, and keeps the two apart."""

    def __init__(self, loop: Loop, handler: PeerHandler) -> None:
        self.loop, self.handler = loop, handler
        self.channel: Channel
        self.is_connected, self._up_within = False, 0.0  # s that a connection of ours may take
        self.address: Address = ("", 0)
        self.idle_since = 0.0
        self.open_requests: set[Id] = set()  # the peer's requests that wait for their answer
        self._asked: dict[Id, _Asked] = {}
        self._ids = itertools.count(1)
        self._rest = b""
        self._slow = False
        self._timer = Timer(loop)  # for the connection to come up, or for a begun message to end

    @classmethod
    def connect(cls, loop: Loop, address: Address, handler: PeerHandler, timeout: float) -> Peer:
        """Begin to connect. Raises OSError."""
        peer = cls(loop, handler)
        peer.address = address
        peer.channel = Channel.connect(loop, address, peer)
        peer._up_within = timeout
        peer._timer.set(timeout, peer._drop)
        return peer

    @classmethod
    def accepted(cls, loop: Loop, sock: socket.socket, handler: PeerHandler) -> Peer:
        """One end of a connection that the other side has opened."""
        peer = cls(loop, handler)
        peer.is_connected, peer.idle_since = True, loop.now
        peer.channel = Channel(loop, sock, peer)
        return peer

    def limit_connect_time(self, within: float) -> None:
        """Give up a connection that is not up in so many s, though it may take longer otherwise."""
        if not self.is_connected and within < self._up_within:
            self._timer.set(within, self._drop)

    def _drop(self) -> None:
        """Close now, and say so to all who wait."""
        self.channel.abort()
        self._end(True)

    @property
    def idle(self) -> bool:
        """Whether the peer has nothing open, and nothing on its way."""
        return not self.open_requests and not self._rest

    @property
    def unread(self) -> bool:
        return self.channel.unread

    @property
    def written(self) -> bool:
        return self.is_connected and self.channel.written

    # ---- asking ----

    def ask(self, method: str, params: dict[str, Any], reply: Reply, timeout: float | None = None) -> Id:
        number = next(self._ids)
        timer = None
        if timeout is not None:
            timer = self.loop.deadlines.set(self.loop.now + timeout, lambda: self._late(number))
        self._asked[number] = _Asked(reply, timer)
        self._send({"id": number, "method": method, "params": params})
        return number

    def notify(self, method: str, params: dict[str, Any]) -> None:
        self._send({"method": method, "params": params})

    def cancel(self, request_id: Id, reason: str) -> None:
        """Give up a request, in the Model Context Protocol's way; a reply that still comes is ignored."""
        if (asked := self._asked.pop(request_id, None)) is not None:
            self.loop.deadlines.cancel(asked.timer)
            self.notify("notifications/cancelled", {"requestId": request_id, "reason": reason})

    def _late(self, request_id: Id) -> None:
        if (asked := self._asked.get(request_id)) is not None:
            self.cancel(request_id, "timed out")
            asked.reply(None, RequestTimedOut())

    # ---- answering ----

    def result(self, request_id: Id, result: Any) -> None:
        self.open_requests.discard(request_id)
        self.idle_since = self.loop.now
        self._send({"id": request_id, "result": result})

    def error(self, request_id: Id | None, error: RpcError) -> None:
        if request_id is not None:
            self.open_requests.discard(request_id)
        self._send({"id": request_id, "error": error.as_object()})

    def _send(self, message: dict[str, Any]) -> None:
        self.channel.send(encode_message(message))
        if self.channel.unsent > UNSENT_LIMIT:
            return self._drop()
        if self.channel.unsent > SLOW and not self._slow:
            self._slow = True
            self.handler.slow(self, True)

    # ---- the channel ----

    def connected(self) -> None:
        self.is_connected = True
        self._timer.cancel()

    def drained(self) -> None:
        if self._slow:
            self._slow = False
            self.handler.slow(self, False)

    def received(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if line.strip() and not self.channel.closed:
                self._line(line)
        if len(self._rest) > LINE_LIMIT:
            return self._cut_off("the message is too long")
        if not self._rest or self.channel.closed:
            return self._timer.cancel()
        if lines or not self._timer.running:
            return self._timer.set(UNFINISHED, lambda: self._cut_off("the message took too long to arrive"))
        return None

    def _cut_off(self, why: str) -> None:
        self.error(None, RpcError(Code.INVALID_REQUEST, why))
        self.close_gracefully()

    def close_gracefully(self) -> None:
        """Write what is left and close; the handler hears that the peer is gone."""
        if not self.channel.closed:
            self.channel.finish()
            self._end(True)

    def close(self) -> None:
        """Close now, whatever is open; the handler hears nothing more."""
        self._asked.clear()
        self._timer.cancel()
        self.channel.abort()

    def lost(self, error: OSError | None) -> None:
        self._end(error is None)

    def _end(self, clean: bool) -> None:
        self._timer.cancel()
        asked, self._asked = self._asked, {}
        for one in asked.values():
            self.loop.deadlines.cancel(one.timer)
            one.reply(None, ConnectionLost(self.written, self.is_connected, clean))
        self.handler.gone(self)

    def _line(self, line: bytes) -> None:
        try:
            message = json.loads(line) if len(line) <= LINE_LIMIT else None
        except (ValueError, RecursionError):
            return self.error(None, RpcError(Code.PARSE_ERROR, "not JSON"))
        if not isinstance(message, dict) or message.get("jsonrpc") != "2.0":
            return self.error(None, RpcError(Code.INVALID_REQUEST, "expected one JSON-RPC 2.0 object"))
        if "method" in message:
            return self._asked_for(message)
        return self._answered(message)

    def _asked_for(self, message: dict[str, Any]) -> None:
        request_id, method, params = message.get("id"), message["method"], message.get("params", {})
        if not isinstance(method, str) or isinstance(request_id, bool):
            return self.error(None, RpcError(Code.INVALID_REQUEST, "method must be text"))
        if "id" not in message:
            if isinstance(params, dict):
                self.handler.notification(self, method, params)
            return None
        if not isinstance(request_id, str | int):
            return self.error(None, RpcError(Code.INVALID_REQUEST, "id must be text or a whole number"))
        if request_id in self.open_requests:
            # Answering under this id would end the request that is open under it.
            return self.error(None, RpcError(Code.INVALID_REQUEST, f"id {request_id!r} is in use"))
        try:
            if not isinstance(params, dict):
                raise RpcError(Code.INVALID_PARAMS, "params must be an object")
            if len(self.open_requests) >= OPEN_LIMIT:
                raise RpcError(Code.REFUSED, "too many requests open on this connection")
            self.open_requests.add(request_id)
            self.handler.request(self, request_id, method, params)
        except RpcError as error:
            self.error(request_id, error)
        return None

    def _answered(self, message: dict[str, Any]) -> None:
        number = message.get("id")
        asked = self._asked.pop(number, None) if isinstance(number, str | int) else None
        if asked is None:
            return self.loop.log("reply nobody waits for", f"id {number!r}, late or a duplicate")
        self.loop.deadlines.cancel(asked.timer)
        error = message.get("error")
        if error is None and "result" in message:
            return asked.reply(message["result"], None)
        if not isinstance(error, dict) or not isinstance(error.get("code"), int):
            error = {"code": Code.INTERNAL_ERROR, "message": "neither a result nor an error"}
        data = error.get("data") if isinstance(error.get("data"), dict) else None
        return asked.reply(None, RpcError(error["code"], str(error.get("message", "")), data))
