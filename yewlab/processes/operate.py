"""Daily operation with faults: drains, resumes and upgrades of routers under load, drawn by a seed."""

from __future__ import annotations

import signal
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from yewhook.loop import Loop

from .clients import Way
from .host import Bounded, Instance, Process
from .net import ClientSide
from .stage import Stage

ROUTERS, RATE = 4, 20.0  # instances, and turns a second over all of them
SETTLED, YES_WITHIN, OVER_WITHIN = 1.0, 6.0, 14.0  # s until the script, for a yes, for what is left to end
HELD_AFTER, RECENT = 4.0, 2.0  # s after a drain at which nothing of a client's is held idle, or that recent
RESUMED_WITHIN = 2.0  # s after a drain's end until the front has its yes
DRAINING_MOST = 2  # instances at once
MOST = 105.0  # s that an experiment may take
CALLERS = 40  # connections with half a call that are held beside the calls

Waits = Iterator[float | Callable[[], bool]]  # s to wait, or what to wait for


@dataclass(slots=True)
class Count:
    door_calls: int = 0
    door_late: int = 0
    door_wrong: int = 0
    drains: int = 0
    held: int = 0
    late_yes: int = 0
    upgrades: int = 0
    ended_well: int = 0
    kept_old: int = 0


@dataclass(slots=True)
class Result:
    figures: dict[str, int]
    broken: list[str]
    story: list[str] = field(default_factory=list)

    @property
    def holds(self) -> bool:
        f = self.figures
        none = ("door_late", "door_wrong", "held_4s_after_drain", "late_yes", "unread_connections",
                "duplicates_of_unsafe", "rules_broken", "faults")  # fmt: skip
        return (
            not any(f[name] for name in none)
            and f["requests"] == f["answered_once"] + f["lost_with_their_process"]
            and f["upgrades"] == f["upgrades_ended_well"] + f["upgrades_kept_old"]
            and min(f["upgrades_ended_well"], f["upgrades_kept_old"], f["drains"], f["answered_once"]) > 0
        )


class Play:
    """Runs scripts side by side: each is a generator that yields what it waits for."""

    def __init__(self, loop: Loop) -> None:
        self._loop, self.running = loop, 0

    def start(self, script: Waits) -> None:
        self.running += 1
        self._next(script)

    def whole(self, stage: Stage, script: Waits, most: float) -> bool:
        """Run one script on a stage to its end; whether that came within so many s."""
        end = self._loop.now + most
        self.start(script)
        while self.running and self._loop.now < end:
            stage.run(self._loop.now + 0.05)
        return not self.running

    def _next(self, script: Waits) -> None:
        try:
            wait = next(script)
        except StopIteration:
            self.running -= 1
            return
        if callable(wait):
            self._poll(script, wait)
        else:
            self._loop.after(wait, lambda: self._next(script))

    def _poll(self, script: Waits, true: Callable[[], bool]) -> None:
        if true():
            return self._next(script)
        return self._loop.after(0.02, lambda: self._poll(script, true))


class Operators:
    """What operators do to the instances of a stage, and what they find."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.loop, self.count = stage, stage.loop, Count()
        self.story: list[str] = []
        self._draining = 0

    def tell(self, instance: Instance, what: str) -> None:
        self.story.append(f"{self.loop.now - self.began:6.2f} n{instance.number} {what}")

    def begin(self) -> None:
        self.began = self.loop.now

    # ---- calls ----

    def call(self, process: Process, method: str, path: str, wanted: int) -> Waits:
        """One call, and the wait for its answer."""
        heard: list[int] = []
        self.count.door_calls += 1
        Bounded(self.loop, process.door, method, path, heard.append)
        yield lambda: bool(heard)
        self.count.door_late += heard[0] == 0
        self.count.door_wrong += heard[0] not in (0, wanted)

    def hold(self, process: Process) -> list[ClientSide]:
        """Callers with half a call each, who wait."""
        sides = []
        for _ in range(CALLERS):
            side = ClientSide(self.loop, process.door)
            side.channel.send(b"POST /-/drain HTTP/1.1\r\nHo")
            sides.append(side)
        return sides

    # ---- drains ----

    def drain(self, instance: Instance) -> Waits:
        yield lambda: self._draining < DRAINING_MOST
        self._draining += 1
        self.tell(instance, "drain")
        self.count.drains += 1
        process, way = instance.serving, self.stage.clients.ways[instance.number]
        callers = self.hold(process)
        yield from self.call(process, "POST", "/-/drain", 200)
        yield HELD_AFTER
        self.count.held += self._held(way)
        for side in callers:
            side.close()
        yield from self.call(process, "POST", "/-/resume", 200)
        resumed = self.loop.now
        yield lambda: way.healthy or self.loop.now - resumed > RESUMED_WITHIN
        self.count.late_yes += not way.healthy
        self._draining -= 1
        self.tell(instance, f"served again {self.loop.now - resumed:.2f} s after the resume")

    def _held(self, way: Way) -> int:
        """What is wrong 4 s after a drain: a yes, or a client held idle or with a recent request."""
        held = int(way.healthy)
        for side in way.sides:
            if side.channel.closed or side.ending:
                continue
            turn = side.exchange
            began = getattr(turn, "began", -1e9)
            held += turn is None or self.loop.now - began < RECENT
        return held

    # ---- upgrades ----

    def _start(self, instance: Instance, what: str) -> tuple[Process, Process]:
        self.count.upgrades += 1
        self.tell(instance, f"upgrade: {what}")
        old = instance.serving
        return old, instance.start()

    def yes(self, instance: Instance, new: Process) -> Waits:
        heard: list[bool] = []
        instance.when_ready(new, YES_WITHIN, heard.append)
        yield lambda: bool(heard)

    def _finish(self, instance: Instance, old: Process, new: Process) -> Waits:
        """The old process goes; the new one serves."""
        yield from self.yes(instance, new)
        if new.yes_at is None:
            self.tell(instance, "no yes came")
            return
        yield from self.call(new, "GET", "/-/ready", 200)
        instance.end(old)
        ended = self.loop.now
        yield lambda: not old.running
        yes, over = new.yes_at - new.started, self.loop.now - ended
        self.tell(instance, f"yes after {yes:.2f} s, old over in {over:.2f} s")
        yield from self._served_by(instance, new)
        self.count.ended_well += new.running

    def _served_by(self, instance: Instance, process: Process) -> Waits:
        """The instance serves with this process alone."""
        yield from self.call(process, "GET", "/-/ready", 200)
        way = self.stage.clients.ways[instance.number]
        end = self.loop.now + RESUMED_WITHIN
        yield lambda: way.healthy or self.loop.now > end
        self.count.late_yes += not way.healthy

    def _kept(self, instance: Instance, old: Process, new: Process) -> Waits:
        """The new process is gone; the old one serves as before."""
        new.kill()
        yield lambda: not new.running
        instance.processes.remove(new)
        instance.processes.insert(0, new)  # ended with the others, and not the one that serves
        yield from self._served_by(instance, old)
        self.count.kept_old += old.running

    def well(self, instance: Instance) -> Waits:
        yield from self._finish(instance, *self._start(instance, "well"))

    def reloads(self, instance: Instance) -> Waits:
        old, new = self._start(instance, "SIGHUP to both on the way")
        yield lambda: new.said("serving") > 0
        for process in (old, new):
            process.signal(signal.SIGHUP)
        yield from self._finish(instance, old, new)

    def damaged(self, instance: Instance) -> Waits:
        """Whatever is handed over is found damaged."""
        line = instance.folder / "tmp" / f"yewhook-n{instance.number}"
        old, new = self._start(instance, "a damaged hand-over")
        damaged: list[bool] = []

        def damage() -> bool:
            number = max((int(p.stem) for p in line.glob("*.process")), default=0)
            path = line / f"{number}.handover"
            if number and not damaged and not path.exists():
                path.write_bytes(b"yewhook-handover 1 5 00000000\nxxxxx")  # before the old one writes its own
                damaged.append(True)
            return bool(damaged) or not new.running

        before = {p.name for p in line.glob("*.process")}
        yield lambda: {p.name for p in line.glob("*.process")} != before and damage()
        yield from self._finish(instance, old, new)

    def full(self, instance: Instance) -> Waits:
        """The old process finds no room for the hand-over."""
        line = instance.folder / "tmp" / f"yewhook-n{instance.number}"
        number = max(int(path.stem) for path in line.glob("*.process"))
        for later in range(number + 1, number + 4):
            (line / f"part-{number}-{later}").mkdir(exist_ok=True)  # no file can be written under this name
        yield from self._finish(instance, *self._start(instance, "no room for the hand-over"))

    def drained(self, instance: Instance) -> Waits:
        """A drain before the upgrade holds after it, and the new process takes the resume."""
        yield lambda: self._draining < DRAINING_MOST
        self._draining += 1
        self.count.drains += 1
        way = self.stage.clients.ways[instance.number]
        yield from self.call(instance.serving, "POST", "/-/drain", 200)
        yield 0.3
        old, new = self._start(instance, "while drained")
        yield from self.yes(instance, new)
        instance.end(old)
        yield lambda: not old.running
        self.count.held += way.healthy
        yield from self.call(new, "POST", "/-/resume", 200)
        yield from self._served_by(instance, new)
        self._draining -= 1
        self.count.ended_well += new.running

    def old_killed(self, instance: Instance) -> Waits:
        old, new = self._start(instance, "the old one is killed before the yes")
        yield lambda: new.said("door open") > 0
        self.stage.clients.ways[instance.number].killed_at = self.loop.now
        old.kill()
        yield from self._finish(instance, old, new)

    def killed_before(self, instance: Instance) -> Waits:
        old, new = self._start(instance, "the new one is killed before its yes")
        yield self.stage.random.uniform(0.0, 0.4)
        yield from self._kept(instance, old, new)

    def stopped_before(self, instance: Instance) -> Waits:
        old, new = self._start(instance, "the new one hangs before its yes")
        yield self.stage.random.uniform(0.05, 0.3)
        new.signal(signal.SIGSTOP)
        yield 3.0
        yield from self._kept(instance, old, new)

    def killed_after(self, instance: Instance) -> Waits:
        old, new = self._start(instance, "the new one is killed right after its yes")
        yield from self.yes(instance, new)
        yield self.stage.random.uniform(0.0, 1.0)
        self.stage.clients.ways[instance.number].killed_at = self.loop.now
        yield from self._kept(instance, old, new)

    def hung_after(self, instance: Instance) -> Waits:
        old, new = self._start(instance, "the new one hangs after its yes")
        yield from self.yes(instance, new)
        yield 0.5
        new.signal(signal.SIGSTOP)
        yield lambda: old.said("state: handing over to ready") > 0
        self.stage.clients.ways[instance.number].killed_at = self.loop.now
        yield from self._kept(instance, old, new)


ENDS_WELL = (Operators.well, Operators.reloads, Operators.damaged, Operators.full, Operators.drained,
             Operators.old_killed)  # fmt: skip
KEEPS_OLD = (Operators.killed_before, Operators.stopped_before, Operators.killed_after, Operators.hung_after)
Act = Callable[[Operators, Instance], Waits]


def draw(random: Random, instances: int, acts: int) -> list[list[Act]]:
    """Each instance's acts: a drain, one upgrade that ends well and one that does not, and more by chance."""
    well, kept = list(ENDS_WELL), list(KEEPS_OLD)
    random.shuffle(well)
    random.shuffle(kept)
    plans = []
    for n in range(instances):
        plan: list[Act] = [Operators.drain, well[n % len(well)], kept[n % len(kept)]]
        plan += random.choices([Operators.drain, *ENDS_WELL, *KEEPS_OLD], k=max(0, acts - len(plan)))
        random.shuffle(plan)
        plans.append(plan[:acts] if acts < len(plan) else plan)
    return plans


def experiment(seed: int, routers: int = ROUTERS, acts: int = 4, rate: float = RATE) -> Result:
    """Play a seed's script and count."""
    with tempfile.TemporaryDirectory(prefix="yewhook-stage-") as folder:
        stage = Stage(Path(folder), routers, seed, rate)
        try:
            return _play(stage, draw(stage.random, routers, acts))
        finally:
            stage.close()


def _play(stage: Stage, plans: list[list[Act]]) -> Result:
    loop, clients, operators, play = stage.loop, stage.clients, Operators(stage), Play(stage.loop)
    end = loop.now + MOST
    operators.begin()

    def script(instance: Instance, plan: list[Act]) -> Waits:
        process = instance.start()
        yield from operators.yes(instance, process)
        yield lambda: all(way.healthy for way in clients.ways)
        yield SETTLED + stage.random.uniform(0.0, 2.0)
        for act in plan:
            yield from act(operators, instance)
            yield stage.random.uniform(0.3, 1.5)

    for instance, plan in zip(stage.instances, plans, strict=True):
        play.start(script(instance, plan))
    play.start(_load(stage))
    while play.running and loop.now < end:
        stage.run(loop.now + 0.1)
    clients.stopped = True
    last = loop.now + OVER_WITHIN
    while clients.open and loop.now < last:
        stage.run(loop.now + 0.1)
    for instance in stage.instances:
        instance.end(instance.serving)
    stage.run(loop.now + 0.8)
    return _result(stage, operators)


def _load(stage: Stage) -> Waits:
    yield lambda: all(way.healthy for way in stage.clients.ways)
    stage.clients.begin()


FAULTS = ("turn failed", "handler failed", "send withheld", "answer overdue", "send for an unknown request")


def _result(stage: Stage, operators: Operators) -> Result:
    tally, count, broken = stage.clients.tally, operators.count, stage.rules.broken
    twice = [what for what in broken if "may not be repeated" in what or "attempts out" in what]
    processes = [process for instance in stage.instances for process in instance.processes]
    faults = [f"{p.log}: {fault}" for p in processes for fault in FAULTS if p.said(fault)]
    figures = {
        "processes": len(processes),
        "requests": tally.requests,
        "answered_once": tally.answered_once,
        "lost_with_their_process": tally.lost_with_process,
        "door_calls": count.door_calls,
        "door_late": count.door_late,
        "door_wrong": count.door_wrong,
        "drains": count.drains,
        "held_4s_after_drain": count.held,
        "late_yes": count.late_yes,
        "upgrades": count.upgrades,
        "upgrades_ended_well": count.ended_well,
        "upgrades_kept_old": count.kept_old,
        "unread_connections": tally.unread,
        "duplicates_of_unsafe": len(twice),
        "rules_broken": len(broken),
        "faults": len(faults),
        "served": tally.served,
        "refused": tally.refused,
    }
    return Result(figures, [*broken, *faults], operators.story)
