"""How long requests wait at servers, learned for each server and for each role."""

from __future__ import annotations

import math

from .estimate import Estimate
from .gossip import Gossip
from .interface import Role
from .state import Worker

WAIT_DECAY_S = 2.0  # time constant with which a server's wait decays to that of its role
SAMPLE_GAIN = 0.25  # weight of a sample in a server's wait
GAP_GAIN = 0.05  # weight of a sample in the mean time between arrivals
ROLE_GAIN = 0.3  # weight of a sample in a role's wait
ROLE_DECAY_ARRIVALS = 5.0  # arrivals; time constant of a role's wait
ROLE_DECAY_MAX_S = 6.0  # upper bound of that time constant
ROLE_SAMPLE_FACTOR = 2.0  # a sample of a role's wait is bounded by this multiple of the wait
ROLE_SAMPLE_STEP_S = 0.1  # plus this
REPORT_WAIT_S = 0.5  # shorter waits are not reported to other routers


class QueueWaits:
    """Waits for a read, or for a first token, in seconds."""

    def __init__(self, gossip: Gossip) -> None:
        self.by_role = {role: Estimate() for role in Role}
        self.mean_arrival_gap = 0.0  # mean seconds between this router's arrivals
        self.last_arrival = 0.0  # time of the last one
        self._gossip = gossip

    def request_arrived(self, now: float) -> None:
        """Count an arrival in the mean time between arrivals."""
        self.mean_arrival_gap += GAP_GAIN * (
            min(now - self.last_arrival, ROLE_DECAY_MAX_S) - self.mean_arrival_gap
        )
        self.last_arrival = now

    def uses_backlog(self, worker: Worker) -> bool:
        """Whether a server's wait is computed from the reads that all routers report by gossip."""
        return self._gossip.enabled and worker.role is not Role.WRITER

    def sends_rarely(self, servers: int) -> bool:
        """Whether this router sends to each of so many servers too rarely to learn its wait by itself."""
        return self.mean_arrival_gap * servers > WAIT_DECAY_S

    def of_server(self, worker: Worker, now: float) -> float:
        """The expected wait at a server: its backlog, or the wait learned there, which decays to its role's.

        One of many routers sends to each server too rarely to rely on what it learned there."""
        if self.uses_backlog(worker):
            return worker.backlog.wait(now)
        fresh = math.exp((worker.wait_at - now) / WAIT_DECAY_S)
        return fresh * worker.wait + (1 - fresh) * self.of_role(worker.role, now)

    def of_role(self, role: Role, now: float) -> float:
        """The wait common to the servers of a role; it decays while no sample confirms it."""
        return self.by_role[role].decayed(now, self._role_decay_s)

    def learn(self, worker: Worker, sample: float, now: float, expected: float) -> float:
        """Learn from a wait and the expected part of it, in seconds; returns the wait to report to others."""
        unexplained = worker.backlog.wait_observed(sample, expected, now)
        wait = self.of_server(worker, now)
        worker.wait, worker.wait_at = wait + SAMPLE_GAIN * (sample - wait), now
        # Bounded, so that lost answers are not taken for a queue.
        self.learn_of_role(
            worker.role,
            min(sample, ROLE_SAMPLE_FACTOR * self.of_role(worker.role, now) + ROLE_SAMPLE_STEP_S),
            now,
        )
        return unexplained if self.uses_backlog(worker) else sample

    def learn_of_role(self, role: Role, sample: float, now: float) -> None:
        """Learn from a wait that is common to the servers of a role."""
        self.by_role[role].learn(sample, now, ROLE_GAIN, self._role_decay_s)

    def is_outlier(self, worker: Worker, wait: float, now: float) -> bool:
        """Whether a wait at a server is so far above its role's that the other routers should know."""
        return wait > max(REPORT_WAIT_S, ROLE_SAMPLE_FACTOR * self.of_role(worker.role, now))

    @property
    def _role_decay_s(self) -> float:
        return min(ROLE_DECAY_MAX_S, max(WAIT_DECAY_S, ROLE_DECAY_ARRIVALS * self.mean_arrival_gap))
