"""Which level: fast down, slow up, one level up at a time, and later each time after a leave that failed."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from .level import Level, Signals
from .settings import ServiceLevelSettings

PAUSE = 3.0  # s between two looks after which the process must have stood still


@dataclass(frozen=True, slots=True)
class Change:
    """One change of level, with the condition that brought it about."""

    before: Level
    after: Level
    condition: str  # the signal, `calm`, `pinned`, `pin ended` or `configuration`
    value: float  # of the signal
    threshold: float  # that it passed
    lasted: float  # s that the level before lasted


@dataclass(frozen=True, slots=True)
class Pin:
    level: Level
    until: float
    reason: str


class LevelStateMachine:
    """The state between looks. `spread` in 0 to 1 is drawn by the router's seed."""

    def __init__(self, settings: ServiceLevelSettings, spread: float, now: float) -> None:
        self.settings, self._spread = settings, spread
        self.level, self.since = Level.FULL, now
        self.pin: Pin | None = None
        self._looked = now
        self._over: dict[Level, float] = {}  # since when one of a level's conditions is at its threshold
        self._calm: float | None = None  # since when all of this level's are below what it is left at
        self._left: dict[Level, float] = {}  # when a level was last left for a better one
        self._backoff: dict[Level, float] = {}

    @property
    def calm(self) -> bool:
        """Whether all that this level is left at holds at present, if not yet for long."""
        return self._calm is not None

    def wait(self, level: Level) -> float:
        """s of calm that leaving this level takes at present."""
        s = self.settings
        first = s.leave_after * (1.0 + s.leave_spread * self._spread)
        return min(s.leave_most, first * self._backoff.get(level, 1.0))

    def step(self, now: float, signals: Signals) -> Change | None:
        """Look once; the change that this look brings, if any."""
        paused, self._looked = now - self._looked > PAUSE, now
        if paused:  # what was seen before it says nothing of now, and no calm was seen meanwhile
            self._over, self._calm = {}, None
        if self.pin is not None:
            return self._pinned(now, self.pin)
        return self._down(now, signals) or self._up(now, signals)

    def _down(self, now: float, signals: Signals) -> Change | None:
        for level in reversed(self.settings.known[1:]):
            found = self._entered(level, signals)
            if found is None:
                self._over.pop(level, None)
                continue
            began = self._over.setdefault(level, now)
            if level > self.level and now - began >= self.settings.confirm:
                for worse in range(self.level + 1, level + 1):
                    self._relapsed(Level(worse), now)
                return self._to(level, now, *found)
        return None

    def _entered(self, level: Level, signals: Signals) -> tuple[str, float, float] | None:
        """The condition of a level that is furthest over its threshold."""
        conditions = self.settings.levels[level].conditions
        over = [(signals.value(name) / limit.enter, name, limit.enter) for name, limit in conditions.items()]
        ratio, name, enter = max(over)
        return (name, signals.value(name), enter) if ratio >= 1.0 else None

    def _relapsed(self, level: Level, now: float) -> None:
        """Entered again: soon after it was left, the next leave takes longer; else a step less long than
        before."""
        by, backoff = self._backoff.get(level, 1.0), self.settings.backoff
        failed = now - self._left.get(level, -math.inf) < self.settings.relapse + self.wait(level)
        most = self.settings.leave_most / max(self.settings.leave_after, 1e-9)
        self._backoff[level] = min(by * backoff, most) if failed else max(1.0, by / backoff)

    def _up(self, now: float, signals: Signals) -> Change | None:
        if self.level is Level.FULL:
            return None
        conditions = self.settings.levels[self.level].conditions
        if any(signals.value(name) >= limit.leave for name, limit in conditions.items()):
            self._calm = None
            return None
        calm = self._calm = now if self._calm is None else self._calm
        if now - calm < self.wait(self.level) or now - self.since < self.settings.least_stay:
            return None
        self._left[self.level] = now
        better = max(level for level in self.settings.known if level < self.level)
        return self._to(better, now, "calm", now - calm, self.wait(self.level))

    def _to(self, level: Level, now: float, condition: str, value: float, threshold: float) -> Change:
        change = Change(self.level, level, condition, value, threshold, now - self.since)
        self.level, self.since, self._calm = level, now, None
        return change

    # ---- operators ----

    def set_pin(self, pin: Pin | None) -> None:
        """Hold a level until a time, whatever is seen; None ends it at the next look."""
        if pin is None and self.pin is not None:
            pin = replace(self.pin, until=-math.inf)
        self.pin = pin

    def _pinned(self, now: float, pin: Pin) -> Change | None:
        level = self.settings.nearest(pin.level)
        if now >= pin.until:
            self.pin, self._over = None, {}
            return Change(self.level, self.level, "pin ended", 0.0, 0.0, now - self.since)
        return self._to(level, now, "pinned", pin.until - now, 0.0) if level is not self.level else None

    def configure(self, settings: ServiceLevelSettings, now: float) -> Change | None:
        """Go on by other settings; a level that they don't have becomes the next better one that they
        have."""
        self.settings, self._over = settings, {}
        self._backoff = {level: by for level, by in self._backoff.items() if level in settings.levels}
        level = settings.nearest(self.level)
        return self._to(level, now, "configuration", 0.0, 0.0) if level is not self.level else None
