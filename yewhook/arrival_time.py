"""Bounds the time at which bytes read from a connection can have arrived.

A client's time runs from the arrival of its request at this machine and not from when the event loop reads
it: a loop that was blocked, by a long list of servers or by other processes on its core, reads late.
"""

from __future__ import annotations

from .loop import Loop


class ArrivalTime:
    """Tracks one connection. All times are those of the loop's clock in seconds."""

    __slots__ = ("_loop", "_not_before", "_watched_since")

    def __init__(self, loop: Loop, opened_after: float) -> None:
        """`opened_after` is a time before which the peer cannot have opened the connection."""
        self._loop = loop
        self._not_before, self._watched_since = opened_after, loop.now

    @property
    def earliest(self) -> float:
        """The earliest time at which bytes that are read now can have arrived."""
        polled_at = self._loop.arrived_after
        return polled_at if self._watched_since < polled_at else self._not_before

    def reading_paused(self) -> None:
        """The connection is not read until `reading_resumed` is called."""
        self._not_before = self._loop.now

    def reading_resumed(self) -> None:
        """The connection is read again."""
        self._watched_since = self._loop.now
