"""Daily operation with faults: drains, resumes and upgrades of routers under load, drawn from a seed."""

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

ROUTERS = 4
TURNS_PER_S = 20.0  # over all routers
SETTLE_S = 1.0  # load before the first operation
READY_WITHIN_S = 6.0  # limit for a new process
FINISH_WITHIN_S = 14.0  # limit for the requests that are open at the end
# This long after a drain, no client connection may be idle or have a request younger than RECENT_S.
DRAIN_CHECK_AFTER_S = 4.0
RECENT_S = 2.0
RESUME_WITHIN_S = 2.0  # limit from a resume until the health check passes
MAX_DRAINING = 2  # instances at once
MAX_RUN_S = 105.0
INCOMPLETE_CALLS = 40  # connections with an incomplete request, held open beside the operators' calls

# A script yields the seconds to wait, or a condition to wait for.
Script = Iterator[float | Callable[[], bool]]


@dataclass(slots=True)
class OperatorCounts:
    """What the operators did and found."""

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
    """The figures of one experiment, broken rules and faults, and what happened when."""

    figures: dict[str, int]
    broken: list[str]
    timeline: list[str] = field(default_factory=list)

    @property
    def holds(self) -> bool:
        """Whether nothing was lost and every kind of operation took place."""
        figures = self.figures
        none = ("door_late", "door_wrong", "held_4s_after_drain", "late_yes", "unread_connections",
                "duplicates_of_unsafe", "rules_broken", "faults")  # fmt: skip
        return (
            not any(figures[name] for name in none)
            and figures["requests"] == figures["answered_once"] + figures["lost_with_their_process"]
            and figures["upgrades"] == figures["upgrades_ended_well"] + figures["upgrades_kept_old"]
            and min(
                figures["upgrades_ended_well"],
                figures["upgrades_kept_old"],
                figures["drains"],
                figures["answered_once"],
            )
            > 0
        )


class ScriptRunner:
    """Runs scripts concurrently on the event loop."""

    def __init__(self, loop: Loop) -> None:
        self._loop, self.running = loop, 0

    def start(self, script: Script) -> None:
        """Start a script."""
        self.running += 1
        self._step(script)

    def run(self, test_bed: ProcessTestBed, script: Script, most: float) -> bool:
        """Run one script to its end, for `most` seconds at the longest; return whether it ended."""
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

    def _poll(self, script: Script, condition: Callable[[], bool]) -> None:
        if condition():
            return self._step(script)
        return self._loop.after(0.02, lambda: self._poll(script, condition))


class Operators:
    """The operators of a test bed: scripts for drains and upgrades, with counts of what they found."""

    def __init__(self, test_bed: ProcessTestBed) -> None:
        self.test_bed, self.loop, self.counts = test_bed, test_bed.loop, OperatorCounts()
        self.timeline: list[str] = []
        self._draining = 0

    def record(self, instance: Instance, what: str) -> None:
        """Add a line to the timeline."""
        self.timeline.append(f"{self.loop.now - self.started_at:6.2f} n{instance.number} {what}")

    def start_clock(self) -> None:
        """Let the times of the timeline begin now."""
        self.started_at = self.loop.now

    # ---- management calls ----

    def call_mgmt(self, process: Process, method: str, path: str, wanted: int) -> Script:
        """Make one management call, wait for the answer and count a wrong one."""
        statuses: list[int] = []
        self.counts.mgmt_calls += 1
        TimedCall(self.loop, process.mgmt_address, method, path, statuses.append)
        yield lambda: bool(statuses)
        self.counts.mgmt_timeouts += statuses[0] == 0
        self.counts.mgmt_wrong_status += statuses[0] not in (0, wanted)

    def open_incomplete_calls(self, process: Process) -> list[ClientConnection]:
        """Open connections to the management address, each with an incomplete request."""
        connections = []
        for _ in range(INCOMPLETE_CALLS):
            connection = ClientConnection(self.loop, process.mgmt_address)
            connection.channel.send(b"POST /-/drain HTTP/1.1\r\nHo")
            connections.append(connection)
        return connections

    # ---- drains ----

    def drain(self, instance: Instance) -> Script:
        """Drain an instance, check it, and resume it."""
        yield lambda: self._draining < MAX_DRAINING
        self._draining += 1
        self.record(instance, "drain")
        self.counts.drains += 1
        process, route = instance.serving_process, self.test_bed.clients.routes[instance.number]
        incomplete = self.open_incomplete_calls(process)
        yield from self.call_mgmt(process, "POST", "/-/drain", 200)
        yield DRAIN_CHECK_AFTER_S
        self.counts.drain_violations += self._count_drain_violations(route)
        for connection in incomplete:
            connection.close()
        yield from self.call_mgmt(process, "POST", "/-/resume", 200)
        resumed = self.loop.now
        yield lambda: route.healthy or self.loop.now - resumed > RESUME_WITHIN_S
        self.counts.late_ready += not route.healthy
        self._draining -= 1
        self.record(instance, f"healthy {self.loop.now - resumed:.2f} s after the resume")

    def _count_drain_violations(self, route: Route) -> int:
        """Count violations of a drain: a passing health check, idle clients, clients with recent requests."""
        violations = int(route.healthy)
        for connection in route.connections:
            if connection.channel.closed or connection.closing:
                continue
            turn = connection.handler
            sent_at = getattr(turn, "sent_at", -1e9)
            violations += turn is None or self.loop.now - sent_at < RECENT_S
        return violations

    # ---- upgrades ----

    def _start_upgrade(self, instance: Instance, what: str) -> tuple[Process, Process]:
        self.counts.upgrades += 1
        self.record(instance, f"upgrade: {what}")
        old = instance.serving_process
        return old, instance.start_process()

    def wait_ready(self, instance: Instance, new: Process) -> Script:
        """Wait until a new process is ready or the time for that is over."""
        results: list[bool] = []
        instance.when_ready(new, READY_WITHIN_S, results.append)
        yield lambda: bool(results)

    def _finish_on_new(self, instance: Instance, old: Process, new: Process) -> Script:
        """Complete an upgrade: wait for the new process, end the old one, check that the new one serves."""
        yield from self.wait_ready(instance, new)
        if new.ready_at is None:
            self.record(instance, "the new process did not become ready")
            return
        yield from self.call_mgmt(new, "GET", "/-/ready", 200)
        instance.terminate(old)
        ended = self.loop.now
        yield lambda: not old.running
        ready_after, ended_in = new.ready_at - new.started_at, self.loop.now - ended
        self.record(instance, f"ready after {ready_after:.2f} s, old process ended in {ended_in:.2f} s")
        yield from self._check_serving(instance, new)
        self.counts.upgrades_completed += new.running

    def _check_serving(self, instance: Instance, process: Process) -> Script:
        """Check that the instance serves with this process alone."""
        yield from self.call_mgmt(process, "GET", "/-/ready", 200)
        route = self.test_bed.clients.routes[instance.number]
        end = self.loop.now + RESUME_WITHIN_S
        yield lambda: route.healthy or self.loop.now > end
        self.counts.late_ready += not route.healthy

    def _finish_on_old(self, instance: Instance, old: Process, new: Process) -> Script:
        """Abandon an upgrade: end the new process, check that the old one serves as before."""
        new.kill()
        yield lambda: not new.running
        instance.processes.remove(new)
        instance.processes.insert(0, new)  # so that it is closed with the others, but is not the serving one
        yield from self._check_serving(instance, old)
        self.counts.upgrades_kept_old += old.running

    def upgrade_normally(self, instance: Instance) -> Script:
        """An upgrade without a fault."""
        yield from self._finish_on_new(instance, *self._start_upgrade(instance, "no fault"))

    def upgrade_with_reloads(self, instance: Instance) -> Script:
        """Both processes get SIGHUP during the upgrade."""
        old, new = self._start_upgrade(instance, "SIGHUP to both processes")
        yield lambda: new.count_log_lines("serving") > 0
        for process in (old, new):
            process.send_signal(signal.SIGHUP)
        yield from self._finish_on_new(instance, old, new)

    def upgrade_with_damaged_handover(self, instance: Instance) -> Script:
        """The new process finds a damaged hand-over file."""
        handover_folder = instance.folder / "tmp" / f"yewhook-n{instance.number}"
        old, new = self._start_upgrade(instance, "damaged hand-over")
        damaged: list[bool] = []

        def write_damaged_handover() -> bool:
            number = max((int(p.stem) for p in handover_folder.glob("*.process")), default=0)
            path = handover_folder / f"{number}.handover"
            if number and not damaged and not path.exists():
                # Before the old process writes its own file.
                path.write_bytes(b"yewhook-handover 1 5 00000000\nxxxxx")
                damaged.append(True)
            return bool(damaged) or not new.running

        before = {p.name for p in handover_folder.glob("*.process")}
        yield (
            lambda: {p.name for p in handover_folder.glob("*.process")} != before and write_damaged_handover()
        )
        yield from self._finish_on_new(instance, old, new)

    def upgrade_without_handover_space(self, instance: Instance) -> Script:
        """The old process cannot write the hand-over file."""
        handover_folder = instance.folder / "tmp" / f"yewhook-n{instance.number}"
        number = max(int(path.stem) for path in handover_folder.glob("*.process"))
        for later in range(number + 1, number + 4):
            # A directory keeps the process from writing a file under this name.
            (handover_folder / f"part-{number}-{later}").mkdir(exist_ok=True)
        yield from self._finish_on_new(
            instance, *self._start_upgrade(instance, "hand-over file cannot be written")
        )

    def upgrade_while_drained(self, instance: Instance) -> Script:
        """The instance stays drained across the upgrade, and the new process accepts the resume."""
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
        """The old process is killed before the new one is ready."""
        old, new = self._start_upgrade(instance, "old process killed before the new one is ready")
        yield lambda: new.count_log_lines("door open") > 0
        self.test_bed.clients.routes[instance.number].killed_at = self.loop.now
        old.kill()
        yield from self._finish_on_new(instance, old, new)

    def kill_new_before_ready(self, instance: Instance) -> Script:
        """The new process is killed before it is ready."""
        old, new = self._start_upgrade(instance, "new process killed before it is ready")
        yield self.test_bed.random.uniform(0.0, 0.4)
        yield from self._finish_on_old(instance, old, new)

    def hang_new_before_ready(self, instance: Instance) -> Script:
        """The new process hangs before it is ready."""
        old, new = self._start_upgrade(instance, "new process hangs before it is ready")
        yield self.test_bed.random.uniform(0.05, 0.3)
        new.send_signal(signal.SIGSTOP)
        yield 3.0
        yield from self._finish_on_old(instance, old, new)

    def kill_new_after_ready(self, instance: Instance) -> Script:
        """The new process is killed up to a second after it is ready."""
        old, new = self._start_upgrade(instance, "new process killed just after it is ready")
        yield from self.wait_ready(instance, new)
        yield self.test_bed.random.uniform(0.0, 1.0)
        self.test_bed.clients.routes[instance.number].killed_at = self.loop.now
        yield from self._finish_on_old(instance, old, new)

    def hang_new_after_ready(self, instance: Instance) -> Script:
        """The new process hangs after it is ready; the old one serves again."""
        old, new = self._start_upgrade(instance, "new process hangs after it is ready")
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
    """Draw operations for each instance: a drain, a completed and a failed upgrade, and random others."""
    completed, failed = list(COMPLETED_UPGRADES), list(FAILED_UPGRADES)
    random.shuffle(completed)
    random.shuffle(failed)
    plans = []
    for n in range(instances):
        plan: list[Operation] = [Operators.drain, completed[n % len(completed)], failed[n % len(failed)]]
        plan += random.choices(
            [Operators.drain, *COMPLETED_UPGRADES, *FAILED_UPGRADES], k=max(0, acts - len(plan))
        )
        random.shuffle(plan)
        plans.append(plan[:acts] if acts < len(plan) else plan)
    return plans


def experiment(seed: int, routers: int = ROUTERS, acts: int = 4, turns_per_s: float = TURNS_PER_S) -> Result:
    """Run the operations of a seed under load and return the counts."""
    with tempfile.TemporaryDirectory(prefix="yewhook-stage-") as folder:
        test_bed = ProcessTestBed(Path(folder), routers, seed, turns_per_s)
        try:
            return _run(test_bed, draw(test_bed.random, routers, acts))
        finally:
            test_bed.close()


def _run(test_bed: ProcessTestBed, plans: list[list[Operation]]) -> Result:
    loop, clients = test_bed.loop, test_bed.clients
    operators, runner = Operators(test_bed), ScriptRunner(test_bed.loop)
    end = loop.now + MAX_RUN_S
    operators.start_clock()

    def script(instance: Instance, plan: list[Operation]) -> Script:
        process = instance.start_process()
        yield from operators.wait_ready(instance, process)
        yield lambda: all(route.healthy for route in clients.routes)
        yield SETTLE_S + test_bed.random.uniform(0.0, 2.0)
        for operation in plan:
            yield from operation(operators, instance)
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
    tally, counts, broken = test_bed.clients.tally, operators.counts, test_bed.rules.broken
    duplicates = [what for what in broken if "may not be repeated" in what or "attempts out" in what]
    processes = [process for instance in test_bed.instances for process in instance.processes]
    faults = [
        f"{p.log_path}: {fault}" for p in processes for fault in FAULT_EVENTS if p.count_log_lines(fault)
    ]
    figures = {
        "processes": len(processes),
        "requests": tally.requests,
        "answered_once": tally.answered_once,
        "lost_with_their_process": tally.lost_with_process,
        "door_calls": counts.mgmt_calls,
        "door_late": counts.mgmt_timeouts,
        "door_wrong": counts.mgmt_wrong_status,
        "drains": counts.drains,
        "held_4s_after_drain": counts.drain_violations,
        "late_yes": counts.late_ready,
        "upgrades": counts.upgrades,
        "upgrades_ended_well": counts.upgrades_completed,
        "upgrades_kept_old": counts.upgrades_kept_old,
        "unread_connections": tally.unanswered_on_new,
        "duplicates_of_unsafe": len(duplicates),
        "rules_broken": len(broken),
        "faults": len(faults),
        "served": tally.served,
        "refused": tally.refused,
    }
    return Result(figures, [*broken, *faults], operators.timeline)
