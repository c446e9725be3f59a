"""Slow start: the capacity of a server that has just started, and how much of it this router may use.

A server that starts has a part of its capacity, which grows to all of it. Each router limits what it sends to
such a server with a token bucket, filled with its part of what the server can take. No clock, no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from random import Random
from typing import Generic, NamedTuple, TypeVar

from .interface import Role, Settings
from .state import Worker

T = TypeVar("T")
BUDGET_SHARE = 0.6  # part of the permitted rate that is used
MIN_WARM_RATE_PER_S = 0.3  # sends of all routers to each server, assumed where no peer is warm
MIN_BUCKET_SIZE = 1.0  # sends
FIXED_BURST = 0.5  # sends that a server can take at once, whatever its capacity
MAX_EVEN_SHARES = 1.25  # largest rate of a warm server, as a multiple of an even share of all work
# The figures of a role with at least MANY_SERVERS servers are recomputed only after a time in proportion to
# their number. That time is about 100 times what computing them takes, and short against the time in which
# the rate changes.
MANY_SERVERS = 256
CACHE_TIME_PER_SERVER_S = 5e-5
WORK_RATE_TIME_CONSTANT_S = 5.0  # time constant of the rate of work that a server takes


class _CachedFigure(NamedTuple, Generic[T]):
    """A figure computed over all servers of a role."""

    value: T
    valid_until: float  # time on the loop's clock, in seconds
    many: bool  # whether the role has so many servers that attempts and list changes do not invalidate it


class SlowStart:
    """Limits what this router sends to servers in slow start."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        # Work, in mean sends per second, that a warm server took from this router before all servers of its
        # role were lost.
        self.warm_rates_before_loss: dict[Role, float] = {}
        self._warm_rates: dict[Role, _CachedFigure[float]] = {}  # sends per second
        self._none_sent: dict[Role, _CachedFigure[bool]] = {}  # see _none_sent_to_warm
        self._granted: dict[Role, list[Worker]] = {}  # cold servers with a grant for a warm peer

    def record_taken(self, worker: Worker, work: float, now: float) -> None:
        """Record that a server has taken an attempt: it has read it, or its stream has begun.

        An attempt that was turned away, given up or lost does not show what the server can take.
        """
        worker.work_rate.add(work / WORK_RATE_TIME_CONSTANT_S, now, WORK_RATE_TIME_CONSTANT_S)
        self.invalidate()

    def invalidate(self) -> None:
        """Drop cached figures because an attempt or a list has changed what they are computed from."""
        self._warm_rates = {role: figure for role, figure in self._warm_rates.items() if figure.many}
        self._none_sent = {role: figure for role, figure in self._none_sent.items() if figure.many}

    def is_cold(self, worker: Worker, now: float) -> bool:
        """Whether the server is in slow start."""
        return self._age(worker, now) < self._settings.cold_time

    def _age(self, worker: Worker, now: float) -> float:
        """Seconds since the server started, or since it was listed where no start is known."""
        return now - (worker.info.started if worker.info.started is not None else worker.listed)

    def capacity_share(self, worker: Worker, now: float) -> float:
        """The part of its capacity that the server has at least; it grows linearly until it is warm."""
        warm = min(1.0, self._age(worker, now) / (self._settings.cold_time or 1.0))
        return self._settings.cold_from + (1 - self._settings.cold_from) * warm

    def warm_rate(self, worker: Worker, peers: Sequence[Worker], now: float) -> float:
        """Work that a warm server of the role takes from this router, in mean sends per second.

        It is measured at the server's peers. It is at most MAX_EVEN_SHARES times an even share of all work:
        where only few servers are warm, they are sent everything, which may be more than they can take.
        """
        return self._cached(self._warm_rates, self._measured_rate, worker.role, peers, now)

    def _cached(
        self,
        figures: dict[Role, _CachedFigure[T]],
        compute: Callable[[Role, Sequence[Worker], float], T],
        role: Role,
        peers: Sequence[Worker],
        now: float,
    ) -> T:
        """The figure for a role, computed anew where the cached one is no longer valid."""
        figure = figures.get(role)
        if figure is None or now > figure.valid_until:
            many = len(peers) >= MANY_SERVERS
            until = now + CACHE_TIME_PER_SERVER_S * len(peers) if many else now
            figure = figures[role] = _CachedFigure(compute(role, peers, now), until, many)
        return figure.value

    def _measured_rate(self, role: Role, peers: Sequence[Worker], now: float) -> float:
        rates = [
            (peer.work_rate.decayed(now, WORK_RATE_TIME_CONSTANT_S), self.is_cold(peer, now))
            for peer in peers
        ]
        warm = [rate for rate, cold in rates if not cold]
        if not warm:
            measured = MIN_WARM_RATE_PER_S / self._settings.instances
        else:
            even = sum(rate for rate, _ in rates) / len(rates)
            measured = min(sum(warm) / len(warm), MAX_EVEN_SHARES * even)
        # Where all servers are cold, nothing is measured.
        return max(measured, self.warm_rates_before_loss.get(role, 0.0))

    def servers_started(
        self,
        started: Sequence[Worker],
        peers_of: Callable[[Worker], Sequence[Worker]],
        random: Random,
        now: float,
    ) -> None:
        """Set the token buckets of servers that have just started, once all servers of the list are known.

        `peers_of` returns the running servers of a server's role.
        """
        self.invalidate()
        if started:
            self._forget_warm_grants(now)
        for worker in started:
            draw = random.random()
            worker.cold_grant = self._initial_grant(worker, peers_of(worker), now)
            worker.cold_level = draw + worker.cold_grant
        for peers in {worker.role: peers_of(worker) for worker in started}.values():
            self._check_grants(peers, now)

    def _initial_grant(self, worker: Worker, peers: Sequence[Worker], now: float) -> float:
        """Sends that are added to a random initial level from 0 to 1.

        The random level lets only some routers send at once. A router that has sent nothing to the role
        yet and finds warm servers there uses this one to the extent that it is warm, as it sends there no
        more than its part of the requests.
        """
        if not self._cached(self._none_sent, self._none_sent_to_warm, worker.role, peers, now):
            return self._measured_grant(worker, peers, now)
        if self.is_cold(worker, now):
            self._granted.setdefault(worker.role, []).append(worker)
        return self.capacity_share(worker, now)

    def _measured_grant(self, worker: Worker, peers: Sequence[Worker], now: float) -> float:
        """The initial grant by which on average `at_once` of all routers send at once.

        The server has room for about the random variation, a square root, of the sends that it can take in
        the window.
        """
        share = self.capacity_share(worker, now)
        budget = (
            self._settings.fall_multiple
            * share
            * self.warm_rate(worker, peers, now)
            * self._settings.fall_window
        )
        at_once = (math.sqrt(budget * self._settings.instances) + FIXED_BURST) / 2  # sends of all routers
        return min(share, at_once / self._settings.instances)

    def _forget_warm_grants(self, now: float) -> None:
        """Drop the grants of servers that are warm by now."""
        for role, granted in self._granted.items():
            self._granted[role] = [worker for worker in granted if self.is_cold(worker, now)]

    def _check_grants(self, peers: Sequence[Worker], now: float) -> None:
        """Take back what was granted for a warm peer, where all servers of the role turn out to be cold.

        Servers that start together may be listed one after another.
        """
        granted = self._granted.get(peers[0].role) if peers else None
        if not granted or any(not self.is_cold(peer, now) for peer in peers):
            return
        for worker in granted:
            grant = min(worker.cold_grant, self._measured_grant(worker, peers, now))
            worker.cold_level -= worker.cold_grant - grant
            worker.cold_grant = grant
        granted.clear()

    def _none_sent_to_warm(self, role: Role, peers: Sequence[Worker], now: float) -> bool:
        """Whether there are warm peers, and this router has sent nothing to any peer."""
        return any(not self.is_cold(peer, now) for peer in peers) and not any(
            peer.was_sent_to for peer in peers
        )

    def has_budget(self, worker: Worker, peers: Sequence[Worker], now: float) -> bool:
        """Whether this router may send one more request to a cold server.

        Fills the token bucket with this router's part of what the server can take. A request of more than one
        unit of work may take the level below zero.
        """
        rate = (
            BUDGET_SHARE
            * self._settings.fall_multiple
            * self.capacity_share(worker, now)
            * self.warm_rate(worker, peers, now)
        )
        most = max(rate * self._settings.fall_window / 2, MIN_BUCKET_SIZE)
        worker.cold_level, worker.cold_at = min(worker.cold_level + rate * (now - worker.cold_at), most), now
        return worker.cold_level >= 1.0
