"""Router instances, each with the processes that serve it one after the other."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from yewhook.config import Address
from yewhook.loop import Loop

from .addresses import free_address
from .http_connections import HOST, HttpCall

ROOT = Path(__file__).resolve().parents[2]
# SIGKILL follows SIGTERM after the longest deadline, here 3 seconds, and a margin.
GRACE_S = 3.0
KILL_MARGIN_S = 0.7
READY_POLL_S = 0.05  # interval of the readiness polls of a starting process


@dataclass(eq=False)
class Process:
    """One process of a router instance."""

    popen: subprocess.Popen[bytes]
    mgmt_address: Address
    log_path: Path
    started_at: float
    ready_at: float | None = None  # when it first reported that it is ready
    killed: bool = False  # by SIGKILL, from the script or the platform

    @property
    def running(self) -> bool:
        """Whether the process has not exited."""
        return self.popen.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL if the process still runs."""
        if self.running:
            self.killed = True
            self.popen.kill()

    @property
    def peak_resident_bytes(self) -> int:
        """The most memory that it has had resident; 0 once it has ended."""
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        peak = re.search(r"VmHWM:\s+([0-9]+) kB", status)
        return int(peak[1]) << 10 if peak is not None else 0

    @property
    def longest_turn_s(self) -> float:
        """The duration of the longest turn of its event loop among those that it has logged."""
        turns = re.findall(r" turn took long: ([0-9.]+) s", self.log_path.read_text(errors="replace"))
        return max(map(float, turns), default=0.0)

    def count_log_lines(self, event: str) -> int:
        """Count the lines of its log that contain this event."""
        return self.log_path.read_text(errors="replace").count(f" {event}")


@dataclass(eq=False)
class Instance:
    """One router as the platform sees it: a name, an address, and the socket that listens there."""

    loop: Loop
    number: int
    folder: Path
    config: dict[str, Any]
    environment: dict[str, str] = field(default_factory=dict)  # added to this process's environment
    processes: list[Process] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.folder.mkdir()
        (self.folder / "tmp").mkdir()
        # The platform holds the clients' socket: only the processes that inherit it accept connections.
        self._listener = socket.create_server((HOST, 0), backlog=512)
        self.address: Address = self._listener.getsockname()

    @property
    def serving_process(self) -> Process:
        """The process that was started last."""
        return self.processes[-1]

    def start_process(self) -> Process:
        """Start another process, beside those that run already."""
        mgmt_address = free_address(HOST)
        number = len(self.processes)
        config_path = self.folder / f"config-{number}.json"
        config_path.write_text(
            json.dumps(self.config | {"mgmt": f"{HOST}:{mgmt_address[1]}", "seed": f"{number + 1:x}"})
        )
        log_path = self.folder / f"log-{number}"
        env = os.environ | self.environment | {
            "PROXY_CONFIG": str(config_path), "TMPDIR": str(self.folder / "tmp"),
            "PROXY_ACCEPT_FD": str(self._listener.fileno()),
        }  # fmt: skip
        with log_path.open("wb") as out:
            popen = subprocess.Popen(
                [sys.executable, "-m", "yewhook", "serve"], cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=out, stderr=out, pass_fds=[self._listener.fileno()],
            )  # fmt: skip
        process = Process(popen, mgmt_address, log_path, self.loop.now)
        self.processes.append(process)
        return process

    def terminate(self, process: Process) -> None:
        """End a process as the platform does: SIGTERM, then SIGKILL after the longest deadline."""
        process.send_signal(signal.SIGTERM)
        self.loop.after(GRACE_S + KILL_MARGIN_S, process.kill)

    def when_ready(self, process: Process, within: float, then: Callable[[bool], None]) -> None:
        """Poll a starting process until it is ready; `then` gets whether it was within `within` seconds."""
        end = self.loop.now + within

        def on_status(status: int) -> None:
            if status == 200:
                process.ready_at = self.loop.now
                return then(True)
            if self.loop.now >= end or not process.running:
                return then(False)
            return self.loop.after(READY_POLL_S, poll)

        def poll() -> None:
            TimedCall(self.loop, process.mgmt_address, "GET", "/-/ready", on_status)

        poll()

    def close_listener(self) -> None:
        """Close the listening socket, so that another process can use the address."""
        self._listener.close()

    def close(self) -> None:
        """Kill the processes that still run, by process id, and close the listening socket."""
        for process in self.processes:
            if process.running:
                process.popen.kill()
            process.popen.wait()
        self._listener.close()


class TimedCall:
    """An HTTP call with a timeout; `done` gets the status, 0 after the timeout."""

    TIMEOUT_S = 1.0

    def __init__(
        self, loop: Loop, address: Address, method: str, path: str, done: Callable[[int], None]
    ) -> None:
        self._done, self.over = done, False
        self._call = HttpCall(loop, address, method, path, self._on_status)
        loop.after(self.TIMEOUT_S, self._on_timeout)

    def _on_status(self, status: int) -> None:
        if not self.over:
            self.over = True
            self._done(status)

    def _on_timeout(self) -> None:
        if not self.over:
            self._call.cancel()
            self._on_status(0)
