"""The experiment on levels of service: load that swings around each threshold, and a fleet whose capacity
falls to 60%."""

from __future__ import annotations

import math
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise
from multiprocessing import get_context
from random import Random
from typing import Any

from hopshed.interface import Role
from yewhook.levels.governor import EVALUATION_INTERVAL_S
from yewhook.levels.level import Level, Signals
from yewhook.levels.level_state import LevelStateMachine
from yewhook.levels.settings import Mode, ServiceLevelSettings

from . import site
from .fleet import Fleet
from .host import HostedRouter, host_router
from .rules import Rules
from .simulation import Simulation
from .workload import Clients, Tally

ON = ServiceLevelSettings(mode=Mode.ON)
OFF = ServiceLevelSettings(mode=Mode.OFF)
MAX_CHANGES = 4  # of level, at each threshold, in ten minutes
MIN_GAIN = 0.10  # in the top class's share of worth answered in time, while capacity is reduced
SWING_AMPLITUDE = 0.12  # as a fraction of the threshold
RATE_NOISE = 0.15  # standard deviation, as a fraction of the rate, or of the threshold for a lone signal
SWING_PERIOD_S = (40.0, 90.0)  # drawn from this range
WARM_UP_S = 120.0
WARM_UP_FACTOR = 0.75  # of the threshold, for the load during the warm-up
FINISH_S = 20.0  # after the last arrival, for open requests to be answered
WARM_UP_TAU_S = 30.0  # time constant of the moving average of the load, during the warm-up
SWING_TAU_S = 60.0  # the same while the load swings
SMALL_FLEET = {Role.READER: 2, Role.WRITER: 2, Role.MIXED: 1}
MEDIUM_FLEET = {Role.READER: 4, Role.WRITER: 4, Role.MIXED: 1}
TURNS_PER_SERVER_PER_S = 2.6  # about the capacity of a writer or mixed server in such a fleet
FALL_FLEET = {Role.READER: 5, Role.WRITER: 5, Role.MIXED: 0}
FALL_TURNS_PER_S = 12.0  # about nine tenths of the capacity of FALL_FLEET
REMAINING_SHARE = 0.6  # of the servers of FALL_FLEET, while capacity is reduced
MIN_CROSSINGS = 2  # of the threshold by the signal; with fewer, a swing proves nothing


@dataclass(frozen=True, slots=True)
class Swing:
    """The result of swinging a signal around one threshold."""

    name: str
    changes: int  # of level
    crossings: int  # of the threshold
    mean: float  # of the signal, as a multiple of the threshold
    broken: tuple[str, ...] = ()  # rules
    requests: int = 0


@dataclass(frozen=True, slots=True)
class Fall:
    """The result of one run in which capacity falls, with levels or without."""

    worth: float
    top_class: float  # worth answered in time while capacity is reduced, as a fraction of that asked for
    by_phase: dict[str, tuple[float, ...]]  # worth, and the fraction answered in time of each class
    changes: tuple[str, ...]  # of level
    broken: tuple[str, ...]  # rules
    requests: int
    samples: tuple[tuple[float, float, int], ...] = ()  # seconds, load and level; empty without levels


@dataclass(slots=True)
class Run:
    """A fleet, one router and its clients on virtual time."""

    seed: str
    levels: ServiceLevelSettings
    servers: dict[Role, int]
    quota: float
    sim: Simulation = field(init=False)
    fleet: Fleet = field(init=False)
    rules: Rules = field(init=False)
    hosted: HostedRouter = field(init=False)

    def __post_init__(self) -> None:
        settings = site.settings(self.quota)
        self.sim, self.rules = Simulation(), Rules(settings)
        self.fleet = Fleet(self.sim, settings, self.rules)
        for role, count in self.servers.items():
            for _ in range(count):
                self.fleet.add(site.ENGINES[role])
        self.hosted = host_router(
            self.sim, self.fleet, settings, self.levels, Random(self.seed).getrandbits(32)
        )
        self.fleet.subscribe(0, self.hosted.router.servers_listed)

    def start_clients(
        self, rate: Callable[[float], float], until: float, phase: Callable[[float], str] = lambda now: "run"
    ) -> Clients:
        """Start clients whose turns arrive until a time; `rate` and `phase` are as for `Clients`."""
        routers = [self.hosted.router]
        settings = site.settings(self.quota)
        return Clients(self.sim, settings, site.TRAFFIC, self.seed, routers, self.rules, rate, until, phase)

    @property
    def broken(self) -> tuple[str, ...]:
        """Broken rules, and faults that the router logged."""
        return (*self.rules.broken, *self.hosted.log.faults)


def swing_load(level: Level, seed: int, seconds: float) -> Swing:
    """Swing the load that the router measures around a level's threshold, by control of the turn rate."""
    threshold = ON.levels[level].conditions["load"].enter
    # The higher the load, the fewer servers are enough.
    servers = SMALL_FLEET if threshold > 2.0 else MEDIUM_FLEET
    run = Run(f"{seed} {level.label}", ON, servers, quota=1000.0)
    governor, random = run.hosted.governor, Random(f"swing {seed} {level.label}")
    assert governor is not None
    wave = _wave(random)
    start = run.sim.now + WARM_UP_S
    end = start + seconds
    base_rate = [TURNS_PER_SERVER_PER_S * (servers[Role.WRITER] + servers[Role.MIXED])]
    avg = [WARM_UP_FACTOR * threshold]  # the measured load, averaged over about a period
    ratios: list[float] = []

    def target(now: float) -> float:
        if now < start:
            return threshold * WARM_UP_FACTOR
        return threshold * wave(now)

    def adjust_rate() -> None:
        """Raise the rate once a second while the measured load is too low, and lower it while it is too high.

        The rate changes slowly compared with a period: sessions last for most of a minute, so that faster
        control would swing the load much further than intended.
        """
        now, load = run.sim.now, governor.signals.load
        swinging = now >= start
        goal = threshold * (1.0 if swinging else WARM_UP_FACTOR)
        first = swinging and not ratios
        avg[0] = goal if first else avg[0] + (load - avg[0]) / (SWING_TAU_S if swinging else WARM_UP_TAU_S)
        max_step = 0.004 if swinging else 0.01
        base_rate[0] *= math.exp(max(-max_step, min(max_step, 0.01 * (goal / max(0.05, avg[0]) - 1.0))))
        if swinging:
            ratios.append(load / threshold)
        if now < end:
            run.sim.after(1.0, adjust_rate)

    adjust_rate()
    clients = run.start_clients(
        lambda now: base_rate[0] * target(now) * max(0.2, random.gauss(1.0, RATE_NOISE)), end
    )
    run.sim.run(end + FINISH_S)
    changes = [change for at, change in run.hosted.changes if start <= at < end]
    mean = sum(ratios) / max(1, len(ratios))
    return Swing(
        f"{level.label}.load", len(changes), _crossings(ratios), mean, run.broken, clients.tally.turns
    )


def swing_signal(level: Level, name: str, seed: int, seconds: float) -> Swing:
    """Swing one signal alone around its threshold, as input of the level state machine; its noise is not
    smoothed."""
    threshold = ON.levels[level].conditions[name].enter
    random = Random(f"signal {seed} {level.label} {name}")
    wave = _wave(random)
    level_state = LevelStateMachine(ON, random.random(), 0.0)
    changes, ratios = 0, []
    for step in range(int(seconds / EVALUATION_INTERVAL_S)):
        now = step * EVALUATION_INTERVAL_S
        ratio = max(0.0, wave(now) + random.gauss(0.0, RATE_NOISE))
        ratios.append(ratio)
        changes += level_state.step(now, Signals(**{name: threshold * ratio})) is not None
    return Swing(f"{level.label}.{name}", changes, _crossings(ratios), sum(ratios) / len(ratios))


def _wave(random: Random) -> Callable[[float], float]:
    """A sine wave around 1 with a random period and phase, as a function of the time in seconds."""
    period, phase = random.uniform(*SWING_PERIOD_S), random.uniform(0.0, 2 * math.pi)
    return lambda now: 1.0 + SWING_AMPLITUDE * math.sin(2 * math.pi * now / period + phase)


def _crossings(ratios: list[float]) -> int:
    return sum((a < 1.0) != (b < 1.0) for a, b in pairwise(ratios))


def fall(levels: ServiceLevelSettings, seed: int, seconds: float) -> Fall:
    """Run a fleet that loses two fifths of its readers and writers after a fifth of the time.

    They return cold after four fifths of it.
    """
    run = Run(f"fall {seed}", levels, FALL_FLEET, quota=FALL_TURNS_PER_S * 1.3)
    sim, fleet = run.sim, run.fleet
    start = sim.now
    down, up, end = start + 0.2 * seconds, start + 0.8 * seconds, start + seconds
    for role in (Role.READER, Role.WRITER):
        machines = fleet.with_role(role)
        for number in machines[math.ceil(REMAINING_SHARE * len(machines)) :]:
            sim.at(down, partial(fleet.drain, number, 3.0))
            sim.at(up, partial(fleet.restart, number))

    def phase(now: float) -> str:
        return "whole" if now < down else "fallen" if now < up else "back"

    samples: list[tuple[float, float, int]] = []
    if (governor := run.hosted.governor) is not None:
        for second in range(0, int(seconds), 2):
            sim.at(
                start + second,
                lambda: samples.append(
                    (sim.now - start, governor.signals.load, int(governor.level_state.level))
                ),
            )
    clients = run.start_clients(lambda now: FALL_TURNS_PER_S, end, phase)
    sim.run(end + FINISH_S)
    by_phase = {
        name: (tally.worth, *(tally.in_time_share(cls) for cls in (site.LOOKUP, site.LOG)))
        for name, tally in clients.tallies.items()
    }
    changes = tuple(
        f"{at - start:.0f} s {change.before.label} to {change.after.label}: "
        f"{change.condition} {change.value:.2f}"
        for at, change in run.hosted.changes
    )
    tally: Tally = clients.tally
    top = clients.tallies["fallen"].in_time_share(site.LOG)
    return Fall(tally.worth, top, by_phase, changes, run.broken, tally.turns, tuple(samples))


@dataclass(frozen=True, slots=True)
class Result:
    """The result of the whole experiment."""

    swings: tuple[Swing, ...]
    on: Fall  # with levels
    off: Fall

    @property
    def broken(self) -> list[str]:
        """Broken rules and logged faults of all runs."""
        parts = [*(swing.broken for swing in self.swings), self.on.broken, self.off.broken]
        return [line for part in parts for line in part]

    @property
    def holds(self) -> bool:
        """Whether levels are stable at each threshold, improve the service and break no rule."""
        steady = all(s.changes <= MAX_CHANGES and s.crossings >= MIN_CROSSINGS for s in self.swings)
        better = self.on.worth >= self.off.worth and self.on.top_class >= self.off.top_class + MIN_GAIN
        return steady and better and not self.broken

    def figures(self) -> dict[str, Any]:
        """The figures that `yewhook lab levels` prints as JSON."""
        return {
            "thresholds": [{"name": swing.name, "changes": swing.changes} for swing in self.swings],
            "worth": round(self.on.worth, 4),
            "worth_without": round(self.off.worth, 4),
            "top_class": round(self.on.top_class, 4),
            "top_class_without": round(self.off.top_class, 4),
            "rules_broken": len(self.broken),
            "requests": sum(swing.requests for swing in self.swings) + self.on.requests + self.off.requests,
        }

    def lines(self) -> Iterator[str]:
        """The result as lines of text for people."""
        yield f"{'threshold':<24} changes crossings  mean signal / threshold"
        for swing in self.swings:
            yield f"{swing.name:<24} {swing.changes:>7} {swing.crossings:>9}  {swing.mean:.3f}"
        for what, run in (("with levels", self.on), ("without", self.off)):
            yield f"capacity falls to {REMAINING_SHARE:.0%}, {what}: worth {run.worth:.3f}"
            yield f"    top class in time, while reduced: {run.top_class:.3f}"
            for name, (worth, lookup, log) in run.by_phase.items():
                yield f"    {name:<7} worth {worth:.3f}  fault-lookup {lookup:.3f}  service-log {log:.3f}"
            yield from (f"    {change}" for change in run.changes)
        yield f"broken rules: {len(self.broken)}"
        yield from self.broken[:20]


def process_pool() -> ProcessPoolExecutor:
    """A pool with one process per core; results do not depend on the number of processes."""
    return ProcessPoolExecutor(max_workers=os.cpu_count(), mp_context=get_context("spawn"))


def experiment(seed: int, minutes: float) -> Result:
    """Swing each signal around its threshold for so many minutes; reduce capacity with levels and without."""
    seconds = 60.0 * minutes
    loads = [level for level in ON.known[1:] if "load" in ON.levels[level].conditions]
    with process_pool() as pool:
        on, off = (pool.submit(fall, levels, seed, seconds) for levels in (ON, OFF))
        swings = [pool.submit(swing_load, level, seed, seconds) for level in reversed(loads)]
        signal_swings = [
            swing_signal(level, name, seed, seconds)
            for level in ON.known[1:]
            for name in ON.levels[level].conditions
            if name != "load"
        ]
        return Result(
            (*reversed([swing.result() for swing in swings]), *signal_swings), on.result(), off.result()
        )
