"""Hosts real routers, core and decision module, on virtual time, with or without levels of service."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from hopshed import interface
from yewhook.core.router import Router
from yewhook.levels.governor import Governor
from yewhook.levels.level_state import Change
from yewhook.levels.settings import Mode, ServiceLevelSettings
from yewhook.log import Log
from yewhook.recovery.recovery import Recovery
from yewhook.recovery.settings import RecoverySettings

from .fleet import Fleet, RouterWorkers
from .simulation import Simulation


class QuietLog(Log):
    """Writes nothing; collects the events that mean a fault, and the recovery's lines."""

    FAULTS = frozenset(
        {"turn failed", "levels failed", "send withheld", "answer overdue", "send for an unknown request"}
    )

    def __init__(self) -> None:
        super().__init__("lab")
        self.faults: list[str] = []
        self.recovery_lines: list[str] = []

    def say(self, event: str, detail: str) -> None:
        """Collect a line of the recovery."""
        self.recovery_lines.append(f"{event}: {detail}")

    def __call__(self, event: str, detail: str = "", **figures: object) -> None:
        """Collect an event that means a fault, and drop all others."""
        if event in self.FAULTS:
            self.faults.append(f"{event}: {detail}")


@dataclass(slots=True)
class HostedRouter:
    """One router under test, its governor if it has levels, and the changes of level with their times."""

    router: Router
    governor: Governor | None
    changes: list[tuple[float, Change]]
    log: QuietLog


def host_router(
    sim: Simulation,
    fleet: Fleet,
    settings: interface.Settings,
    levels: ServiceLevelSettings,
    seed: int,
    number: int = 0,
    recovery: RecoverySettings | None = None,
) -> HostedRouter:
    """Start a router that does not know any worker yet.

    It has levels of service unless their mode is off, and with them the recovery if `recovery` is given.
    """
    workers, log = RouterWorkers(fleet, number), QuietLog()
    router = Router(settings, seed, sim.deadlines, sim.clock, workers, log)
    workers.listener = router
    changes: list[tuple[float, Change]] = []
    governor = None
    if levels.mode is not Mode.OFF:
        governor = Governor(
            settings, levels, seed, sim.now, changed=lambda change: changes.append((sim.now, change)),
            recovery=None if recovery is None else Recovery(
                recovery, settings, sim.now, Random(f"recovery {seed}"), log.say
            ),
        )  # fmt: skip
        router.governor = governor
    sim.deciders.append(router)
    return HostedRouter(router, governor, changes, log)
