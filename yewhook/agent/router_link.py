"""The connection from the agent to one router that it runs."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..jsonrpc import Code, Id, Peer, RpcError
from ..loop import Loop

ANSWER_TIMEOUT = 1.0  # s that a router may take to answer


class RouterLink:
    """Asks a router for its status, and tells it what operators want."""

    def __init__(self, loop: Loop) -> None:
        ours, self._theirs = socket.socketpair()
        self._peer = Peer.accepted(loop, ours, self)
        self.status: dict[str, Any] = {}  # as last heard
        self._asking = self.closed = False

    @property
    def descriptor(self) -> int:
        """Of the router's end, for its process to inherit."""
        return self._theirs.fileno()

    def close_router_end(self) -> None:
        self._theirs.close()

    def look(self) -> None:
        """Ask how it stands, unless the last question still waits."""
        if not self._asking and not self.closed:
            self._asking = True
            self._peer.ask("router/status", {}, self._heard, ANSWER_TIMEOUT)

    def _heard(self, result: Any, error: RpcError | None) -> None:
        self._asking = False
        if error is None and isinstance(result, dict):
            self.status = result

    def tell(self, method: str, params: dict[str, Any], told: Callable[[bool], None]) -> None:
        if self.closed:
            return told(False)

        def heard(result: Any, error: RpcError | None) -> None:
            self._heard(result, error)
            told(error is None)

        self._peer.ask(method, params, heard, ANSWER_TIMEOUT)
        return None

    def close(self) -> None:
        """Hang up; whoever waits for an answer is told that there is none."""
        self._peer.close_gracefully()

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        raise RpcError(Code.METHOD_NOT_FOUND, "a router asks nothing of its agent")

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Routers announce nothing."""

    def gone(self, peer: Peer) -> None:
        self.closed = True

    def slow(self, peer: Peer, slow: bool) -> None:
        """Questions are short."""
