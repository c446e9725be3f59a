"""How cells and zones are mixed of readers and writers: from the list alone, so all routers' parts add up."""

from __future__ import annotations

import math
from collections.abc import Iterable

from .interface import Role, ServerState
from .state import Worker

LEAN_LEAST, LEAN_MOST = 0.8, 1.2  # weight as a home: a cell's part of writers over that of readers


class _Places:
    """The running servers of each role in each cell, or in each zone."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[Role, int]] = {}

    def add(self, place: int, role: Role, count: int) -> None:
        """So many more servers of a role there; fewer where it is negative."""
        counts = self._counts.setdefault(place, dict.fromkeys(Role, 0))
        counts[role] += count
        if not any(counts.values()):
            del self._counts[place]

    def balances(self, running: dict[Role, int]) -> dict[int, float]:
        """By place, the part of all writers that it has over its part of all readers."""
        all_readers, all_writers = running[Role.READER], running[Role.WRITER]
        balances = {}
        for place, counts in self._counts.items():
            readers = counts[Role.READER] * all_writers
            writers = counts[Role.WRITER] * all_readers
            balances[place] = writers / readers if readers else math.inf
        return balances


class Topology:
    """The balance of readers and writers by cell and zone, over the running servers of the list."""

    def __init__(self) -> None:
        self.running = dict.fromkeys(Role, 0)  # servers of each role
        self._placed: dict[int, tuple[int, int, Role]] = {}  # running server -> cell, zone, role
        self._in_cells, self._in_zones = _Places(), _Places()
        self._stale = False  # the balances have to be worked out anew
        self._cells: dict[int, float] = {}
        self._zones: dict[int, float] = {}
        self._writers_cells = set[int]()
        self._writers_zones = set[int]()

    def rebuild(self, workers: Iterable[Worker]) -> None:
        """Take in a whole list."""
        self._placed, self._in_cells, self._in_zones = {}, _Places(), _Places()
        self.running = dict.fromkeys(Role, 0)
        self._stale = True
        self.update(workers)

    def update(self, workers: Iterable[Worker]) -> None:
        """Take in changes to a list. The balances are worked out when they are next asked for."""
        for w in workers:
            runs = w.info.state is ServerState.RUNNING
            place = (w.info.cell, w.info.zone, w.role) if runs else None
            before = self._placed.get(w.info.id)
            if place == before:
                continue
            if before is not None:
                del self._placed[w.info.id]
                self._count(before, -1)
            if place is not None:
                self._placed[w.info.id] = place
                self._count(place, 1)
            self._stale = True

    def _count(self, place: tuple[int, int, Role], count: int) -> None:
        cell, zone, role = place
        self.running[role] += count
        self._in_cells.add(cell, role, count)
        self._in_zones.add(zone, role, count)

    @property
    def writer_heavy_cells(self) -> set[int]:
        """The cells that have a larger part of all writers than of all readers."""
        self._balance()
        return self._writers_cells

    @property
    def writer_heavy_zones(self) -> set[int]:
        """The same of zones."""
        self._balance()
        return self._writers_zones

    def cell_balance(self, w: Worker) -> float:
        """The part of all writers that w's cell has over its part of all readers."""
        self._balance()
        return self._cells.get(w.info.cell, math.inf)

    def zone_balance(self, w: Worker) -> float:
        """The same of w's zone."""
        self._balance()
        return self._zones.get(w.info.zone, math.inf)

    def home_weight(self, w: Worker) -> float:
        """Its weight as a home: reads go where writers are near."""
        return self.home_weights((w,))[w.info.id]

    def home_weights(self, workers: Iterable[Worker]) -> dict[int, float]:
        """The weights of many of them, by number."""
        self._balance()
        lean = {cell: min(LEAN_MOST, max(LEAN_LEAST, part)) for cell, part in self._cells.items()}
        return {w.info.id: lean.get(w.info.cell, LEAN_MOST) for w in workers}

    def _balance(self) -> None:
        if not self._stale:
            return
        self._stale = False
        self._cells = self._in_cells.balances(self.running)
        self._zones = self._in_zones.balances(self.running)
        self._writers_cells = {cell for cell, balance in self._cells.items() if balance > 1}
        self._writers_zones = {zone for zone, balance in self._zones.items() if balance > 1}
