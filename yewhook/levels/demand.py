"""How much work is requested, by kind of turn and by tenant."""

from __future__ import annotations

from hopshed.interface import Settings

from .estimators import DecayingRate
from .turns import Turn, TurnKind

ADMISSION_TIME_CONSTANT_S = 10.0  # of the rates that decide how many turns are admitted
LEVEL_TIME_CONSTANT_S = 30.0  # of the rate that decides the level, which should change seldom


class Demand:
    """Rates of requested work, in units of work per second."""

    def __init__(self, settings: Settings, now: float) -> None:
        self._started_at = now
        self.tenant_count = max(1, len(settings.tenants))
        self._kinds: list[dict[TurnKind, DecayingRate]] = [{} for _ in range(self.tenant_count)]
        self._arrived = DecayingRate(ADMISSION_TIME_CONSTANT_S, now)
        self._decided = DecayingRate(LEVEL_TIME_CONSTANT_S, now)

    def turn_arrived(self, turn: Turn, now: float) -> None:
        """Counts a turn when it arrives."""
        kinds = self._kinds[turn.tenant]
        if turn.kind not in kinds:  # bounded: number of classes x members of RefusalLoss x 4
            kinds[turn.kind] = DecayingRate(ADMISSION_TIME_CONSTANT_S, self._started_at)
        kinds[turn.kind].add(turn.work, now)
        self._arrived.add(turn.work, now)

    def turn_decided(self, turn: Turn, now: float) -> None:
        """Counts a turn when it is first sent to a server, or ends without having been sent.

        A turn that still waits is neither served nor missed, so it is not counted on arrival.
        """
        # A retry asks again for work already counted: counted twice, retries alone could hold a level.
        if not turn.repeat:
            self._decided.add(turn.work, now)

    def arrival_rates(self, tenant: int, now: float) -> dict[TurnKind, float]:
        """Work per second that a tenant requests, by kind of turn, retries included."""
        return {kind: rate.at(now) for kind, rate in self._kinds[tenant].items()}

    def arrival_rate(self, now: float) -> float:
        """Work per second that all tenants request, retries included."""
        return self._arrived.at(now)

    def decided_rate(self, now: float) -> float:
        """Work per second of the turns that were sent or ended unsent, without retries."""
        return self._decided.at(now)
