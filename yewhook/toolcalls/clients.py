"""The clients' side: requests by JSON-RPC, several at once on a connection, each with its one answer."""

from __future__ import annotations

import secrets
import socket
from typing import Any

from hopshed.interface import RequestArrived

from ..arrival_time import ArrivalTime
from ..config import Names
from ..core.ending import Ending
from ..core.router import Router
from ..front import ClientConnections
from ..jsonrpc import Code, Id, Peer, RpcError
from ..loop import Loop
from ..slow_reader import SlowReader
from .endings import TO_CLIENT
from .workers import Shown

IDLE_MOST = 60.0  # s for which a connection is kept on which nothing is asked


def _number(params: dict[str, Any], name: str, least: float = 0.0) -> float:
    value = params.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 1e12:
        raise RpcError(Code.INVALID_PARAMS, f"{name} must be a number, {least:g} or more")
    return float(value)


def _text(params: dict[str, Any], name: str, default: str | None = None) -> str:
    value = params.get(name, default)
    if not isinstance(value, str) or not value:
        raise RpcError(Code.INVALID_PARAMS, f"{name} must be a text")
    return value


def _place(names: tuple[str, ...], params: dict[str, Any], name: str) -> int:
    value = _text(params, name)
    if value not in names:
        raise RpcError(Code.INVALID_PARAMS, f"{name}: unknown name {value!r}")
    return names.index(value)


def understand(params: dict[str, Any], names: Names, request_id: str, waited: float) -> RequestArrived:
    """The module's view of a request that has waited so many s, at the longest, to be read."""
    return RequestArrived(
        id=request_id,
        cls=_place(names.classes, params, "class"),
        tenant=_place(names.tenants, params, "tenant") if names.tenants else 0,
        session=_text(params, "session", request_id),
        patience=max(0.0, _number(params, "patienceMs", 1.0) / 1000.0 - waited),
        prompt_tokens=_number(params, "promptTokens"),
        prefix=_text(params, "prefix") if params.get("prefix") else None,
        prefix_tokens=_number(params, "prefixTokens"),
        max_tokens=_number(params, "maxTokens"),
        resumed=params.get("resumed") is True,
        repeat=params.get("repeat") is True,
    )


class Exchange:
    """One client's request: the core's `Client`."""

    def __init__(self, connection: ClientConnection, asked: Id, request_id: str) -> None:
        self.connection, self.asked, self.id = connection, asked, request_id

    @property
    def disconnected(self) -> bool:
        return self.connection.peer.channel.ended

    def send_event(self, event: object) -> None:
        assert isinstance(event, Shown)
        self.connection.peer.notify(event.method, {"requestId": self.asked} | event.params)

    def finish(self) -> None:
        self.connection.done(self)
        self.connection.peer.result(self.asked, {"status": "served"})

    def abort_stream(self, ending: Ending) -> None:
        self._error(TO_CLIENT.get(ending, Code.BROKEN_OFF), f"the stream ended: {ending.name.lower()}")

    def refuse(self, retry_after: float) -> None:
        data = {"retry_after": round(retry_after, 3)} if retry_after > 0 else None
        self._error(Code.REFUSED, "not served; trying again is harmless", data)

    def fail(self, ending: Ending | None) -> None:
        code = TO_CLIENT.get(ending, Code.FAILED) if ending else Code.FAILED
        self._error(code, f"failed: {ending.name.lower() if ending else 'not served'}")

    def _error(self, code: Code, message: str, data: dict[str, Any] | None = None) -> None:
        self.connection.done(self)
        self.connection.peer.error(self.asked, RpcError(code, message, data))


class ClientConnection:
    """Hears one client."""

    def __init__(self, front: ClientFront, sock: socket.socket) -> None:
        self.front = front
        self.exchanges: dict[Id, Exchange] = {}
        self._unread_since = ArrivalTime(front.loop, front.waiting_since())
        self.peer = Peer.accepted(front.loop, sock, self)
        self.slow_reader = SlowReader(front.loop, lambda: self.peer.channel.unsent, self._stalled)

    @property
    def idle(self) -> bool:
        return not self.exchanges and self.peer.idle

    @property
    def idle_since(self) -> float:
        return self.peer.idle_since

    @property
    def unread(self) -> bool:
        return self.peer.unread

    def close_gracefully(self) -> None:
        self.peer.close_gracefully()

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        if method == "ping":
            return peer.result(request_id, {})
        if method != "chat/completions":
            raise RpcError(Code.METHOD_NOT_FOUND, f"unknown method {method!r}")
        if self.front.ending:
            raise RpcError(Code.REFUSED, "ending; trying again is harmless")
        waited = self.front.loop.now - self._unread_since.earliest
        arrived = understand(params, self.front.names, secrets.token_hex(8), waited)
        exchange = self.exchanges[request_id] = Exchange(self, request_id, arrived.id)
        self.front.router.accept(arrived, exchange, params)
        return None

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """A cancelled request gets no answer, as in the Model Context Protocol."""
        asked = params.get("requestId")
        if method == "notifications/cancelled" and isinstance(asked, str | int):
            exchange = self.exchanges.get(asked)
            if exchange is not None:
                self.done(exchange)
                peer.open_requests.discard(asked)
                self.front.router.client_left(exchange.id)

    def done(self, exchange: Exchange) -> None:
        self.exchanges.pop(exchange.asked, None)
        self.peer.idle_since = self.front.loop.now
        if self.front.mode.close_idle and not self.exchanges:
            self.front.loop.after(0.0, self.peer.close_gracefully)

    def slow(self, peer: Peer, slow: bool) -> None:
        for exchange in list(self.exchanges.values()):
            self.front.router.client_slow(exchange.id, slow)
        if slow:
            self.slow_reader.start()
        else:
            self.slow_reader.stop()

    def _stalled(self) -> None:
        """A client that takes nothing for long holds workers' places: it counts as gone."""
        self.front.loop.log("client stalled", f"{len(self.exchanges)} requests")
        self.peer.close()
        self._left(Ending.CLIENT_STALLED)

    def gone(self, peer: Peer) -> None:
        self._left(Ending.CLIENT_LEFT)

    def _left(self, ending: Ending) -> None:
        self.slow_reader.stop()
        self.front.connections.discard(self)
        exchanges, self.exchanges = self.exchanges, {}
        for exchange in exchanges.values():
            self.front.router.client_left(exchange.id, ending)


class ClientFront(ClientConnections[ClientConnection]):
    def __init__(self, loop: Loop, router: Router, names: Names) -> None:
        super().__init__(loop, IDLE_MOST)
        self.router, self.names = router, names

    def accepted(self, sock: socket.socket) -> None:
        self.connections.add(ClientConnection(self, sock))
