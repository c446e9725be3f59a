"""A supervised router instance: its process, its state, and the operators' orders for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Any

from ..loop import Loop
from ..operations.orders import Order, OrderRefused, Orders
from .fleet_file import InstanceSpec
from .probe import PROBE_TIMEOUT_S, Probe
from .router_process import Launcher, Link, RouterProcess

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
    STOPPING = "stopping"  # its processes were told to finish their requests and exit
    STOPPED = "stopped"


class StopReason(Enum):
    """Why an instance is stopped; the values are told to the operator of an upgrade that this breaks off."""

    OPERATOR = "an operator has stopped the instance"
    FLEET_FILE = "a new fleet file has changed or removed the instance"
    SHUTDOWN = "the agent shuts down"


PROBED_STATES = frozenset({State.STARTING, State.READY, State.DRAINED, State.UNRESPONSIVE})


class Instance:
    """Runs the processes of one router, probes them and carries out orders."""

    def __init__(
        self,
        loop: Loop,
        spec: InstanceSpec,
        changed: Callable[[], None],
        launcher: Launcher,
        store_desired_state: Callable[[Instance, Orders, bool], None],
        grace: Callable[[], float],
    ) -> None:
        """`changed` is called at each change of the state; `launcher` starts the processes.
        `store_desired_state` stores orders and whether the instance is to run; it raises OrderRefused if that
        fails. `grace` returns the seconds in which a process that was told to end may finish its requests.
        """
        self._grace = grace
        self.spec, self.state, self._launcher = spec, State.STOPPED, launcher
        self._store_desired_state, self.wanted = store_desired_state, True
        self.orders = Orders()
        self._process: RouterProcess | None = None  # the one that serves, or starts to
        self._successor: Successor | None = None  # while an upgrade is under way
        self._stopping: list[RouterProcess] = []  # told to end by a stop, which lasts until they have exited
        self._replaced: list[RouterProcess] = []  # told to end since another one serves in their place
        self.restarts = 0
        self._loop, self._changed = loop, changed
        self._state_since = loop.now
        self._backoff = INITIAL_BACKOFF_S
        self._restart_at = 0.0
        self._restart_after_stop = False
        self.is_removed = False  # from the fleet file
        self._probe_results: dict[str, bool] = {}
        self._next_probe_at, self._failed_probes = 0.0, 0

    @property
    def running(self) -> bool:
        """Whether any process of it still runs."""
        return bool(self._processes)

    @property
    def _processes(self) -> list[RouterProcess]:
        """All processes that have not exited, as far as is known."""
        return [*self._serving_processes, *self._stopping, *self._replaced]

    @property
    def _serving_processes(self) -> list[RouterProcess]:
        """Those that have not been told to end: the current one and the successor of an upgrade."""
        current = [self._process] if self._process is not None else []
        successors = [self._successor.process] if self._successor is not None else []
        return [*current, *successors]

    @property
    def _main_process(self) -> RouterProcess | None:
        """The process that stands for the instance in reports."""
        return self._process or next(iter(self._stopping), None)

    @property
    def link(self) -> Link | None:
        """The connection to that process."""
        return self._main_process.link if self._main_process is not None else None

    def _set_state(self, state: State) -> None:
        if state is not self.state:
            self.state, self._state_since = state, self._loop.now
            self._changed()

    def wait_for_start(self) -> None:
        """Have the agent start it when few enough other instances are starting."""
        self._set_state(State.DUE)

    def start(self) -> None:
        """Start its process, or start it again once it has stopped if it is stopping."""
        if self.state is State.STOPPING or self._process is not None:
            self._restart_after_stop = self.state is State.STOPPING
            return
        try:
            self._process = self._launcher.launch(self.spec, self.orders.drain is not None)
        except OSError as error:
            self._loop.log("instance not started", f"{self.spec.name}: {error}")
            return self._schedule_restart()
        self._failed_probes, self._probe_results, self._next_probe_at = 0, {}, self._loop.now
        self._loop.log("instance started", f"{self.spec.name} pid {self._process.pid}")
        return self._set_state(State.STARTING)

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
            process = self._launcher.launch(self.spec, self.orders.drain is not None)
        except OSError as error:
            self.orders = self.orders.without_upgrade()
            return done(str(error))
        self._loop.log(
            "upgrade begun", f"{self.spec.name} pid {process.pid} replaces pid {self.report()['pid']}"
        )
        self._successor = Successor(process, self._loop.now + SUCCESSOR_TIMEOUT_S, done)
        return None

    def _check_successor(self, successor: Successor) -> None:
        process = successor.process
        if (code := process.exit_code) is not None:
            process.link.close()
            return self._end_upgrade(
                successor, f"the new process exited with status {code}; the old one keeps serving"
            )
        if process.serves and self._process is not None:
            self._replace(self._process)
            self._process = process
            return self._end_upgrade(successor, "")
        if self._loop.now >= successor.deadline:
            self._replace(process)
            return self._end_upgrade(
                successor,
                f"the new process was not ready in {SUCCESSOR_TIMEOUT_S:.0f} s; the old one keeps serving",
            )
        return process.link.request_status()

    def _end_upgrade(self, successor: Successor, failure: str) -> None:
        self._successor, self.orders = None, self.orders.without_upgrade()
        if failure:
            self._loop.log("upgrade failed", f"{self.spec.name}: {failure}")
        else:
            self._loop.log("upgraded", f"{self.spec.name} pid {successor.process.pid}")
        self._next_probe_at = self._loop.now
        successor.done(failure)

    def _replace(self, process: RouterProcess) -> None:
        """Tell a process to end while another one serves."""
        self._end(process)
        self._replaced.append(process)

    def _end(self, process: RouterProcess) -> None:
        """Tell a process to finish its requests and exit."""
        self._loop.log("instance ending", f"{self.spec.name} pid {process.pid}")
        process.end(self._loop.now + max(MIN_KILL_TIMEOUT_S, self._grace()))

    def _schedule_restart(self) -> None:
        self._restart_at = self._loop.now + self._backoff
        self._backoff = min(2 * self._backoff, MAX_BACKOFF_S)
        self._set_state(State.WAITING)

    def stop(self, reason: StopReason, restart: bool = False) -> None:
        """Tell its processes to finish their requests and exit; with `restart`, start a new one after that.

        An upgrade that is under way is broken off: `reason` is what its operator is told. The last order says
        whether a new process is started.
        """
        self._restart_after_stop = restart
        if self.state is State.STOPPING:
            return None
        successor, self._stopping = self._successor, self._serving_processes
        self._process = None
        for process in self._stopping:
            self._end(process)
        if not self._stopping:
            return self._enter_stopped()
        self._set_state(State.STOPPING)
        if successor is not None:
            self._end_upgrade(successor, f"broken off: {reason.value}")
        return None

    def remove(self) -> None:
        """Stop it since the fleet file does not name it any more; a later one may name it again."""
        self.is_removed = True
        self.stop(StopReason.FLEET_FILE)

    def _enter_stopped(self) -> None:
        self._set_state(State.STOPPED)
        if self._restart_after_stop:
            return self.start()
        return self._launcher.close_listener()

    def reload(self, spec: InstanceSpec) -> None:
        """Apply a new fleet file: restart if the entry has changed, else have the router reload its files."""
        changed, self.spec = spec != self.spec, spec
        if self.is_removed:
            return self._return_to_fleet()
        if not changed:
            for process in self._serving_processes:
                process.reload_pending = True
        elif self._process is not None:
            self.stop(StopReason.FLEET_FILE, restart=True)
        return None

    def _return_to_fleet(self) -> None:
        """Run again, unless an operator wants it stopped."""
        self.is_removed = False
        if not self.wanted:
            return
        if self.state is State.STOPPING:
            self._restart_after_stop = True
        else:
            self.wait_for_start()

    def kill(self) -> None:
        """Kill all its processes."""
        for process in self._processes:
            self._kill(process)

    def _kill(self, process: RouterProcess) -> None:
        self._loop.log(
            "instance killed", f"{self.spec.name} pid {process.pid}: not finished within the grace period"
        )
        process.kill()

    def reap(self) -> None:
        """Wait for its processes to exit and close its sockets; a successor is killed."""
        if self._successor is not None:
            self._successor.process.kill()
        for process in self._processes:
            process.reap()
        self._process, self._successor, self._stopping, self._replaced = None, None, [], []
        self._launcher.close_listener()

    def poll(self) -> None:
        """Check its processes, restart or probe them when due, and complete an upgrade."""
        now = self._loop.now
        self._replaced = self._still_running(self._replaced)
        self._stopping = self._still_running(self._stopping)
        if self.state is State.STOPPING and not self._stopping:
            return self._enter_stopped()
        if self._successor is not None:
            self._check_successor(self._successor)
        if self._process is not None and (code := self._process.exit_code) is not None:
            self._process_exited(self._process, code)
        elif self.state is State.WAITING and now >= self._restart_at:
            self.start()
        elif self.state in PROBED_STATES and now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_S + PROBE_TIMEOUT_S
            self._probe()
        if self.state is State.READY and now - self._state_since > BACKOFF_RESET_S:
            self._backoff = INITIAL_BACKOFF_S
        return None

    def _still_running(self, ending: list[RouterProcess]) -> list[RouterProcess]:
        """Those of the processes told to end that have not exited; kills those that are overdue."""
        running = [process for process in ending if process.exit_code is None]
        for process in running:
            if process.is_overdue(self._loop.now):
                self._kill(process)
        for process in ending:
            if process not in running:
                process.link.close()
        return running

    def _process_exited(self, process: RouterProcess, code: int) -> None:
        """It was not told to: a successor takes over at once, else a new one is started after the backoff."""
        process.link.close()
        if (successor := self._successor) is not None:
            self._process = successor.process
            self._end_upgrade(successor, "")
            return self._set_state(State.STARTING)
        self._process = None
        self._loop.log(
            "instance exited", f"{self.spec.name} with status {code}; restart in {self._backoff:.1f} s"
        )
        self.restarts += 1
        return self._schedule_restart()

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
            if self._process is not None:
                self._process.link.request_status()
                self._process.reload_if_pending()
        elif self.state in (State.READY, State.DRAINED) and self._failed_probes >= MAX_FAILED_PROBES:
            self._loop.log("instance unresponsive", self.spec.name)
            self._set_state(State.UNRESPONSIVE)

    def report(self) -> dict[str, Any]:
        """The status of the instance, as answered to clients of the agent."""
        return {
            "name": self.spec.name,
            "state": self.state.value,
            "pid": self._main_process.pid if self._main_process is not None else None,
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

    process: RouterProcess
    deadline: float  # the loop's time in seconds at which the upgrade fails
    done: Callable[[str], None]
