"""When servers have started, by the loop's clock, from the Unix times that discovery tells.

The wall clock may step, by an hour and more, here or where the times are written, and a server that looks as
if it had been up for long is sent too much while it is cold. So a start that is told between two words of
discovery is put between them where it does not lie there anyway.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

LATE = 6.5  # s by which discovery may tell of a start late; a start so long before its last word is believed


@dataclass(frozen=True, slots=True)
class MessageTimes:
    """When a message of discovery has come, and the one before it. s of the loop's clock."""

    now: float = math.inf  # where nothing is known of it, no start is too late
    before: float = -math.inf  # and none too early


class StartTimes:
    """Keeps what was made of each server's start, so that the same start told again is the same time."""

    def __init__(self, unix_offset: float) -> None:
        """`unix_offset` = the loop's clock less Unix time, as this process began."""
        self._offset = unix_offset
        self._known: dict[int, tuple[float, float | None]] = {}  # server -> Unix time, the loop's clock

    def read(self, server: int, unix: float, told: MessageTimes) -> float | None:
        """A server's last start in s of the loop's clock, None for long ago.

        `unix` = in Unix s; 0 for long ago.
        """
        known = self._known.get(server)
        if known is not None and known[0] == unix:
            return known[1]
        started = self._within(unix + self._offset, told) if unix else None
        self._known[server] = unix, started
        return started

    def _within(self, started: float, told: MessageTimes) -> float:
        if started < told.before - LATE:
            return told.before
        return min(started, told.now)

    def forget(self, server: int) -> None:
        """The server has been gone for long."""
        self._known.pop(server, None)
