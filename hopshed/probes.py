"""Which servers to probe, for their load or for signs of life. No clock, no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from .health import SILENT_AFTER, Health
from .interface import Role, ServerState, Settings
from .state import Worker

MIN_AGE = 0.8  # s; younger load reports are not asked for again
MIN_AGE_DRAWN = 0.2  # s; the same of the writers that are drawn for a request
PER_REQUEST, MAX_BUDGET = (
    3.5,
    6.0,
)  # probes for load that a request earns, so that the sum follows the traffic


class Probes:
    """A budget of probes, and the servers that are due for one."""

    def __init__(self, settings: Settings, health: Health) -> None:
        self._allowed = settings.may_probe
        self._for_load = bool(settings.report_fields) and not settings.reports_in_answers
        self._readers_tell = bool({"queued", "backlog_tokens"} & set(settings.report_fields))
        self._health = health
        self._budget = MAX_BUDGET

    def request_arrived(self) -> None:
        """A request has come, which earns some probes."""
        self._budget = min(MAX_BUDGET, self._budget + PER_REQUEST)

    def due_among(self, workers: Iterable[Worker], now: float) -> list[Worker]:
        """Of the writers drawn for a request those whose load is to be asked for; that spends the budget."""
        due = []
        for w in workers:
            if self._budget >= 1 and now - w.load_at >= MIN_AGE_DRAWN:
                self._budget -= 1
                due.append(w)
        return due

    def may_probe(self, w: Worker) -> bool:
        """Whether a probe may be sent now: they are allowed and none is out there."""
        return self._allowed and not w.probe_in_flight

    def due_for_life(self, w: Worker, now: float) -> bool:
        """Whether it is silent, has lost a probe or is to come back from an ejection."""
        back = w.trial and now >= w.ejected and w.life < w.ejected
        lost = w.probe_failures > 0 and now >= w.ejected
        return now - w.probed_at >= SILENT_AFTER / 2 and (back or lost or self._health.is_silent(w, now))

    def due_for_load(self, w: Worker, now: float) -> bool:
        """Whether its load is to be asked for, where only probes tell it."""
        tells = self._readers_tell or w.role is not Role.READER
        return self._for_load and tells and now - w.probed_at >= MIN_AGE and now >= w.ejected

    def due(self, workers: Iterable[Worker], random: Random, now: float) -> list[Worker]:
        """The servers to probe now, those for signs of life first; that spends the budget for load."""
        if not self._allowed:
            return []
        silent: list[Worker] = []
        stale: list[Worker] = []
        for w in workers:
            if not self.may_probe(w) or w.info.state is not ServerState.RUNNING:
                continue
            if self.due_for_life(w, now):
                silent.append(w)
            elif self.due_for_load(w, now):
                stale.append(w)
        if self._budget >= 1:
            # The stalest first, in an order of our own: all routers' probes in step would be lost.
            stale.sort(key=lambda w: (w.probed_at, random.random()))
        stale = stale[: int(self._budget)]
        self._budget -= len(stale)
        return silent + stale
