"""Counts what a process holds for its connections, and makes room where it would exceed its memory limit.

Everything that grows with what others send is charged at what it costs in this process: connections, parsed
heads, bodies, waiting requests and unsent bytes. A message that has not arrived whole is held by a holder
that can be told to refuse it; where the limit is exceeded, those are refused first that hold much and have
made no progress for long. The module has no clock and does no I/O.
"""

from __future__ import annotations

import math
from enum import Enum, auto
from typing import Protocol

CONNECTION_BYTES = 6144  # of a connection without data: its socket, parser, timers and objects
REQUEST_BYTES = 1024  # of an open request without its data: its records here and in the decision module
FIELD_BYTES = 160  # of a parsed header field, besides its text
ELEMENT_BYTES = 128  # of an element of a JSON object or list, besides its text
RELIEVED_SHARE = 0.9  # of the limit, down to which messages are refused once it is exceeded
AMPLE_SHARE = 0.5  # of the limit, up to which buffers may have their full size
SCARCE_SHARE = 0.8  # of the limit, from which on buffers have their least size
NEW_MESSAGE_S = 0.1  # added to the time without progress, so that the size of new messages counts too


def data_cost(size: int) -> int:
    """What so many bytes of data cost, with the gaps that they leave in the heap."""
    return size + size // 2


class ShedOrder(Enum):
    """When unfinished messages are refused."""

    FIRST = auto()  # requests: a refusal does no harm
    LAST = auto()  # answers that wait for a slow client: it loses the rest
    NEVER = auto()  # answers that arrive


class Holder(Protocol):
    """Something that holds a message which has not arrived whole."""

    @property
    def shed_order(self) -> ShedOrder:
        """Whether it may be told to refuse the message."""

    @property
    def progressed_at(self) -> float:
        """When its last byte arrived, in seconds of the loop's clock."""

    def shed(self) -> None:
        """Refuse the message and release what it holds."""


class MemoryBudget:
    """The memory charged to connections, in bytes."""

    def __init__(self) -> None:
        self.limit = math.inf
        self.charged = 0
        self.shed_count = self.shed_bytes = 0  # messages refused for want of memory since the start
        self._held: dict[Holder, int] = {}

    @property
    def exceeded(self) -> bool:
        """Whether more is charged than the limit allows."""
        return self.charged > self.limit

    def held(self, order: ShedOrder) -> int:
        """The part of the charge that unfinished messages of this kind hold."""
        return sum(size for holder, size in self._held.items() if holder.shed_order is order)

    def charge(self, size: int) -> None:
        """Charge so many bytes more; a negative size gives back."""
        self.charged += size

    def fits(self, size: int) -> bool:
        """Whether so many bytes more would stay within the limit."""
        return self.charged + size <= self.limit

    def hold(self, holder: Holder, size: int) -> None:
        """Set what a holder's unfinished message costs; 0 = it has none."""
        self.charged += size - self._held.get(holder, 0)
        if size:
            self._held[holder] = size
        else:
            self._held.pop(holder, None)

    def allowance(self, most: int, least: int) -> int:
        """The size that a buffer may have: `most` while memory is ample, `least` where it is scarce."""
        if self.limit == math.inf:
            return most
        used = self.charged / self.limit
        part = min(1.0, max(0.0, (SCARCE_SHARE - used) / (SCARCE_SHARE - AMPLE_SHARE)))
        return least + int((most - least) * part)

    def relieve(self, now: float, order: ShedOrder) -> int:
        """Refuse unfinished messages of a kind while the limit is exceeded; returns how many were refused.

        Those go first that hold most, counted by the time for which they have made no progress.
        """
        if not self.exceeded:
            return 0
        holders = [holder for holder in self._held if holder.shed_order is order]
        ranked = sorted(
            holders, key=lambda h: self._held[h] * (now - h.progressed_at + NEW_MESSAGE_S), reverse=True
        )
        count = 0
        for holder in ranked:
            if self.charged <= RELIEVED_SHARE * self.limit:
                break
            size = self._held.get(holder, 0)
            holder.shed()
            self.hold(holder, 0)
            self.shed_bytes += size
            count += 1
        self.shed_count += count
        return count
