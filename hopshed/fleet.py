"""The servers that a controller knows, with what is asked of them again and again kept by role.

A decision that looks at each of thousands of servers keeps a router from all else, and so does a change of a
list: only what it touches is worked out anew. No decision, clock or I/O stands here.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .interface import Role, ServerState
from .state import Worker


class Fleet:
    """All servers by number; `index` or `changed` has to be called when the list has changed them."""

    def __init__(self) -> None:
        self.workers: dict[int, Worker] = {}
        # In the order of `workers`.
        self.by_role: dict[Role, list[Worker]] = {role: [] for role in Role}
        self.running: dict[Role, list[Worker]] = {role: [] for role in Role}
        self._indexed = set[int]()  # the numbers that `by_role` has
        self._running = set[int]()  # those that `running` has
        self._gone: dict[int, Worker] = {}

    def rebuild(self) -> None:
        """Take in a whole list."""
        workers = list(self.workers.values())
        for role in Role:
            self.by_role[role] = [w for w in workers if w.role is role]
            self.running[role] = [w for w in self.by_role[role] if w.info.state is ServerState.RUNNING]
        self._indexed = set(self.workers)
        self._running = {w.info.id for of_role in self.running.values() for w in of_role}
        self._gone = {w.info.id: w for w in workers if w.gone_at < math.inf}

    def update(self, workers: Iterable[Worker]) -> None:
        """Take in changes to a list, or servers that have been added at the end of `workers`."""
        back = set[Role]()  # the roles of servers that have stopped running and run again
        for w in workers:
            back |= self._take_in(w)
        for role in back:  # their place is where they stood
            self.running[role] = [w for w in self.by_role[role] if w.info.state is ServerState.RUNNING]

    def _take_in(self, w: Worker) -> set[Role]:
        """Take in one server; its role where `running` has to be made anew."""
        number, runs = w.info.id, w.info.state is ServerState.RUNNING
        if w.gone_at < math.inf:
            self._gone[number] = w
        else:
            self._gone.pop(number, None)
        came = number not in self._indexed
        if came:
            self._indexed.add(number)
            self.by_role[w.role].append(w)
        if runs == (number in self._running):
            return set()
        if not runs:
            self._running.discard(number)
            self.running[w.role].remove(w)
            return set()
        self._running.add(number)
        if not came:
            return {w.role}
        self.running[w.role].append(w)
        return set()

    def remove_gone(self, before: float) -> list[int]:
        """Drop the servers that have been gone since before then; their numbers."""
        numbers = [number for number, w in self._gone.items() if w.gone_at < before]
        for number in numbers:
            del self.workers[number]
        if numbers:
            self.rebuild()
        return numbers
