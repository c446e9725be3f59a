"""All deadlines of a process, in one sorted structure that the loop sweeps each turn."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sortedcontainers import SortedDict


class Deadline(NamedTuple):
    at: float
    serial: int


class Deadlines:
    def __init__(self) -> None:
        self._due: SortedDict[Deadline, Callable[[], None]] = SortedDict()
        self._serial = 0

    def set(self, at: float, call: Callable[[], None]) -> Deadline:
        self._serial += 1
        deadline = Deadline(at, self._serial)
        self._due[deadline] = call
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        if deadline is not None:
            self._due.pop(deadline, None)

    def next_due(self) -> float | None:
        return self._due.peekitem(0)[0].at if self._due else None

    def pop_due(self, now: float) -> list[Callable[[], None]]:
        """Take out all that has fallen due, in order."""
        calls = []
        while self._due and self._due.peekitem(0)[0].at <= now:
            calls.append(self._due.popitem(0)[1])
        return calls
