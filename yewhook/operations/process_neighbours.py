"""What a process makes of its predecessor and successor. No I/O: statuses come in, events go out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .instance import Event

LOOK_EVERY = 0.1  # s between looks at the process files
RENEW = 0.25  # s between renewals of the mark, while anybody is there to read it
HUNG = 1.0  # s without a renewal after which a successor counts as hung


class NeighbourStatus(NamedTuple):
    """The other processes as they are seen at one moment."""

    predecessor: int | None
    successor: int | None  # the next one
    ready_age: float | None  # s since a successor said that it accepts; None where none has


@dataclass(slots=True)
class Neighbours:
    """Remembers what has been seen and done."""

    had_predecessor: bool
    handed_to: int | None = None
    succeeded: bool = False

    def see(self, status: NeighbourStatus) -> list[Event]:
        events = []
        if self.had_predecessor and status.predecessor is None:
            self.had_predecessor = False
            events.append(Event.PREDECESSOR_LOST)
        serves = status.successor is not None and status.ready_age is not None and status.ready_age < HUNG
        if serves is not self.succeeded:
            self.succeeded = serves
            events.append(Event.SUCCESSOR_READY if serves else Event.SUCCESSOR_LOST)
        return events

    def to_hand(self, status: NeighbourStatus) -> int | None:
        """The successor that is to be told what this process knows: each is told once."""
        if status.successor is None or status.successor == self.handed_to:
            return None
        self.handed_to = status.successor
        return status.successor
