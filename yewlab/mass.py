"""Runs of hundreds of real routers on virtual time, to check the rules that apply to the whole fleet.

Each day is a script of faults for the same fleet and the same clients. Load that is harmless from one router
adds up over two hundred, which can be checked here without sockets and with reproducible results.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import cycle
from random import Random
from typing import Any

from hopshed.interface import Role
from yewhook.core.router import Router
from yewhook.levels.settings import ServiceLevelSettings
from yewhook.recovery.settings import RecoverySettings

from . import site
from .fleet import Fleet
from .host import HostedRouter, QuietLog, host_router
from .levels import OFF, process_pool
from .rules import Rules
from .simulation import Simulation
from .workload import Clients

TURNS_PER_WORKER_PER_S = 0.75  # about half the capacity of such a fleet
CLIENTS_START_S = 1.0
FAULTS_START_S = 8.0
ARRIVALS_LAST_S = 26.0
FINISH_S = 16.0  # after the last arrival, for open requests to end
ZONE_COUNT = 3
WORKERS_PER_CELL = 6
ROLE_PATTERN = (Role.READER, Role.WRITER, Role.READER, Role.WRITER, Role.MIXED)  # of each five workers
# Tokens per second, the middles of the ranges on the operators' site. At half of these rates, one turn alone
# would be more work than a cold server may get in a second, whichever router sends it.
READ_RATES = {Role.READER: 18_000.0, Role.MIXED: 11_500.0}
ENGINES = {
    role: replace(engine, read_rate=READ_RATES.get(role, engine.read_rate))
    for role, engine in site.ENGINES.items()
}
REGISTER_LAG_S = (0.2, 1.2)  # of each router, in addition to Fleet.register_delay
GOSSIP_DELAY_S = (0.0016, 0.027)  # of a message between routers
QUOTA_TURNS_PER_S = 1e6  # so high that no turn exceeds its tenant's quota
KILLED_SHARE = 0.7  # of the routers, killed at once
RESTART_DELAY_S = (0.8, 2.0)  # from the end of a router's process until it serves again
REPLACED_SHARE = 0.6  # of the workers
REPLACED_WITHIN_S = 7.0
DRAIN_S = 3.0  # from the announcement of a worker's drain until its end
SILENT_SHARE = 0.2  # of the workers
SILENT_FOR_S = 6.0
LATE_REGISTER_DELAY_S = 5.0
ZONE_LOST_FOR_S = 5.0
COLD_SHARE = 0.45  # of the workers
COLD_AFTER_S = 4.0  # from when they fall silent until they return
COLD_REGISTER_DELAY_S = 0.7  # with REGISTER_LAG_S, a return is heard of some 1.4 s later
SLOW_EVERY = 8  # one in so many workers is slow
SLOW_SPEED = 0.15  # of a slow worker, as a fraction of its engine's
FINAL_ANSWERS_S = 0.2  # from a router's last answers to the end of its process
RESTART_GROUPS = 10  # into which the routers are divided, each restarted together
RESTART_GROUP_INTERVAL_S = 1.5


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one day, over all routers."""

    day: str
    routers: int
    workers: int
    turns: int
    worth: float  # of answers, as a fraction of the worth asked for
    refused: int
    failed: int  # turns without a complete stream, except those lost with their router
    faults: tuple[str, ...]  # logged by cores that had to act in place of `hopshed`
    broken: tuple[str, ...]  # rules

    @property
    def holds(self) -> bool:
        """Whether no rule was broken and something was served."""
        return not self.broken and self.worth > 0

    def figures(self) -> dict[str, Any]:
        """The figures that `yewhook lab fleet` prints as JSON."""
        return {
            "routers": self.routers, "workers": self.workers, "turns": self.turns,
            "worth": round(self.worth, 4), "refused": self.refused, "unserved": self.failed,
            "faults": len(self.faults), "broken": len(self.broken),
        }  # fmt: skip


class ServingRouters:
    """Gives each client the router that it asks for or, while that is down, the next one that serves."""

    def __init__(self, hosted: list[HostedRouter], down: set[int]) -> None:
        self._hosted, self._down = hosted, down

    def __len__(self) -> int:
        return len(self._hosted)

    def __getitem__(self, number: int, /) -> Router | None:
        order = (n % len(self) for n in range(number, number + len(self)))
        serving = next((n for n in order if n not in self._down), None)
        return None if serving is None else self._hosted[serving].router


@dataclass(slots=True)
class FleetRun:
    """A fleet of many routers and workers, its clients, and the faults that a script can cause."""

    seed: int
    routers: int
    workers: int
    turns_per_worker: float = TURNS_PER_WORKER_PER_S
    sim: Simulation = field(default_factory=Simulation)
    random: Random = field(init=False)
    rules: Rules = field(init=False)
    fleet: Fleet = field(init=False)
    hosted: list[HostedRouter] = field(default_factory=list)
    logs: list[QuietLog] = field(default_factory=list)  # of every router process, including ended ones
    down: set[int] = field(default_factory=set)  # routers that do not serve
    lags: dict[int, float] = field(default_factory=dict)  # router -> seconds, of REGISTER_LAG_S
    gossip_lost: bool = False  # whether all messages between routers are lost
    clients: Clients = field(init=False)
    levels: ServiceLevelSettings = OFF
    recovery: RecoverySettings | None = None

    def __post_init__(self) -> None:
        settings = replace(site.settings(QUOTA_TURNS_PER_S, self.routers), may_tell=True)
        self.random = Random(f"mass {self.seed}")
        self.rules = Rules(settings)
        self.fleet = Fleet(self.sim, settings, self.rules)
        for n, role in zip(range(self.workers), cycle(ROLE_PATTERN), strict=False):
            self.fleet.add(ENGINES[role], cell=n // WORKERS_PER_CELL, zone=n // WORKERS_PER_CELL % ZONE_COUNT)
        self.hosted = [self._start_router(number) for number in range(self.routers)]
        start = self.sim.now + CLIENTS_START_S
        self.clients = Clients(
            self.sim, settings, site.TRAFFIC, f"mass {self.seed}", ServingRouters(self.hosted, self.down),
            self.rules, self.rate, start + self.arrivals_last_s, self.phase,
        )  # fmt: skip

    @property
    def arrivals_last_s(self) -> float:
        """For how long turns arrive, in seconds."""
        return ARRIVALS_LAST_S

    def rate(self, now: float) -> float:
        """Turns per second at a time, over all routers."""
        return self.turns_per_worker * self.workers

    def phase(self, now: float) -> str:
        """The name of the tally for turns that arrive at a time."""
        return "run"

    def _start_router(self, number: int, register_answers: bool = True) -> HostedRouter:
        """Start a new process of a router; it receives lists of workers if the register answers."""
        settings = self.rules.settings
        self.lags[number] = self.random.uniform(*REGISTER_LAG_S)
        seed = self.random.getrandbits(32)
        hosted = host_router(self.sim, self.fleet, settings, self.levels, seed, number, self.recovery)
        hosted.router.tell = partial(self._deliver_gossip, number)
        self.logs.append(hosted.log)
        if register_answers:
            self.subscribe(number, hosted)
        return hosted

    def subscribe(self, number: int, hosted: HostedRouter) -> None:
        """Pass a router the list of workers now and each change from then on."""
        self.fleet.subscribe(number, hosted.router.servers_listed, self.lags[number])

    def _deliver_gossip(self, sender: int, data: bytes) -> None:
        if self.gossip_lost:
            return
        for number, hosted in enumerate(self.hosted):
            if number != sender and number not in self.down:
                receive = partial(hosted.router.peer_message, sender, data)
                self.sim.after(self.random.uniform(*GOSSIP_DELAY_S), receive)

    # ---- faults that scripts cause ----

    def kill(self, number: int, restart_after: float | None) -> None:
        """Kill a router's process, whose clients lose their requests.

        A new process serves after `restart_after` seconds; None = there is no new process.
        """
        old = self.hosted[number]
        self.down.add(number)
        self.sim.deciders.remove(old.router)
        self.fleet.unsubscribe(number)
        for life in list(old.router.requests.values()):
            self.rules.lost(life.id)
            old.router.client_left(life.id)
        if restart_after is not None:
            self.sim.after(restart_after, partial(self._restart_killed, number))

    def _restart_killed(self, number: int) -> None:
        self.hosted[number] = self._start_router(number)
        self.down.discard(number)

    def restart(self, number: int, restart_after: float) -> None:
        """End all requests of a router, as at the end of its grace period, and restart its process."""
        self.hosted[number].router.end_all()
        self.sim.after(FINAL_ANSWERS_S, lambda: self.kill(number, restart_after))

    def replace_worker(self, number: int) -> None:
        """Drain a worker and end it, and add a new, cold one of the same kind."""
        old = self.fleet.machines[number]
        self.fleet.drain(number, DRAIN_S)
        self.fleet.add(old.server.engine, old.info.cell, cold=True, zone=old.info.zone)

    def sample_workers(self, share: float) -> list[int]:
        """The numbers of a random sample of the workers, of this share of them."""
        numbers = list(self.fleet.machines)
        return self.random.sample(numbers, round(share * len(numbers)))


def calm(run: FleetRun, at: float) -> None:
    """A day without faults."""


def herd(run: FleetRun, at: float) -> None:
    """Most routers are killed at once and restart without learned state; some workers are slow."""
    for number in run.sample_workers(1.0 / SLOW_EVERY):
        run.sim.at(at, partial(run.fleet.slow, number, SLOW_SPEED))
    for number in run.random.sample(range(run.routers), round(KILLED_SHARE * run.routers)):
        run.sim.at(at, partial(run.kill, number, run.random.uniform(*RESTART_DELAY_S)))


def roll(run: FleetRun, at: float) -> None:
    """Half of the workers are replaced one after another while a tenth of the routers at a time restarts."""
    for n, number in enumerate(run.sample_workers(0.5)):
        run.sim.at(at + 0.2 * n, partial(run.replace_worker, number))
    for number in range(run.routers):
        when = at + RESTART_GROUP_INTERVAL_S * (number * RESTART_GROUPS // run.routers)
        run.sim.at(when, partial(run.restart, number, run.random.uniform(*RESTART_DELAY_S)))


def zone(run: FleetRun, at: float) -> None:
    """A zone is lost and returns cold, all of its workers at once; some workers in all zones are slow."""
    for number, machine in run.fleet.machines.items():
        if machine.info.zone == 0:
            run.sim.at(at, partial(run.fleet.silence, number))
            run.sim.at(at + ZONE_LOST_FOR_S, partial(run.fleet.restart, number))
    for number in run.sample_workers(1.0 / SLOW_EVERY):
        run.sim.at(at, partial(run.fleet.slow, number, SLOW_SPEED))


def split(run: FleetRun, at: float) -> None:
    """A fifth of the workers become unreachable and restart cold; lists are late, gossip is lost."""
    run.sim.at(at, lambda: setattr(run, "gossip_lost", True))
    run.sim.at(at + SILENT_FOR_S, lambda: setattr(run, "gossip_lost", False))
    run.sim.at(at, lambda: setattr(run.fleet, "register_delay", LATE_REGISTER_DELAY_S))
    run.sim.at(at + SILENT_FOR_S, lambda: setattr(run.fleet, "register_delay", 1.0))
    for number in run.sample_workers(SILENT_SHARE):
        run.sim.at(at, partial(run.fleet.silence, number))
        run.sim.at(at + SILENT_FOR_S, partial(run.fleet.restart, number))


def join(run: FleetRun, at: float) -> None:
    """Six in ten workers are replaced within REPLACED_WITHIN_S."""
    for number in run.sample_workers(REPLACED_SHARE):
        run.sim.at(at + run.random.uniform(0.0, REPLACED_WITHIN_S), partial(run.replace_worker, number))


def cold(run: FleetRun, at: float) -> None:
    """Nearly half of the workers fall silent and return cold, all at once; routers do not hear each other."""
    run.gossip_lost = True
    run.fleet.register_delay = COLD_REGISTER_DELAY_S
    for number in run.sample_workers(COLD_SHARE):
        run.sim.at(at, partial(run.fleet.silence, number))
        run.sim.at(at + COLD_AFTER_S, partial(run.fleet.restart, number))


DAYS: dict[str, Callable[[FleetRun, float], None]] = {
    "calm": calm, "roll": roll, "herd": herd, "zone": zone, "split": split, "join": join,
    "cold": cold,
}  # fmt: skip


def play(day: str, seed: int, routers: int, workers: int, turns: float = TURNS_PER_WORKER_PER_S) -> Result:
    """Run one day; the same arguments give the same result.

    `turns` is turns per second for each worker.
    """
    run = FleetRun(seed, routers, workers, turns)
    DAYS[day](run, run.sim.now + FAULTS_START_S)
    run.sim.run(run.sim.now + CLIENTS_START_S + ARRIVALS_LAST_S + FINISH_S)
    tally = run.clients.tally
    faults = tuple(fault for log in run.logs for fault in log.faults)
    return Result(
        day, routers, workers, tally.turns, tally.worth, tally.refused, tally.failed, faults,
        tuple(run.rules.broken),
    )  # fmt: skip


def play_all(
    days: list[str], seed: int, routers: int, workers: int, turns: float = TURNS_PER_WORKER_PER_S
) -> list[Result]:
    """Run several days, each in a process of its own."""
    with process_pool() as pool:
        results = [pool.submit(play, day, seed, routers, workers, turns) for day in days]
        return [result.result() for result in results]
