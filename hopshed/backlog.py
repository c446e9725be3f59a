"""A server's queue of reads, computed from the reads that all routers report by gossip.

One of many routers sends each server a read only now and then, too rarely to know its queue from its own
reads: a few waits at busy servers would count for all servers, idle ones would be passed over and turns
refused, and the others would be overloaded. Each router therefore reports its reads to all (`gossip.py`).
Servers read in the order of arrival, so the queue is what was sent, less the time since. Errors of this model
(a slow server, lost messages) are measured when a read of this router ends, and decay.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .estimate import Estimate

MAX_QUEUE_S = 10.0  # bounds the effect of wrong or missing messages
READ_RATE_TIME_CONSTANT_S = 5.0  # time constant of the share of its time that a server reads
SLOWDOWN_GAIN = 0.5  # weight of one read's slowdown
SLOWDOWN_DECAY_S = 10.0  # time constant of the slowdown
MAX_SLOWDOWN = 10.0  # upper bound of one read's slowdown
TOLERANCE_S = 0.1  # added to both times in a slowdown, as short reads vary for other reasons
UNEXPLAINED_GAIN = 0.5  # weight of one wait that the queue does not explain
UNEXPLAINED_DECAY_S = 2.0  # time constant of such waits


@dataclass(slots=True)
class Backlog:
    """One server's queue of reads, in seconds of its time."""

    queue: float = 0.0  # work queued at time `at`, in seconds of a server that reads at its role's pace
    at: float = -math.inf  # time of `queue`
    total_sent: float = 0.0  # seconds of reads ever sent
    unexplained_wait: Estimate = field(default_factory=Estimate)  # seconds that reads waited beyond the queue
    read_rate: Estimate = field(default_factory=Estimate)  # seconds of reads sent per second
    extra_slowdown: Estimate = field(default_factory=Estimate)  # slowdown - 1

    def wait(self, now: float) -> float:
        """Seconds that a read sent now has to wait."""
        return self._remaining(now) * self.slowdown(now) + self.unexplained_wait.decayed(
            now, UNEXPLAINED_DECAY_S
        )

    def slowdown(self, now: float) -> float:
        """The time that a read takes here as a multiple of that at its role's pace, at least 1."""
        return 1.0 + self.extra_slowdown.decayed(now, SLOWDOWN_DECAY_S)

    def _remaining(self, now: float) -> float:
        return max(0.0, self.queue - (now - self.at) / self.slowdown(now)) if self.queue else 0.0

    def add(self, work: float, now: float) -> float:
        """Add a read of `work` seconds to the queue; returns its mark, to be given to `read_ended`."""
        self.queue, self.at = min(MAX_QUEUE_S, self._remaining(now) + work), now
        self.total_sent += work
        self.read_rate.add(work / READ_RATE_TIME_CONSTANT_S, now, READ_RATE_TIME_CONSTANT_S)
        return self.total_sent

    def read_ended(self, mark: float, took: float, expected: float, now: float) -> None:
        """A read has ended: the queue holds only what was sent after it.

        `took` and `expected` are its seconds from sending; `expected` as computed when it was sent."""
        slowdown = self.slowdown(now) * (took + TOLERANCE_S) / (expected + TOLERANCE_S)
        self.extra_slowdown.learn(
            min(MAX_SLOWDOWN, max(1.0, slowdown)) - 1.0, now, SLOWDOWN_GAIN, SLOWDOWN_DECAY_S
        )
        self.queue, self.at = min(MAX_QUEUE_S, self.total_sent - mark), now

    def wait_observed(self, wait: float, expected: float, now: float) -> float:
        """Learn from the seconds that a read waited; returns those that the queue does not explain."""
        unexplained = max(0.0, wait - expected)
        self.unexplained_wait.learn(unexplained, now, UNEXPLAINED_GAIN, UNEXPLAINED_DECAY_S)
        return unexplained

    def wait_reported(self, unexplained: float, now: float) -> None:
        """Learn the unexplained seconds of waiting that another router reports."""
        self.unexplained_wait = Estimate(
            max(unexplained, self.unexplained_wait.decayed(now, UNEXPLAINED_DECAY_S)), now
        )

    def read_share(self, now: float) -> float:
        """The share of its time that the server currently spends on reading."""
        return self.read_rate.decayed(now, READ_RATE_TIME_CONSTANT_S)
