"""How cells and zones are mixed of readers and writers: from the list alone, so all routers' parts add up."""

from __future__ import annotations

import math
from collections.abc import Iterable

from .interface import Role, ServerState
from .state import Worker

LEAN_LEAST, LEAN_MOST = 0.8, 1.2  # weight as a home: a cell's part of writers over that of readers


class Topology:
    """The balance of readers and writers by cell and zone, over the running servers of the list."""

    def __init__(self) -> None:
        self._alive: list[Worker] = []
        self._known: dict[tuple[str, int], float] = {}
        self.running = dict.fromkeys(Role, 0)  # servers of each role

    def listed(self, workers: Iterable[Worker]) -> None:
        self._known.clear()
        self._alive = [w for w in workers if w.info.state is ServerState.RUNNING]
        roles = [w.role for w in self._alive]
        self.running = {role: roles.count(role) for role in Role}

    def cell(self, w: Worker) -> float:
        """The part of all writers that w's cell has over its part of all readers."""
        return self._balance("cell", w.info.cell)

    def zone(self, w: Worker) -> float:
        """The same of w's zone."""
        return self._balance("zone", w.info.zone)

    def weight(self, w: Worker) -> float:
        """Its weight as a home: reads go where writers are near."""
        return min(LEAN_MOST, max(LEAN_LEAST, self.cell(w)))

    def _balance(self, of: str, place: int) -> float:
        if (of, place) not in self._known:
            here = [w.role for w in self._alive if (w.info.cell if of == "cell" else w.info.zone) == place]
            readers = here.count(Role.READER) * self.running[Role.WRITER]
            writers = here.count(Role.WRITER) * self.running[Role.READER]
            self._known[of, place] = writers / readers if readers else math.inf
        return self._known[of, place]
