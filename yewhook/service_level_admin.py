"""The levels of service at the edge of the process: its health, the operators' file, pins and reports."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from .config import Limits
from .front import RouterFront
from .levels.level import Level, ProcessHealth
from .log import Log
from .loop import Loop
from .memory_monitor import resident_bytes
from .service_settings import ServiceSettings

if TYPE_CHECKING:
    from .levels.governor import Governor
    from .levels.level_state import Change

MEMORY_INTERVAL_S = 1.0  # between readings of the process's memory


class ProcessHealthMonitor:
    """Measures sockets and memory in use, as shares of the limits of the process."""

    def __init__(self, loop: Loop, limits: Limits) -> None:
        self._loop, self._limits = loop, limits
        self._read_at, self._memory = -MEMORY_INTERVAL_S, 0.0

    def __call__(self) -> ProcessHealth:
        """The present values; the memory is at most MEMORY_INTERVAL_S old."""
        if self._loop.now - self._read_at >= MEMORY_INTERVAL_S:
            self._read_at = self._loop.now
            self._memory = resident_bytes() / self._limits.memory
        return ProcessHealth(self._loop.sockets / self._limits.sockets, self._memory)


class ServiceLevelAdmin:
    """Applies the operators' settings and pins to all fronts of a router, and reports their levels."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        limits: Limits,
        fronts: list[RouterFront],
        settings: ServiceSettings,
        read_settings: Callable[[], ServiceSettings],
    ) -> None:
        """`read_settings` reads the operators' file again, for a reload."""
        self.log, self._loop, self._fronts = log, loop, fronts
        self._process_health, self._read_settings = ProcessHealthMonitor(loop, limits), read_settings
        self._settings = ServiceSettings()
        self.apply(settings)

    def reload(self) -> Callable[[], str]:
        """Reads the operators' file again and returns a function that applies it.

        That function returns the text to log, empty if the settings are the same. Raises ConfigError for an
        invalid file; nothing has changed then.
        """
        settings = self._read_settings()

        def apply() -> str:
            changed = settings != self._settings
            self.apply(settings)
            return "the operators' settings are in force" if changed else ""

        return apply

    def apply(self, settings: ServiceSettings) -> None:
        """Puts settings in force, and their pin if it has not expired."""
        self._settings = settings
        self.log.set_format(settings.log)
        for front in self._fronts:
            front.set_levels(settings.levels, self._process_health, self._level_changed)
        pin = settings.pin
        if pin is not None and (seconds := pin.until - time.time()) > 0:
            self.pin(pin.level, seconds, pin.reason)

    def _level_changed(self, change: Change) -> None:
        """Logs a change of level, its cause, and how long the level before lasted."""
        cause = change.condition
        if change.threshold:
            cause += (
                f" {change.value:.2f} {'s, required' if cause == 'calm' else 'reached'}"
                f" {change.threshold:.2f}"
            )
        before, after = change.before.label, change.after.label
        self.log(
            "service level",
            f"{before} to {after}: {cause}; {before} lasted {change.duration_s:.0f} s",
            before=before,
            after=after,
            condition=change.condition,
            value=round(change.value, 4),
            threshold=change.threshold,
            lasted_s=round(change.duration_s, 1),
        )

    @property
    def _governors(self) -> list[Governor]:
        """The governors of the fronts that have levels."""
        return [front.levels for front in self._fronts if front.levels is not None]

    def pin(self, level: Level, seconds: float, reason: str) -> None:
        """Holds all fronts at a level for so long, whatever the signals."""
        for governor in self._governors:
            governor.pin(level, seconds, reason, self._loop.now)
        self.log("level pinned", f"{level.label} for {seconds:.0f} s: {reason}", level=level.label)

    def unpin(self) -> None:
        """Ends a pin; the levels follow the signals again."""
        for governor in self._governors:
            governor.unpin()
        self.log("level pin ended", "by an operator")

    def report(self) -> dict[str, Any]:
        """The level and the recovery of each front, for operators; None where they are off."""
        now = self._loop.now
        governors = {front.front_name: front.levels for front in self._fronts}
        recoveries = {front.front_name: front.recovery for front in self._fronts}
        return {
            "levels": {name: one.report(now) if one else None for name, one in governors.items()},
            "recovery": {name: one.report(now) if one else None for name, one in recoveries.items()},
        }
