"""How much work comes and how much of it is taken, by kind of turn and by client."""

from __future__ import annotations

from hopshed.interface import Settings

from .estimators import DecayingRate
from .turns import Turn, TurnKind

SPAN = 10.0  # s; time constant of the rates by which turns are admitted
LEVEL_SPAN = 30.0  # s; of the one by which the level is judged, which is to change seldom


class Demand:
    def __init__(self, settings: Settings, now: float) -> None:
        self._began = now
        self.tenants = max(1, len(settings.tenants))
        self._kinds: list[dict[TurnKind, DecayingRate]] = [{} for _ in range(self.tenants)]
        self._all, self._first = DecayingRate(SPAN, now), DecayingRate(LEVEL_SPAN, now)

    def came(self, turn: Turn, now: float) -> None:
        kinds = self._kinds[turn.tenant]
        if turn.kind not in kinds:  # their number is bounded: classes x standings x 4
            kinds[turn.kind] = DecayingRate(SPAN, self._began)
        kinds[turn.kind].add(turn.work, now)
        self._all.add(turn.work, now)

    def decided(self, turn: Turn, now: float) -> None:
        """A turn was sent to a server for the first time, or ended without that.

        What is asked counts here and not when it comes, for what is still held is neither done nor missed.
        """
        # Repeats ask again for what was counted before: counted twice, they would keep a level up by
        # themselves.
        if not turn.repeat:
            self._first.add(turn.work, now)

    def by_kind(self, tenant: int, now: float) -> dict[TurnKind, float]:
        """Work a second that a client asks for, its repeats included."""
        return {kind: rate.at(now) for kind, rate in self._kinds[tenant].items()}

    def all(self, now: float) -> float:
        """Work a second that comes, repeats included."""
        return self._all.at(now)

    def asked(self, now: float) -> float:
        """Work a second that was asked for and decided on, repeats not included."""
        return self._first.at(now)
