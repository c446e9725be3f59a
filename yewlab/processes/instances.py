"""Instances of the program, each with the processes that serve it one after the other."""

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

from .http_connections import HOST, HttpCall

ROOT = Path(__file__).resolve().parents[2]
GRACE_S, KILL_MARGIN_S = 3.0, 0.7  # s from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and more
READY_POLL_S = 0.05  # s between calls for the yes of a process that starts


@dataclass(eq=False)
class Process:
    """One process of an instance."""

    popen: subprocess.Popen[bytes]
    mgmt_address: Address
    log_path: Path
    started_at: float
    ready_at: float | None = None  # when it first said that it can serve
    killed: bool = False  # outright, by the script or the platform

    @property
    def running(self) -> bool:
        return self.popen.poll() is None

    def send_signal(self, number: int) -> None:
        if self.running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        if self.running:
            self.killed = True
            self.popen.kill()

    @property
    def longest_turn_s(self) -> float:
        """s that the longest turn of its loop took, of those that it has logged."""
        turns = re.findall(r" turn took long: ([0-9.]+) s", self.log_path.read_text(errors="replace"))
        return max(map(float, turns), default=0.0)

    def count_log_lines(self, event: str) -> int:
        """How many lines of this event its log has."""
        return self.log_path.read_text(errors="replace").count(f" {event}")


@dataclass(eq=False)
class Instance:
    """One router as the platform sees it: a name, an address, and the socket that listens there."""

    loop: Loop
    number: int
    folder: Path
    config: dict[str, Any]
    environment: dict[str, str] = field(default_factory=dict)  # of its processes, beside this one's
    processes: list[Process] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.folder.mkdir()
        (self.folder / "tmp").mkdir()
        # The platform holds the clients' socket: nobody accepts here but the processes that inherit it.
        self._listener = socket.create_server((HOST, 0), backlog=512)
        self.address: Address = self._listener.getsockname()

    @property
    def serving_process(self) -> Process:
        return self.processes[-1]

    def start_process(self) -> Process:
        """A further process, beside what runs already."""
        door = free_address()
        number = len(self.processes)
        path = self.folder / f"config-{number}.json"
        path.write_text(json.dumps(self.config | {"mgmt": f"{HOST}:{door[1]}", "seed": f"{number + 1:x}"}))
        log = self.folder / f"log-{number}"
        env = os.environ | self.environment | {
            "PROXY_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp"),
            "PROXY_ACCEPT_FD": str(self._listener.fileno()),
        }  # fmt: skip
        with log.open("wb") as out:
            popen = subprocess.Popen(
                [sys.executable, "-m", "yewhook", "serve"], cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=out, stderr=out, pass_fds=[self._listener.fileno()],
            )  # fmt: skip
        process = Process(popen, door, log, self.loop.now)
        self.processes.append(process)
        return process

    def terminate(self, process: Process) -> None:
        """As the platform does it: SIGTERM, and SIGKILL once the longest deadline is over."""
        process.send_signal(signal.SIGTERM)
        self.loop.after(GRACE_S + KILL_MARGIN_S, process.kill)

    def when_ready(self, process: Process, within: float, then: Callable[[bool], None]) -> None:
        """Ask a process that starts until it says yes, or the time is over."""
        end = self.loop.now + within

        def heard(status: int) -> None:
            if status == 200:
                process.ready_at = self.loop.now
                return then(True)
            if self.loop.now >= end or not process.running:
                return then(False)
            return self.loop.after(READY_POLL_S, ask)

        def ask() -> None:
            TimedCall(self.loop, process.mgmt_address, "GET", "/-/ready", heard)

        ask()

    def close_listener(self) -> None:
        """Leave the address to somebody else."""
        self._listener.close()

    def close(self) -> None:
        """End whatever still runs, by its id."""
        for process in self.processes:
            if process.running:
                process.popen.kill()
            process.popen.wait()
        self._listener.close()


class TimedCall:
    """A call that is given up after a second; then its status is 0."""

    TIMEOUT_S = 1.0  # s within which an answer is owed

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


def free_address() -> Address:
    """An address that nobody listens at now."""
    with socket.create_server((HOST, 0)) as sock:
        address: Address = sock.getsockname()
    return address
