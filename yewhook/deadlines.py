"""All timers of a process in one sorted structure, from which the loop takes the due ones each turn."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sortedcontainers import SortedDict


class Deadline(NamedTuple):
    """The handle of one timer; timers are sorted by time, then by the order in which they were set."""

    at: float  # seconds of the loop's clock
    serial: int


class Deadlines:
    """Callbacks by the time at which they are due, in seconds of the loop's clock."""

    def __init__(self) -> None:
        self._due: SortedDict[Deadline, Callable[[], None]] = SortedDict()
        self._serial = 0

    def set(self, at: float, call: Callable[[], None]) -> Deadline:
        """Have `call` called at a time; returns the handle with which to cancel it."""
        self._serial += 1
        deadline = Deadline(at, self._serial)
        self._due[deadline] = call
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a timer; None, and a timer that is already due or canceled, are ignored."""
        if deadline is not None:
            self._due.pop(deadline, None)

    def next_due(self) -> float | None:
        """The time of the earliest timer; None if there are no timers."""
        return self._due.peekitem(0)[0].at if self._due else None

    def pop_due(self, now: float) -> list[Callable[[], None]]:
        """Remove and return the callbacks of all timers that are due, in order."""
        calls = []
        while self._due and self._due.peekitem(0)[0].at <= now:
            calls.append(self._due.popitem(0)[1])
        return calls
