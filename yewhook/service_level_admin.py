"""The levels of service at the edge of the process: its vital signs, the operators' file, pins, and what is
told."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .config import Limits
from .front import RouterFront
from .levels.level import Level, ProcessHealth
from .log import Log
from .loop import Loop
from .service_settings import ServiceSettings

if TYPE_CHECKING:
    from .levels.governor import Governor
    from .levels.level_state import Change

LOOK_EVERY = 1.0  # s between looks at the process's memory
PAGE = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(pid: int | str = "self") -> int:
    """Bytes of memory that a process holds."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


class ProcessHealthMonitor:
    """Descriptors and memory in use, as parts of what the process may have."""

    def __init__(self, loop: Loop, limits: Limits) -> None:
        self._loop, self._limits = loop, limits
        self._looked, self._memory = -LOOK_EVERY, 0.0

    def __call__(self) -> ProcessHealth:
        if self._loop.now - self._looked >= LOOK_EVERY:
            self._looked = self._loop.now
            self._memory = resident_bytes() / self._limits.memory
        return ProcessHealth(self._loop.sockets / self._limits.sockets, self._memory)


class ServiceLevelAdmin:
    """What operators see and set of the levels at one router, on all its fronts alike."""

    def __init__(
        self,
        loop: Loop,
        log: Log,
        limits: Limits,
        fronts: list[RouterFront],
        settings: ServiceSettings,
        read_again: Callable[[], ServiceSettings],
    ) -> None:
        self.log, self._loop, self._fronts = log, loop, fronts
        self._vitals, self._read_again = ProcessHealthMonitor(loop, limits), read_again
        self._settings = ServiceSettings()
        self.put_in_force(settings)

    def reload(self) -> Callable[[], str]:
        """Read the operators' file anew; raises ConfigError, and then nothing has changed."""
        settings = self._read_again()

        def put_in_force() -> str:
            changed = settings != self._settings
            self.put_in_force(settings)
            return "the operators' settings are in force" if changed else ""

        return put_in_force

    def put_in_force(self, settings: ServiceSettings) -> None:
        self._settings = settings
        self.log.set_format(settings.log)
        for front in self._fronts:
            front.set_levels(settings.levels, self._vitals, self._changed)
        pin = settings.pin
        if pin is not None and (left := pin.until - time.time()) > 0:
            self.pin(pin.level, left, pin.reason)

    def _changed(self, change: Change) -> None:
        """One line at each change: what to, what from, why, and how long the last one held."""
        why = change.condition
        if change.threshold:
            why += f" {change.value:.2f} {'for' if why == 'calm' else 'reached'} {change.threshold:.2f}"
        before, after = change.before.label, change.after.label
        self.log(
            "service level",
            f"{before} to {after}: {why}; {before} lasted {change.duration_s:.0f} s",
            before=before,
            after=after,
            condition=change.condition,
            value=round(change.value, 4),
            threshold=change.threshold,
            lasted_s=round(change.duration_s, 1),
        )

    @property
    def _judged(self) -> list[Governor]:
        """Of the fronts whose levels are judged."""
        return [front.levels for front in self._fronts if front.levels is not None]

    def pin(self, level: Level, seconds: float, reason: str) -> None:
        for levels in self._judged:
            levels.pin(level, seconds, reason, self._loop.now)
        self.log("level pinned", f"{level.label} for {seconds:.0f} s: {reason}", level=level.label)

    def unpin(self) -> None:
        for levels in self._judged:
            levels.unpin()
        self.log("level pin ended", "by an operator")

    def report(self) -> dict[str, Any]:
        """Each front's level and recovery, for operators; None where they are off."""
        now = self._loop.now
        levels = {front.front_name: front.levels for front in self._fronts}
        recoveries = {front.front_name: front.recovery for front in self._fronts}
        return {
            "levels": {whose: one.report(now) if one else None for whose, one in levels.items()},
            "recovery": {whose: one.report(now) if one else None for whose, one in recoveries.items()},
        }
