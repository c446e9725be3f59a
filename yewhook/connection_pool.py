"""Connections kept for the next exchange, by address. One exchange at a time travels on each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from .channel import Channel
from .config import Address
from .liveness import Liveness
from .loop import Loop

LIVENESS_KEPT = 60.0  # s for which it is remembered when a server was heard
IDLE_PART = 0.5  # part of the other side's idle limit after which this side closes an idle connection


class Pooled(Protocol):
    address: Address
    channel: Channel
    idle_since: float

    def close(self) -> None: ...


C = TypeVar("C", bound=Pooled)


class ConnectionPool(Generic[C]):
    def __init__(
        self,
        loop: Loop,
        room: Callable[[], bool],
        idle_limit: float,
        connect: Callable[[Address], C],
        rest: float = 0.0,
    ) -> None:
        """`rest` = s that a kept connection stands before it is used again: what the other side sends beyond
        its answer shows in them, and is not taken for the next one."""
        self.loop, self._rest = loop, rest
        self.liveness = Liveness()
        self._room, self._keep_for, self._connect = room, idle_limit * IDLE_PART, connect
        self._idle: dict[Address, list[C]] = {}
        self._sweep()

    def acquire(self, address: Address) -> C:
        """A kept connection that is still good, the youngest first, else a new one.

        Raises OSError where none can be opened.
        """
        rested = [c for c in self._idle.get(address, ()) if self.loop.now - c.idle_since >= self._rest]
        while rested:
            connection = rested.pop()
            self.discard(connection)
            if not connection.channel.closed and not connection.channel.unread:
                return connection
            connection.close()
        if not self._room() and not self._make_room():
            raise OSError("too many sockets")
        return self._connect(address)

    def put_back(self, connection: C) -> None:
        connection.idle_since = self.loop.now
        self.liveness.record_heard(connection.address, self.loop.now)
        connection.channel.pause(False)  # a slow client may have had its last exchange paused
        self._idle.setdefault(connection.address, []).append(connection)

    def discard(self, connection: C) -> None:
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
            if not idle:
                del self._idle[connection.address]

    def close_others(self, addresses: set[Address]) -> None:
        """Close what is kept to addresses that no server has any more."""
        for address in self._idle.keys() - addresses:
            for connection in self._idle.pop(address):
                connection.close()

    def _make_room(self) -> bool:
        kept = (c for idle in self._idle.values() for c in idle)
        oldest = min(kept, key=lambda c: c.idle_since, default=None)
        if oldest is not None:
            self.discard(oldest)
            oldest.close()
        return oldest is not None

    def _sweep(self) -> None:
        """A server closes what stands idle; a request that crosses this is lost, so this side goes first."""
        kept = [c for idle in self._idle.values() for c in idle]
        for connection in kept:
            if self.loop.now - connection.idle_since > self._keep_for:
                self.discard(connection)
                connection.close()
        self.liveness.forget_before(self.loop.now - LIVENESS_KEPT)
        self.loop.after(min(1.0, self._keep_for / 4), self._sweep)
