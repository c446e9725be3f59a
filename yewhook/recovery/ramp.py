"""How many turns are admitted while service returns.

Resumed streams and the top class, that of the highest worth per unit of work, are always admitted. The other
turns pass a token bucket whose rate depends on the share of worth that is late. The bucket counts turns, not
their work: the estimate of work has to be learnt anew after a start, and was three times too high at first.

The rate is this router's part of the fleet's: one of as many as the settings name, however many other routers
are seen, so that the rates in a partitioned fleet do not sum to more than the whole.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum

from ..levels.estimators import DecayingRate, DecayingRatio
from ..levels.fairness import max_min
from ..levels.turns import RefusalLoss, Turn, TurnKind
from .settings import RecoverySettings

BUCKET_DEPTH_S = 1.0  # of the rate that the bucket holds; at least one turn
MIN_TURNS_PER_S = 0.1  # a rate starts at this, and becomes 0 below it
LATE_TIME_CONSTANT_S = 1.0  # of the late share
DEMAND_TIME_CONSTANT_S = 2.0  # of demand, admitted and refused turns
INITIAL_RATE_SHARE = 0.5  # of the proven turn rate, if that is over the minimum
MAX_DEMAND_MULTIPLE = 2.0  # bounds the rate; at this multiple of the demand all of it is admitted
MIN_CUT_INTERVAL_S = 1.0  # for so long after a cut, turns that were admitted before it can still end late
OVER_SHARE_RESERVE = 0.3  # share of the bucket that a tenant beyond its share must leave to others
BASE_RETRY_AFTER_S = 0.5  # longest wait that is advised when no turns are refused
MAX_RETRY_AFTER_S = 5.0  # longest wait that is ever advised
MAX_REFUSED_SHARE = 0.02  # of the demand, up to which all of it counts as admitted


class Rank(IntEnum):
    """The precedence of a turn, the highest first."""

    RESUMED_STREAM = 0  # the rest of a stream that broke
    TOP_CLASS = 1  # a class of the highest worth per unit of work
    OPEN_SESSION = 2  # a session whose text is still cached
    NEW_SESSION = 3
    OVER_SHARE_OR_RETRY = 4  # beyond its tenant's share, or a client's own retry


# Share of the bucket that a rank leaves to the better ones. Resumed streams and the top class do not draw on
# the bucket: the module refuses those that find no room, and limiting them here too only lost worth.
RESERVED_BUCKET_SHARE = {Rank.OPEN_SESSION: 0.0, Rank.NEW_SESSION: 0.3, Rank.OVER_SHARE_OR_RETRY: 0.6}


def rank(kind: TurnKind, top_classes: frozenset[int]) -> Rank:
    """The rank of a kind of turns."""
    if kind.refusal_loss is RefusalLoss.RESUMED_STREAM:
        return Rank.RESUMED_STREAM
    if kind.over_share:
        return Rank.OVER_SHARE_OR_RETRY
    if kind.cls in top_classes:
        return Rank.TOP_CLASS
    if kind.refusal_loss is RefusalLoss.CLIENT_RETRY:
        return Rank.OVER_SHARE_OR_RETRY
    return Rank.OPEN_SESSION if kind.refusal_loss is RefusalLoss.OPEN_SESSION else Rank.NEW_SESSION


class Ramp:
    """Admits turns at a rate that rises while answers are in time and is cut when they are late."""

    def __init__(self, settings: RecoverySettings, weights: Sequence[float], now: float) -> None:
        """`weights` = the tenants' shares; without any, all turns belong to one tenant."""
        self.settings, self._weights = settings, list(weights) or [1.0]
        self.rate = 0.0  # turns per second, of the ranks that draw on the bucket
        self.lateness = DecayingRatio(LATE_TIME_CONSTANT_S, 0.0)  # share of worth that was late or lost
        self._tokens, self._refilled_at = 0.0, now
        self._updated_at = self._cut_at = now
        self._probe_factor = 1.0  # the rate is tried up to this multiple of the proven turn rate
        # Turns per second by tenant
        self._demand = [DecayingRate(DEMAND_TIME_CONSTANT_S, now) for _ in self._weights]
        self._admitted = [DecayingRate(DEMAND_TIME_CONSTANT_S, now) for _ in self._weights]
        # Turns per second of the ranks that do not draw on the bucket, and refused ones
        self._exempt, self._refused = (
            DecayingRate(DEMAND_TIME_CONSTANT_S, now),
            DecayingRate(DEMAND_TIME_CONSTANT_S, now),
        )

    # ---- the rate ----

    def update(self, now: float, proven: float, answering: bool) -> None:
        """Adapts the rate; to be called periodically.

        `proven` = turns per second that the warm part of the fleet served for this router before;
        `answering` = answers arrive, so that lateness is meaningful. The fleet may be able to serve more than
        it was asked for before, so the multiple of `proven` that is tried rises while answers are in time.
        """
        settings, seconds = self.settings, now - self._updated_at
        self._updated_at = now
        self._refill(now)
        if self.lateness.at(now) >= settings.late or not answering:
            if now - self._cut_at >= MIN_CUT_INTERVAL_S:
                self.rate, self._cut_at = self.rate * settings.cut, now
                self._probe_factor = max(1.0, self._probe_factor * settings.cut)
                self.rate = self.rate if self.rate >= MIN_TURNS_PER_S else 0.0
        elif not self.all_admitted(now):
            self.rate = max(self.rate * settings.grow**seconds, INITIAL_RATE_SHARE * proven, MIN_TURNS_PER_S)
            if self.rate >= self._probe_factor * proven:
                self._probe_factor *= settings.grow**seconds
        max_rate = max(self._probe_factor * proven, MIN_TURNS_PER_S)
        self.rate = min(
            self.rate, max_rate, max(MIN_TURNS_PER_S, MAX_DEMAND_MULTIPLE * self._total_demand(now))
        )

    @property
    def _bucket_size(self) -> float:
        return max(1.0, self.rate * BUCKET_DEPTH_S)

    def _refill(self, now: float) -> None:
        self._tokens = min(self._bucket_size, self._tokens + self.rate * (now - self._refilled_at))
        self._refilled_at = now

    # ---- turns ----

    def admits(self, turn: Turn, top_classes: frozenset[int], now: float) -> bool:
        """Whether an arriving turn is admitted; takes a token from the bucket if its rank needs one."""
        self._refill(now)
        self._demand[turn.tenant].add(1.0, now)
        turn_rank = rank(turn.kind, top_classes)
        if turn_rank <= Rank.TOP_CLASS:
            self._exempt.add(1.0, now)
        elif self.rate <= 0 or self._tokens < 1.0 + self._reserved_share(turn_rank, turn.tenant, now) * (
            self._bucket_size - 1.0
        ):
            self._refused.add(1.0, now)
            return False
        else:
            self._tokens -= 1.0
        self._admitted[turn.tenant].add(1.0, now)
        return True

    def _reserved_share(self, turn_rank: Rank, tenant: int, now: float) -> float:
        """The share of the bucket that must be left.

        It is larger for a tenant that already has its max-min fair share while the demand exceeds the total.
        """
        demand, total = [rate.at(now) for rate in self._demand], self.rate + self._exempt.at(now)
        fair_share = max_min(demand, self._weights, total)[tenant]
        over_share = sum(demand) > total and self._admitted[tenant].at(now) >= fair_share
        return RESERVED_BUCKET_SHARE[turn_rank] + (OVER_SHARE_RESERVE if over_share else 0.0)

    def all_admitted(self, now: float) -> bool:
        """Whether practically the whole demand is admitted."""
        return self._refused.at(now) <= MAX_REFUSED_SHARE * self._total_demand(now)

    def _total_demand(self, now: float) -> float:
        return sum(rate.at(now) for rate in self._demand)

    def retry_after(self, now: float) -> tuple[float, float]:
        """The shortest and the longest wait to advise, in seconds.

        The turns refused in one second then come back over as long as the rate takes to admit them.
        """
        excess = self._refused.at(now) / max(self.rate, MIN_TURNS_PER_S)
        longest = min(MAX_RETRY_AFTER_S, BASE_RETRY_AFTER_S * (1.0 + excess))
        return longest / 2.0, longest

    def report(self, now: float) -> dict[str, float]:
        """For operators, in turns per second: the rate of the bucket, the demand, and the refused turns.

        `late` is the share of worth that is late.
        """
        return {
            "rate": round(self.rate, 2),
            "asked": round(self._total_demand(now), 2),
            "refused": round(self._refused.at(now), 2),
            "late": round(self.lateness.at(now), 3),
        }
