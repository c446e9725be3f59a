"""The pool of JSON-RPC connections to workers and tool servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..config import Address
from ..connection_pool import ConnectionPool
from ..jsonrpc import Code, Id, Peer, RpcError
from ..loop import Loop


class Nobody:
    """Hears a connection that has nothing in hand."""

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        raise RpcError(Code.INVALID_REQUEST, "nothing is open on this connection")

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Late news of a request that has ended."""

    def gone(self, peer: Peer) -> None:
        """The pool finds that out when it takes the connection."""

    def slow(self, peer: Peer, slow: bool) -> None:
        """Nothing is being written."""


NOBODY = Nobody()


class PeerPool(ConnectionPool[Peer]):
    def __init__(
        self, loop: Loop, room: Callable[[], bool], connect_timeout: float, idle_limit: float
    ) -> None:
        def connect(address: Address) -> Peer:
            return Peer.connect(loop, address, NOBODY, connect_timeout)

        super().__init__(loop, room, idle_limit, connect)

    def give_back(self, peer: Peer) -> None:
        """Keep a connection whose exchange is over, unless the other side has something open on it."""
        peer.handler = NOBODY
        if peer.channel.closed:
            return
        if peer.open_requests or peer.channel.unsent:
            peer.close_gracefully()
        else:
            self.put_back(peer)

    @staticmethod
    def close_gracefully(peer: Peer) -> None:
        """End a connection whose exchange was given up; what is written last still goes out."""
        peer.handler = NOBODY
        peer.close_gracefully()
