"""What a server that reads has before it, by what all routers say they sent there. No clock, no I/O.

One router of many sends each server a read now and then and sees its queue too rarely to know it: it
believed the waits of a few busy servers of all the others, refused turns that idle ones would have read, and
crowded the rest. Each router tells the others of its reads (`gossip.py`); a server reads first come, first
served, so what was sent less the time since then is its queue. What is wrong with that (a slow server, words
that were lost) shows when a read of our own ends, and fades.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .estimate import Estimate

QUEUE_MOST = 10.0  # s; a word that is wrong, or none of a router's, makes a server passed over no longer
RATE_MEMORY = 5.0  # s; time constant of the part of its time that a server reads
SLOW_GAIN, SLOW_FADES, SLOW_MOST = 0.5, 10.0, 10.0  # weight of a read's time over what was expected; s; bound
LEAST = 0.1  # s that reads may differ by for reasons that are no pace
EXCESS_GAIN, EXCESS_FADES = 0.5, 2.0  # weight of a wait that the queue does not explain; s in which it fades


@dataclass(slots=True)
class Backlog:
    """One server's queue of reads, in s of its time."""

    queue: float = 0.0  # at `at`, in s of a server of the common pace
    at: float = -math.inf
    total_sent: float = 0.0  # all that was ever sent
    unexplained_wait: Estimate = field(
        default_factory=Estimate
    )  # what reads waited beyond the queue that was believed
    read_rate: Estimate = field(default_factory=Estimate)
    extra_slowdown: Estimate = field(
        default_factory=Estimate
    )  # how much slower than the common pace; 0 = not at all

    def wait(self, now: float) -> float:
        """How long a read that is sent now has to wait."""
        return self._remaining(now) * self.slowdown(now) + self.unexplained_wait.decayed(now, EXCESS_FADES)

    def slowdown(self, now: float) -> float:
        """How many times the common pace's time a read takes there."""
        return 1.0 + self.extra_slowdown.decayed(now, SLOW_FADES)

    def _remaining(self, now: float) -> float:
        return max(0.0, self.queue - (now - self.at) / self.slowdown(now)) if self.queue else 0.0

    def add(self, work: float, now: float) -> float:
        """A read is sent there; returns its mark for `read`."""
        self.queue, self.at = min(QUEUE_MOST, self._remaining(now) + work), now
        self.total_sent += work
        self.read_rate.add(work / RATE_MEMORY, now, RATE_MEMORY)
        return self.total_sent

    def read_ended(self, mark: float, took: float, expected: float, now: float) -> None:
        """A read has ended: what was sent before it has been read, what came after it has not.

        `took`, `expected` = s, the latter as believed when it was sent."""
        ratio = self.slowdown(now) * (took + LEAST) / (expected + LEAST)
        self.extra_slowdown.learn(min(SLOW_MOST, max(1.0, ratio)) - 1.0, now, SLOW_GAIN, SLOW_FADES)
        self.queue, self.at = min(QUEUE_MOST, self.total_sent - mark), now

    def wait_observed(self, wait: float, believed: float, now: float) -> float:
        """A read waited so long where so much was believed; returns what the queue did not explain."""
        excess = max(0.0, wait - believed)
        self.unexplained_wait.learn(excess, now, EXCESS_GAIN, EXCESS_FADES)
        return excess

    def wait_reported(self, excess: float, now: float) -> None:
        """Another router waited so much longer than the queue explains."""
        self.unexplained_wait = Estimate(max(excess, self.unexplained_wait.decayed(now, EXCESS_FADES)), now)

    def read_share(self, now: float) -> float:
        """The part of its time that the server spends on reading, of late."""
        return self.read_rate.decayed(now, RATE_MEMORY)
