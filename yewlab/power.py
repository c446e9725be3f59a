"""A power loss of the whole fleet on virtual time: routers, workers and register at once, under load.

Halls come back 2 to 20 s apart and cold, a part of the workers never, the register after the first hall;
every client asks again within the same seconds. Played with the recovery and without it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from hopshed import interface
from hopshed.interface import ListKind, Role
from yewhook.recovery.peer_messages import MessageSchedule, unpack
from yewhook.recovery.peer_messages import pack as pack_word
from yewhook.recovery.recovery import PreviousRun, UsualTraffic, usual_traffic
from yewhook.recovery.settings import RecoverySettings

from .host import HostedRouter
from .levels import ON, processes
from .mass import BEGIN, TROUBLE, TURNS, ZONES, Mass
from .workload import Tally

DARK = (4.0, 8.0)  # s without power
HALLS = (2.0, 20.0)  # s from the first hall's return to the last one's
NEVER = 0.33  # part of the workers that does not return
REGISTER = (1.0, 6.0)  # s after the first hall until the register answers
NOTICED = 5.0  # s after its return until it takes out what is gone
SURGE, SURGE_FOR = 6.0, 10.0  # times the usual turns, which are half of what a warm fleet can do; s of it
SEEN_AFTER = 20.0  # s after all is back that still count
HALF, FULL = 0.5, 0.9  # of what is asked for, in a window of
WINDOW = 3.0  # s
SNAPSHOT_AGE, GENERATION = 1.0, 1  # s; the register's, which goes on after the loss
GAIN = 0.05  # by which the worthiest class is to be better off
SAME = ("worth", "top_class", "other_class", "half_s", "full_s", "broken")
LOST_WORDS, WORD_TAKES = 0.3, (0.002, 0.4)  # part of the words; s, so that they come in any order


@dataclass(frozen=True, slots=True)
class Script:
    """When what comes back, in s after the loss."""

    halls: tuple[float, ...]  # by zone
    register: float

    @property
    def first(self) -> float:
        return min(self.halls)

    @property
    def all(self) -> float:
        return max(*self.halls, self.register)


def draw(random: Random) -> Script:
    first = random.uniform(*DARK)
    later = [0.0, *(random.uniform(*HALLS) for _ in range(ZONES - 1))]
    random.shuffle(later)
    return Script(tuple(first + one for one in later), first + random.uniform(*REGISTER))


@dataclass(slots=True)
class Power(Mass):
    """A fleet that loses its power; a router's zone is its number's."""

    lost_at: float = field(init=False)
    script: Script = field(init=False)
    words: int = 0
    known: tuple[interface.Server, ...] = ()  # what routers' configurations say, from before the loss
    register_back: bool = True
    speakers: dict[int, MessageSchedule] = field(default_factory=dict)
    learnt: dict[int, UsualTraffic] = field(default_factory=dict)  # in routers' snapshots

    def __post_init__(self) -> None:
        self.script = draw(Random(f"power {self.seed}"))
        self.lost_at = self.sim.now + TROUBLE
        Mass.__post_init__(self)
        self._plan()

    @property
    def lasts(self) -> float:
        return TROUBLE + self.script.all + SEEN_AFTER - BEGIN

    def rate(self, now: float) -> float:
        """Turns a second: none while it is dark, then everybody's at once."""
        back = self.lost_at + self.script.first
        if self.lost_at <= now < back:
            return 0.0
        usual = self.turns * self.workers
        return usual * SURGE if back <= now < back + SURGE_FOR else usual

    def phase(self, now: float) -> str:
        return f"{now - self.lost_at - self.script.first:.0f}"

    def _plan(self) -> None:
        sim, fleet = self.sim, self.fleet
        sim.at(self.lost_at, self._dark)
        for number in range(self.routers):
            at = self.lost_at + self.script.halls[number % ZONES] + self.random.uniform(0.3, 1.0)
            sim.at(at, partial(self._start, number))
        never = set(self.some(NEVER))
        for number, box in fleet.machines.items():
            at = self.lost_at + self.script.halls[box.info.zone] + self.random.uniform(0.5, 2.0)
            if number not in never:
                sim.at(at, partial(fleet.restart, number))
        sim.at(self.lost_at + self.script.register, self._register)
        for number in sorted(never):
            sim.at(self.lost_at + self.script.all + NOTICED, partial(fleet.stop, number))

    def _dark(self) -> None:
        """Everything goes at once."""
        for number in list(self.fleet.machines):
            self.fleet.cut_power(number)
        for number, one in enumerate(self.hosted):
            self.learnt[number] = self._usual(one)
            self.kill(number, None)
        self.known = tuple(box.info for box in self.fleet.machines.values())
        self.register_back = False

    def _usual(self, one: HostedRouter) -> UsualTraffic:
        """What its snapshot says of before."""
        assert one.governor is not None
        infos = [box.info for box in self.fleet.machines.values()]
        of = {role: [s.id for s in infos if self.rules.settings.roles[s.kind] is role] for role in Role}
        return usual_traffic(
            one.governor.turn_rate(self.sim.now), of, one.router.export_learned_state().work, self.sim.now
        )

    def _start(self, number: int) -> None:
        one = self._host(number, joins=self.register_back)
        self.hosted[number] = one
        self.dead.discard(number)
        if not self.register_back:
            one.router.servers_listed(ListKind.SAVED, self.known)
        self._speak(number, one)

    def _host(self, number: int, joins: bool = True) -> HostedRouter:
        one = Mass._host(self, number, joins=False)
        if one.governor is not None and one.governor.recovery is not None and number in self.learnt:
            recovery, wrote = one.governor.recovery, self.lost_at - SNAPSHOT_AGE
            recovery.load_previous_run(PreviousRun(wrote, False, False, GENERATION, self.known))
            recovery.set_usual_traffic(self.learnt[number])
        if joins:
            self.join(number, one)
        return one

    def join(self, number: int, one: HostedRouter) -> None:
        recovery = one.governor.recovery if one.governor is not None else None

        def listed(kind: ListKind, servers: tuple[interface.Server, ...]) -> None:
            if recovery is not None:
                servers = recovery.merge_list(kind, servers, GENERATION + 1, self.sim.now)
            one.router.servers_listed(kind, servers)

        self.fleet.subscribe(number, listed, self.lags[number])

    def _register(self) -> None:
        self.register_back = True
        for number, one in enumerate(self.hosted):
            if number not in self.dead:
                self.join(number, one)

    # ---- words ----

    def _speak(self, number: int, one: HostedRouter) -> None:
        """A router's words from its start on, as long as it lives."""
        governor = one.governor
        if governor is None or governor.recovery is None:
            return
        recovery, random = governor.recovery, Random(f"words {self.seed} {number} {self.sim.now}")
        speaker = MessageSchedule(self.routers, random, self.sim.now)
        self.speakers[number] = speaker

        def look() -> None:
            if self.hosted[number] is not one or number in self.dead:
                return
            asks = speaker.due(self.sim.now, recovery.active)
            if asks is not None:
                self._say(number, pack_word(recovery.message(asks, self.sim.now)), random)
            self.sim.after(0.1, look)

        self.sim.after(0.1, look)

    def _say(self, sender: int, data: bytes, random: Random) -> None:
        self.words += 1
        for number in range(self.routers):
            if number != sender and random.random() >= LOST_WORDS:
                self.sim.after(random.uniform(*WORD_TAKES), partial(self._hear_word, number, sender, data))

    def _hear_word(self, number: int, sender: int, data: bytes) -> None:
        governor = self.hosted[number].governor
        if number in self.dead or governor is None or governor.recovery is None:
            return
        word = unpack(data)
        governor.recovery.message_received(sender, word, self.sim.now)
        if word.asks and number in self.speakers:
            self.speakers[number].asked(self.sim.now)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one run, from the moment the first hall is back."""

    figures: dict[str, Any]
    broken: tuple[str, ...]
    faults: tuple[str, ...]
    said: tuple[str, ...]
    answered: tuple[tuple[float, float], ...]  # s after the first hall, part of the worth asked then


def _warm(power: Power, part: float) -> float | None:
    """s from the first hall's return until that part of what returns at all is warm, at the scarcer stage:
    no router can serve more before."""
    back = power.lost_at + power.script.first
    settings = power.rules.settings
    starts = [
        (box.server.engine.role, box.server.started)
        for box in power.fleet.machines.values()
        if not box.powered_off
    ]

    def able(role: Role, at: float) -> float:
        ages = [at - began for of, began in starts if of in (role, Role.MIXED)]
        warm = [min(1.0, age / settings.cold_time) for age in ages if age >= 0]
        return sum(settings.cold_from + (1.0 - settings.cold_from) * one for one in warm) / len(ages)

    seconds = range(round(power.script.all - power.script.first + SEEN_AFTER))
    stages = (Role.READER, Role.WRITER)
    reached = (s for s in seconds if min(able(role, back + s) for role in stages) >= part)
    return next((float(s) for s in reached), None)


def _reached(tallies: dict[int, Tally], part: float, last: int) -> float | None:
    """s until that part of the worth asked for in a window is served, and stays so for a further one."""

    def share(second: int) -> float:
        window = Tally.for_class_count(2)
        for one in range(second, second + round(WINDOW)):
            if one in tallies:
                window.add(tallies[one])
        return window.worth

    found = (s for s in range(last) if share(s) >= part and share(s + round(WINDOW)) >= part)
    return next((float(s) for s in found), None)


def play(seed: int, routers: int, workers: int, turns: float = TURNS, with_it: bool = True) -> Outcome:
    recovery = RecoverySettings() if with_it else None
    power = Power(seed, routers, workers, turns, levels=ON, recovery=recovery)
    power.sim.run(power.lost_at + power.script.all + SEEN_AFTER + 16.0)
    seconds = {int(name): tally for name, tally in power.clients.tallies.items()}
    after = Tally.for_settings(power.rules.settings)
    for second, tally in seconds.items():
        if second >= 0:
            after.add(tally)
    top = max(range(len(power.rules.settings.classes)), key=lambda n: power.rules.settings.classes[n].worth)
    last = round(power.script.all - power.script.first + SEEN_AFTER)
    figures = {
        "turns": after.turns, "worth": round(after.worth, 4), "top_class": round(after.in_time_share(top), 4),
        "other_class": round(min(after.in_time_share(n) for n in range(2) if n != top), 4),
        "warm_half_s": _warm(power, HALF), "warm_full_s": _warm(power, FULL),
        "refused": after.refused, "half_s": _reached(seconds, HALF, last),
        "full_s": _reached(seconds, FULL, last), "broken": len(power.rules.broken), "words": power.words,
        "cold_pushed_over": sum("pushed over" in what for what in power.rules.broken),
    }  # fmt: skip
    faults = tuple(fault for log in power.logs for fault in log.faults)
    answered = tuple((float(s), seconds[s].worth) for s in sorted(seconds) if 0 <= s < last)
    return Outcome(figures, tuple(power.rules.broken), faults, tuple(power.logs[-1].recovery_lines), answered)


@dataclass(frozen=True, slots=True)
class Comparison:
    ours: Outcome
    theirs: Outcome

    @property
    def holds(self) -> bool:
        """No rule broken, no fault, and the worthiest class better off than without."""
        gain = self.ours.figures["top_class"] - self.theirs.figures["top_class"]
        return not self.ours.broken and not self.ours.faults and gain >= GAIN

    def figures(self) -> dict[str, Any]:
        theirs = {f"{name}_without": self.theirs.figures[name] for name in SAME}
        return self.ours.figures | theirs


def compare(seed: int, routers: int, workers: int, turns: float = TURNS) -> Comparison:
    """With the recovery and without it."""
    with processes() as pool:
        runs = [pool.submit(play, seed, routers, workers, turns, way) for way in (True, False)]
        return Comparison(runs[0].result(), runs[1].result())
