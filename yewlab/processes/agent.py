"""An agent's process with its routers on a test_bed, and the one who asks it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from yewhook.jsonrpc import Id, Peer, PeerHandler, RpcError

from .http_connections import HOST
from .instances import ROOT, free_address
from .operate import Script
from .testbed import ProcessTestBed

STOP_TIMEOUT_S = 20.0  # s for an agent told to end
ANSWER_TIMEOUT_S = 15.0  # s for an answer
FLEET_FILE_HEAD = (
    '[agent]\nlisten = "{place}"\nrecords = "routers.zone"\n'
    'domain = "demo.example."\nservice = "_yewhook._tcp"\n'
)


class AgentProcess(PeerHandler):
    """Writes the fleet file for a test_bed's instances, runs the agent, and asks it."""

    def __init__(
        self,
        test_bed: ProcessTestBed,
        folder: Path,
        agent: str = "",
        settings: Callable[[int], str] | None = None,
    ) -> None:
        """`agent` = further lines for its table; `settings` makes an instance's operators' file."""
        self.loop, self._folder = test_bed.loop, folder
        self.address = free_address()
        text = FLEET_FILE_HEAD.format(place=f"{HOST}:{self.address[1]}") + agent
        for instance in test_bed.instances:
            instance.close_listener()  # the agent holds the clients' sockets here
            listen = f"{instance.address[0]}:{instance.address[1]}"
            name = f"n{instance.number}"
            own = {"listen": listen, "seed": f"{instance.number + 1:x}"}
            (folder / f"{name}.json").write_text(json.dumps(instance.config | own))
            text += f'[[instance]]\nname = "{name}"\nconfig = "{name}.json"\n'
            if settings is not None:
                (folder / f"{name}.toml").write_text(settings(instance.number))
                text += f'settings = "{name}.toml"\n'
        (folder / "fleet.toml").write_text(text)
        self._log = (folder / "log").open("ab")
        self.process = self._spawn()

    def _spawn(self) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-m", "yewhook", "agent", str(self._folder / "fleet.toml")],
            cwd=ROOT, env=os.environ | {"PYTHONPATH": str(ROOT)}, stdin=subprocess.DEVNULL,
            stdout=self._log, stderr=self._log,
        )  # fmt: skip

    @property
    def running(self) -> bool:
        return self.process.poll() is None

    @property
    def log_lines(self) -> list[str]:
        """The lines of its log and of its routers'."""
        return (self._folder / "log").read_text(errors="replace").splitlines()

    # ---- asking ----

    def call(self, method: str, heard: Callable[[Any, RpcError | None], None], **params: Any) -> None:
        try:
            peer = Peer.connect(self.loop, self.address, self, 1.0)
        except OSError as error:
            heard(None, RpcError(0, str(error)))
            return

        def done(result: Any, error: RpcError | None) -> None:
            peer.close()
            heard(result, error)

        peer.ask(method, params, done, ANSWER_TIMEOUT_S)

    def send_order(self, what: str, name: str, by: str, failed: Callable[[str], None]) -> Script:
        heard: list[RpcError | None] = []
        self.call(f"agent/{what}", lambda _, error: heard.append(error), name=name, by=by)
        yield lambda: bool(heard)
        if heard[0] is not None:
            failed(f"{what} {name}: {heard[0].message}")

    def status(self, then: Callable[[list[dict[str, Any]]], None]) -> Script:
        """Ask once how its instances stand; nothing is told where it does not answer."""
        heard: list[Any] = []
        self.call("agent/status", lambda result, error: heard.append(result))
        yield lambda: bool(heard)
        if heard[0]:
            then(heard[0]["instances"])

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """An agent asks nothing."""

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """An agent announces nothing."""

    def gone(self, peer: Peer) -> None:
        """Whoever waits for an answer hears that there is none."""

    def slow(self, peer: Peer, slow: bool) -> None:
        """Questions are short."""

    # ---- power ----

    def kill_all(self, routers: list[int]) -> None:
        """The agent and its routers are gone at once, whose ids it has told."""
        if self.running:
            self.process.kill()
        for pid in routers:
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        self.process.wait()

    def restart(self) -> None:
        self.process = self._spawn()

    def close(self) -> None:
        """End the agent, which ends its routers, by its id."""
        if self.running:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self._log.close()
