"""Measures what the replacement of router processes costs under load: upgrade, restart and kill.

It also measures how long a drain takes.
"""

from __future__ import annotations

import signal
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from .instances import Instance
from .operate import Operators, Script, ScriptRunner
from .testbed import ProcessTestBed

ROUTERS = 4
TURNS_PER_S = 20.0
SETTLE_S = 3.0  # load before the first replacement
PAUSE_S = 3.0  # between replacements
MEASURED_AFTER_S = 5.0  # load after the last one
FINISH_WITHIN_S = 14.0  # limit for the requests that are open at the end
MAX_RUN_S = 70.0
TERMINATION_S = 4.5  # time that a process may take to end after SIGTERM


@dataclass(frozen=True, slots=True)
class Cost:
    """What one way of replacement costs, over all routers."""

    way: str
    worth: float  # worth answered / worth asked for
    requests: int
    lost_with_process: int
    unread: int
    broken_off: int
    rules_broken: int
    last_taken: float | None = None  # seconds from the drain to the last request sent to the router
    last_answered: float | None = None  # seconds from the drain to its last answer


class Replacements(Operators):
    """The ways of replacement, each a script for one instance."""

    drained_at: float = 0.0

    def nothing(self, instance: Instance) -> Script:
        """Replace nothing, for comparison."""
        yield PAUSE_S

    def upgrade(self, instance: Instance) -> Script:
        """Upgrade the instance."""
        yield from self.upgrade_normally(instance)

    def restart(self, instance: Instance) -> Script:
        """Start the next process after the old one has ended, as a rolling restart does."""
        old = instance.serving_process
        instance.terminate(old)
        yield lambda: not old.running
        yield from self.wait_ready(instance, instance.start_process())

    def kill(self, instance: Instance) -> Script:
        """Kill the process and start another."""
        old = instance.serving_process
        self.test_bed.clients.routes[instance.number].killed_at = self.loop.now
        old.kill()
        yield lambda: not old.running
        yield from self.wait_ready(instance, instance.start_process())

    def drain_and_resume(self, instance: Instance) -> Script:
        """Drain the instance, and resume it after the time that a process may take to end."""
        yield from self.call_mgmt(instance.serving_process, "POST", "/-/drain", 200)
        self.drained_at = self.loop.now
        yield TERMINATION_S
        yield from self.call_mgmt(instance.serving_process, "POST", "/-/resume", 200)


Replacement = Callable[[Replacements, Instance], Script]
WAYS: dict[str, Replacement] = {
    "nothing": Replacements.nothing, "upgrade": Replacements.upgrade, "restart": Replacements.restart,
    "kill": Replacements.kill, "drain": Replacements.drain_and_resume,
}  # fmt: skip


def measure(way: str, seed: int) -> Cost:
    """Replace every router in turn in one way; the seed gives the same clients for every way."""
    with tempfile.TemporaryDirectory(prefix="yewhook-replace-") as folder:
        test_bed = ProcessTestBed(Path(folder), ROUTERS, seed, TURNS_PER_S)
        try:
            return _run(test_bed, way)
        finally:
            test_bed.close()


def _run(test_bed: ProcessTestBed, way: str) -> Cost:
    loop, clients = test_bed.loop, test_bed.clients
    replacements, runner = Replacements(test_bed), ScriptRunner(test_bed.loop)
    last_sent: list[float] = []
    last_answered: list[float] = []
    replacements.start_clock()

    def script() -> Script:
        for instance in test_bed.instances:
            instance.start_process()
        yield lambda: all(route.healthy for route in clients.routes)
        clients.start()
        yield SETTLE_S
        for instance in test_bed.instances:
            yield from WAYS[way](replacements, instance)
            if way == "drain":
                route = clients.routes[instance.number]
                last_sent.append(route.last_sent_at - replacements.drained_at)
                last_answered.append(route.last_answered_at - replacements.drained_at)
            yield lambda: all(route.healthy for route in clients.routes)
            yield PAUSE_S
        yield MEASURED_AFTER_S
        clients.stopped = True
        end = loop.now + FINISH_WITHIN_S
        yield lambda: not clients.open_requests or loop.now > end

    runner.start(script())
    end = loop.now + MAX_RUN_S
    while runner.running and loop.now < end:
        test_bed.run(loop.now + 0.1)
    for instance in test_bed.instances:
        instance.serving_process.send_signal(signal.SIGTERM)
    tally = clients.tally
    worth = sum(tally.answered.values()) / max(1e-9, sum(tally.asked.values()))
    return Cost(
        way, round(worth, 4), tally.requests, tally.lost_with_process, tally.unanswered_on_new,
        tally.broken_streams,
        len(test_bed.rules.broken), max(last_sent, default=None), max(last_answered, default=None),
    )  # fmt: skip
