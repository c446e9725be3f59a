"""How long requests wait at servers: learnt at each, and for each role. No clock, no I/O."""

from __future__ import annotations

import math

from .estimate import Estimate
from .gossip import Gossip
from .interface import Role
from .state import Worker

WAIT_DECAY = 2.0  # s in which a wait learnt at a server fades to its role's
SAMPLE_GAIN = 0.25  # weight of a sample in a server's wait
GAP_GAIN = 0.05  # weight of a sample in the mean time between arrivals
ROLE_GAIN = 0.3  # weight of a sample in a role's wait
ROLE_TURNS = 5.0  # arrivals in which a role's wait fades
ROLE_SPAN_MAX = 6.0  # s in which it fades at the longest
ROLE_RISE, ROLE_STEP = 2.0, 0.1  # a sample counts as so many times a role's wait plus so many s at most
TELL_WAIT = 0.5  # s; longer waits, if they are far over the role's, are told to the other routers


class QueueWaits:
    """Waits for a read, or for a first token, in s."""

    def __init__(self, gossip: Gossip) -> None:
        self.by_role = {role: Estimate() for role in Role}
        self.mean_arrival_gap, self.last_arrival = (
            0.0,
            0.0,
        )  # mean time between this router's arrivals in s, and the last one
        self._gossip = gossip

    def request_arrived(self, now: float) -> None:
        """A request has come."""
        self.mean_arrival_gap += GAP_GAIN * (
            min(now - self.last_arrival, ROLE_SPAN_MAX) - self.mean_arrival_gap
        )
        self.last_arrival = now

    def uses_backlog(self, w: Worker) -> bool:
        """Whether a server's queue is judged by what routers tell one another of their reads."""
        return self._gossip.enabled and w.role is not Role.WRITER

    def meets_servers_rarely(self, servers: int) -> bool:
        """Whether this router is one of so many that it meets each server too seldom to know it by itself."""
        return self.mean_arrival_gap * servers > WAIT_DECAY

    def of_server(self, w: Worker, now: float) -> float:
        """A server's queue, where routers tell one another of that. Else the wait learnt there, fading to its
        role's: one router of many sees each server too rarely."""
        if self.uses_backlog(w):
            return w.backlog.wait(now)
        fresh = math.exp((w.wait_at - now) / WAIT_DECAY)
        return fresh * w.wait + (1 - fresh) * self.of_role(w.role, now)

    def of_role(self, role: Role, now: float) -> float:
        """The wait common to the servers of a role; it fades when nothing confirms it."""
        return self.by_role[role].decayed(now, self._span)

    def learn(self, w: Worker, sample: float, now: float, believed: float) -> float:
        """Take in a wait at a server, of which so much was believed; the wait that others should know of."""
        excess = w.backlog.wait_observed(sample, believed, now)
        wait = self.of_server(w, now)
        w.wait, w.wait_at = wait + SAMPLE_GAIN * (sample - wait), now
        # Bounded, for lost answers must not pass for a crowd.
        self.learn_of_role(w.role, min(sample, ROLE_RISE * self.of_role(w.role, now) + ROLE_STEP), now)
        return excess if self.uses_backlog(w) else sample

    def learn_of_role(self, role: Role, sample: float, now: float) -> None:
        """Take in a wait as one that is common to a role."""
        self.by_role[role].learn(sample, now, ROLE_GAIN, self._span)

    def is_outlier(self, w: Worker, wait: float, now: float) -> bool:
        """Whether a wait at a server is so far over its role's that the other routers should know."""
        return wait > max(TELL_WAIT, ROLE_RISE * self.of_role(w.role, now))

    @property
    def _span(self) -> float:
        return min(ROLE_SPAN_MAX, max(WAIT_DECAY, ROLE_TURNS * self.mean_arrival_gap))
