"""A fleet to look at: an agent with three routers, workers, a register and clients, all on free loopback
ports, with a drain, its end and an upgrade on the way."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from yewhook.jsonrpc import Handler, Id, Peer, RpcError

from .host import ROOT, free_address
from .net import HOST
from .operate import Play, Waits
from .stage import Stage

ROUTERS, RATE = 3, 12.0  # and turns a second
START_MOST, END_MOST = 20.0, 20.0  # s
ORDERS = ((0.25, "drain", "n1"), (0.5, "resume", "n1"), (0.7, "upgrade", "n2"))  # at which part of the time
FLEET = (
    '[agent]\nlisten = "{place}"\nrecords = "routers.zone"\n'
    'domain = "demo.example."\nservice = "_yewhook._tcp"\n'
)


class Demo(Handler):
    """The one who asks the agent, and what is shown."""

    def __init__(self, folder: Path, say: Callable[[str], None]) -> None:
        self.stage, self._say = Stage(folder, ROUTERS, seed=1, rate=RATE), say
        self.loop = self.stage.loop
        self._folder, self._status = folder, list[dict[str, Any]]()
        self._failed: list[str] = []
        place = free_address()
        text = FLEET.format(place=f"{HOST}:{place[1]}")
        for instance in self.stage.instances:
            instance.let_go()  # the agent holds the clients' sockets here
            listen = f"{instance.address[0]}:{instance.address[1]}"
            name = f"n{instance.number}"
            own = {"listen": listen, "seed": f"{instance.number + 1:x}"}
            (folder / f"{name}.json").write_text(json.dumps(instance.config | own))
            text += f'[[instance]]\nname = "{name}"\nconfig = "{name}.json"\n'
        (folder / "fleet.toml").write_text(text)
        self._log = (folder / "log").open("wb")
        self.agent = subprocess.Popen(
            [sys.executable, "-m", "yewhook", "agent", str(folder / "fleet.toml")],
            cwd=ROOT, env=os.environ | {"PYTHONPATH": str(ROOT)}, stdin=subprocess.DEVNULL,
            stdout=self._log, stderr=self._log,
        )  # fmt: skip
        self._place = place

    # ---- asking the agent ----

    def _ask(self, method: str, heard: Callable[[Any, RpcError | None], None], **params: Any) -> None:
        try:
            peer = Peer.connect(self.loop, self._place, self, 1.0)
        except OSError as error:
            heard(None, RpcError(0, str(error)))
            return

        def done(result: Any, error: RpcError | None) -> None:
            peer.close()
            heard(result, error)

        peer.ask(method, params, done, 15.0)

    def _order(self, what: str, name: str) -> Waits:
        heard: list[RpcError | None] = []
        self._say(f"-- {what} {name}")
        self._ask(f"agent/{what}", lambda _, error: heard.append(error), name=name, by="the demo")
        yield lambda: bool(heard)
        if heard[0] is not None:
            self._failed.append(f"{what} {name}: {heard[0].message}")
            self._say(f"-- {self._failed[-1]}")

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """An agent asks nothing."""

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """An agent announces nothing."""

    def gone(self, peer: Peer) -> None:
        """Whoever waits for an answer hears that there is none."""

    def slow(self, peer: Peer, slow: bool) -> None:
        """Questions are short."""

    # ---- the show ----

    def _look(self) -> Waits:
        while True:
            heard: list[Any] = []
            self._ask("agent/status", lambda result, error: heard.append(result))  # noqa: B023
            yield lambda: bool(heard)  # noqa: B023
            self._status = (heard[0] or {}).get("instances", self._status)
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
        while play.running and self.agent.poll() is None:
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
        """End the agent, which ends its routers, by its id."""
        if self.agent.poll() is None:
            self.agent.send_signal(signal.SIGTERM)
            try:
                self.agent.wait(timeout=END_MOST)
            except subprocess.TimeoutExpired:
                self.agent.kill()
                self.agent.wait()
        self._log.close()
        self.stage.close()


def show(seconds: float, say: Callable[[str], None]) -> bool:
    with tempfile.TemporaryDirectory(prefix="yewhook-demo-") as folder:
        demo = Demo(Path(folder), say)
        try:
            return demo.run(seconds)
        finally:
            demo.close()
