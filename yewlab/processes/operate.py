"""Daily operation with faults: drains, resumes and upgrades of routers under load, drawn by a seed."""

from __future__ import annotations

import signal
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from yewhook.loop import Loop

from .clients import Route
from .http_connections import ClientConnection
from .instances import Instance, Process, TimedCall
from .testbed import ProcessTestBed

ROUTERS, TURNS_PER_S = 4, 20.0  # instances, and turns a second over all of them
SETTLE_S, READY_WITHIN_S, FINISH_WITHIN_S = (
    1.0,
    6.0,
    14.0,
)  # s until the script, for a yes, for what is left to end
DRAIN_CHECK_AFTER_S, RECENT_S = (
    4.0,
    2.0,
)  # s after a drain at which nothing of a client's is held idle, or that recent
RESUME_WITHIN_S = 2.0  # s after a drain's end until the front has its yes
MAX_DRAINING = 2  # instances at once
MAX_RUN_S = 105.0  # s that an experiment may take
INCOMPLETE_CALLS = 40  # connections with half a call that are held beside the calls

Script = Iterator[float | Callable[[], bool]]  # s to wait, or what to wait for


@dataclass(slots=True)
class OperatorCounts:
    mgmt_calls: int = 0
    mgmt_timeouts: int = 0
    mgmt_wrong_status: int = 0
    drains: int = 0
    drain_violations: int = 0
    late_ready: int = 0
    upgrades: int = 0
    upgrades_completed: int = 0
    upgrades_kept_old: int = 0


@dataclass(slots=True)
class Result:
    figures: dict[str, int]
    broken: list[str]
    timeline: list[str] = field(default_factory=list)

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


class ScriptRunner:
    """Runs scripts side by side: each is a generator that yields what it waits for."""

    def __init__(self, loop: Loop) -> None:
        self._loop, self.running = loop, 0

    def start(self, script: Script) -> None:
        self.running += 1
        self._step(script)

    def run(self, test_bed: ProcessTestBed, script: Script, most: float) -> bool:
        """Run one script on a test_bed to its end; whether that came within so many s."""
        end = self._loop.now + most
        self.start(script)
        while self.running and self._loop.now < end:
            test_bed.run(self._loop.now + 0.05)
        return not self.running

    def _step(self, script: Script) -> None:
        try:
            wait = next(script)
        except StopIteration:
            self.running -= 1
            return
        if callable(wait):
            self._poll(script, wait)
        else:
            self._loop.after(wait, lambda: self._step(script))

    def _poll(self, script: Script, true: Callable[[], bool]) -> None:
        if true():
            return self._step(script)
        return self._loop.after(0.02, lambda: self._poll(script, true))


class Operators:
    """What operators do to the instances of a test_bed, and what they find."""

    def __init__(self, test_bed: ProcessTestBed) -> None:
        self.test_bed, self.loop, self.counts = test_bed, test_bed.loop, OperatorCounts()
        self.timeline: list[str] = []
        self._draining = 0

    def record(self, instance: Instance, what: str) -> None:
        self.timeline.append(f"{self.loop.now - self.started_at:6.2f} n{instance.number} {what}")

    def start_clock(self) -> None:
        self.started_at = self.loop.now

    # ---- calls ----

    def call_mgmt(self, process: Process, method: str, path: str, wanted: int) -> Script:
        """One call, and the wait for its answer."""
        heard: list[int] = []
        self.counts.mgmt_calls += 1
        TimedCall(self.loop, process.mgmt_address, method, path, heard.append)
        yield lambda: bool(heard)
        self.counts.mgmt_timeouts += heard[0] == 0
        self.counts.mgmt_wrong_status += heard[0] not in (0, wanted)

    def open_incomplete_calls(self, process: Process) -> list[ClientConnection]:
        """Callers with half a call each, who wait."""
        connections = []
        for _ in range(INCOMPLETE_CALLS):
            connection = ClientConnection(self.loop, process.mgmt_address)
            connection.channel.send(b"POST /-/drain HTTP/1.1\r\nHo")
            connections.append(connection)
        return connections

    # ---- drains ----

    def drain(self, instance: Instance) -> Script:
        yield lambda: self._draining < MAX_DRAINING
        self._draining += 1
        self.record(instance, "drain")
        self.counts.drains += 1
        process, route = instance.serving_process, self.test_bed.clients.routes[instance.number]
        callers = self.open_incomplete_calls(process)
        yield from self.call_mgmt(process, "POST", "/-/drain", 200)
        yield DRAIN_CHECK_AFTER_S
        self.counts.drain_violations += self._count_drain_violations(route)
        for connection in callers:
            connection.close()
        yield from self.call_mgmt(process, "POST", "/-/resume", 200)
        resumed = self.loop.now
        yield lambda: route.healthy or self.loop.now - resumed > RESUME_WITHIN_S
        self.counts.late_ready += not route.healthy
        self._draining -= 1
        self.record(instance, f"served again {self.loop.now - resumed:.2f} s after the resume")

    def _count_drain_violations(self, route: Route) -> int:
        """What is wrong 4 s after a drain: a yes, or a client held idle or with a recent request."""
        held = int(route.healthy)
        for connection in route.connections:
            if connection.channel.closed or connection.closing:
                continue
            turn = connection.handler
            began = getattr(turn, "sent_at", -1e9)
            held += turn is None or self.loop.now - began < RECENT_S
        return held

    # ---- upgrades ----

    def _start_upgrade(self, instance: Instance, what: str) -> tuple[Process, Process]:
        self.counts.upgrades += 1
        self.record(instance, f"upgrade: {what}")
        old = instance.serving_process
        return old, instance.start_process()

    def wait_ready(self, instance: Instance, new: Process) -> Script:
        heard: list[bool] = []
        instance.when_ready(new, READY_WITHIN_S, heard.append)
        yield lambda: bool(heard)

    def _finish_on_new(self, instance: Instance, old: Process, new: Process) -> Script:
        """The old process goes; the new one serves."""
        yield from self.wait_ready(instance, new)
        if new.ready_at is None:
            self.record(instance, "no yes came")
            return
        yield from self.call_mgmt(new, "GET", "/-/ready", 200)
        instance.terminate(old)
        ended = self.loop.now
        yield lambda: not old.running
        yes, over = new.ready_at - new.started_at, self.loop.now - ended
        self.record(instance, f"yes after {yes:.2f} s, old over in {over:.2f} s")
        yield from self._check_serving(instance, new)
        self.counts.upgrades_completed += new.running

    def _check_serving(self, instance: Instance, process: Process) -> Script:
        """The instance serves with this process alone."""
        yield from self.call_mgmt(process, "GET", "/-/ready", 200)
        route = self.test_bed.clients.routes[instance.number]
        end = self.loop.now + RESUME_WITHIN_S
        yield lambda: route.healthy or self.loop.now > end
        self.counts.late_ready += not route.healthy

    def _finish_on_old(self, instance: Instance, old: Process, new: Process) -> Script:
        """The new process is gone; the old one serves as before."""
        new.kill()
        yield lambda: not new.running
        instance.processes.remove(new)
        instance.processes.insert(0, new)  # ended with the others, and not the one that serves
        yield from self._check_serving(instance, old)
        self.counts.upgrades_kept_old += old.running

    def upgrade_normally(self, instance: Instance) -> Script:
        yield from self._finish_on_new(instance, *self._start_upgrade(instance, "well"))

    def upgrade_with_reloads(self, instance: Instance) -> Script:
        old, new = self._start_upgrade(instance, "SIGHUP to both on the way")
        yield lambda: new.count_log_lines("serving") > 0
        for process in (old, new):
            process.send_signal(signal.SIGHUP)
        yield from self._finish_on_new(instance, old, new)

    def upgrade_with_damaged_handover(self, instance: Instance) -> Script:
        """Whatever is handed over is found damaged."""
        line = instance.folder / "tmp" / f"yewhook-n{instance.number}"
        old, new = self._start_upgrade(instance, "a damaged hand-over")
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
        yield from self._finish_on_new(instance, old, new)

    def upgrade_without_handover_space(self, instance: Instance) -> Script:
        """The old process finds no room for the hand-over."""
        line = instance.folder / "tmp" / f"yewhook-n{instance.number}"
        number = max(int(path.stem) for path in line.glob("*.process"))
        for later in range(number + 1, number + 4):
            (line / f"part-{number}-{later}").mkdir(exist_ok=True)  # no file can be written under this name
        yield from self._finish_on_new(instance, *self._start_upgrade(instance, "no room for the hand-over"))

    def upgrade_while_drained(self, instance: Instance) -> Script:
        """A drain before the upgrade holds after it, and the new process takes the resume."""
        yield lambda: self._draining < MAX_DRAINING
        self._draining += 1
        self.counts.drains += 1
        route = self.test_bed.clients.routes[instance.number]
        yield from self.call_mgmt(instance.serving_process, "POST", "/-/drain", 200)
        yield 0.3
        old, new = self._start_upgrade(instance, "while drained")
        yield from self.wait_ready(instance, new)
        instance.terminate(old)
        yield lambda: not old.running
        self.counts.drain_violations += route.healthy
        yield from self.call_mgmt(new, "POST", "/-/resume", 200)
        yield from self._check_serving(instance, new)
        self._draining -= 1
        self.counts.upgrades_completed += new.running

    def upgrade_with_old_killed(self, instance: Instance) -> Script:
        old, new = self._start_upgrade(instance, "the old one is killed before the yes")
        yield lambda: new.count_log_lines("door open") > 0
        self.test_bed.clients.routes[instance.number].killed_at = self.loop.now
        old.kill()
        yield from self._finish_on_new(instance, old, new)

    def kill_new_before_ready(self, instance: Instance) -> Script:
        old, new = self._start_upgrade(instance, "the new one is killed before its yes")
        yield self.test_bed.random.uniform(0.0, 0.4)
        yield from self._finish_on_old(instance, old, new)

    def hang_new_before_ready(self, instance: Instance) -> Script:
        old, new = self._start_upgrade(instance, "the new one hangs before its yes")
        yield self.test_bed.random.uniform(0.05, 0.3)
        new.send_signal(signal.SIGSTOP)
        yield 3.0
        yield from self._finish_on_old(instance, old, new)

    def kill_new_after_ready(self, instance: Instance) -> Script:
        old, new = self._start_upgrade(instance, "the new one is killed right after its yes")
        yield from self.wait_ready(instance, new)
        yield self.test_bed.random.uniform(0.0, 1.0)
        self.test_bed.clients.routes[instance.number].killed_at = self.loop.now
        yield from self._finish_on_old(instance, old, new)

    def hang_new_after_ready(self, instance: Instance) -> Script:
        old, new = self._start_upgrade(instance, "the new one hangs after its yes")
        yield from self.wait_ready(instance, new)
        yield 0.5
        new.send_signal(signal.SIGSTOP)
        yield lambda: old.count_log_lines("state: handing over to ready") > 0
        self.test_bed.clients.routes[instance.number].killed_at = self.loop.now
        yield from self._finish_on_old(instance, old, new)


COMPLETED_UPGRADES = (
    Operators.upgrade_normally,
    Operators.upgrade_with_reloads,
    Operators.upgrade_with_damaged_handover,
    Operators.upgrade_without_handover_space,
    Operators.upgrade_while_drained,
    Operators.upgrade_with_old_killed,
)
FAILED_UPGRADES = (
    Operators.kill_new_before_ready,
    Operators.hang_new_before_ready,
    Operators.kill_new_after_ready,
    Operators.hang_new_after_ready,
)
Operation = Callable[[Operators, Instance], Script]


def draw(random: Random, instances: int, acts: int) -> list[list[Operation]]:
    """Each instance's acts: a drain, one upgrade that ends well and one that does not, and more by chance."""
    well, kept = list(COMPLETED_UPGRADES), list(FAILED_UPGRADES)
    random.shuffle(well)
    random.shuffle(kept)
    plans = []
    for n in range(instances):
        plan: list[Operation] = [Operators.drain, well[n % len(well)], kept[n % len(kept)]]
        plan += random.choices(
            [Operators.drain, *COMPLETED_UPGRADES, *FAILED_UPGRADES], k=max(0, acts - len(plan))
        )
        random.shuffle(plan)
        plans.append(plan[:acts] if acts < len(plan) else plan)
    return plans


def experiment(seed: int, routers: int = ROUTERS, acts: int = 4, rate: float = TURNS_PER_S) -> Result:
    """Play a seed's script and count."""
    with tempfile.TemporaryDirectory(prefix="yewhook-stage-") as folder:
        test_bed = ProcessTestBed(Path(folder), routers, seed, rate)
        try:
            return _run(test_bed, draw(test_bed.random, routers, acts))
        finally:
            test_bed.close()


def _run(test_bed: ProcessTestBed, plans: list[list[Operation]]) -> Result:
    loop, clients, operators, runner = (
        test_bed.loop,
        test_bed.clients,
        Operators(test_bed),
        ScriptRunner(test_bed.loop),
    )
    end = loop.now + MAX_RUN_S
    operators.start_clock()

    def script(instance: Instance, plan: list[Operation]) -> Script:
        process = instance.start_process()
        yield from operators.wait_ready(instance, process)
        yield lambda: all(route.healthy for route in clients.routes)
        yield SETTLE_S + test_bed.random.uniform(0.0, 2.0)
        for act in plan:
            yield from act(operators, instance)
            yield test_bed.random.uniform(0.3, 1.5)

    for instance, plan in zip(test_bed.instances, plans, strict=True):
        runner.start(script(instance, plan))
    runner.start(_start_load(test_bed))
    while runner.running and loop.now < end:
        test_bed.run(loop.now + 0.1)
    clients.stopped = True
    last = loop.now + FINISH_WITHIN_S
    while clients.open_requests and loop.now < last:
        test_bed.run(loop.now + 0.1)
    for instance in test_bed.instances:
        instance.terminate(instance.serving_process)
    test_bed.run(loop.now + 0.8)
    return _make_result(test_bed, operators)


def _start_load(test_bed: ProcessTestBed) -> Script:
    yield lambda: all(route.healthy for route in test_bed.clients.routes)
    test_bed.clients.start()


FAULT_EVENTS = (
    "turn failed",
    "handler failed",
    "send withheld",
    "answer overdue",
    "send for an unknown request",
)


def _make_result(test_bed: ProcessTestBed, operators: Operators) -> Result:
    tally, count, broken = test_bed.clients.tally, operators.counts, test_bed.rules.broken
    twice = [what for what in broken if "may not be repeated" in what or "attempts out" in what]
    processes = [process for instance in test_bed.instances for process in instance.processes]
    faults = [
        f"{p.log_path}: {fault}" for p in processes for fault in FAULT_EVENTS if p.count_log_lines(fault)
    ]
    figures = {
        "processes": len(processes),
        "requests": tally.requests,
        "answered_once": tally.answered_once,
        "lost_with_their_process": tally.lost_with_process,
        "door_calls": count.mgmt_calls,
        "door_late": count.mgmt_timeouts,
        "door_wrong": count.mgmt_wrong_status,
        "drains": count.drains,
        "held_4s_after_drain": count.drain_violations,
        "late_yes": count.late_ready,
        "upgrades": count.upgrades,
        "upgrades_ended_well": count.upgrades_completed,
        "upgrades_kept_old": count.upgrades_kept_old,
        "unread_connections": tally.unanswered_on_new,
        "duplicates_of_unsafe": len(twice),
        "rules_broken": len(broken),
        "faults": len(faults),
        "served": tally.served,
        "refused": tally.refused,
    }
    return Result(figures, [*broken, *faults], operators.timeline)
