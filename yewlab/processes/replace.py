"""What it costs to replace routers' processes under load: by an upgrade, by a restart, by a kill; and what a
drain takes."""

from __future__ import annotations

import signal
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from .instances import Instance
from .operate import Operators, Script, ScriptRunner
from .testbed import ProcessTestBed

ROUTERS, TURNS_PER_S = 4, 20.0  # instances, and turns a second
SETTLE_S, PAUSE_S, MEASURED_AFTER_S, FINISH_WITHIN_S = (
    3.0,
    3.0,
    5.0,
    14.0,
)  # s before, between and after; for what is left to end
MAX_RUN_S = 70.0  # s that one run may take
TERMINATION_S = 4.5  # s for a process told to end


@dataclass(frozen=True, slots=True)
class Cost:
    """Of one way, over all routers' replacements."""

    way: str
    worth: float  # answered, over that asked for
    requests: int
    lost_with_process: int
    unread: int
    broken_off: int
    rules_broken: int
    last_taken: float | None = None  # s after a drain at which the router was last sent a request
    last_answered: float | None = None  # and last answered one


class Replacements(Operators):
    """The ways, each a script for one instance."""

    drained_at: float = 0.0

    def nothing(self, instance: Instance) -> Script:
        yield PAUSE_S

    def upgrade(self, instance: Instance) -> Script:
        yield from self.upgrade_normally(instance)

    def restart(self, instance: Instance) -> Script:
        """As a rolling restart does it: the next process begins where the last one has ended."""
        old = instance.serving_process
        instance.terminate(old)
        yield lambda: not old.running
        yield from self.wait_ready(instance, instance.start_process())

    def kill(self, instance: Instance) -> Script:
        old = instance.serving_process
        self.test_bed.clients.routes[instance.number].killed_at = self.loop.now
        old.kill()
        yield lambda: not old.running
        yield from self.wait_ready(instance, instance.start_process())

    def drain_and_resume(self, instance: Instance) -> Script:
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
    """Every router in turn, with the same clients for every way."""
    with tempfile.TemporaryDirectory(prefix="yewhook-replace-") as folder:
        test_bed = ProcessTestBed(Path(folder), ROUTERS, seed, TURNS_PER_S)
        try:
            return _run(test_bed, way)
        finally:
            test_bed.close()


def _run(test_bed: ProcessTestBed, way: str) -> Cost:
    loop, clients, replacing, runner = (
        test_bed.loop,
        test_bed.clients,
        Replacements(test_bed),
        ScriptRunner(test_bed.loop),
    )
    taken: list[float] = []
    answered: list[float] = []
    replacing.start_clock()

    def script() -> Script:
        for instance in test_bed.instances:
            instance.start_process()
        yield lambda: all(one.healthy for one in clients.routes)
        clients.start()
        yield SETTLE_S
        for instance in test_bed.instances:
            yield from WAYS[way](replacing, instance)
            if way == "drain":
                one = clients.routes[instance.number]
                taken.append(one.last_sent_at - replacing.drained_at)
                answered.append(one.last_answered_at - replacing.drained_at)
            yield lambda: all(one.healthy for one in clients.routes)
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
        len(test_bed.rules.broken), max(taken, default=None), max(answered, default=None),
    )  # fmt: skip
