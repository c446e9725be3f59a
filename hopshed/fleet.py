"""The servers that a controller knows, indexed by role.

Scanning thousands of servers for each decision, or each change of the list, would take most of a router's
time. The index is therefore kept, and a change costs only what it touches.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .interface import Role, ServerState
from .state import Worker


class Fleet:
    """All servers by id. `rebuild` or `update` has to be called after the server list has changed them."""

    def __init__(self) -> None:
        self.workers: dict[int, Worker] = {}
        # Both in the order of `workers`.
        self.by_role: dict[Role, list[Worker]] = {role: [] for role in Role}
        self.running: dict[Role, list[Worker]] = {role: [] for role in Role}
        self._indexed = set[int]()  # ids in `by_role`
        self._running = set[int]()  # ids in `running`
        self._gone: dict[int, Worker] = {}  # by id; the list reported them gone

    def rebuild(self) -> None:
        """Rebuild the index after a full list."""
        workers = list(self.workers.values())
        for role in Role:
            self.by_role[role] = [worker for worker in workers if worker.role is role]
            self.running[role] = [
                worker for worker in self.by_role[role] if worker.info.state is ServerState.RUNNING
            ]
        self._indexed = set(self.workers)
        self._running = {worker.info.id for of_role in self.running.values() for worker in of_role}
        self._gone = {worker.info.id: worker for worker in workers if worker.gone_at < math.inf}

    def update(self, workers: Iterable[Worker]) -> None:
        """Index servers that were changed, or were added at the end of `workers`."""
        resumed = set[Role]()  # roles of servers that run again
        for worker in workers:
            resumed |= self._update_one(worker)
        for role in resumed:  # keeps the order
            self.running[role] = [
                worker for worker in self.by_role[role] if worker.info.state is ServerState.RUNNING
            ]

    def _update_one(self, worker: Worker) -> set[Role]:
        """Index one server; returns its role if `running` has to be rebuilt."""
        number, runs = worker.info.id, worker.info.state is ServerState.RUNNING
        if worker.gone_at < math.inf:
            self._gone[number] = worker
        else:
            self._gone.pop(number, None)
        added = number not in self._indexed
        if added:
            self._indexed.add(number)
            self.by_role[worker.role].append(worker)
        if runs == (number in self._running):
            return set()
        if not runs:
            self._running.discard(number)
            self.running[worker.role].remove(worker)
            return set()
        self._running.add(number)
        if not added:
            return {worker.role}
        self.running[worker.role].append(worker)
        return set()

    def remove_gone(self, before: float) -> list[int]:
        """Remove the servers that have been gone since before that time; returns their ids."""
        numbers = [number for number, worker in self._gone.items() if worker.gone_at < before]
        for number in numbers:
            del self.workers[number]
        if numbers:
            self.rebuild()
        return numbers
