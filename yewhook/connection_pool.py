"""Connections kept for later exchanges, by address. Each carries one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from .channel import Channel
from .config import Address
from .liveness import Liveness
from .loop import Loop

LIVENESS_TTL_S = 60.0  # for which it is remembered when a server last answered or failed to
IDLE_LIMIT_SHARE = 0.5  # part of the servers' idle limit after which an idle connection is closed here


class Pooled(Protocol):
    """A connection that can be kept in a pool."""

    address: Address
    channel: Channel
    idle_since: float  # the loop's clock in seconds

    def close(self) -> None:
        """Close at once."""


ConnectionT = TypeVar("ConnectionT", bound=Pooled)


class ConnectionPool(Generic[ConnectionT]):
    """Opens connections to servers, keeps them between exchanges and closes those that are idle."""

    def __init__(
        self,
        loop: Loop,
        can_open: Callable[[], bool],
        idle_limit: float,
        connect: Callable[[Address], ConnectionT],
        reuse_delay_s: float = 0.0,
    ) -> None:
        """Create an empty pool.

        `can_open` says whether another socket may be opened; `idle_limit` is the time in seconds after which
        servers close idle connections. A kept connection is not reused before `reuse_delay_s`, so that bytes
        that a server sends after its response are noticed and not taken for the next one.
        """
        self.loop, self._reuse_delay_s = loop, reuse_delay_s
        self.liveness = Liveness()
        self._can_open, self._idle_timeout_s, self._connect = can_open, idle_limit * IDLE_LIMIT_SHARE, connect
        self._idle: dict[Address, list[ConnectionT]] = {}
        self._sweep()

    def acquire(self, address: Address) -> ConnectionT:
        """Returns a kept connection that is still usable, the latest first, or a new one.

        Raises OSError where none can be opened.
        """
        reusable = [
            c for c in self._idle.get(address, ()) if self.loop.now - c.idle_since >= self._reuse_delay_s
        ]
        while reusable:
            connection = reusable.pop()
            self.discard(connection)
            if not connection.channel.closed and not connection.channel.unread:
                return connection
            connection.close()
        if not self._can_open() and not self._free_socket():
            raise OSError("too many sockets")
        return self._connect(address)

    def put_back(self, connection: ConnectionT) -> None:
        """Keep a connection after a complete exchange."""
        connection.idle_since = self.loop.now
        self.liveness.record_heard(connection.address, self.loop.now)
        connection.channel.pause(False)  # it may have been paused for a slow client
        self._idle.setdefault(connection.address, []).append(connection)

    def discard(self, connection: ConnectionT) -> None:
        """Take a connection out of the pool, if it is in it, without closing it."""
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
            if not idle:
                del self._idle[connection.address]

    def close_others(self, addresses: set[Address]) -> None:
        """Close the kept connections to all but these addresses."""
        for address in self._idle.keys() - addresses:
            for connection in self._idle.pop(address):
                connection.close()

    def _free_socket(self) -> bool:
        """Close the connection that has been idle for longest; returns whether there was one."""
        kept = (c for idle in self._idle.values() for c in idle)
        oldest = min(kept, key=lambda c: c.idle_since, default=None)
        if oldest is not None:
            self.discard(oldest)
            oldest.close()
        return oldest is not None

    def _sweep(self) -> None:
        """Close idle connections before the server does: a request that crosses its close would be lost."""
        kept = [c for idle in self._idle.values() for c in idle]
        for connection in kept:
            if self.loop.now - connection.idle_since > self._idle_timeout_s:
                self.discard(connection)
                connection.close()
        self.liveness.forget_before(self.loop.now - LIVENESS_TTL_S)
        self.loop.after(min(1.0, self._idle_timeout_s / 4), self._sweep)
