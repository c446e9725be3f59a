"""Hard cases for levels of service, each over several seeds: means without levels and with, side by side."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

from hopshed.interface import Role
from yewhook.levels.settings import ServiceLevelSettings

from . import site
from .levels import AFTER, OFF, ON, Run, processes

FLEET = {Role.READER: 3, Role.WRITER: 3, Role.MIXED: 0}
DEPLOY_RATE, DEPLOY_LASTS, LATE_REGISTER = 7.0, 90.0, 10.0  # turns a second, s, s
CAN = 8.5  # turns a second that the fleet can do, about
OVERLOADS, OVERLOAD_LASTS = (20.0, 28.0), 150.0  # turns a second, s


@dataclass(frozen=True, slots=True)
class Outcome:
    worth: float
    lookup: float
    log: float
    changes: int
    broken: tuple[str, ...]


def rolling_deploy(levels: ServiceLevelSettings, seed: int) -> Outcome:
    """A third of the boxes fall silent during a rolling deploy, while the register is 10 s late."""
    run = Run(f"rolling{seed}", levels, FLEET, quota=12.0)
    fleet, began = run.fleet, run.sim.now
    run.sim.at(began + 5.0, lambda: setattr(fleet, "register_delay", LATE_REGISTER))
    for n, box in enumerate([*fleet.with_role(Role.READER), *fleet.with_role(Role.WRITER)]):
        if n % 3 == 0:
            run.sim.at(began + 20.0, partial(fleet.silence, box))
            run.sim.at(began + 45.0, partial(fleet.restart, box))
        else:
            run.sim.at(began + 15.0 + 6.0 * n, partial(fleet.drain, box, 3.0))
            run.sim.at(began + 24.0 + 6.0 * n, partial(fleet.restart, box))
    return _serve(run, DEPLOY_RATE, DEPLOY_LASTS)


def overload(rate: float, levels: ServiceLevelSettings, seed: int) -> Outcome:
    """Far more than can be done, from the first second on; nothing is beyond a share."""
    return _serve(Run(f"lr{seed}", levels, FLEET, quota=100.0), rate, OVERLOAD_LASTS)


def _serve(run: Run, rate: float, seconds: float) -> Outcome:
    end = run.sim.now + seconds
    clients = run.clients(lambda now: rate, end)
    run.sim.run(end + AFTER)
    tally = clients.tally
    lookup, log = tally.in_time_share(site.LOOKUP), tally.in_time_share(site.LOG)
    return Outcome(tally.worth, lookup, log, len(run.hosted.changes), run.broken)


CASES: dict[str, Callable[[ServiceLevelSettings, int], Outcome]] = {
    "a third silent in a rolling deploy, register 10 s late": rolling_deploy,
    **{f"{rate / CAN:.1f} times what can be done": partial(overload, rate) for rate in OVERLOADS},
}


def compare(seeds: int) -> Iterator[str]:
    """A line for each case: worth, fault-lookup and service-log, without levels and with; rules broken."""
    with processes() as pool:
        runs = {
            name: [[pool.submit(case, levels, seed) for seed in range(seeds)] for levels in (OFF, ON)]
            for name, case in CASES.items()
        }
        for name, both in runs.items():
            figures = []
            for runs_of in both:
                done = [one.result() for one in runs_of]
                parts = zip(*((d.worth, d.lookup, d.log) for d in done), strict=True)
                means = [sum(part) / seeds for part in parts]
                broken = sum(len(d.broken) for d in done)
                figures.append(" ".join(f"{mean:.3f}" for mean in means) + f" ({broken} broken)")
            yield f"{name}: without {figures[0]}, with {figures[1]}"
