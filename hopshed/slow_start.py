"""Slow start: what a server that has just started can take, and one router's part of it. No clock, no I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Generic, NamedTuple, TypeVar

from .interface import Role, Settings
from .state import Worker

T = TypeVar("T")
SAFETY = 0.6  # part of the budget in use
FLOOR = 0.3  # sends a second to each server where no peer is warm
LEAST = 1.0  # sends that the bucket holds at the least
FEW_AT_ONCE = 0.5  # sends that a server bears at once, whatever its capacity
EVEN_TIMES = 1.25  # the most that a warm server counts for, against an even share of all
# Servers of a role from which on they are looked at anew after a while only, and that while in s for each
# server: some 100 times what a look costs, and little of the time in which the rate moves.
MANY, RATE_KEPT = 256, 5e-5
WORK_RATE_TIME_CONSTANT_S = 5.0  # s; time constant of the measured rate of work sent to a server


class _Look(NamedTuple, Generic[T]):
    """What a look at all servers of a role has shown, and until when it stands (the loop's clock, in s)."""

    shown: T
    until: float
    many: bool  # of so many servers that sends and changes of the list leave it as it is


class SlowStart:
    def __init__(self, settings: Settings) -> None:
        self.s = settings
        self.warm_rates_before_loss: dict[
            Role, float
        ] = {}  # what a warm server took from us a second before a loss of all
        self._rates: dict[Role, _Look[float]] = {}  # the warm rate, in sends a second
        self._untried: dict[Role, _Look[bool]] = {}  # whether there are warm servers, and none was sent to

    def invalidate(self) -> None:
        """A send or a list has changed what the figures over all servers of a role are made of."""
        self._rates = {role: look for role, look in self._rates.items() if look.many}
        self._untried = {role: look for role, look in self._untried.items() if look.many}

    def is_cold(self, w: Worker, now: float) -> bool:
        return self._age(w, now) < self.s.cold_time

    def _age(self, w: Worker, now: float) -> float:
        return now - (w.info.started if w.info.started is not None else w.listed)

    def capacity_share(self, w: Worker, now: float) -> float:
        """The least part of its capacity that a server has by now; it grows evenly until it is warm."""
        warm = min(1.0, self._age(w, now) / (self.s.cold_time or 1.0))
        return self.s.cold_from + (1 - self.s.cold_from) * warm

    def warm_rate(self, w: Worker, peers: Sequence[Worker], now: float) -> float:
        """Sends a second that a warm server of its role takes from us, as its peers show.

        It counts for so many even shares of all sends at most: where few are warm, they are sent everything.
        """
        return self._shown(self._rates, self._measured_rate, w.role, peers, now)

    def _shown(
        self,
        looks: dict[Role, _Look[T]],
        measure: Callable[[Role, Sequence[Worker], float], T],
        role: Role,
        peers: Sequence[Worker],
        now: float,
    ) -> T:
        """Look at all servers of a role, or go by the last look where that still stands."""
        look = looks.get(role)
        if look is None or now > look.until:
            many = len(peers) >= MANY
            until = now + RATE_KEPT * len(peers) if many else now
            look = looks[role] = _Look(measure(role, peers, now), until, many)
        return look.shown

    def _measured_rate(self, role: Role, peers: Sequence[Worker], now: float) -> float:
        rates = [(p.work_rate.decayed(now, WORK_RATE_TIME_CONSTANT_S), self.is_cold(p, now)) for p in peers]
        warm = [rate for rate, cold in rates if not cold]
        if not warm:
            taken = FLOOR / self.s.instances
        else:
            even = sum(rate for rate, _ in rates) / len(rates)
            taken = min(sum(warm) / len(warm), EVEN_TIMES * even)
        return max(taken, self.warm_rates_before_loss.get(role, 0.0))  # where all are cold, no peer tells

    def start(self, w: Worker, peers: Sequence[Worker], draw: float, now: float) -> None:
        """Set the bucket of a server that has just started; `draw` is uniform from 0 to 1.

        A start by chance lets in the routers whose turn it is, so that the sum over routers holds: as many at
        once as there is room for by chance. A router that has sent nothing to the role yet, and finds warm
        servers there, uses this one as far as it is warm: it draws no more than its part of what comes.
        """
        able = self.capacity_share(w, now)
        if self._shown(self._untried, self._none_sent_to_warm, w.role, peers, now):
            w.cold_level = draw + able
            return
        budget = self.s.fall_multiple * able * self.warm_rate(w, peers, now) * self.s.fall_window
        at_once = (math.sqrt(budget * self.s.instances) + FEW_AT_ONCE) / 2  # of all routers together
        w.cold_level = draw + min(able, at_once / self.s.instances)

    def _none_sent_to_warm(self, role: Role, peers: Sequence[Worker], now: float) -> bool:
        """Whether there are warm peers, and this router has sent nothing to any peer."""
        return any(not self.is_cold(p, now) for p in peers) and not any(p.work_rate.value for p in peers)

    def has_budget(self, w: Worker, peers: Sequence[Worker], now: float) -> bool:
        """Whether a cold server may get one more send from us.

        A token bucket, filled with our part of what it can take. A send that weighs more than one is paid for
        afterwards.
        """
        rate = SAFETY * self.s.fall_multiple * self.capacity_share(w, now) * self.warm_rate(w, peers, now)
        most = max(rate * self.s.fall_window / 2, LEAST)
        w.cold_level, w.cold_at = min(w.cold_level + rate * (now - w.cold_at), most), now
        return w.cold_level >= 1.0
