"""Connections that have sent all and wait for their peers to close; closed sooner where room is short.

They hold a socket and memory that new connections may need, while nothing is exchanged on them any more.
"""

from __future__ import annotations

from itertools import islice
from typing import Protocol

# For which a connection lingers at least, so that its peer, which may still be sending, can read the answer
MIN_LINGER_S = 0.3
MAX_CLOSED_AT_ONCE = 64  # connections, as many as may be accepted in a turn


class Lingering(Protocol):
    """A connection that lingers."""

    def abort(self) -> None:
        """Close it at once."""


class LingeringConnections:
    """The lingering connections of a loop, in the order in which they began to linger."""

    def __init__(self) -> None:
        self._began_at: dict[Lingering, float] = {}  # by the loop's clock in seconds

    def __len__(self) -> int:
        return len(self._began_at)

    def add(self, connection: Lingering, now: float) -> None:
        """A connection begins to linger."""
        self._began_at[connection] = now

    def discard(self, connection: Lingering) -> None:
        """A connection is closed; it need not have lingered."""
        self._began_at.pop(connection, None)

    def close_some(self, now: float) -> None:
        """Close those that have lingered for longest, and for MIN_LINGER_S at least."""
        for connection, began_at in list(islice(self._began_at.items(), MAX_CLOSED_AT_ONCE)):
            if now - began_at < MIN_LINGER_S:
                return
            connection.abort()
