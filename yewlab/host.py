"""Hosts real routers, core and decision module, on virtual time: with or without levels of service."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from hopshed import interface as i
from yewhook.core.router import Router
from yewhook.levels.governor import Governor
from yewhook.levels.level_state import Change
from yewhook.levels.settings import Mode, ServiceLevelSettings
from yewhook.log import Log
from yewhook.recovery.recovery import Recovery
from yewhook.recovery.settings import RecoverySettings

from .fleet import Fleet, RouterWorkers
from .simulation import Simulation


class Silent(Log):
    """Keeps an experiment's output to its results, and the lines that tell of a fault."""

    FAULTS = frozenset(
        {"turn failed", "levels failed", "send withheld", "answer overdue", "send for an unknown request"}
    )

    def __init__(self) -> None:
        super().__init__("lab")
        self.faults: list[str] = []
        self.said: list[str] = []

    def say(self, event: str, detail: str) -> None:
        self.said.append(f"{event}: {detail}")

    def __call__(self, event: str, detail: str = "", **figures: object) -> None:
        if event in self.FAULTS:
            self.faults.append(f"{event}: {detail}")


@dataclass(slots=True)
class Hosted:
    """One router under test."""

    router: Router
    governor: Governor | None
    changes: list[tuple[float, Change]]
    log: Silent


def host(
    sim: Simulation,
    fleet: Fleet,
    settings: i.Settings,
    levels: ServiceLevelSettings,
    seed: int,
    number: int = 0,
    recovery: RecoverySettings | None = None,
) -> Hosted:
    """A router that has heard of no worker yet. It has levels unless their mode is off, and with them the
    recovery if it is given settings for that."""
    workers, log = RouterWorkers(fleet, number), Silent()
    router = Router(settings, seed, sim.deadlines, sim.clock, workers, log)
    workers.told = router
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
    return Hosted(router, governor, changes, log)
