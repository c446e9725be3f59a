"""Client connections: JSON-RPC requests, several at a time per connection, each answered once."""

from __future__ import annotations

import secrets
import socket
from typing import Any

from hopshed.hashing import bounded_key
from hopshed.interface import RequestArrived

from ..arrival_time import ArrivalTime
from ..config import Names
from ..core.ending import Ending
from ..core.router import Router
from ..front import ClientConnections
from ..jsonrpc import Code, Id, Peer, RpcError
from ..loop import Loop
from ..memory_budget import REQUEST_BYTES
from ..slow_reader import SlowReader
from .endings import CODE_BY_ENDING
from .workers import StreamNotification

SMALL_REQUEST_BYTES = 16384  # requests that cost more are refused where memory is short, and further ones
IDLE_TIMEOUT_S = 60.0  # a connection without an open request is closed after this


def _parse_number(params: dict[str, Any], name: str, minimum: float = 0.0) -> float:
    value = params.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < 1e12:
        raise RpcError(Code.INVALID_PARAMS, f"{name} must be a number, {minimum:g} or more")
    return float(value)


def _parse_text(params: dict[str, Any], name: str, default: str | None = None) -> str:
    value = params.get(name, default)
    if not isinstance(value, str) or not value:
        raise RpcError(Code.INVALID_PARAMS, f"{name} must be a text")
    return value


def _parse_name(names: tuple[str, ...], params: dict[str, Any], name: str) -> int:
    value = _parse_text(params, name)
    if value not in names:
        raise RpcError(Code.INVALID_PARAMS, f"{name}: unknown name {value!r}")
    return names.index(value)


def parse_request(params: dict[str, Any], names: Names, request_id: str, waited_s: float) -> RequestArrived:
    """Parse the parameters of `chat/completions`. Raises RpcError (INVALID_PARAMS).

    `waited_s` is an upper bound of the time that the request has waited to be read; the client's patience is
    reduced by it.
    """
    return RequestArrived(
        id=request_id,
        cls=_parse_name(names.classes, params, "class"),
        tenant=_parse_name(names.tenants, params, "tenant") if names.tenants else 0,
        session=bounded_key(_parse_text(params, "session", request_id)),
        patience=max(0.0, _parse_number(params, "patienceMs", 1.0) / 1000.0 - waited_s),
        prompt_tokens=_parse_number(params, "promptTokens"),
        prefix=bounded_key(_parse_text(params, "prefix")) if params.get("prefix") else None,
        prefix_tokens=_parse_number(params, "prefixTokens"),
        max_tokens=_parse_number(params, "maxTokens"),
        resumed=params.get("resumed") is True,
        repeat=params.get("repeat") is True,
    )


class ClientRequest:
    """One open request of a client; implements `Client` of core/ports.py."""

    def __init__(self, connection: ClientConnection, rpc_id: Id, request_id: str, cost: int) -> None:
        """`rpc_id` identifies the request on its connection, `request_id` in this router.

        `cost` is the memory that it takes, in bytes.
        """
        self.connection, self.rpc_id, self.id, self.cost = connection, rpc_id, request_id, cost
        connection.front.loop.memory.charge(cost)

    @property
    def disconnected(self) -> bool:
        """Whether the client is known to have closed its connection."""
        return self.connection.peer.channel.ended

    def send_event(self, event: object) -> None:
        """Forward a `StreamNotification` to the client."""
        assert isinstance(event, StreamNotification)
        self.connection.peer.notify(event.method, {"requestId": self.rpc_id} | event.params)

    def finish(self) -> None:
        """Respond with success after a complete stream."""
        self.connection.remove_request(self)
        self.connection.peer.result(self.rpc_id, {"status": "served"})

    def abort_stream(self, ending: Ending) -> None:
        """Respond with an error after an incomplete stream."""
        self._error(
            CODE_BY_ENDING.get(ending, Code.STREAM_ABORTED), f"the stream ended: {ending.name.lower()}"
        )

    def refuse(self, retry_after: float) -> None:
        """Respond that the request may be retried, after `retry_after` seconds if above 0."""
        data = {"retry_after": round(retry_after, 3)} if retry_after > 0 else None
        self._error(Code.REFUSED, "not served; trying again is harmless", data)

    def fail(self, ending: Ending | None) -> None:
        """Respond that the request failed before its stream began."""
        code = CODE_BY_ENDING.get(ending, Code.FAILED) if ending else Code.FAILED
        self._error(code, f"failed: {ending.name.lower() if ending else 'not served'}")

    def _error(self, code: Code, message: str, data: dict[str, Any] | None = None) -> None:
        self.connection.remove_request(self)
        self.connection.peer.error(self.rpc_id, RpcError(code, message, data))


class ClientConnection:
    """One client's connection and its open requests."""

    def __init__(self, front: ClientFront, sock: socket.socket) -> None:
        self.front = front
        self.requests: dict[Id, ClientRequest] = {}
        self._unread_since = ArrivalTime(front.loop, front.waiting_since())
        self.peer = Peer.accepted(front.loop, sock, self)
        self.slow_reader = SlowReader(front.loop, lambda: self.peer.channel.unsent, self._stalled)

    @property
    def idle(self) -> bool:
        """Whether no request is open and no part of one has arrived."""
        return not self.requests and self.peer.idle

    @property
    def idle_since(self) -> float:
        """When the last request ended, or the connection was accepted (loop clock)."""
        return self.peer.idle_since

    @property
    def unread(self) -> bool:
        """Whether received data waits in the socket."""
        return self.peer.unread

    def close_gracefully(self) -> None:
        """Flush the send buffer and close."""
        self.peer.close_gracefully()

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Handle `ping` and `chat/completions`. Raises RpcError."""
        if method == "ping":
            return peer.result(request_id, {})
        if method != "chat/completions":
            raise RpcError(Code.METHOD_NOT_FOUND, f"unknown method {method!r}")
        if self.front.ending:
            raise RpcError(Code.REFUSED, "ending; trying again is harmless")
        waited_s = self.front.loop.now - self._unread_since.earliest
        arrived = parse_request(params, self.front.names, secrets.token_hex(8), waited_s)
        cost = REQUEST_BYTES + peer.message_cost
        if not self._has_memory(cost):
            raise RpcError(Code.REFUSED, "no memory is left for it; trying again is harmless")
        request = self.requests[request_id] = ClientRequest(self, request_id, arrived.id, cost)
        self.front.router.accept(arrived, request, params)
        return None

    def _has_memory(self, cost: int) -> bool:
        """Whether a request of this size may be kept; a small one always may where no other one is open."""
        if (cost <= SMALL_REQUEST_BYTES and not self.requests) or self.front.loop.memory.fits(cost):
            return True
        self.front.loop.relieve_memory()
        return self.front.loop.memory.fits(cost)

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Handle a cancellation: as in the Model Context Protocol, the request gets no response."""
        rpc_id = params.get("requestId")
        if method == "notifications/cancelled" and isinstance(rpc_id, str | int):
            request = self.requests.get(rpc_id)
            if request is not None:
                self.remove_request(request)
                peer.forget_request(rpc_id)
                self.front.router.client_left(request.id)

    def remove_request(self, request: ClientRequest) -> None:
        """Remove a request that has ended; the connection may be closed if it was the last one."""
        if self.requests.pop(request.rpc_id, None) is not None:
            self.front.loop.memory.charge(-request.cost)
        self.peer.idle_since = self.front.loop.now
        if self.front.mode.close_idle and not self.requests:
            self.front.loop.after(0.0, self._close_if_idle)

    def _close_if_idle(self) -> None:
        """Close unless another message is arriving, which is owed an answer; the front looks again later."""
        if self.idle and not self.unread:
            self.close_gracefully()

    def slow(self, peer: Peer, slow: bool) -> None:
        """Pause or resume the streams of a client that reads too slowly; close it if that lasts."""
        for request in list(self.requests.values()):
            self.front.router.client_slow(request.id, slow)
        if slow:
            self.slow_reader.start()
        else:
            self.slow_reader.stop()

    def _stalled(self) -> None:
        """Close the connection of a client that has stopped reading, because its streams occupy workers."""
        self.front.loop.log("client stalled", f"{len(self.requests)} requests")
        self.peer.close()
        self._end_requests(Ending.CLIENT_STALLED)

    def gone(self, peer: Peer) -> None:
        """The connection has ended."""
        if self.requests:
            self.front.loop.log("client left", f"{len(self.requests)} requests were open on its connection")
        self._end_requests(Ending.CLIENT_LEFT)

    def _end_requests(self, ending: Ending) -> None:
        self.slow_reader.stop()
        self.front.connections.discard(self)
        requests, self.requests = self.requests, {}
        for request in requests.values():
            self.front.loop.memory.charge(-request.cost)
            self.front.router.client_left(request.id, ending)


class ClientFront(ClientConnections[ClientConnection]):
    """The client connections of the tool-calls front."""

    def __init__(self, loop: Loop, router: Router, names: Names) -> None:
        super().__init__(loop, IDLE_TIMEOUT_S)
        self.router, self.names = router, names

    def accepted(self, sock: socket.socket) -> None:
        """Handle a connection that has been accepted."""
        self.connections.add(ClientConnection(self, sock))
