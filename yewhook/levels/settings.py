"""Settings of the levels of service: thresholds, times and shares, and the checks on them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .level import SIGNALS, Level


class Mode(Enum):
    """What the levels of service do."""

    OFF = "off"  # no signals are measured; the router runs without levels
    WATCH = "watch"  # levels are computed and reported, but nothing is shed
    ON = "on"


@dataclass(frozen=True, slots=True)
class Threshold:
    """A condition on one signal, with hysteresis."""

    enter: float  # the level is entered when the signal stays at or above this for `confirm` seconds
    leave: float  # the level may be left while the signal is below this


@dataclass(frozen=True, slots=True)
class LevelSettings:
    """Conditions of one level: any one enters it.

    While all signals are below their `leave` the router is calm; the level is left after some time of calm.
    """

    conditions: Mapping[str, Threshold]  # by signal name
    retry_after: tuple[float, float] = (0.3, 0.8)  # s, shortest and longest advice to refused clients


def _default_levels() -> dict[Level, LevelSettings]:
    limit = Threshold
    guarded = {
        "load": limit(1.0, 0.85), "late": limit(0.25, 0.05), "waiting": limit(0.6, 0.2),
        "doubt": limit(0.4, 0.15), "lost": limit(0.3, 0.1), "descriptors": limit(0.85, 0.7),
        "memory": limit(0.8, 0.7),
    }  # fmt: skip
    thrifty = {
        "load": limit(1.1, 0.95), "late": limit(0.5, 0.1), "descriptors": limit(0.93, 0.8),
        "memory": limit(0.88, 0.8),
    }  # fmt: skip
    essential = {"load": limit(1.25, 1.05), "memory": limit(0.93, 0.85)}
    last_resort = {"load": limit(2.5, 1.9), "missing": limit(0.95, 0.7), "memory": limit(0.97, 0.9)}
    return {
        Level.GUARDED: LevelSettings(guarded, (0.3, 0.8)),
        Level.THRIFTY: LevelSettings(thrifty, (0.5, 1.0)),
        Level.ESSENTIAL: LevelSettings(essential, (1.0, 1.5)),
        Level.LAST_RESORT: LevelSettings(last_resort, (2.0, 2.5)),
    }


@dataclass(frozen=True, slots=True)
class ServiceLevelSettings:
    """All settings of the levels of service.

    Raises ValueError with the key, the value and what was expected.
    """

    mode: Mode = Mode.OFF
    levels: Mapping[Level, LevelSettings] = field(default_factory=_default_levels)
    confirm: float = 2.0  # s for which a condition must hold before its level is entered
    least_stay: float = 5.0  # s in a level before it may be left for a better one
    leave_after: float = 60.0  # s of calm before a level is left, extended by the router's random spread
    # Largest extension of `leave_after`, as a share of it: keeps routers from changing level in step
    leave_spread: float = 0.5
    relapse: float = 300.0  # s after leaving a level in which entering it again counts as a failed leave
    backoff: float = 4.0  # factor on the calm required for the next leave after a failed one
    leave_most: float = 300.0  # s, upper bound of the calm required
    target: float = 0.85  # share of the capacity to use while turns are shed
    long_turn: float = 1.5  # a turn is long above this multiple of its class's mean work

    def __post_init__(self) -> None:
        for level, level_settings in self.levels.items():
            self._check_level(level, level_settings)
        for name, least, most in (
            ("confirm", 0.0, 60.0), ("least_stay", 0.0, 3600.0), ("leave_after", 0.0, 3600.0),
            ("leave_spread", 0.0, 10.0), ("relapse", 0.0, 3600.0), ("backoff", 1.0, 100.0),
            ("leave_most", self.leave_after, 36000.0), ("target", 0.1, 1.0), ("long_turn", 1.0, 100.0),
        ):  # fmt: skip
            value = getattr(self, name)
            if not least <= value <= most:
                raise ValueError(f"levels.{name}: got {value:g}, expected {least:g} to {most:g}")

    @staticmethod
    def _check_level(level: Level, level_settings: LevelSettings) -> None:
        key, names = f"levels.{level.label}", ", ".join(SIGNALS)
        if level is Level.FULL:
            raise ValueError(f"{key}: got conditions, expected none: it applies when no other level does")
        if not level_settings.conditions:
            raise ValueError(f"{key}: got no condition, expected at least one of {names}")
        for name, limit in level_settings.conditions.items():
            if name not in SIGNALS:
                raise ValueError(f"{key}.{name}: got an unknown signal, expected one of {names}")
            if not 0 <= limit.leave < limit.enter:
                expected = f"0 or more and less than enter ({limit.enter:g})"
                raise ValueError(f"{key}.{name}.leave: got {limit.leave:g}, expected {expected}")
        if not 0 < level_settings.retry_after[0] <= level_settings.retry_after[1]:
            given = list(level_settings.retry_after)
            raise ValueError(f"{key}.retry_after_s: got {given}, expected two times, the smaller first")

    @property
    def known(self) -> tuple[Level, ...]:
        """The configured levels, best first."""
        return (Level.FULL, *sorted(self.levels))

    def nearest(self, level: Level) -> Level:
        """The level itself if it is configured, otherwise the next better configured one."""
        return max(known for known in self.known if known <= level)
