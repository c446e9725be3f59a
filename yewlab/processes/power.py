"""A power loss of everything at once, with real processes: agent, routers, workers, register and links go
under load and come back in an order and with faults that a seed draws; with the recovery and without it."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from hopshed.interface import Role
from yewhook.operations.handover_encoding import DecodeError, decode_checked
from yewhook.recovery.snapshot import NAME, Snapshot, pack
from yewhook.worker_list import server_id

from .agent import AgentSide
from .clients import Tally
from .operate import Play, Waits
from .stage import HALLS, OFFSET, Stage

ROUTERS, RATE = 6, 18.0  # instances, and turns a second: six tenths of what the workers can do
FLEET = (Role.READER, Role.WRITER, Role.MIXED, Role.READER, Role.WRITER, Role.READER,
         Role.WRITER, Role.READER, Role.WRITER)  # fmt: skip
START_MOST = 20.0  # s for all routers to say yes at first
BEFORE = 8.0  # s of load before the loss
ORDERED = 2.5  # s before the loss at which operators drain a router and the register a worker
DARK = 2.0  # s
APART = (2.0, 7.0)  # s from hall to hall; up to 20 s in the design's cases, here within the time of a test
REGISTER = (0.5, 4.0)  # s after the first hall
NOTICED = 3.0  # s after its return at which the register takes out what is gone
BURST, SURGE, SURGE_FOR = 60, 1.2, 8.0  # turns within a second, then times the usual rate, for so many s
AFTER, OVER = 20.0, 14.0  # s after all is back that still count, and for what is open then
SECOND = (3.0, 5.0)  # s after the first hall at which everything goes once more
MOST = 88.0  # s that one run may take
HALF, FULL, WINDOW = 0.5, 0.9, 3  # of the worth asked for, in a window of so many s
REGISTERS = ("register-late", "register-empty", "register-old")
OTHERS = ("second-loss", "cut-snapshot", "stale-snapshot", "clock", "parted", "alone", "new-ids", "one-class")
ALWAYS = ("never", "drain")
FAULTS = (*ALWAYS, *REGISTERS, *OTHERS)
DRAINED_ROUTER, DRAINED_WORKER = "n5", "w7"
AGENT = 'state = "state"\nat_a_time = 2\n'
OPERATORS = '[levels]\nmode = "on"\n'
RECOVERY = """
[recovery]
mode = "on"
folder = "kept-{number}"
boot_id = "boot"
every_s = 0.5
"""


@dataclass(frozen=True, slots=True)
class Plan:
    """What a seed draws; s are after the first hall's return."""

    faults: frozenset[str]
    halls: tuple[float, ...]
    register: float
    second: float
    never: frozenset[str]
    seed: int
    after: float = AFTER

    @property
    def all(self) -> float:
        return max(*self.halls, self.register)


def draw(seed: int, asked: tuple[str, ...] = ()) -> Plan:
    """The faults are those asked for, or drawn."""
    random = Random(f"power {seed}")
    drawn = {*ALWAYS, random.choice(REGISTERS), *random.sample(OTHERS, 2)}
    first, second = 0.0, random.uniform(*APART)
    halls = [first, second, second + random.uniform(*APART)]
    register, again = random.uniform(*REGISTER), random.uniform(*SECOND)
    # One of each three, in their halls in turn, but never all of a role, and not the one that drains.
    never = frozenset({"w0", "w4", "w8"})
    faults = frozenset(asked or drawn)
    return Plan(faults, tuple(halls), register, again, never if "never" in faults else frozenset(), seed)


@dataclass(slots=True)
class Loss:
    """One run: the stage, its agent, and what is done to them."""

    plan: Plan
    folder: Path
    with_it: bool
    stage: Stage = field(init=False)
    agent: AgentSide = field(init=False)
    pids: list[int] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    off: set[str] = field(default_factory=set)
    sent_to_drained: int = 0
    back_at: float = 0.0  # when power returned
    after: Tally = field(default_factory=Tally)
    before: Tally = field(init=False)
    drained_asked: int = 0
    boots: int = 0

    def __post_init__(self) -> None:
        self._boot()
        self.stage = Stage(self.folder, ROUTERS, self.plan.seed, RATE, FLEET, len(HALLS))
        if "parted" in self.plan.faults:
            halves = [(i, j) for i in range(ROUTERS) for j in range(ROUTERS) if i % 2 != j % 2]
            self.stage.between.cut |= set(halves)
        lines = AGENT if self.with_it else ""
        self.agent = AgentSide(self.stage, self.folder, lines, self._operators)

    def _operators(self, number: int) -> str:
        return OPERATORS + (RECOVERY.format(number=number) if self.with_it else "")

    def _boot(self) -> None:
        self.boots += 1
        (self.folder / "boot").write_text(f"run {self.boots}\n")

    # ---- the script ----

    def script(self) -> Waits:
        stage, plan = self.stage, self.plan
        clients, loop = stage.clients, stage.loop
        end = loop.now + START_MOST
        yield lambda: all(way.healthy for way in clients.ways) or loop.now > end
        clients.begin()
        yield BEFORE - ORDERED
        if "drain" in plan.faults:
            yield from self.agent.order("drain", DRAINED_ROUTER, "the night shift", self.failed.append)
            stage.register.put(DRAINED_WORKER, lifecycle="draining")
        yield ORDERED
        yield from self.agent.status(self._note_pids)
        self.before = clients.tally
        held = {name: dict(entry) for name, entry in stage.register.entries.items()}
        self._cut()
        yield DARK
        self._damage()
        yield from self._return(held)
        if "second-loss" in plan.faults:
            yield max(0.0, self.back_at + plan.second - loop.now)
            yield from self.agent.status(self._note_pids)
            again = self._cut(first=False)
            yield DARK / 2
            self._boot()
            self._come_back(again)
        yield max(0.0, self.back_at + plan.all + NOTICED - loop.now)
        for name in sorted(plan.never):
            if name in stage.register.entries:
                stage.register.put(name, lifecycle="removed")
        yield max(0.0, self.back_at + plan.all + plan.after - loop.now)
        clients.stopped = True
        end = loop.now + OVER
        yield lambda: not clients.open or loop.now > end

    def _note_pids(self, status: list[dict[str, Any]]) -> None:
        self.pids = [one["pid"] for one in status if one["pid"]]

    def _cut(self, first: bool = True) -> list[str]:
        """Everything that has power is gone at once; the workers that had it."""
        stage = self.stage
        stage.clients.paused = first
        for way in stage.clients.ways:
            way.healthy, way.killed_at = False, stage.loop.now
        self.agent.cut_power(self.pids)
        had = [name for name in stage.workers.boxes if name not in self.off]
        for name in had:
            self._worker_off(name)
        for (_, name), link in stage.links.items():
            if name == "register":
                link.cut_power()
        return had

    def _worker_off(self, name: str) -> None:
        self.off.add(name)
        for number in range(ROUTERS):
            self.stage.links[number, name].cut_power()
        self.stage.workers.boxes[name].die()

    def _worker_on(self, name: str) -> None:
        worker = self.stage.workers.boxes[name]
        if "new-ids" in self.plan.faults and name in ("w2", "w5"):
            self._rename(name)
        self.off.discard(name)
        worker.cool()
        for number in range(ROUTERS):
            self.stage.links[number, name].restore()
        if self.hears:
            self._tell_start(name)

    register_up: bool = False
    hears: bool = False  # the register hears of starts; one that has fallen back does later
    renamed: dict[str, str] = field(default_factory=dict)

    def _rename(self, name: str) -> None:
        """Another process at its address, under an id that nobody knows."""
        new = f"{name}-again"
        if name not in self.renamed:
            self.renamed[name] = new
            for number in range(ROUTERS):
                self.stage.links[number, new] = self.stage.links[number, name]
            self.stage.workers.boxes[name].number = server_id(new)

    def _started_ms(self, name: str) -> float:
        skew = 0.0
        if "clock" in self.plan.faults:  # the register's clock is 2 s off
            skew = 2.0 if self.plan.seed % 2 else -2.0
        return round((self.stage.workers.boxes[name].server.started + OFFSET + skew) * 1000.0)

    def _tell_start(self, name: str) -> None:
        register, new = self.stage.register, self.renamed.get(name)
        if new is None:
            drains = name == DRAINED_WORKER and "drain" in self.plan.faults
            state = "draining" if drains else "up"
            register.put(name, **self._entry(name), lifecycle=state, startedAtMs=self._started_ms(name))
            return
        if name in register.entries:
            register.put(name, lifecycle="removed")
        entry = self._entry(name) | {"instanceId": new}
        register.put(new, **entry, lifecycle="up", startedAtMs=self._started_ms(name))

    def _entry(self, name: str) -> dict[str, Any]:
        """What the register knew of a worker before the loss."""
        kept = ("zone", "cell", "machineType", "weight")
        return {key: self.known[name][key] for key in kept}

    known: dict[str, dict[str, Any]] = field(default_factory=dict)

    def _damage(self) -> None:
        """What the dark does to what was kept."""
        self._boot()
        random, faults = Random(f"damage {self.plan.seed}"), self.plan.faults
        for number in range(ROUTERS):
            path = self.folder / f"kept-{number}" / "snapshot"
            if not path.exists():
                continue
            data = path.read_bytes()
            if "cut-snapshot" in faults:  # power failed while the next one was written
                path.with_name("snapshot.new").write_bytes(data[: random.randrange(len(data))])
            try:
                snapshot = decode_checked(NAME, "snapshot", data, Snapshot)
            except DecodeError:
                continue
            if "stale-snapshot" in faults and number == 0:
                path.write_bytes(pack(replace(snapshot, wall=snapshot.wall - 3600.0)))
            if "clock" in faults and number == 2:
                path.write_bytes(pack(replace(snapshot, wall=snapshot.wall + 7200.0)))
            if "alone" in faults and number == 1:
                boot = (self.folder / "boot").read_text().strip()
                path.write_bytes(pack(replace(snapshot, boot=boot)))

    def _return(self, held: dict[str, dict[str, Any]]) -> Waits:
        """Hall by hall."""
        stage, plan = self.stage, self.plan
        self.known, self.back_at = held, stage.loop.now
        stage.clients.tally = self.after
        stage.clients.ways[int(DRAINED_ROUTER[1:])].taken = 0
        self.sent_before = stage.workers.boxes[DRAINED_WORKER].asked
        if "one-class" in plan.faults:
            stage.clients.only = max(stage.clients.lanes, key=lambda lane: stage.clients.class_of(lane).worth)
        for hall, at in enumerate(plan.halls):
            names = [f"w{n}" for n in range(len(FLEET)) if n % len(HALLS) == hall]
            up = [name for name in names if name not in plan.never]
            stage.loop.after(at, lambda up=up: self._come_on(up))  # type: ignore[misc]
        stage.loop.after(plan.register, self._register)
        self.agent.start_again()
        yield lambda: any(way.healthy for way in stage.clients.ways)
        self._surge()

    sent_before: int = 0

    def _come_on(self, names: list[str]) -> None:
        for name in names:
            self._worker_on(name)

    def _come_back(self, names: list[str]) -> None:
        """After the second loss: what had power has it again, and no clients are added."""
        for name in names:
            self._worker_on(name)
        if self.register_up:
            self._open_register()
        self.agent.start_again()

    def _open_register(self) -> None:
        for (_, name), link in self.stage.links.items():
            if name == "register":
                link.restore()

    def _register(self) -> None:
        """It comes back with what it has, in one of three ways."""
        stage, faults = self.stage, self.plan.faults
        self.register_up = True
        generation = 1 if {"register-empty", "register-old"} & faults else stage.register.generation
        entries: dict[str, dict[str, Any]] = {}
        if "register-empty" not in faults:
            entries = {name: dict(entry) for name, entry in self.known.items()}
        if "register-old" in faults:
            for entry in entries.values():
                entry["lifecycle"] = "up"  # from before the drain
        stage.register.begin_anew(generation, entries)
        self._open_register()
        behind = max(0.0, self.plan.halls[1] - self.plan.register) + NOTICED
        stage.loop.after(behind if "register-old" in faults else 0.0, self._catch_up)

    def _catch_up(self) -> None:
        """It hears of the starts there have been."""
        self.hears = True
        for name in self.stage.workers.boxes:
            if name not in self.off:
                self._tell_start(name)

    def _surge(self) -> None:
        """All clients ask again within the same second, and go on for a while."""
        clients, loop = self.stage.clients, self.stage.loop
        random = Random(f"surge {self.plan.seed}")
        for _ in range(BURST):
            loop.after(random.uniform(0.0, 1.0), clients.ask)
        clients.paused, clients.rate = False, SURGE * RATE
        loop.after(SURGE_FOR, lambda: setattr(clients, "rate", RATE))

    # ---- what came of it ----

    def figures(self) -> dict[str, Any]:
        stage, tally = self.stage, self.after
        broken = stage.rules.broken
        drains = "drain" in self.plan.faults
        told_off = sum("told off" in what for what in broken)
        # An older list may say "up" of it: the rules then know of no drain, and this does.
        to_drained = stage.workers.boxes[DRAINED_WORKER].asked - self.sent_before if drains else 0
        by_drained = stage.clients.ways[int(DRAINED_ROUTER[1:])].taken if drains else 0
        top = max(stage.clients.lanes, key=lambda lane: stage.clients.class_of(lane).worth)
        asked = sum(tally.asked.values()) or 1.0
        last = int(self.back_at + self.plan.all + self.plan.after)
        return {
            "requests": tally.requests,
            "answered_once": tally.answered_once,
            "lost_with_their_process": tally.lost_with_process,
            "rules_broken": len(broken),
            "cold_pushed_over": sum("pushed over" in what for what in broken),
            "sends_to_gone_or_drained": told_off + to_drained,
            "taken_by_drained": by_drained,
            "duplicates_of_unsafe": sum("may not be repeated" in what for what in broken),
            "half_s": _reached(tally.seconds, self.back_at, last, HALF),
            "full_s": _reached(tally.seconds, self.back_at, last, FULL),
            "worth": round(sum(tally.answered.values()) / asked, 4),
            "top_class": round(tally.in_time.get(top, 0.0) / (tally.asked.get(top) or 1.0), 4),
            "unread": tally.unread,
            "faults": len(self.failed),
        }

    def close(self) -> None:
        self.agent.cut_power(self.pids) if not self.agent.running else self.agent.close()
        self.stage.close()


def _reached(
    seconds: dict[tuple[int, str], list[float]], begin: float, last: int, part: float
) -> float | None:
    """s from the return of power until that part of the worth asked for is answered, and stays so."""

    def answered(at: int) -> float:
        window = [one for (second, _), one in seconds.items() if at <= second < at + WINDOW]
        return sum(one[1] for one in window) / max(1e-9, sum(one[0] for one in window))

    first = int(begin)
    found = (s for s in range(first, last) if min(answered(s), answered(s + WINDOW)) >= part)
    return next((round(s - begin, 1) for s in found), None)


@dataclass(frozen=True, slots=True)
class Result:
    figures: dict[str, Any]
    told: tuple[str, ...]

    @property
    def holds(self) -> bool:
        f = self.figures
        none = ("rules_broken", "cold_pushed_over", "sends_to_gone_or_drained", "duplicates_of_unsafe",
                "taken_by_drained", "faults")  # fmt: skip
        return (
            not any(f[name] for name in none)
            and f["requests"] == f["answered_once"] + f["lost_with_their_process"] + f["unread"]
            and f["requests"] > 0
            and f["worth"] >= f["worth_without"]
            and f["top_class"] >= f["top_class_without"] + 0.05
        )


def play(plan: Plan, with_it: bool) -> tuple[dict[str, Any], list[str]]:
    """One run, and what its routers and checkers said."""
    with tempfile.TemporaryDirectory(prefix="yewhook-power-") as folder:
        loss = Loss(plan, Path(folder), with_it)
        script, loop = Play(loss.stage.loop), loss.stage.loop
        end = loop.now + MOST
        try:
            script.start(loss.script())
            while script.running and loop.now < end:
                loss.stage.run(loop.now + 0.1)
            told = [*loss.stage.rules.broken, *loss.failed]
            told += [line for line in loss.agent.said if any(word in line for word in SHOWN)]
            return loss.figures(), told
        finally:
            loss.close()


SHOWN = ("recovery phase", "restart judged", "snapshot", "recalled", "register began", "workers gone",
         "wanted state", "turn failed", "levels failed", "handler failed")  # fmt: skip
SAME = ("half_s", "full_s", "worth", "top_class")


def experiment(
    seed: int, faults: tuple[str, ...] = (), say: Callable[[str], None] = lambda line: None
) -> Result:
    """With the recovery and without it."""
    plan = draw(seed, faults)
    began = time.monotonic()
    say(f"faults {', '.join(sorted(plan.faults))}; halls after {[round(h, 1) for h in plan.halls]} s, "
        f"the register after {plan.register:.1f} s")  # fmt: skip
    ours, told = play(plan, True)
    theirs, _ = play(plan, False)
    figures = {"processes": 2 * ROUTERS + 2} | ours
    figures |= {f"{name}_without": theirs[name] for name in SAME}
    figures["took_s"] = round(time.monotonic() - began, 1)
    return Result(figures, tuple(told))
