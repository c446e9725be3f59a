"""One process of a router instance, and the launcher that starts them on the instance's listening socket."""

from __future__ import annotations

import signal
import socket
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from ..acceptor import listen
from ..loop import Loop
from ..operations.instance import State
from .fleet_file import InstanceSpec
from .router_link import RouterLink

# A process that was told to end still serves in these states, but not for long.
ENDING_STATES = frozenset({State.LASTING.value, State.ENDING.value})


class ChildProcess(Protocol):
    """A process as its parent sees it; `subprocess.Popen` is one."""

    @property
    def pid(self) -> int:
        """Its process id."""

    def poll(self) -> int | None:
        """Its exit status; None while it runs."""

    def send_signal(self, sig: int) -> None:
        """Send a signal; ignored once it has exited."""

    def wait(self) -> int:
        """Block until it has exited; returns its exit status."""


class Link(Protocol):
    """The agent's connection to a process; `RouterLink` is one."""

    status: dict[str, Any]

    def request_status(self) -> None:
        """Request the router's status, which `status` has later."""

    def tell(self, method: str, params: dict[str, Any], done: Callable[[bool], None]) -> None:
        """Send a request; `done` is called with whether the router carried it out."""

    def close(self) -> None:
        """Close the connection."""


class RouterProcess:
    """A process of an instance; remembers which orders it has been given."""

    def __init__(self, process: ChildProcess, link: Link) -> None:
        """`link` is the connection to the process."""
        self._process, self.link = process, link
        self._kill_at: float | None = None  # seconds of the loop's clock, once it has been told to end
        self._killed = False
        self.reload_pending = False  # it is to be told to reload its files

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Its exit status; None while it runs."""
        return self._process.poll()

    @property
    def serves(self) -> bool:
        """Whether its last status says that it serves and has not been told to end."""
        status = self.link.status
        return bool(status.get("serves")) and status.get("state") not in ENDING_STATES

    def end(self, kill_at: float) -> None:
        """Tell it to finish its requests and exit by a time of the loop's clock; further calls do nothing."""
        if self._kill_at is None:
            self._kill_at = kill_at
            self.reload_pending = False
            self._process.send_signal(signal.SIGTERM)

    def is_overdue(self, now: float) -> bool:
        """Whether it should have exited by now and has not been killed yet."""
        return self._kill_at is not None and now >= self._kill_at and not self._killed

    def kill(self) -> None:
        """Kill it."""
        self._killed = True
        self._process.send_signal(signal.SIGKILL)

    def reload_if_pending(self) -> None:
        """Tell it to reload its files if that is pending and it has answered on its link.

        Before that, it may not handle the signal yet, which would end it.
        """
        if self.reload_pending and self.link.status:
            self.reload_pending = False
            self._process.send_signal(signal.SIGHUP)

    def reap(self) -> None:
        """Block until it has exited, and close the connection to it."""
        self._process.wait()
        self.link.close()


class Launcher(Protocol):
    """Starts the processes of one instance; `ProcessLauncher` is one."""

    def launch(self, spec: InstanceSpec, drained: bool) -> RouterProcess:
        """Start a process, drained or not. Raises OSError."""

    def close_listener(self) -> None:
        """Refuse the clients' connections from now on."""


class ProcessLauncher:
    """Starts processes that share one listening socket, so that one can replace another."""

    def __init__(self, loop: Loop, folder: Path) -> None:
        """`folder` holds the files by which the processes of an instance find each other."""
        self._loop, self._folder = loop, folder
        self._listener: socket.socket | None = None  # only while the instance's processes can be replaced

    def launch(self, spec: InstanceSpec, drained: bool) -> RouterProcess:
        """Start a process, drained or not, and the connection to it. Raises OSError."""
        link, environ = RouterLink(self._loop), spec.environ()
        inherited = [link.descriptor]
        try:
            if spec.upgradable:
                listener = self._open_listener(spec)
                inherited.append(listener.fileno())
                environ |= {"PROXY_ACCEPT_FD": str(listener.fileno()), "TMPDIR": str(self._folder)}
            else:
                self.close_listener()  # the process listens itself, perhaps at the same address
            process = subprocess.Popen(
                spec.command(link.descriptor, drained),
                env=environ,
                stdin=subprocess.DEVNULL,
                cwd=Path.cwd(),
                pass_fds=inherited,
            )
        except OSError:
            link.close()
            raise
        finally:
            link.close_router_end()
        return RouterProcess(process, link)

    def _open_listener(self, spec: InstanceSpec) -> socket.socket:
        """The clients' listening socket, which each process inherits. Raises OSError."""
        if self._listener is None or self._listener.getsockname() != spec.fronts["platform"]:
            self.close_listener()
            self._listener = listen(spec.fronts["platform"])
        return self._listener

    def close_listener(self) -> None:
        """Refuse the clients' connections from now on; with an open socket they would wait unserved."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
