"""A supervised router instance: its process, its state, and the operators' orders for it."""

from __future__ import annotations

import math
import signal
import socket
import subprocess
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Any

from ..acceptor import listen
from ..loop import Loop
from ..operations.orders import Order, OrderRefused, Orders
from .fleet_file import InstanceSpec
from .probe import PROBE_TIMEOUT_S, Probe
from .router_link import RouterLink

PROBE_INTERVAL_S = 0.5
MAX_FAILED_PROBES = 3  # in succession; then the instance is unresponsive
INITIAL_BACKOFF_S = 0.2  # until a restart; doubled by each further one
MAX_BACKOFF_S = 10.0
BACKOFF_RESET_S = 10.0  # an instance that was ready for longer is restarted with the initial backoff again
SUCCESSOR_TIMEOUT_S = 10.0  # for the new process of an upgrade to serve
MIN_KILL_TIMEOUT_S = 3.7  # a process may need as long to end its requests, however short the grace period is


class State(Enum):
    """The state of a supervised instance; the values are written to answers."""

    DUE = "due"  # to be started once fewer other instances are starting
    STARTING = "starting"  # its process runs and has not answered a probe yet
    READY = "ready"
    UNRESPONSIVE = "unresponsive"  # its process runs and no longer answers probes
    WAITING = "waiting"  # its process has exited and is restarted after the backoff
    DRAINED = "drained"  # by an operator's order; its process finishes its requests and keeps running
    STOPPING = "stopping"  # its process was told to finish its requests and exit
    STOPPED = "stopped"


PROBED_STATES = frozenset({State.STARTING, State.READY, State.DRAINED, State.UNRESPONSIVE})


class Instance:
    """Runs the processes of one router, probes them and carries out orders."""

    def __init__(
        self,
        loop: Loop,
        spec: InstanceSpec,
        changed: Callable[[], None],
        folder: Path,
        store_desired_state: Callable[[Instance, Orders, bool], None],
        grace: Callable[[], float],
    ) -> None:
        """`changed` is called at each change of the state; `folder` holds the files by which the processes of
        an instance find each other. `store_desired_state` stores orders and whether the instance is to run;
        it raises OrderRefused if that fails. `grace` returns the seconds in which a process that was told to
        end may finish its requests.
        """
        self._grace = grace
        self.spec, self.state, self._folder = spec, State.STOPPED, folder
        self._store_desired_state, self.wanted = store_desired_state, True
        self.orders = Orders()
        self._successor: Successor | None = None
        # Replaced processes, and when each is killed if it still runs.
        self._old_processes: list[tuple[subprocess.Popen[bytes], float]] = []
        self._listener: socket.socket | None = None  # shared by its processes if they can be replaced
        self.restarts = 0
        self._loop, self._changed = loop, changed
        self._process: subprocess.Popen[bytes] | None = None
        self._state_since = loop.now
        self._backoff = INITIAL_BACKOFF_S
        self._restart_at = 0.0
        self._restart_after_stop = False
        self._kill_at = math.inf  # when the process is killed if it still runs
        self._reload_pending = False  # SIGHUP is to be sent once a probe succeeds
        self._probe_results: dict[str, bool] = {}
        self._next_probe_at, self._failed_probes = 0.0, 0
        self.link: RouterLink | None = None

    @property
    def running(self) -> bool:
        """Whether any process of it still runs."""
        return self._process is not None or bool(self._old_processes)

    def _set_state(self, state: State) -> None:
        if state is not self.state:
            self.state, self._state_since = state, self._loop.now
            self._changed()

    def wait_for_start(self) -> None:
        """Have the agent start it when few enough other instances are starting."""
        self._set_state(State.DUE)

    def start(self) -> None:
        """Start its process, or start it again once it has stopped if it is stopping."""
        if self._process is not None:
            self._restart_after_stop = self.state is State.STOPPING
            return
        try:
            self._process, self.link = self._spawn()
        except OSError as error:
            self._loop.log("instance not started", f"{self.spec.name}: {error}")
            return self._schedule_restart()
        self._failed_probes, self._probe_results, self._next_probe_at = 0, {}, self._loop.now
        self._loop.log("instance started", f"{self.spec.name} pid {self._process.pid}")
        return self._set_state(State.STARTING)

    def _spawn(self) -> tuple[subprocess.Popen[bytes], RouterLink]:
        """Start a process and the connection to it. Raises OSError."""
        link, environ = RouterLink(self._loop), self.spec.environ()
        inherited = [link.descriptor]
        try:
            if self.spec.upgradable:
                listener = self._open_listener()
                inherited.append(listener.fileno())
                environ |= {"PROXY_ACCEPT_FD": str(listener.fileno()), "TMPDIR": str(self._folder)}
            process = subprocess.Popen(
                self.spec.command(link.descriptor, self.orders.drain is not None),
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
        return process, link

    def _open_listener(self) -> socket.socket:
        """The clients' listening socket, which each process inherits. Raises OSError."""
        if self._listener is None or self._listener.getsockname() != self.spec.fronts["platform"]:
            self._close_listener()
            self._listener = listen(self.spec.fronts["platform"])
        return self._listener

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    # ---- orders ----

    def order(self, order: Order, by: str, done: Callable[[str], None]) -> None:
        """Carry out an operator's order; raises OrderRefused.

        `done` is called at its end, with the reason if it failed and an empty text if not.
        """
        if order is Order.UPGRADE and not self.spec.upgradable:
            raise OrderRefused(
                f"{self.spec.name} has a tool-calls front, which cannot be handed over: restart it"
            )
        if order is Order.UPGRADE and self.state not in (State.READY, State.DRAINED):
            raise OrderRefused(
                f"{self.spec.name} is {self.state.value}: only an instance that serves can be upgraded"
            )
        orders = self.orders.with_order(order, by, self._loop.now)
        if order is not Order.UPGRADE:  # an upgrade does not survive a power loss
            self._store_desired_state(self, orders, self.wanted)
        self.orders = orders
        if order is Order.UPGRADE:
            return self._start_upgrade(done)
        self._loop.log("order", f"{self.spec.name}: {order.value} by {by}")
        if order is Order.DRAIN and self.state in (State.READY, State.UNRESPONSIVE):
            self._set_state(State.DRAINED)
        elif order is Order.RESUME and self.state is State.DRAINED:
            self._set_state(State.STARTING)  # until it answers a probe
        self._next_probe_at = self._loop.now
        if self.link is None:  # it gets the order when it starts
            return done("")
        answered = partial(self._order_answered, done)
        return self.link.tell(f"router/{order.value}", {}, answered)

    @staticmethod
    def _order_answered(done: Callable[[str], None], success: bool) -> None:
        done("" if success else "the router did not answer")

    def _start_upgrade(self, done: Callable[[str], None]) -> None:
        try:
            process, link = self._spawn()
        except OSError as error:
            self.orders = self.orders.without_upgrade()
            return done(str(error))
        self._loop.log(
            "upgrade begun", f"{self.spec.name} pid {process.pid} replaces pid {self.report()['pid']}"
        )
        self._successor = Successor(process, link, self._loop.now + SUCCESSOR_TIMEOUT_S, done)
        return None

    def _check_successor(self, successor: Successor) -> None:
        code, status = successor.process.poll(), successor.link.status
        if code is None and status.get("serves") and self._process is not None:
            self._process.terminate()
            self._old_processes.append((self._process, self._latest_end()))
            self._close_link()
            self._process, self.link = successor.process, successor.link
            return self._end_upgrade(successor, "")
        if code is not None:
            return self._end_upgrade(
                successor, f"the new process exited with status {code}; the old one keeps serving"
            )
        if self._loop.now >= successor.deadline:
            successor.process.kill()
            successor.process.wait()
            return self._end_upgrade(
                successor,
                f"the new process was not ready in {SUCCESSOR_TIMEOUT_S:.0f} s; the old one keeps serving",
            )
        return successor.link.request_status()

    def _end_upgrade(self, successor: Successor, failure: str) -> None:
        self._successor, self.orders = None, self.orders.without_upgrade()
        if failure:
            successor.link.close()
            self._loop.log("upgrade failed", f"{self.spec.name}: {failure}")
        else:
            self._loop.log("upgraded", f"{self.spec.name} pid {successor.process.pid}")
        self._next_probe_at = self._loop.now
        successor.done(failure)

    def _latest_end(self) -> float:
        """When a process that is told to end now is killed, in seconds of the loop's clock."""
        return self._loop.now + max(MIN_KILL_TIMEOUT_S, self._grace())

    def _close_link(self) -> None:
        if self.link is not None:
            self.link.close()
            self.link = None

    def _schedule_restart(self) -> None:
        self._restart_at = self._loop.now + self._backoff
        self._backoff = min(2 * self._backoff, MAX_BACKOFF_S)
        self._set_state(State.WAITING)

    def stop(self, restart: bool = False) -> None:
        """Tell its process to finish its requests and exit; with `restart`, start a new one after that."""
        self._restart_after_stop = restart
        if self._process is None:
            return self._enter_stopped()
        if self.state is not State.STOPPING:
            self._loop.log("instance ending", f"{self.spec.name} pid {self._process.pid}")
            self._process.terminate()
            self._kill_at = self._latest_end()
            self._set_state(State.STOPPING)
        return None

    def _enter_stopped(self) -> None:
        self._set_state(State.STOPPED)
        if self._restart_after_stop:
            return self.start()
        # While the socket is open, clients connect and wait although no process accepts.
        return self._close_listener()

    def reload(self, spec: InstanceSpec) -> None:
        """Apply a new fleet file: restart if the entry has changed, else have the router reload its files."""
        changed, self.spec = spec != self.spec, spec
        if changed and self.running and self.state is not State.STOPPING:
            self.stop(restart=True)
        self._reload_pending = self.running and not changed

    def kill(self) -> None:
        """Kill its processes, those that were replaced among them."""
        processes = [old for old, _ in self._old_processes]
        if self._process is not None:
            processes.append(self._process)
        for process in processes:
            self._kill(process)

    def _kill(self, process: subprocess.Popen[bytes]) -> None:
        self._loop.log(
            "instance killed", f"{self.spec.name} pid {process.pid}: not finished within the grace period"
        )
        process.kill()

    def reap(self) -> None:
        """Wait for its processes to exit and close its sockets; a successor is killed."""
        successors = [self._successor.process] if self._successor is not None else []
        for process in successors:
            process.kill()
        for process in [*successors, *(old for old, _ in self._old_processes)]:
            process.wait()
        if self._process is not None:
            self._process.wait()
            self._process = None
        self._close_link()
        self._close_listener()

    def poll(self) -> None:
        """Check its processes, restart or probe them when due, and complete an upgrade."""
        now = self._loop.now
        for process, deadline in self._old_processes:
            if process.poll() is None and now >= deadline:
                self._kill(process)
        self._old_processes = [
            (process, deadline) for process, deadline in self._old_processes if process.poll() is None
        ]
        if self._successor is not None:
            self._check_successor(self._successor)
        if self.state is State.STOPPING and self._process is not None and now >= self._kill_at:
            self._kill_at = math.inf
            self._kill(self._process)
        if self._process is not None and (code := self._process.poll()) is not None:
            self._process = None
            self._close_link()
            if self._successor is not None:  # takes over at once, in place of a restart
                self._process, self.link = self._successor.process, self._successor.link
                self._end_upgrade(self._successor, "")
                return self._set_state(State.STARTING)
            if self.state is State.STOPPING:
                return self._enter_stopped()
            self._loop.log(
                "instance exited", f"{self.spec.name} with status {code}; restart in {self._backoff:.1f} s"
            )
            self.restarts += 1
            self._schedule_restart()
        elif self.state is State.WAITING and now >= self._restart_at:
            self.start()
        elif self.state in PROBED_STATES and now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_S + PROBE_TIMEOUT_S
            self._probe()
        if self.state is State.READY and now - self._state_since > BACKOFF_RESET_S:
            self._backoff = INITIAL_BACKOFF_S
        return None

    def _probe(self) -> None:
        results = self._probe_results = {}
        process = self._process

        def answered(front: str, success: bool) -> None:
            results[front] = success
            current = self._probe_results is results and self._process is process
            if current and len(results) == len(self.spec.fronts) and self.state is not State.STOPPING:
                self._probes_completed(all(results.values()))

        for front, address in self.spec.fronts.items():
            drained = self.orders.drain is not None
            Probe(self._loop, front, address, drained, lambda success, front=front: answered(front, success))  # type: ignore[misc]

    def _probes_completed(self, success: bool) -> None:
        self._next_probe_at = self._loop.now + PROBE_INTERVAL_S
        self._failed_probes = 0 if success else self._failed_probes + 1
        if success:
            self._set_state(State.READY if self.orders.drain is None else State.DRAINED)
            if self.link is not None:
                self.link.request_status()
            if self._reload_pending and self._process is not None:
                self._reload_pending = False
                self._process.send_signal(signal.SIGHUP)
        elif self.state in (State.READY, State.DRAINED) and self._failed_probes >= MAX_FAILED_PROBES:
            self._loop.log("instance unresponsive", self.spec.name)
            self._set_state(State.UNRESPONSIVE)

    def report(self) -> dict[str, Any]:
        """The status of the instance, as answered to clients of the agent."""
        return {
            "name": self.spec.name,
            "state": self.state.value,
            "pid": self._process.pid if self._process is not None else None,
            "restarts": self.restarts,
            "since_s": round(self._loop.now - self._state_since, 1),
            "listen": {front: f"{host}:{port}" for front, (host, port) in self.spec.fronts.items()},
            "orders": self._report_orders(),
            "levels": self.link.status.get("levels") if self.link is not None else None,
            "recovery": self.link.status.get("recovery") if self.link is not None else None,
        }

    def _report_orders(self) -> list[dict[str, Any]]:
        active = filter(None, (self.orders.drain, self.orders.upgrade))
        return [
            {"order": entry.order.value, "by": entry.by, "since_s": round(self._loop.now - entry.at, 1)}
            for entry in active
        ]


@dataclass(frozen=True, slots=True)
class Successor:
    """A new process that is to take over the instance in an upgrade."""

    process: subprocess.Popen[bytes]
    link: RouterLink
    deadline: float  # the loop's time in seconds at which the upgrade fails
    done: Callable[[str], None]
