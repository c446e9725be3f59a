"""The agent's end of the connection to a router process: JSON-RPC over a pair of sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..jsonrpc import Code, Id, Peer, RpcError
from ..loop import Loop

ANSWER_TIMEOUT_S = 1.0


class RouterLink:
    """Requests a router's status and forwards operators' orders to it."""

    def __init__(self, loop: Loop) -> None:
        agent_end, self._router_end = socket.socketpair()
        self._peer = Peer.accepted(loop, agent_end, self)
        self.status: dict[str, Any] = {}  # the last one received
        self._status_requested = self.closed = False

    @property
    def descriptor(self) -> int:
        """The descriptor of the router's end, which its process inherits."""
        return self._router_end.fileno()

    def close_router_end(self) -> None:
        """Close the router's end in this process, once the router has inherited it."""
        self._router_end.close()

    def request_status(self) -> None:
        """Request the router's status unless a request is already waiting for its answer."""
        if not self._status_requested and not self.closed:
            self._status_requested = True
            self._peer.ask("router/status", {}, self._status_received, ANSWER_TIMEOUT_S)

    def _status_received(self, result: Any, error: RpcError | None) -> None:
        self._status_requested = False
        if error is None and isinstance(result, dict):
            self.status = result

    def tell(self, method: str, params: dict[str, Any], done: Callable[[bool], None]) -> None:
        """Send a request; `done` is called with whether the router carried it out."""
        if self.closed:
            return done(False)

        def answered(result: Any, error: RpcError | None) -> None:
            self._status_received(result, error)
            done(error is None)

        self._peer.ask(method, params, answered, ANSWER_TIMEOUT_S)
        return None

    def close(self) -> None:
        """Close the connection; requests that wait for an answer fail."""
        self._peer.close_gracefully()

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Raises RpcError: the agent serves no requests on this connection."""
        raise RpcError(Code.METHOD_NOT_FOUND, "the agent serves no requests of routers")

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Ignored: no notification is defined."""

    def gone(self, peer: Peer) -> None:
        """The connection is closed."""
        self.closed = True

    def slow(self, peer: Peer, slow: bool) -> None:
        """Ignored: requests are small."""
