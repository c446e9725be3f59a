"""A process of the agent with the routers of a test bed, and a JSON-RPC client for it."""

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

from .addresses import free_address
from .http_connections import HOST
from .instances import ROOT
from .operate import Script
from .testbed import ProcessTestBed

STOP_TIMEOUT_S = 20.0  # from SIGTERM to SIGKILL
ANSWER_TIMEOUT_S = 15.0
FLEET_FILE_HEAD = (
    '[agent]\nlisten = "{address}"\nrecords = "routers.zone"\n'
    'domain = "demo.example."\nservice = "_yewhook._tcp"\n'
)


class AgentProcess(PeerHandler):
    """Writes the fleet file for the instances of a test bed, runs the agent, and calls it."""

    def __init__(
        self,
        test_bed: ProcessTestBed,
        folder: Path,
        agent: str = "",
        settings: Callable[[int], str] | None = None,
    ) -> None:
        """`agent` has more lines for the table `[agent]`; `settings` makes an instance's settings file."""
        self.loop, self._folder = test_bed.loop, folder
        self.address = free_address(HOST)
        text = FLEET_FILE_HEAD.format(address=f"{HOST}:{self.address[1]}") + agent
        for instance in test_bed.instances:
            instance.close_listener()  # with an agent, the agent holds the clients' socket
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
        """Whether the agent's process has not exited."""
        return self.process.poll() is None

    @property
    def log_lines(self) -> list[str]:
        """The log lines of the agent and its routers."""
        return (self._folder / "log").read_text(errors="replace").splitlines()

    # ---- calls ----

    def call(self, method: str, on_answer: Callable[[Any, RpcError | None], None], **params: Any) -> None:
        """Call a method on a new connection; `on_answer` gets the result or the error."""
        try:
            peer = Peer.connect(self.loop, self.address, self, 1.0)
        except OSError as error:
            on_answer(None, RpcError(0, str(error)))
            return

        def done(result: Any, error: RpcError | None) -> None:
            peer.close()
            on_answer(result, error)

        peer.ask(method, params, done, ANSWER_TIMEOUT_S)

    def send_order(self, what: str, name: str, by: str, failed: Callable[[str], None]) -> Script:
        """Send an order for an instance and wait; `failed` gets the message of an error."""
        answers: list[RpcError | None] = []
        self.call(f"agent/{what}", lambda _, error: answers.append(error), name=name, by=by)
        yield lambda: bool(answers)
        if answers[0] is not None:
            failed(f"{what} {name}: {answers[0].message}")

    def status(self, then: Callable[[list[dict[str, Any]]], None]) -> Script:
        """Call `agent/status` once; `then` gets the instances, and is not called if there is no answer."""
        answers: list[Any] = []
        self.call("agent/status", lambda result, error: answers.append(result))
        yield lambda: bool(answers)
        if answers[0]:
            then(answers[0]["instances"])

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Ignore requests: an agent sends none."""

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Ignore notifications: an agent sends none."""

    def gone(self, peer: Peer) -> None:
        """Nothing to do: calls without an answer fail by themselves."""

    def slow(self, peer: Peer, slow: bool) -> None:
        """Nothing to do: calls are short."""

    # ---- power ----

    def kill_all(self, routers: list[int]) -> None:
        """Kill the agent and its routers at once; `routers` has the process ids from its status."""
        if self.running:
            self.process.kill()
        for pid in routers:
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        self.process.wait()

    def restart(self) -> None:
        """Start the agent again after `kill_all`."""
        self.process = self._spawn()

    def close(self) -> None:
        """End the agent by process id; it ends its routers."""
        if self.running:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self._log.close()
