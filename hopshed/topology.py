"""The balance of readers and writers in each cell and zone.

It follows from the list of servers alone, so that the decisions of all routers add up. No clock, no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .interface import Role, ServerState
from .state import Worker

# Bounds of a reader's weight as a home of prefixes and sessions; between them it is its cell's balance.
MIN_HOME_WEIGHT = 0.8
MAX_HOME_WEIGHT = 1.2


class _Locations:
    """Running servers of each role by location; a location is a cell or a zone."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[Role, int]] = {}

    def add(self, location: int, role: Role, count: int) -> None:
        """Add servers of a role to a location, or remove them where `count` is negative."""
        counts = self._counts.setdefault(location, dict.fromkeys(Role, 0))
        counts[role] += count
        if not any(counts.values()):
            del self._counts[location]

    def balances(self, running: dict[Role, int]) -> dict[int, float]:
        """Each location's share of all writers divided by its share of all readers."""
        all_readers, all_writers = running[Role.READER], running[Role.WRITER]
        balances = {}
        for location, counts in self._counts.items():
            readers = counts[Role.READER] * all_writers
            writers = counts[Role.WRITER] * all_readers
            balances[location] = writers / readers if readers else math.inf
        return balances


class Topology:
    """Running servers by role, and the balance of each cell and zone.

    A location's balance is its share of all writers divided by its share of all readers, infinite without
    readers."""

    def __init__(self) -> None:
        self.running = dict.fromkeys(Role, 0)  # number of servers
        self._location_of: dict[int, tuple[int, int, Role]] = {}  # running server -> cell, zone, role
        self._by_cell, self._by_zone = _Locations(), _Locations()
        self._stale = False  # whether the balances have to be computed anew
        self._cell_balances: dict[int, float] = {}
        self._zone_balances: dict[int, float] = {}
        self._writer_heavy_cells = set[int]()
        self._writer_heavy_zones = set[int]()

    def rebuild(self, workers: Iterable[Worker]) -> None:
        """Replace all servers by those of a full list."""
        self._location_of, self._by_cell, self._by_zone = {}, _Locations(), _Locations()
        self.running = dict.fromkeys(Role, 0)
        self._stale = True
        self.update(workers)

    def update(self, workers: Iterable[Worker]) -> None:
        """Apply changes to servers. Balances are computed when they are next needed."""
        for worker in workers:
            runs = worker.info.state is ServerState.RUNNING
            location = (worker.info.cell, worker.info.zone, worker.role) if runs else None
            before = self._location_of.get(worker.info.id)
            if location == before:
                continue
            if before is not None:
                del self._location_of[worker.info.id]
                self._count(before, -1)
            if location is not None:
                self._location_of[worker.info.id] = location
                self._count(location, 1)
            self._stale = True

    def _count(self, location: tuple[int, int, Role], count: int) -> None:
        cell, zone, role = location
        self.running[role] += count
        self._by_cell.add(cell, role, count)
        self._by_zone.add(zone, role, count)

    @property
    def writer_heavy_cells(self) -> set[int]:
        """The cells with a larger share of all writers than of all readers."""
        self._compute_balances()
        return self._writer_heavy_cells

    @property
    def writer_heavy_zones(self) -> set[int]:
        """The zones with a larger share of all writers than of all readers."""
        self._compute_balances()
        return self._writer_heavy_zones

    def cell_balance(self, worker: Worker) -> float:
        """The balance of the server's cell."""
        self._compute_balances()
        return self._cell_balances.get(worker.info.cell, math.inf)

    def zone_balance(self, worker: Worker) -> float:
        """The balance of the server's zone."""
        self._compute_balances()
        return self._zone_balances.get(worker.info.zone, math.inf)

    def home_weight(self, worker: Worker) -> float:
        """The server's weight as a home of prefixes and sessions; higher where writers are near."""
        return self.home_weights((worker,))[worker.info.id]

    def home_weights(self, workers: Iterable[Worker]) -> dict[int, float]:
        """`home_weight` of each server, by its id."""
        self._compute_balances()
        weights = {
            cell: min(MAX_HOME_WEIGHT, max(MIN_HOME_WEIGHT, balance))
            for cell, balance in self._cell_balances.items()
        }
        return {worker.info.id: weights.get(worker.info.cell, MAX_HOME_WEIGHT) for worker in workers}

    def _compute_balances(self) -> None:
        if not self._stale:
            return
        self._stale = False
        self._cell_balances = self._by_cell.balances(self.running)
        self._zone_balances = self._by_zone.balances(self.running)
        self._writer_heavy_cells = {cell for cell, balance in self._cell_balances.items() if balance > 1}
        self._writer_heavy_zones = {zone for zone, balance in self._zone_balances.items() if balance > 1}
