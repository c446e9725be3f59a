"""Chooses which client connections to close when they reach their limit: those whose clients lose least.

When many clients connect, each connection that is kept makes another client wait in the kernel's accept
queue. A connection that has been answered loses nothing by being closed. One on which nothing has been
received, or a request has been received in part, loses more the less time it has had; one whose data takes
long to parse delays all others.

The module has no clock and does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple, TypeVar


class ConnectionActivity(Enum):
    """What a connection is doing; the value is the time in seconds after which it may be closed.

    The members are in the order in which connections are closed.
    """

    ANSWERED = 0.05  # no request since the last answer, which has had the time to arrive
    NOTHING_RECEIVED = 0.3  # since it was opened; a client with a request sends it at once
    COSTLY_REQUEST = 0.25  # since it began; it is not whole yet, and takes long to read
    READING_REQUEST = 0.7  # longer than the pauses of a request that is written over 2 s
    SERVING = float("inf")


class ConnectionStatus(NamedTuple):
    """What a connection is doing and since when."""

    activity: ConnectionActivity
    since: float  # seconds; when the last byte arrived, the costly request began or the last answer ended


ConnectionT = TypeVar("ConnectionT")
_CLOSE_ORDER = {activity: index for index, activity in enumerate(ConnectionActivity)}


def connections_to_close(
    statuses: Iterable[tuple[ConnectionStatus, ConnectionT]], now: float, max_count: int
) -> list[ConnectionT]:
    """Returns up to `max_count` connections that may be closed, those first that lose least.

    Among connections with the same activity, those come first that have had it for longest.
    """
    closable = [
        (status, connection) for status, connection in statuses if now - status.since >= status.activity.value
    ]
    closable.sort(key=lambda entry: (_CLOSE_ORDER[entry[0].activity], entry[0].since))
    return [connection for _, connection in closable[:max_count]]
