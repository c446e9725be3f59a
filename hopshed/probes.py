"""Which servers to probe, for their load or for signs of life. No clock, no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from .health import SILENT_AFTER_S, Health
from .interface import Role, ServerState, Settings
from .state import Worker

MIN_PROBE_INTERVAL_S = 0.8  # least time between probes for the load of one server
MIN_REPORT_AGE_S = 0.2  # writers considered for a request are not probed while their load report is younger
# Probes for load are limited to a budget that requests earn, so that their rate follows the traffic.
PROBES_PER_REQUEST = 3.5  # probes
MAX_BUDGET = 6.0  # probes


class Probes:
    """The budget of probes for load, and the servers that are due for a probe."""

    def __init__(self, settings: Settings, health: Health) -> None:
        self._allowed = settings.may_probe
        self._for_load = bool(settings.report_fields) and not settings.reports_in_answers
        self._readers_report_queues = bool({"queued", "backlog_tokens"} & set(settings.report_fields))
        self._health = health
        self._budget = MAX_BUDGET

    def request_arrived(self) -> None:
        """A request arrived, which adds to the budget."""
        self._budget = min(MAX_BUDGET, self._budget + PROBES_PER_REQUEST)

    def due_among(self, workers: Iterable[Worker], now: float) -> list[Worker]:
        """The writers to probe for load of those considered for a request; spends the budget."""
        due = []
        for worker in workers:
            if self._budget >= 1 and now - worker.load_at >= MIN_REPORT_AGE_S:
                self._budget -= 1
                due.append(worker)
        return due

    def may_probe(self, worker: Worker) -> bool:
        """Whether probes are permitted and none is out to this server."""
        return self._allowed and not worker.probe_in_flight

    def due_for_liveness(self, worker: Worker, now: float) -> bool:
        """Whether to probe for a sign of life: the server is silent, lost a probe or may end its ejection."""
        returning = worker.trial and now >= worker.ejected and worker.life < worker.ejected
        lost = worker.probe_failures > 0 and now >= worker.ejected
        return now - worker.probed_at >= SILENT_AFTER_S / 2 and (
            returning or lost or self._health.is_silent(worker, now)
        )

    def due_for_load(self, worker: Worker, now: float) -> bool:
        """Whether to probe for the server's load, where only answers to probes report it."""
        reports = self._readers_report_queues or worker.role is not Role.READER
        return (
            self._for_load
            and reports
            and now - worker.probed_at >= MIN_PROBE_INTERVAL_S
            and now >= worker.ejected
        )

    def due(self, workers: Iterable[Worker], random: Random, now: float) -> list[Worker]:
        """The servers to probe now, those for signs of life first. Probes for load spend the budget."""
        if not self._allowed:
            return []
        silent: list[Worker] = []
        stale: list[Worker] = []
        for worker in workers:
            if not self.may_probe(worker) or worker.info.state is not ServerState.RUNNING:
                continue
            if self.due_for_liveness(worker, now):
                silent.append(worker)
            elif self.due_for_load(worker, now):
                stale.append(worker)
        if self._budget >= 1:
            # Least recently probed first, equals in random order: probes that all routers send to one server
            # at the same time would be lost.
            stale.sort(key=lambda worker: (worker.probed_at, random.random()))
        stale = stale[: int(self._budget)]
        self._budget -= len(stale)
        return silent + stale
