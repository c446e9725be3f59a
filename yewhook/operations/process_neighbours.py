"""Derives instance events from the status of the predecessor and successor processes. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .instance import Event

POLL_INTERVAL_S = 0.1  # between checks of the process files
READY_RENEWAL_S = 0.25  # between renewals of the ready mark, while a predecessor reads it
READY_TIMEOUT_S = 1.0  # a successor whose ready mark is older counts as hung


class NeighbourStatus(NamedTuple):
    """The other processes of the instance, by number, at one poll."""

    predecessor: int | None
    successor: int | None  # the one started next after this process
    ready_age: float | None  # seconds since a successor renewed its ready mark; None if none is ready


@dataclass(slots=True)
class Neighbours:
    """Remembers which changes were reported and which successor got the hand-over."""

    had_predecessor: bool
    handed_over_to: int | None = None
    successor_ready: bool = False

    def update(self, status: NeighbourStatus) -> list[Event]:
        """The events that follow from a new status; each change is reported once."""
        events = []
        if self.had_predecessor and status.predecessor is None:
            self.had_predecessor = False
            events.append(Event.PREDECESSOR_LOST)
        ready = (
            status.successor is not None
            and status.ready_age is not None
            and status.ready_age < READY_TIMEOUT_S
        )
        if ready is not self.successor_ready:
            self.successor_ready = ready
            events.append(Event.SUCCESSOR_READY if ready else Event.SUCCESSOR_LOST)
        return events

    def next_handover_target(self, status: NeighbourStatus) -> int | None:
        """The successor to write a hand-over for, if any; each successor is returned once."""
        if status.successor is None or status.successor == self.handed_over_to:
            return None
        self.handed_over_to = status.successor
        return status.successor
