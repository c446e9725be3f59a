"""How cells and zones are mixed of readers and writers: from the list alone, so all routers' parts add up."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from .interface import Role, ServerState
from .state import Worker

LEAN_LEAST, LEAN_MOST = 0.8, 1.2  # weight as a home: a cell's part of writers over that of readers


class Topology:
    """The balance of readers and writers by cell and zone, over the running servers of the list."""

    def __init__(self) -> None:
        self._cells: dict[int, float] = {}
        self._zones: dict[int, float] = {}
        self.writers_cells = set[int]()  # those that have a larger part of all writers than of all readers
        self.writers_zones = set[int]()
        self.running = dict.fromkeys(Role, 0)  # servers of each role

    def listed(self, workers: Iterable[Worker]) -> None:
        alive = [w for w in workers if w.info.state is ServerState.RUNNING]
        roles = Counter(w.role for w in alive)
        self.running = {role: roles[role] for role in Role}
        self._cells = self._balances(Counter((w.info.cell, w.role) for w in alive))
        self._zones = self._balances(Counter((w.info.zone, w.role) for w in alive))
        self.writers_cells = {cell for cell, balance in self._cells.items() if balance > 1}
        self.writers_zones = {zone for zone, balance in self._zones.items() if balance > 1}

    def cell(self, w: Worker) -> float:
        """The part of all writers that w's cell has over its part of all readers."""
        return self._cells.get(w.info.cell, math.inf)

    def zone(self, w: Worker) -> float:
        """The same of w's zone."""
        return self._zones.get(w.info.zone, math.inf)

    def weight(self, w: Worker) -> float:
        """Its weight as a home: reads go where writers are near."""
        return min(LEAN_MOST, max(LEAN_LEAST, self.cell(w)))

    def _balances(self, counts: Counter[tuple[int, Role]]) -> dict[int, float]:
        """By place, the part of all writers that it has over its part of all readers."""
        balances = {}
        for place in {place for place, _ in counts}:
            readers = counts[place, Role.READER] * self.running[Role.WRITER]
            writers = counts[place, Role.WRITER] * self.running[Role.READER]
            balances[place] = writers / readers if readers else math.inf
        return balances
