"""What it costs to replace routers' processes under load: by an upgrade, by a restart, by a kill; and what a
drain takes."""

from __future__ import annotations

import signal
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from .host import Instance
from .operate import Operators, Play, Waits
from .stage import Stage

ROUTERS, RATE = 4, 20.0  # instances, and turns a second
SETTLED, BETWEEN, AFTER, OVER = 3.0, 3.0, 5.0, 14.0  # s before, between and after; for what is left to end
MOST = 70.0  # s that one run may take
GONE = 4.5  # s for a process told to end


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


class Replacing(Operators):
    """The ways, each a script for one instance."""

    drained_at: float = 0.0

    def nothing(self, instance: Instance) -> Waits:
        yield BETWEEN

    def upgrade(self, instance: Instance) -> Waits:
        yield from self.well(instance)

    def restart(self, instance: Instance) -> Waits:
        """As a rolling restart does it: the next process begins where the last one has ended."""
        old = instance.serving
        instance.end(old)
        yield lambda: not old.running
        yield from self.yes(instance, instance.start())

    def kill(self, instance: Instance) -> Waits:
        old = instance.serving
        self.stage.clients.ways[instance.number].killed_at = self.loop.now
        old.kill()
        yield lambda: not old.running
        yield from self.yes(instance, instance.start())

    def drained(self, instance: Instance) -> Waits:
        yield from self.call(instance.serving, "POST", "/-/drain", 200)
        self.drained_at = self.loop.now
        yield GONE
        yield from self.call(instance.serving, "POST", "/-/resume", 200)


Way = Callable[[Replacing, Instance], Waits]
WAYS: dict[str, Way] = {
    "nothing": Replacing.nothing, "upgrade": Replacing.upgrade, "restart": Replacing.restart,
    "kill": Replacing.kill, "drain": Replacing.drained,
}  # fmt: skip


def measure(way: str, seed: int) -> Cost:
    """Every router in turn, with the same clients for every way."""
    with tempfile.TemporaryDirectory(prefix="yewhook-replace-") as folder:
        stage = Stage(Path(folder), ROUTERS, seed, RATE)
        try:
            return _play(stage, way)
        finally:
            stage.close()


def _play(stage: Stage, way: str) -> Cost:
    loop, clients, replacing, play = stage.loop, stage.clients, Replacing(stage), Play(stage.loop)
    taken: list[float] = []
    answered: list[float] = []
    replacing.begin()

    def script() -> Waits:
        for instance in stage.instances:
            instance.start()
        yield lambda: all(one.healthy for one in clients.ways)
        clients.begin()
        yield SETTLED
        for instance in stage.instances:
            yield from WAYS[way](replacing, instance)
            if way == "drain":
                one = clients.ways[instance.number]
                taken.append(one.last_taken - replacing.drained_at)
                answered.append(one.last_answered - replacing.drained_at)
            yield lambda: all(one.healthy for one in clients.ways)
            yield BETWEEN
        yield AFTER
        clients.stopped = True
        end = loop.now + OVER
        yield lambda: not clients.open or loop.now > end

    play.start(script())
    end = loop.now + MOST
    while play.running and loop.now < end:
        stage.run(loop.now + 0.1)
    for instance in stage.instances:
        instance.serving.signal(signal.SIGTERM)
    tally = clients.tally
    worth = sum(tally.answered.values()) / max(1e-9, sum(tally.asked.values()))
    return Cost(
        way, round(worth, 4), tally.requests, tally.lost_with_process, tally.unread, tally.broken,
        len(stage.rules.broken), max(taken, default=None), max(answered, default=None),
    )  # fmt: skip
