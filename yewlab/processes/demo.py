"""A fleet to look at: an agent with three routers, workers, a register and clients, all on free loopback
ports, with a drain, its end and an upgrade on the way."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .agent import AgentSide
from .operate import Play, Waits
from .stage import Stage

ROUTERS, RATE = 3, 12.0  # and turns a second
START_MOST, END_MOST = 20.0, 20.0  # s
ORDERS = ((0.25, "drain", "n1"), (0.5, "resume", "n1"), (0.7, "upgrade", "n2"))  # at which part of the time


class Demo:
    """What is done, and what is shown of it."""

    def __init__(self, folder: Path, say: Callable[[str], None]) -> None:
        self.stage, self._say = Stage(folder, ROUTERS, seed=1, rate=RATE), say
        self.loop = self.stage.loop
        self._status: list[dict[str, Any]] = []
        self._failed: list[str] = []
        self.agent = AgentSide(self.stage, folder)

    def _order(self, what: str, name: str) -> Waits:
        def failed(why: str) -> None:
            self._failed.append(why)
            self._say(f"-- {why}")

        self._say(f"-- {what} {name}")
        yield from self.agent.order(what, name, "the demo", failed)

    def _look(self) -> Waits:
        while True:
            yield from self.agent.status(self._heard)
            tally = self.stage.clients.tally
            states = " ".join(f"{one['name']} {one['state']}" for one in self._status) or "the agent starts"
            fronts = [told for one in self._status for told in (one["levels"] or {}).values()]
            levels = {told["level"] for told in fronts if told}
            level = "/".join(sorted(levels)) or "full"
            self._say(
                f"{tally.requests:5d} requests {tally.served:5d} served {tally.refused:3d} refused  "
                f"level {level}  {states}"
            )
            yield 1.0

    def _heard(self, status: list[dict[str, Any]]) -> None:
        self._status = status

    def _script(self, seconds: float) -> Waits:
        clients = self.stage.clients
        end = self.loop.now + START_MOST
        yield lambda: all(way.healthy for way in clients.ways) or self.loop.now > end
        clients.begin()
        at = self.loop.now
        for part, what, name in ORDERS:
            yield max(0.0, at + part * seconds - self.loop.now)
            yield from self._order(what, name)
        yield max(0.0, at + seconds - self.loop.now)
        clients.stopped = True
        end = self.loop.now + END_MOST
        yield lambda: not clients.open or self.loop.now > end

    def run(self, seconds: float) -> bool:
        """Whether every request got its one answer, and all went as ordered."""
        show, play = Play(self.loop), Play(self.loop)
        show.start(self._look())
        play.start(self._script(seconds))
        while play.running and self.agent.running:
            self.stage.run(self.loop.now + 0.1)
        tally, broken = self.stage.clients.tally, self.stage.rules.broken
        self._say(
            f"{tally.requests} requests, each answered once: {tally.served} served, {tally.refused} refused, "
            f"{tally.failed} failed, {tally.broken} broken off to go on elsewhere; "
            f"{tally.requests - tally.answered_once} without an answer, {len(broken)} rules broken"
        )
        for what in [*broken[:5], *self._failed]:
            self._say(f"   {what}")
        return tally.requests == tally.answered_once > 0 and not broken and not self._failed

    def close(self) -> None:
        self.agent.close()
        self.stage.close()


def show(seconds: float, say: Callable[[str], None]) -> bool:
    with tempfile.TemporaryDirectory(prefix="yewhook-demo-") as folder:
        demo = Demo(Path(folder), say)
        try:
            return demo.run(seconds)
        finally:
            demo.close()
