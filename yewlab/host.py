"""Hosts real routers, core and decision module, on virtual time: with or without levels of service."""

from __future__ import annotations

from dataclasses import dataclass

from hopshed import interface as i
from yewhook.core.router import Router
from yewhook.levels.governor import Governor
from yewhook.levels.ladder import Change
from yewhook.levels.settings import LevelsSettings, Mode
from yewhook.log import Log

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
    levels: LevelsSettings,
    seed: int,
    number: int = 0,
    lag: float = 0.0,
) -> Hosted:
    """A router that joins the fleet now and hears of it so many s late. It has levels unless their mode is
    off."""
    workers, log = RouterWorkers(fleet, number), Silent()
    router = Router(settings, seed, sim.deadlines, sim.clock, workers, log)
    workers.told = router
    changes: list[tuple[float, Change]] = []
    governor = None
    if levels.mode is not Mode.OFF:
        governor = Governor(
            settings, levels, seed, sim.now, changed=lambda change: changes.append((sim.now, change))
        )
        router.governor = governor
    sim.deciders.append(router)
    fleet.join(number, router.listed, lag)
    return Hosted(router, governor, changes, log)
