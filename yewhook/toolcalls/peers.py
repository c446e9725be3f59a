"""Pool of JSON-RPC connections to workers and tool servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..config import Address
from ..connection_pool import ConnectionPool
from ..jsonrpc import Code, Id, Peer, RpcError
from ..loop import Loop


class IdlePeerHandler:
    """Handles the messages of a pooled connection that no exchange uses."""

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Reject it: a request is allowed only during an exchange."""
        raise RpcError(Code.INVALID_REQUEST, "nothing is open on this connection")

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Ignored: it belongs to a request that has ended."""

    def gone(self, peer: Peer) -> None:
        """Ignored: the pool checks a connection before it is used again."""

    def slow(self, peer: Peer, slow: bool) -> None:
        """Ignored: nothing is being sent."""


IDLE_PEER_HANDLER = IdlePeerHandler()


class PeerPool(ConnectionPool[Peer]):
    """Idle connections by address; times in seconds."""

    def __init__(
        self, loop: Loop, can_open: Callable[[], bool], connect_timeout: float, idle_limit: float
    ) -> None:
        def connect(address: Address) -> Peer:
            return Peer.connect(loop, address, IDLE_PEER_HANDLER, connect_timeout)

        super().__init__(loop, can_open, idle_limit, connect)

    def give_back(self, peer: Peer) -> None:
        """Return a connection after its exchange; it is closed if a request is open or data is unsent.

        Unsent data is dropped: it belongs to the exchange that has ended, and may be a part of its request.
        """
        peer.handler = IDLE_PEER_HANDLER
        if not peer.channel.is_open:
            return
        if peer.channel.unsent:
            peer.close()
        elif peer.open_requests:
            peer.close_gracefully()
        else:
            self.put_back(peer)

    @staticmethod
    def withdraw(peer: Peer, request_id: Id, reason: str) -> bool:
        """Withdraw a request and end its connection; returns whether it had been written completely.

        A request that is not written completely counts as never sent, so the rest of it is dropped. Flushing
        the send buffer would complete it as soon as the connection is up or the other end reads on.
        """
        if not peer.has_written(request_id):
            peer.close()
            return False
        peer.cancel(request_id, reason)
        PeerPool.close_gracefully(peer)
        return True

    @staticmethod
    def close_gracefully(peer: Peer) -> None:
        """Close a connection whose exchange was cancelled, after flushing its send buffer."""
        peer.handler = IDLE_PEER_HANDLER
        peer.close_gracefully()
