"""Slow start: what a server that has just started can take, and one router's part of it. No clock, no I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .interface import Role, Settings
from .state import Worker

SAFETY, FLOOR, LEAST = 0.6, 0.3, 2.0  # part of the budget in use; sends a s where no peer is warm; bucket
WORK_MEMORY = 5.0  # s; time constant of the measured rate of work sent to a server


class SlowStart:
    def __init__(self, settings: Settings) -> None:
        self.s = settings
        self.took: dict[Role, float] = {}  # what a warm server took from us a second before a loss of all

    def cold(self, w: Worker, now: float) -> bool:
        return self._age(w, now) < self.s.cold_time

    def _age(self, w: Worker, now: float) -> float:
        return now - (w.info.started if w.info.started is not None else w.listed)

    def able(self, w: Worker, now: float) -> float:
        """The least part of its capacity that a server has by now; it grows evenly until it is warm."""
        warm = min(1.0, self._age(w, now) / (self.s.cold_time or 1.0))
        return self.s.cold_from + (1 - self.s.cold_from) * warm

    def room(self, w: Worker, peers: Sequence[Worker], now: float) -> float:
        """Token bucket: our part of what a cold server can take, by what its warm peers get from us. Where it
        is under one send, a start by chance lets in the routers whose turn it is, so that the sum holds: as
        large a part of them at once as it has of its capacity: it is warm before each has had its turn."""
        taken = [p.work.faded(now, WORK_MEMORY) for p in peers if not self.cold(p, now)]
        warm = sum(taken) / len(taken) if taken else FLOOR / self.s.instances
        warm = max(warm, self.took.get(w.role, 0.0))  # where all are cold, no peer tells
        rate = SAFETY * self.s.fall_multiple * self.s.cold_from * warm
        most = max(rate * self.s.fall_window / 2, LEAST)
        w.cold_level, w.cold_at = min(w.cold_level + rate * (now - w.cold_at), most), now
        return w.cold_level
