"""Days of hundreds of real routers on virtual time, and the rules that count over the whole fleet.

Each day is a script of troubles over the same fleet and the same clients: what is harmless in one router adds
up over two hundred, and here it can be counted without sockets, in the same way every time.
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
from .levels import OFF, processes
from .rules import Rules
from .simulation import Simulation
from .workload import Clients

TURNS = 0.75  # turns a second for each worker: about half of what such a fleet can do
BEGIN, TROUBLE = 1.0, 8.0  # s until turns come, and until the trouble begins
LASTS, AFTER = 26.0, 16.0  # s in which turns come, and then for what is left to end
ZONES, CELL = 3, 6
KINDS = (Role.READER, Role.WRITER, Role.READER, Role.WRITER, Role.MIXED)  # of each five workers
# Tokens a second, as on the operators' site (the middles of their ranges); read at half of that, one whole
# turn was more than a cold server may get in a second, whoever sent it.
READS = {Role.READER: 18_000.0, Role.MIXED: 11_500.0}
ENGINES = {
    role: replace(engine, read_rate=READS.get(role, engine.read_rate))
    for role, engine in site.ENGINES.items()
}
LAG = (0.2, 1.2)  # s by which a router hears later of the fleet than the first
HEARS = (0.0016, 0.027)  # s for a message from router to router
QUOTA = 1e6  # turns a second: nobody is beyond a share
KILLED, BACK_AFTER = 0.7, (0.8, 2.0)  # part of the routers killed at once, and s until each serves again
REPLACED, WITHIN, DRAINS = 0.6, 7.0, 3.0  # part of the workers, s; s from a drain's start to the end
CUT, CUT_FOR, LATE = 0.2, 6.0, 5.0  # part of the workers that fall silent, s; s by which lists are late then
LOST_FOR = 5.0  # s for which a zone is lost
BAD, BAD_SPEED = 8, 0.15  # one in so many workers is slow, at this part of its pace
LAST_MOMENT = 0.2  # s from a router's last answers to the end of its process
ROLLED, ROLL_EVERY = 10, 1.5  # routers are restarted in so many parts, one every so many s


@dataclass(frozen=True, slots=True)
class Result:
    """What a day brought, over all routers together."""

    day: str
    routers: int
    workers: int
    turns: int
    worth: float  # answered, over the worth asked for
    refused: int
    failed: int  # answered with less than a whole stream; those lost with their router are not in it
    faults: tuple[str, ...]  # what cores had to do in place of their modules
    broken: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Whether no rule was broken by a fleet that served something."""
        return not self.broken and self.worth > 0

    def figures(self) -> dict[str, Any]:
        return {
            "routers": self.routers, "workers": self.workers, "turns": self.turns,
            "worth": round(self.worth, 4), "refused": self.refused, "unserved": self.failed,
            "faults": len(self.faults), "broken": len(self.broken),
        }  # fmt: skip


class Front:
    """Leads clients to the routers that serve: to the next one where the one asked for does not."""

    def __init__(self, hosted: list[HostedRouter], dead: set[int]) -> None:
        self._hosted, self._dead = hosted, dead

    def __len__(self) -> int:
        return len(self._hosted)

    def __getitem__(self, number: int, /) -> Router | None:
        order = (n % len(self) for n in range(number, number + len(self)))
        serving = next((n for n in order if n not in self._dead), None)
        return None if serving is None else self._hosted[serving].router


@dataclass(slots=True)
class Mass:
    """A fleet of many routers and workers, its clients, and what a script may do to them."""

    seed: int
    routers: int
    workers: int
    turns: float = TURNS  # a second for each worker
    sim: Simulation = field(default_factory=Simulation)
    random: Random = field(init=False)
    rules: Rules = field(init=False)
    fleet: Fleet = field(init=False)
    hosted: list[HostedRouter] = field(default_factory=list)
    logs: list[QuietLog] = field(default_factory=list)  # of every router's process, those that ended too
    dead: set[int] = field(default_factory=set)  # routers that do not serve
    lags: dict[int, float] = field(default_factory=dict)  # router -> s by which it hears later
    deaf: bool = False  # no router hears another one
    clients: Clients = field(init=False)
    levels: ServiceLevelSettings = OFF
    recovery: RecoverySettings | None = None

    def __post_init__(self) -> None:
        settings = replace(site.settings(QUOTA, self.routers), may_tell=True)
        self.random = Random(f"mass {self.seed}")
        self.rules = Rules(settings)
        self.fleet = Fleet(self.sim, settings, self.rules)
        for n, role in zip(range(self.workers), cycle(KINDS), strict=False):
            self.fleet.add(ENGINES[role], cell=n // CELL, zone=n // CELL % ZONES)
        self.hosted = [self._host(number) for number in range(self.routers)]
        start = self.sim.now + BEGIN
        self.clients = Clients(
            self.sim, settings, site.TRAFFIC, f"mass {self.seed}", Front(self.hosted, self.dead),
            self.rules, self.rate, start + self.lasts, self.phase,
        )  # fmt: skip

    @property
    def lasts(self) -> float:
        """s in which turns come."""
        return LASTS

    def rate(self, now: float) -> float:
        """Turns a second, over all routers."""
        return self.turns * self.workers

    def phase(self, now: float) -> str:
        """Under which name a turn that comes now is booked."""
        return "run"

    def _host(self, number: int, joins: bool = True) -> HostedRouter:
        """A router's new process; `joins` = the register answers it."""
        settings = self.rules.settings
        self.lags[number] = self.random.uniform(*LAG)
        seed = self.random.getrandbits(32)
        one = host_router(self.sim, self.fleet, settings, self.levels, seed, number, self.recovery)
        one.router.tell = partial(self._tell, number)
        self.logs.append(one.log)
        if joins:
            self.join(number, one)
        return one

    def join(self, number: int, one: HostedRouter) -> None:
        """The register tells it of the workers from now on."""
        self.fleet.subscribe(number, one.router.servers_listed, self.lags[number])

    def _tell(self, sender: int, data: bytes) -> None:
        if self.deaf:
            return
        for number, one in enumerate(self.hosted):
            if number != sender and number not in self.dead:
                hear = partial(one.router.peer_message, sender, data)
                self.sim.after(self.random.uniform(*HEARS), hear)

    # ---- what a script does ----

    def kill(self, number: int, back_after: float | None) -> None:
        """A router's process dies: its clients lose what it had; a fresh one takes its place after that many
        s, if one does."""
        old = self.hosted[number]
        self.dead.add(number)
        self.sim.deciders.remove(old.router)
        self.fleet.unsubscribe(number)
        for life in list(old.router.requests.values()):
            self.rules.lost(life.id)
            old.router.client_left(life.id)
        if back_after is not None:
            self.sim.after(back_after, partial(self._come_back, number))

    def _come_back(self, number: int) -> None:
        self.hosted[number] = self._host(number)
        self.dead.discard(number)

    def restart(self, number: int, back_after: float) -> None:
        """A router is at the end of its grace: what it still has is answered or broken off, then it ends."""
        self.hosted[number].router.end_all()
        self.sim.after(LAST_MOMENT, lambda: self.kill(number, back_after))

    def replace_worker(self, number: int) -> None:
        """A worker drains and ends; a new and cold one takes its place."""
        old = self.fleet.machines[number]
        self.fleet.drain(number, DRAINS)
        self.fleet.add(old.server.engine, old.info.cell, cold=True, zone=old.info.zone)

    def some(self, part: float) -> list[int]:
        """So many of the workers, drawn by the seed."""
        every = list(self.fleet.machines)
        return self.random.sample(every, round(part * len(every)))


def calm(mass: Mass, at: float) -> None:
    """Nothing happens."""


def herd(mass: Mass, at: float) -> None:
    """A release: most routers are killed at once and come back with nothing learnt; some workers are slow."""
    for number in mass.some(1.0 / BAD):
        mass.sim.at(at, partial(mass.fleet.slow, number, BAD_SPEED))
    for number in mass.random.sample(range(mass.routers), round(KILLED * mass.routers)):
        mass.sim.at(at, partial(mass.kill, number, mass.random.uniform(*BACK_AFTER)))


def roll(mass: Mass, at: float) -> None:
    """Half of the workers are replaced in steps while the routers are restarted, a tenth at a time."""
    for n, number in enumerate(mass.some(0.5)):
        mass.sim.at(at + 0.2 * n, partial(mass.replace_worker, number))
    for number in range(mass.routers):
        when = at + ROLL_EVERY * (number * ROLLED // mass.routers)
        mass.sim.at(when, partial(mass.restart, number, mass.random.uniform(*BACK_AFTER)))


def zone(mass: Mass, at: float) -> None:
    """A zone is lost and comes back cold, all of it at once; some workers elsewhere are slow."""
    for number, box in mass.fleet.machines.items():
        if box.info.zone == 0:
            mass.sim.at(at, partial(mass.fleet.silence, number))
            mass.sim.at(at + LOST_FOR, partial(mass.fleet.restart, number))
    for number in mass.some(1.0 / BAD):
        mass.sim.at(at, partial(mass.fleet.slow, number, BAD_SPEED))


def split(mass: Mass, at: float) -> None:
    """A fifth of the workers fall silent and come back cold; lists are late, routers hear no other."""
    mass.sim.at(at, lambda: setattr(mass, "deaf", True))
    mass.sim.at(at + CUT_FOR, lambda: setattr(mass, "deaf", False))
    mass.sim.at(at, lambda: setattr(mass.fleet, "register_delay", LATE))
    mass.sim.at(at + CUT_FOR, lambda: setattr(mass.fleet, "register_delay", 1.0))
    for number in mass.some(CUT):
        mass.sim.at(at, partial(mass.fleet.silence, number))
        mass.sim.at(at + CUT_FOR, partial(mass.fleet.restart, number))


def join(mass: Mass, at: float) -> None:
    """Six in ten workers are replaced within seconds."""
    for number in mass.some(REPLACED):
        mass.sim.at(at + mass.random.uniform(0.0, WITHIN), partial(mass.replace_worker, number))


DAYS: dict[str, Callable[[Mass, float], None]] = {
    "calm": calm, "roll": roll, "herd": herd, "zone": zone, "split": split, "join": join,
}  # fmt: skip


def play(day: str, seed: int, routers: int, workers: int, turns: float = TURNS) -> Result:
    """One day over so many routers and workers; the same seed gives the same day and the same result."""
    mass = Mass(seed, routers, workers, turns)
    DAYS[day](mass, mass.sim.now + TROUBLE)
    mass.sim.run(mass.sim.now + BEGIN + LASTS + AFTER)
    tally = mass.clients.tally
    faults = tuple(fault for log in mass.logs for fault in log.faults)
    return Result(
        day, routers, workers, tally.turns, tally.worth, tally.refused, tally.failed, faults,
        tuple(mass.rules.broken),
    )  # fmt: skip


def play_all(days: list[str], seed: int, routers: int, workers: int, turns: float = TURNS) -> list[Result]:
    """Several days side by side."""
    with processes() as pool:
        runs = [pool.submit(play, day, seed, routers, workers, turns) for day in days]
        return [run.result() for run in runs]
