"""How much is admitted while service returns: the worthiest work always, the rest by a bucket whose rate
follows how the worthiest fares.

It counts turns: what a turn's work is has to be learnt anew after a start, and was found three times too much
at first. The rate is this router's part, one of all that the settings name: how many others are seen is no
ground to take more, so a parted fleet's shares sum to one.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum

from ..levels.estimators import DecayingRate, DecayingRatio
from ..levels.fairness import max_min
from ..levels.turns import RefusalLoss, Turn, TurnKind
from .settings import RecoverySettings

DEPTH = 1.0  # s of the rate that the bucket holds; one turn at least
LEAST = 0.1  # turns a second, with which a rate begins and under which it ends
LATE_SPAN, DEMAND_SPAN = 1.0, 2.0  # s
BEGIN = 0.5  # part of what is warm with which a rate begins, if that is more
AHEAD = 2.0  # times what is asked for, which is as good as all
CUT_AGAIN = 1.0  # s after a cut in which what was taken before it may still be late
OVER_PART = 0.3  # of the bucket that a client beyond its part must leave to others
RETRY_LEAST, RETRY_MOST = 0.5, 5.0  # s, of advice
REFUSED_MOST = 0.02  # part of what is asked for, refused; more, and it does not fit


class Rank(IntEnum):
    """Who goes first."""

    BACK = 0  # the rest of a stream that broke
    TOP = 1  # the class of the highest worth for its work
    UNDER_WAY = 2  # a session whose text still stands
    NEW = 3
    BEYOND = 4  # beyond a share, or a client's own repeat


# Part of the bucket that a rank leaves to the better ones. Streams that come back and the worthiest class
# take none of it: the module refuses what of them finds no room, and limits here only lost worth.
LINES = {Rank.UNDER_WAY: 0.0, Rank.NEW: 0.3, Rank.BEYOND: 0.6}


def rank(kind: TurnKind, top: frozenset[int]) -> Rank:
    if kind.refusal_loss is RefusalLoss.RESUMED_STREAM:
        return Rank.BACK
    if kind.over_share:
        return Rank.BEYOND
    if kind.cls in top:
        return Rank.TOP
    if kind.refusal_loss is RefusalLoss.CLIENT_RETRY:
        return Rank.BEYOND
    return Rank.UNDER_WAY if kind.refusal_loss is RefusalLoss.OPEN_SESSION else Rank.NEW


class Ramp:
    def __init__(self, settings: RecoverySettings, weights: Sequence[float], now: float) -> None:
        """`weights` = the clients' shares; none of them known = one client."""
        self.settings, self._weights = settings, list(weights) or [1.0]
        self.rate = 0.0  # turns a second, of the ranks that have a line
        self.late = DecayingRatio(LATE_SPAN, 0.0)  # worth that was late or lost
        self._level, self._at = 0.0, now
        self._looked = self._cut_at = now
        self._beyond = 1.0  # times what is shown, that is tried
        self._asked = [DecayingRate(DEMAND_SPAN, now) for _ in self._weights]  # turns a second by client
        self._got = [DecayingRate(DEMAND_SPAN, now) for _ in self._weights]
        self._first, self._refused = DecayingRate(DEMAND_SPAN, now), DecayingRate(DEMAND_SPAN, now)

    # ---- the rate ----

    def look(self, now: float, warm: float, opens: bool) -> None:
        """Once in a while. `warm` = turns a second that the warm part of the fleet has been shown to do for
        this router; `opens` = answers come, so that there is something to judge by.

        The fleet may have been asked for less than it can do: what is tried rises while answers are in
        time."""
        s, seconds = self.settings, now - self._looked
        self._looked = now
        self._refill(now)
        if self.late.at(now) >= s.late or not opens:
            if now - self._cut_at >= CUT_AGAIN:
                self.rate, self._cut_at = self.rate * s.cut, now
                self._beyond = max(1.0, self._beyond * s.cut)
                self.rate = self.rate if self.rate >= LEAST else 0.0
        elif not self.fits(now):
            self.rate = max(self.rate * s.grow**seconds, BEGIN * warm, LEAST)
            if self.rate >= self._beyond * warm:
                self._beyond *= s.grow**seconds
        most = max(self._beyond * warm, LEAST)
        self.rate = min(self.rate, most, max(LEAST, AHEAD * self._asks(now)))

    @property
    def _size(self) -> float:
        return max(1.0, self.rate * DEPTH)

    def _refill(self, now: float) -> None:
        self._level = min(self._size, self._level + self.rate * (now - self._at))
        self._at = now

    # ---- turns ----

    def admits(self, turn: Turn, top: frozenset[int], now: float) -> bool:
        self._refill(now)
        self._asked[turn.tenant].add(1.0, now)
        place = rank(turn.kind, top)
        if place <= Rank.TOP:
            self._first.add(1.0, now)
        elif self.rate <= 0 or self._level < 1.0 + self._line(place, turn.tenant, now) * (self._size - 1.0):
            self._refused.add(1.0, now)
            return False
        else:
            self._level -= 1.0
        self._got[turn.tenant].add(1.0, now)
        return True

    def _line(self, place: Rank, tenant: int, now: float) -> float:
        """Part of the bucket that must be left. A client that has its max-min part already leaves some to
        those who have not."""
        asked, whole = [rate.at(now) for rate in self._asked], self.rate + self._first.at(now)
        part = max_min(asked, self._weights, whole)[tenant]
        beyond = sum(asked) > whole and self._got[tenant].at(now) >= part
        return LINES[place] + (OVER_PART if beyond else 0.0)

    def fits(self, now: float) -> bool:
        """Whether all that is asked for is admitted."""
        return self._refused.at(now) <= REFUSED_MOST * self._asks(now)

    def _asks(self, now: float) -> float:
        return sum(rate.at(now) for rate in self._asked)

    def retry_after(self, now: float) -> tuple[float, float]:
        """s, least and most: what is refused in a second comes back over so many that it fits the rate."""
        over = self._refused.at(now) / max(self.rate, LEAST)
        most = min(RETRY_MOST, RETRY_LEAST * (1.0 + over))
        return most / 2.0, most

    def figures(self, now: float) -> dict[str, float]:
        """Turns a second: of the lesser admitted at most, asked, refused; and the worth's late part."""
        return {
            "rate": round(self.rate, 2), "asked": round(self._asks(now), 2),
            "refused": round(self._refused.at(now), 2), "late": round(self.late.at(now), 3),
        }  # fmt: skip
