"""Who gives way when clients' connections fill their room: those on which least is lost. No clock, no I/O.

In a crowd each connection that stays is one that a usual client waits for in the kernel's queue. A connection
that has had its answer loses nothing; one that has said nothing, or has stopped in the middle of a request,
loses the more the less time it has had.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple, TypeVar


class ConnectionActivity(Enum):
    """Where a connection stands, and the s of that before it may give way. In the order of giving way."""

    ANSWERED = 0.05  # and nothing asked since; the answer has had the time to arrive
    NOTHING_RECEIVED = 0.3  # opened, and not a byte yet: a client that means to ask does so at once
    READING_REQUEST = 0.7  # in the middle of a request: one written over 2 s pauses for less
    SERVING = float("inf")


class ConnectionStatus(NamedTuple):
    activity: ConnectionActivity
    since: float  # of the last byte, or the last answer's end


K = TypeVar("K")
_ORDER = {stand: place for place, stand in enumerate(ConnectionActivity)}


def connections_to_close(standings: Iterable[tuple[ConnectionStatus, K]], now: float, most: int) -> list[K]:
    """At most so many that may give way, who loses least first; among equals who has stood longest."""
    ripe = [(s, k) for s, k in standings if now - s.since >= s.activity.value]
    ripe.sort(key=lambda entry: (_ORDER[entry[0].activity], entry[0].since))
    return [k for _, k in ripe[:most]]
