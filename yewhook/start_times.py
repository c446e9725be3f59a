"""Converts the start times of servers from the Unix time that discovery sends to the loop's clock.

The wall clock may step by an hour or more, here or on the host that writes the times. A cold server whose
start appeared to be long ago would be sent too much. So a start that is reported between two messages of
discovery is moved between the times of these messages if it does not lie there.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Discovery may report a start this late, so one up to this long before the previous message is believed.
MAX_REPORT_DELAY_S = 6.5


@dataclass(frozen=True, slots=True)
class MessageTimes:
    """When a message of discovery and the one before it were received, in seconds of the loop's clock."""

    received: float = math.inf  # infinity = unknown: no start is too late
    previous: float = -math.inf  # minus infinity = unknown: no start is too early


class StartTimes:
    """Converts start times, and remembers each one so that it is converted to the same time every time."""

    def __init__(self, unix_offset: float) -> None:
        """`unix_offset` is the loop's clock minus Unix time, in seconds, when this process began."""
        self._offset = unix_offset
        self._known: dict[
            int, tuple[float, float | None]
        ] = {}  # server -> Unix time, time of the loop's clock

    def convert(self, server: int, unix_time: float, message: MessageTimes) -> float | None:
        """The last start of a server in seconds of the loop's clock; None if it was long ago.

        `unix_time` is in seconds, 0 if the start was long ago.
        """
        known = self._known.get(server)
        if known is not None and known[0] == unix_time:
            return known[1]
        started = self._limit(unix_time + self._offset, message) if unix_time else None
        self._known[server] = unix_time, started
        return started

    def _limit(self, started: float, message: MessageTimes) -> float:
        if started < message.previous - MAX_REPORT_DELAY_S:
            return message.previous
        return min(started, message.received)

    def forget(self, server: int) -> None:
        """Drop a server that has been gone for long."""
        self._known.pop(server, None)
