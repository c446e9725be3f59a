"""The state machine of the levels: quick to a worse level, slow to a better one, with backoff.

A worse level is entered directly, whichever it is; a better one is reached one level at a time. Each time a
level was left too early, more calm is required before it is left again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from .level import Level, Signals
from .settings import ServiceLevelSettings

MAX_EVALUATION_GAP_S = 3.0  # after a longer gap between two evaluations the process must have been stalled


@dataclass(frozen=True, slots=True)
class Change:
    """One change of level, and the condition that caused it."""

    before: Level
    after: Level
    condition: str  # a signal's name, `calm`, `pinned`, `pin ended` or `configuration`
    value: float  # of the signal; s of calm; s until the pin ends
    threshold: float  # that the value reached; 0 where there is none
    duration_s: float  # time spent in the level before


@dataclass(frozen=True, slots=True)
class Pin:
    """A level that an operator holds, whatever the signals."""

    level: Level
    until: float  # s, on the clock of the state machine
    reason: str


class LevelStateMachine:
    """The current level and the history that decides when it changes.

    `spread` between 0 and 1 extends the calm required, drawn from the router's seed.
    """

    def __init__(self, settings: ServiceLevelSettings, spread: float, now: float) -> None:
        self.settings, self._spread = settings, spread
        self.level, self.since = Level.FULL, now
        self.pin: Pin | None = None
        self._evaluated_at = now
        self._exceeded_since: dict[Level, float] = {}  # when a condition of the level reached its threshold
        self._calm_since: float | None = None  # when all conditions of the current level fell below `leave`
        self._left_at: dict[Level, float] = {}  # when a level was last left for a better one
        self._backoff: dict[Level, float] = {}  # factor on the calm required to leave a level

    @property
    def is_calm(self) -> bool:
        """Whether all conditions of the current level are below their `leave`, for however short a time."""
        return self._calm_since is not None

    def required_calm(self, level: Level) -> float:
        """Seconds of calm that are now required to leave this level."""
        settings = self.settings
        base = settings.leave_after * (1.0 + settings.leave_spread * self._spread)
        return min(settings.leave_most, base * self._backoff.get(level, 1.0))

    def step(self, now: float, signals: Signals) -> Change | None:
        """Evaluates the signals once. Returns the change of level that they cause, if any."""
        stalled, self._evaluated_at = now - self._evaluated_at > MAX_EVALUATION_GAP_S, now
        if stalled:  # earlier signals are out of date, and calm was not observed during the stall
            self._exceeded_since, self._calm_since = {}, None
        if self.pin is not None:
            return self._apply_pin(now, self.pin)
        return self._degrade(now, signals) or self._improve(now, signals)

    def _degrade(self, now: float, signals: Signals) -> Change | None:
        """Enters the worst level of which some condition held for `confirm` seconds, if any."""
        for level in reversed(self.settings.known[1:]):
            found = self._exceeded_condition(level, signals)
            if found is None:
                self._exceeded_since.pop(level, None)
                continue
            began = self._exceeded_since.setdefault(level, now)
            if level > self.level and now - began >= self.settings.confirm:
                for worse in range(self.level + 1, level + 1):
                    self._update_backoff(Level(worse), now)
                return self._change_to(level, now, *found)
        return None

    def _exceeded_condition(self, level: Level, signals: Signals) -> tuple[str, float, float] | None:
        """The condition of a level that exceeds its threshold most: its name, value and threshold."""
        conditions = self.settings.levels[level].conditions
        ratios = [
            (signals.value(name) / limit.enter, name, limit.enter) for name, limit in conditions.items()
        ]
        ratio, name, enter = max(ratios)
        return (name, signals.value(name), enter) if ratio >= 1.0 else None

    def _update_backoff(self, level: Level, now: float) -> None:
        """On entering a level: raises its backoff if it was left only recently, and lowers it otherwise."""
        factor, backoff = self._backoff.get(level, 1.0), self.settings.backoff
        failed = now - self._left_at.get(level, -math.inf) < self.settings.relapse + self.required_calm(level)
        max_factor = self.settings.leave_most / max(self.settings.leave_after, 1e-9)
        self._backoff[level] = min(factor * backoff, max_factor) if failed else max(1.0, factor / backoff)

    def _improve(self, now: float, signals: Signals) -> Change | None:
        """Goes to the next better level after the calm required."""
        if self.level is Level.FULL:
            return None
        conditions = self.settings.levels[self.level].conditions
        if any(signals.value(name) >= limit.leave for name, limit in conditions.items()):
            self._calm_since = None
            return None
        calm_since = self._calm_since = now if self._calm_since is None else self._calm_since
        if now - calm_since < self.required_calm(self.level) or now - self.since < self.settings.least_stay:
            return None
        self._left_at[self.level] = now
        better = max(level for level in self.settings.known if level < self.level)
        return self._change_to(better, now, "calm", now - calm_since, self.required_calm(self.level))

    def _change_to(self, level: Level, now: float, condition: str, value: float, threshold: float) -> Change:
        change = Change(self.level, level, condition, value, threshold, now - self.since)
        self.level, self.since, self._calm_since = level, now, None
        return change

    # ---- operators ----

    def set_pin(self, pin: Pin | None) -> None:
        """Holds a level until a given time, whatever the signals; None ends the pin at the next step."""
        if pin is None and self.pin is not None:
            pin = replace(self.pin, until=-math.inf)
        self.pin = pin

    def _apply_pin(self, now: float, pin: Pin) -> Change | None:
        level = self.settings.nearest(pin.level)
        if now >= pin.until:
            self.pin, self._exceeded_since = None, {}
            return Change(self.level, self.level, "pin ended", 0.0, 0.0, now - self.since)
        return (
            self._change_to(level, now, "pinned", pin.until - now, 0.0) if level is not self.level else None
        )

    def configure(self, settings: ServiceLevelSettings, now: float) -> Change | None:
        """Replaces the settings. A level that they do not configure becomes the next better one."""
        self.settings, self._exceeded_since = settings, {}
        self._backoff = {level: factor for level, factor in self._backoff.items() if level in settings.levels}
        level = settings.nearest(self.level)
        return self._change_to(level, now, "configuration", 0.0, 0.0) if level is not self.level else None
