"""The settings of the levels: thresholds, times and shares, with what holds between them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from .level import SIGNALS, Level


class Mode(Enum):
    OFF = "off"  # nothing is observed; the router is as it was without levels
    WATCH = "watch"  # levels are judged and shown, and nothing gives way
    ON = "on"


@dataclass(frozen=True, slots=True)
class Threshold:
    enter: float  # at or above it, for `confirm`, the level is entered
    leave: float  # below it the level may be left


@dataclass(frozen=True, slots=True)
class LevelSettings:
    """One level's conditions: any one enters it, and all of them must be calm before it is left."""

    conditions: Mapping[str, Threshold]  # by signal
    retry_after: tuple[float, float] = (0.3, 0.8)  # s, least and most advice to clients


def _defaults() -> dict[Level, LevelSettings]:
    at = Threshold
    guarded = {
        "load": at(1.0, 0.85), "late": at(0.25, 0.05), "waiting": at(0.6, 0.2), "doubt": at(0.4, 0.15),
        "lost": at(0.3, 0.1), "descriptors": at(0.85, 0.7), "memory": at(0.8, 0.7),
    }  # fmt: skip
    thrifty = {
        "load": at(1.1, 0.95), "late": at(0.5, 0.1), "descriptors": at(0.93, 0.8), "memory": at(0.88, 0.8),
    }  # fmt: skip
    essential = {"load": at(1.25, 1.05), "memory": at(0.93, 0.85)}
    last_resort = {"load": at(2.5, 1.9), "missing": at(0.95, 0.7), "memory": at(0.97, 0.9)}
    return {
        Level.GUARDED: LevelSettings(guarded, (0.3, 0.8)),
        Level.THRIFTY: LevelSettings(thrifty, (0.5, 1.0)),
        Level.ESSENTIAL: LevelSettings(essential, (1.0, 1.5)),
        Level.LAST_RESORT: LevelSettings(last_resort, (2.0, 2.5)),
    }


@dataclass(frozen=True, slots=True)
class ServiceLevelSettings:
    """All about levels. Raises ValueError with the key, the value and what was expected."""

    mode: Mode = Mode.OFF
    levels: Mapping[Level, LevelSettings] = field(default_factory=_defaults)
    confirm: float = 2.0  # s that a condition must hold before its level is entered
    least_stay: float = 5.0  # s in a level before it may be left for a better one
    leave_after: float = 60.0  # s of calm before a level is left, times a spread drawn by the seed
    leave_spread: float = 0.5  # part by which that is longer at most: routers are not to swing together
    relapse: float = 300.0  # s after leaving a level in which a return counts as a failed leave
    backoff: float = 4.0  # by so much longer is each leave's calm after a failed one
    leave_most: float = 300.0  # s of calm that are asked for at most
    target: float = 0.85  # part of what can be done that is aimed at while something gives way
    long_turn: float = 1.5  # times its class's mean work, and a turn is a long one

    def __post_init__(self) -> None:
        for level, one in self.levels.items():
            self._check(level, one)
        for name, least, most in (
            ("confirm", 0.0, 60.0), ("least_stay", 0.0, 3600.0), ("leave_after", 0.0, 3600.0),
            ("leave_spread", 0.0, 10.0), ("relapse", 0.0, 3600.0), ("backoff", 1.0, 100.0),
            ("leave_most", self.leave_after, 36000.0), ("target", 0.1, 1.0), ("long_turn", 1.0, 100.0),
        ):  # fmt: skip
            value = getattr(self, name)
            if not least <= value <= most:
                raise ValueError(f"levels.{name}: got {value:g}, expected {least:g} to {most:g}")

    @staticmethod
    def _check(level: Level, one: LevelSettings) -> None:
        where, names = f"levels.{level.label}", ", ".join(SIGNALS)
        if level is Level.FULL:
            raise ValueError(f"{where}: got conditions, expected none: it is what is left when none holds")
        if not one.conditions:
            raise ValueError(f"{where}: got no condition, expected at least one of {names}")
        for name, limit in one.conditions.items():
            if name not in SIGNALS:
                raise ValueError(f"{where}.{name}: got an unknown signal, expected one of {names}")
            if not 0 <= limit.leave < limit.enter:
                least = f"0 or more and less than enter ({limit.enter:g})"
                raise ValueError(f"{where}.{name}.leave: got {limit.leave:g}, expected {least}")
        if not 0 < one.retry_after[0] <= one.retry_after[1]:
            given = list(one.retry_after)
            raise ValueError(f"{where}.retry_after_s: got {given}, expected two times, the lesser first")

    @property
    def known(self) -> tuple[Level, ...]:
        """The levels in use, best first."""
        return (Level.FULL, *sorted(self.levels))

    def nearest(self, level: Level) -> Level:
        """That level, or else the next better one in use."""
        return max(known for known in self.known if known <= level)
