"""The experiment on levels of service: load that swings round every threshold, and a fleet that falls to
60%."""

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
CHANGES_MOST = 4  # at each threshold, in ten minutes
GAIN_LEAST = 0.10  # of the top class, where capacity falls
SWING, NOISE = 0.12, 0.15  # part of the threshold, and of the rate
PERIOD = (40.0, 90.0)  # s, drawn by the seed
WARM_UP, APPROACH = 120.0, 0.75  # s below the threshold, at this part of it
AFTER = 20.0  # s in which what has come is answered
SETTLE = 30.0  # s over which it is held against the approach
TRIM = 60.0  # s over which the measured load is held against the threshold while it swings
SMALL = {Role.READER: 2, Role.WRITER: 2, Role.MIXED: 1}
MIDDLE = {Role.READER: 4, Role.WRITER: 4, Role.MIXED: 1}
RATE = 2.6  # turns a second that are about all that a writer or mixed server of such a fleet can do
FALLING = {Role.READER: 5, Role.WRITER: 5, Role.MIXED: 0}
FULL_RATE = 12.0  # turns a second, about nine tenths of what the falling fleet can do when it is whole
LEFT = 0.6  # of its servers
CROSSINGS_LEAST = 2  # of the threshold by the signal, or a swing has shown nothing


@dataclass(frozen=True, slots=True)
class Swing:
    """What swinging a signal round one threshold brought."""

    name: str
    changes: int
    crossings: int
    mean: float  # of the signal, over the threshold
    broken: tuple[str, ...] = ()
    requests: int = 0


@dataclass(frozen=True, slots=True)
class Fall:
    """One run in which capacity falls, with levels or without."""

    worth: float
    top_class: float  # in the phase of less capacity
    by_phase: dict[str, tuple[float, ...]]  # worth, and its part by class
    changes: tuple[str, ...]
    broken: tuple[str, ...]
    requests: int
    samples: tuple[tuple[float, float, int], ...] = ()  # s, load and level, where there are levels


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

    def clients(
        self, rate: Callable[[float], float], until: float, phase: Callable[[float], str] = lambda now: "run"
    ) -> Clients:
        routers = [self.hosted.router]
        settings = site.settings(self.quota)
        return Clients(self.sim, settings, site.TRAFFIC, self.seed, routers, self.rules, rate, until, phase)

    @property
    def broken(self) -> tuple[str, ...]:
        return (*self.rules.broken, *self.hosted.log.faults)


def swing_load(level: Level, seed: int, seconds: float) -> Swing:
    """Lead the load that the router measures round a level's threshold, by the rate at which clients come."""
    threshold = ON.levels[level].conditions["load"].enter
    servers = SMALL if threshold > 2.0 else MIDDLE  # the more that comes, the fewer servers it takes
    run = Run(f"{seed} {level.label}", ON, servers, quota=1000.0)
    governor, random = run.hosted.governor, Random(f"swing {seed} {level.label}")
    assert governor is not None
    wave = _wave(random)
    start = run.sim.now + WARM_UP
    end = start + seconds
    base = [RATE * (servers[Role.WRITER] + servers[Role.MIXED])]
    slow = [APPROACH * threshold]  # the measured load, over about a period
    seen: list[float] = []

    def goal(now: float) -> float:
        if now < start:
            return threshold * APPROACH
        return threshold * wave(now)

    def lead() -> None:
        """Once a second, slowly against a period: a little more where what is measured is under the
        threshold.

        Sessions that have come go on for most of a minute, so that a quick hand would swing far wider than
        meant.
        """
        now, load = run.sim.now, governor.signals.load
        swings = now >= start
        aim = threshold * (1.0 if swings else APPROACH)
        first = swings and not seen
        slow[0] = aim if first else slow[0] + (load - slow[0]) / (TRIM if swings else SETTLE)
        most = 0.004 if swings else 0.01
        base[0] *= math.exp(max(-most, min(most, 0.01 * (aim / max(0.05, slow[0]) - 1.0))))
        if swings:
            seen.append(load / threshold)
        if now < end:
            run.sim.after(1.0, lead)

    lead()
    clients = run.clients(lambda now: base[0] * goal(now) * max(0.2, random.gauss(1.0, NOISE)), end)
    run.sim.run(end + AFTER)
    changes = [change for at, change in run.hosted.changes if start <= at < end]
    mean = sum(seen) / max(1, len(seen))
    return Swing(f"{level.label}.load", len(changes), _crossings(seen), mean, run.broken, clients.tally.turns)


def swing_signal(level: Level, name: str, seed: int, seconds: float) -> Swing:
    """Swing one signal by itself round its threshold, as the level state machine sees it; noise comes
    unsmoothed."""
    threshold = ON.levels[level].conditions[name].enter
    random = Random(f"signal {seed} {level.label} {name}")
    wave = _wave(random)
    level_state = LevelStateMachine(ON, random.random(), 0.0)
    changes, seen = 0, []
    for look in range(int(seconds / EVALUATION_INTERVAL_S)):
        now = look * EVALUATION_INTERVAL_S
        swung = max(0.0, wave(now) + random.gauss(0.0, NOISE))
        seen.append(swung)
        changes += level_state.step(now, Signals(**{name: threshold * swung})) is not None
    return Swing(f"{level.label}.{name}", changes, _crossings(seen), sum(seen) / len(seen))


def _wave(random: Random) -> Callable[[float], float]:
    """Round 1, with a period and a phase of its own."""
    period, phase = random.uniform(*PERIOD), random.uniform(0.0, 2 * math.pi)
    return lambda now: 1.0 + SWING * math.sin(2 * math.pi * now / period + phase)


def _crossings(ratios: list[float]) -> int:
    return sum((a < 1.0) != (b < 1.0) for a, b in pairwise(ratios))


def fall(levels: ServiceLevelSettings, seed: int, seconds: float) -> Fall:
    """The fleet loses two fifths of each role after a fifth of the time, and gets them back cold near the
    end."""
    run = Run(f"fall {seed}", levels, FALLING, quota=FULL_RATE * 1.3)
    sim, fleet = run.sim, run.fleet
    began = sim.now
    down, up, end = began + 0.2 * seconds, began + 0.8 * seconds, began + seconds
    for role in (Role.READER, Role.WRITER):
        boxes = fleet.with_role(role)
        for number in boxes[math.ceil(LEFT * len(boxes)) :]:
            sim.at(down, partial(fleet.drain, number, 3.0))
            sim.at(up, partial(fleet.restart, number))

    def phase(now: float) -> str:
        return "whole" if now < down else "fallen" if now < up else "back"

    samples: list[tuple[float, float, int]] = []
    if (governor := run.hosted.governor) is not None:
        for second in range(0, int(seconds), 2):
            sim.at(
                began + second,
                lambda: samples.append(
                    (sim.now - began, governor.signals.load, int(governor.level_state.level))
                ),
            )
    clients = run.clients(lambda now: FULL_RATE, end, phase)
    sim.run(end + AFTER)
    by_phase = {
        name: (tally.worth, *(tally.in_time_share(cls) for cls in (site.LOOKUP, site.LOG)))
        for name, tally in clients.tallies.items()
    }
    changes = tuple(
        f"{at - began:.0f} s {one.before.label} to {one.after.label}: {one.condition} {one.value:.2f}"
        for at, one in run.hosted.changes
    )
    tally: Tally = clients.tally
    top = clients.tallies["fallen"].in_time_share(site.LOG)
    return Fall(tally.worth, top, by_phase, changes, run.broken, tally.turns, tuple(samples))


@dataclass(frozen=True, slots=True)
class Result:
    swings: tuple[Swing, ...]
    on: Fall
    off: Fall

    @property
    def broken(self) -> list[str]:
        parts = [*(swing.broken for swing in self.swings), self.on.broken, self.off.broken]
        return [line for part in parts for line in part]

    @property
    def holds(self) -> bool:
        steady = all(s.changes <= CHANGES_MOST and s.crossings >= CROSSINGS_LEAST for s in self.swings)
        better = self.on.worth >= self.off.worth and self.on.top_class >= self.off.top_class + GAIN_LEAST
        return steady and better and not self.broken

    def figures(self) -> dict[str, Any]:
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
        """For people."""
        yield f"{'threshold':<24} changes crossings  mean of the signal over it"
        for swing in self.swings:
            yield f"{swing.name:<24} {swing.changes:>7} {swing.crossings:>9}  {swing.mean:.3f}"
        for what, run in (("with levels", self.on), ("without", self.off)):
            yield f"capacity falls to {LEFT:.0%}, {what}: worth {run.worth:.3f}"
            yield f"    top class while it is less: {run.top_class:.3f}"
            for name, (worth, lookup, log) in run.by_phase.items():
                yield f"    {name:<7} worth {worth:.3f}  fault-lookup {lookup:.3f}  service-log {log:.3f}"
            yield from (f"    {change}" for change in run.changes)
        yield f"rules broken: {len(self.broken)}"
        yield from self.broken[:20]


def processes() -> ProcessPoolExecutor:
    """As many as there are cores; what comes out does not depend on their number."""
    return ProcessPoolExecutor(max_workers=os.cpu_count(), mp_context=get_context("spawn"))


def experiment(seed: int, minutes: float) -> Result:
    """All of it."""
    seconds = 60.0 * minutes
    loads = [level for level in ON.known[1:] if "load" in ON.levels[level].conditions]
    with processes() as pool:
        on, off = (pool.submit(fall, levels, seed, seconds) for levels in (ON, OFF))
        swings = [pool.submit(swing_load, level, seed, seconds) for level in reversed(loads)]
        alone = [
            swing_signal(level, name, seed, seconds)
            for level in ON.known[1:]
            for name in ON.levels[level].conditions
            if name != "load"
        ]
        return Result((*reversed([swing.result() for swing in swings]), *alone), on.result(), off.result())
