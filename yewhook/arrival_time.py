"""Since when bytes that are read on a connection may have waited to be read.

A client's time runs from when its request reached this machine, not from when the loop came to read it: a
loop that was held up, by a long list of servers or by others on its core, reads late.
"""

from __future__ import annotations

from .loop import Loop


class ArrivalTime:
    """Of one connection. All times are the loop's, in s."""

    def __init__(self, loop: Loop, opened_after: float) -> None:
        """`opened_after` = a time before which the other side cannot have opened the connection."""
        self._loop = loop
        self._since, self._watched_at = opened_after, loop.now

    @property
    def earliest(self) -> float:
        """What is read now has not come before this."""
        looked_at = self._loop.previous_poll_at
        return looked_at if self._watched_at < looked_at else self._since

    def reading_paused(self) -> None:
        """The connection is not read for a while."""
        self._since = self._loop.now

    def reading_resumed(self) -> None:
        """It is read again."""
        self._watched_at = self._loop.now
