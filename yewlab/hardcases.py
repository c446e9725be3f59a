"""Hard cases for levels of service, each over several seeds: mean results without levels and with them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

from hopshed.interface import Role
from yewhook.levels.settings import ServiceLevelSettings

from . import site
from .levels import FINISH_S, OFF, ON, Run, process_pool

FLEET = {Role.READER: 3, Role.WRITER: 3, Role.MIXED: 0}
DEPLOY_TURNS_PER_S = 7.0
DEPLOY_LASTS_S = 90.0
LATE_REGISTER_DELAY_S = 10.0
CAPACITY_TURNS_PER_S = 8.5  # of FLEET, approximately
OVERLOADS_TURNS_PER_S = (20.0, 28.0)
OVERLOAD_LASTS_S = 150.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one run."""

    worth: float
    lookup: float  # worth of fault-lookup answered in time, as a fraction of that asked for
    log: float  # the same of service-log
    changes: int  # of level
    broken: tuple[str, ...]  # rules


def rolling_deploy(levels: ServiceLevelSettings, seed: int) -> Outcome:
    """A third of the machines become unreachable during a rolling deploy, while lists are 10 seconds late."""
    run = Run(f"rolling{seed}", levels, FLEET, quota=12.0)
    fleet, start = run.fleet, run.sim.now
    run.sim.at(start + 5.0, lambda: setattr(fleet, "register_delay", LATE_REGISTER_DELAY_S))
    for n, machine in enumerate([*fleet.with_role(Role.READER), *fleet.with_role(Role.WRITER)]):
        if n % 3 == 0:
            run.sim.at(start + 20.0, partial(fleet.silence, machine))
            run.sim.at(start + 45.0, partial(fleet.restart, machine))
        else:
            run.sim.at(start + 15.0 + 6.0 * n, partial(fleet.drain, machine, 3.0))
            run.sim.at(start + 24.0 + 6.0 * n, partial(fleet.restart, machine))
    return _serve(run, DEPLOY_TURNS_PER_S, DEPLOY_LASTS_S)


def overload(rate: float, levels: ServiceLevelSettings, seed: int) -> Outcome:
    """More than twice the capacity from the first second on; no turn exceeds its tenant's quota."""
    return _serve(Run(f"lr{seed}", levels, FLEET, quota=100.0), rate, OVERLOAD_LASTS_S)


def _serve(run: Run, rate: float, seconds: float) -> Outcome:
    end = run.sim.now + seconds
    clients = run.start_clients(lambda now: rate, end)
    run.sim.run(end + FINISH_S)
    tally = clients.tally
    lookup, log = tally.in_time_share(site.LOOKUP), tally.in_time_share(site.LOG)
    return Outcome(tally.worth, lookup, log, len(run.hosted.changes), run.broken)


CASES: dict[str, Callable[[ServiceLevelSettings, int], Outcome]] = {
    "a third silent in a rolling deploy, register 10 s late": rolling_deploy,
    **{
        f"{rate / CAPACITY_TURNS_PER_S:.1f} times what can be done": partial(overload, rate)
        for rate in OVERLOADS_TURNS_PER_S
    },
}


def compare(seeds: int) -> Iterator[str]:
    """A line per case: worth, fault-lookup, service-log and broken rules, without levels and with them."""
    with process_pool() as pool:
        runs = {
            name: [[pool.submit(case, levels, seed) for seed in range(seeds)] for levels in (OFF, ON)]
            for name, case in CASES.items()
        }
        for name, by_levels in runs.items():
            figures = []
            for futures in by_levels:
                outcomes = [future.result() for future in futures]
                columns = zip(*((one.worth, one.lookup, one.log) for one in outcomes), strict=True)
                means = [sum(column) / seeds for column in columns]
                broken = sum(len(one.broken) for one in outcomes)
                figures.append(" ".join(f"{mean:.3f}" for mean in means) + f" ({broken} broken)")
            yield f"{name}: without {figures[0]}, with {figures[1]}"
