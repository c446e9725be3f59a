"""A demonstration: an agent with three routers, workers, discovery and clients, all on free loopback ports.

During the run one router is drained and resumed, and another one is upgraded.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .agent import AgentProcess
from .operate import Script, ScriptRunner
from .testbed import ProcessTestBed

ROUTERS = 3
TURNS_PER_S = 12.0
START_TIMEOUT_S = 20.0
FINISH_WITHIN_S = 20.0
# When each order is sent, as a share of the run time.
ORDERS = ((0.25, "drain", "n1"), (0.5, "resume", "n1"), (0.7, "upgrade", "n2"))


class Demo:
    """The test bed, the script, and the status lines."""

    def __init__(self, folder: Path, say: Callable[[str], None]) -> None:
        self.test_bed, self._say = ProcessTestBed(folder, ROUTERS, seed=1, turns_per_s=TURNS_PER_S), say
        self.loop = self.test_bed.loop
        self._status: list[dict[str, Any]] = []
        self._failures: list[str] = []
        self.agent = AgentProcess(self.test_bed, folder)

    def _send_order(self, what: str, name: str) -> Script:
        def failed(why: str) -> None:
            self._failures.append(why)
            self._say(f"-- {why}")

        self._say(f"-- {what} {name}")
        yield from self.agent.send_order(what, name, "the demo", failed)

    def _show_status(self) -> Script:
        while True:
            yield from self.agent.status(self._keep_status)
            tally = self.test_bed.clients.tally
            states = " ".join(f"{one['name']} {one['state']}" for one in self._status) or "the agent starts"
            fronts = [front for one in self._status for front in (one["levels"] or {}).values()]
            levels = {front["level"] for front in fronts if front}
            level = "/".join(sorted(levels)) or "full"
            self._say(
                f"{tally.requests:5d} requests {tally.served:5d} served {tally.refused:3d} refused  "
                f"level {level}  {states}"
            )
            yield 1.0

    def _keep_status(self, status: list[dict[str, Any]]) -> None:
        self._status = status

    def _script(self, seconds: float) -> Script:
        clients = self.test_bed.clients
        end = self.loop.now + START_TIMEOUT_S
        yield lambda: all(route.healthy for route in clients.routes) or self.loop.now > end
        clients.start()
        at = self.loop.now
        for share, what, name in ORDERS:
            yield max(0.0, at + share * seconds - self.loop.now)
            yield from self._send_order(what, name)
        yield max(0.0, at + seconds - self.loop.now)
        clients.stopped = True
        end = self.loop.now + FINISH_WITHIN_S
        yield lambda: not clients.open_requests or self.loop.now > end

    def run(self, seconds: float) -> bool:
        """Run for some seconds of load; return whether each request was answered once and no order failed."""
        show, runner = ScriptRunner(self.loop), ScriptRunner(self.loop)
        show.start(self._show_status())
        runner.start(self._script(seconds))
        while runner.running and self.agent.running:
            self.test_bed.run(self.loop.now + 0.1)
        tally, broken = self.test_bed.clients.tally, self.test_bed.rules.broken
        self._say(
            f"{tally.requests} requests, each answered once: {tally.served} served, {tally.refused} refused, "
            f"{tally.failed} failed, {tally.broken_streams} broken off to go on elsewhere; "
            f"{tally.requests - tally.answered_once} without an answer, {len(broken)} rules broken"
        )
        for what in [*broken[:5], *self._failures]:
            self._say(f"   {what}")
        return tally.requests == tally.answered_once > 0 and not broken and not self._failures

    def close(self) -> None:
        """End the agent and the routers, and close the test bed."""
        self.agent.close()
        self.test_bed.close()


def show(seconds: float, say: Callable[[str], None]) -> bool:
    """Run the demonstration for some seconds; `say` prints a line. Return whether it succeeded."""
    with tempfile.TemporaryDirectory(prefix="yewhook-demo-") as folder:
        demo = Demo(Path(folder), say)
        try:
            return demo.run(seconds)
        finally:
            demo.close()
