"""One supervised router instance: its process, its state, and the orders it is under."""

from __future__ import annotations

import signal
import socket
import subprocess
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Any

from ..loop import Loop
from ..operations.orders import Order, OrderRefused, Orders
from ..service import listen
from .fleet_file import Spec
from .probe import PROBE_TIMEOUT, Probe
from .router_link import RouterLink

PROBE_EVERY = 0.5  # s
PROBES_FAILED = 3  # in a row, until an instance is not ready
BACKOFF, MAX_BACKOFF = 0.2, 10.0  # s until a restart, doubling
STEADY = 10.0  # s of good service after which the next restart is quick again
SUCCESSOR_TIMEOUT = 10.0  # s for a successor to serve
OLD_PROCESS_TIMEOUT = 3.7  # s for the old process to end after that


class State(Enum):
    DUE = "due"  # it is wanted, and others start before it
    STARTING = "starting"  # its process runs and has not answered yet
    READY = "ready"
    UNRESPONSIVE = "unresponsive"  # its process runs and answers no more
    WAITING = "waiting"  # its process has ended; the next one is due after a while
    DRAINED = "drained"  # an operator's order; it finishes what it has, and stays warm
    STOPPING = "stopping"  # told to finish what it has taken
    STOPPED = "stopped"


PROBED = frozenset({State.STARTING, State.READY, State.DRAINED, State.UNRESPONSIVE})


class Instance:
    """One router's process and what is known of it."""

    def __init__(
        self,
        loop: Loop,
        spec: Spec,
        changed: Callable[[], None],
        folder: Path,
        write_down: Callable[[Instance, Orders, bool], None],
    ) -> None:
        """`folder` = where its processes meet; `write_down` its orders, and raise OrderRefused where it
        can't."""
        self.spec, self.state, self._folder = spec, State.STOPPED, folder
        self._write_down, self.wanted = write_down, True
        self.orders = Orders()
        self._next: Successor | None = None
        self._leaving: list[tuple[subprocess.Popen[bytes], float]] = []  # with when each is killed
        self._held: socket.socket | None = None  # the clients' listening socket
        self.restarts = 0
        self._loop, self._changed = loop, changed
        self._process: subprocess.Popen[bytes] | None = None
        self._since = loop.now
        self._backoff = BACKOFF
        self._due = 0.0
        self._again = False  # start anew once it has stopped
        self._tell = False  # to read its files anew, once it can be told
        self._probing: dict[str, bool] = {}
        self._probe_at, self._lost = 0.0, 0
        self.line: RouterLink | None = None

    @property
    def running(self) -> bool:
        return self._process is not None or bool(self._leaving)

    def _to(self, state: State) -> None:
        if state is not self.state:
            self.state, self._since = state, self._loop.now
            self._changed()

    def wait_for_start(self) -> None:
        """Its turn comes once others have started."""
        self._to(State.DUE)

    def start(self) -> None:
        if self._process is not None:
            self._again = self.state is State.STOPPING
            return
        try:
            self._process, self.line = self._spawn()
        except OSError as error:
            self._loop.log("instance not started", f"{self.spec.name}: {error}")
            return self._wait()
        self._lost, self._probing, self._probe_at = 0, {}, self._loop.now
        self._loop.log("instance started", f"{self.spec.name} pid {self._process.pid}")
        return self._to(State.STARTING)

    def _spawn(self) -> tuple[subprocess.Popen[bytes], RouterLink]:
        """A further process of it, and the line to that. Raises OSError."""
        line, environ = RouterLink(self._loop), self.spec.environ()
        inherits = [line.descriptor]
        try:
            if self.spec.upgradable:
                held = self._hold()
                inherits.append(held.fileno())
                environ |= {"PROXY_ACCEPT_FD": str(held.fileno()), "TMPDIR": str(self._folder)}
            process = subprocess.Popen(
                self.spec.command(line.descriptor, self.orders.drain is not None),
                env=environ,
                stdin=subprocess.DEVNULL,
                cwd=Path.cwd(),
                pass_fds=inherits,
            )
        except OSError:
            line.close()
            raise
        finally:
            line.close_router_end()
        return process, line

    def _hold(self) -> socket.socket:
        """The socket on which clients come, for all its processes one after the other."""
        if self._held is None or self._held.getsockname() != self.spec.fronts["platform"]:
            self._let_go()
            self._held = listen(self.spec.fronts["platform"])
        return self._held

    def _let_go(self) -> None:
        if self._held is not None:
            self._held.close()
            self._held = None

    # ---- orders ----

    def order(self, order: Order, by: str, done: Callable[[str], None]) -> None:
        """Carry out an operator's order; `done` hears of its end, with why it failed. Raises OrderRefused."""
        if order is Order.UPGRADE and not self.spec.upgradable:
            raise OrderRefused(
                f"{self.spec.name} has a tool-calls front, which can't be handed on: restart it"
            )
        if order is Order.UPGRADE and self.state not in (State.READY, State.DRAINED):
            raise OrderRefused(
                f"{self.spec.name} is {self.state.value}: only one that serves can be replaced"
            )
        orders = self.orders.with_order(order, by, self._loop.now)
        if order is not Order.UPGRADE:  # one that a power loss breaks off is over
            self._write_down(self, orders, self.wanted)
        self.orders = orders
        if order is Order.UPGRADE:
            return self._upgrade(done)
        self._loop.log("order", f"{self.spec.name}: {order.value} by {by}")
        if order is Order.DRAIN and self.state in (State.READY, State.UNRESPONSIVE):
            self._to(State.DRAINED)
        elif order is Order.RESUME and self.state is State.DRAINED:
            self._to(State.STARTING)  # until it answers
        self._probe_at = self._loop.now
        if self.line is None:  # it is told when it starts
            return done("")
        heard = partial(self._heard, done)
        return self.line.tell(f"router/{order.value}", {}, heard)

    @staticmethod
    def _heard(done: Callable[[str], None], well: bool) -> None:
        done("" if well else "it did not answer")

    def _upgrade(self, done: Callable[[str], None]) -> None:
        try:
            process, line = self._spawn()
        except OSError as error:
            self.orders = self.orders.without_upgrade()
            return done(str(error))
        self._loop.log("upgrade begun", f"{self.spec.name} pid {process.pid} beside {self.report()['pid']}")
        self._next = Successor(process, line, self._loop.now + SUCCESSOR_TIMEOUT, done)
        return None

    def _look_next(self, successor: Successor) -> None:
        code, status = successor.process.poll(), successor.line.status
        if code is None and status.get("serves") and self._process is not None:
            self._process.terminate()
            self._leaving.append((self._process, self._loop.now + OLD_PROCESS_TIMEOUT))
            self._hang_up()
            self._process, self.line = successor.process, successor.line
            return self._upgraded(successor, "")
        if code is not None:
            return self._upgraded(successor, f"the new process ended with {code}; the old one serves on")
        if self._loop.now >= successor.until:
            successor.process.kill()
            successor.process.wait()
            return self._upgraded(
                successor, f"no yes within {SUCCESSOR_TIMEOUT:.0f} s; the old one serves on"
            )
        return successor.line.look()

    def _upgraded(self, successor: Successor, why_not: str) -> None:
        self._next, self.orders = None, self.orders.without_upgrade()
        if why_not:
            successor.line.close()
            self._loop.log("upgrade failed", f"{self.spec.name}: {why_not}")
        else:
            self._loop.log("upgraded", f"{self.spec.name} pid {successor.process.pid}")
        self._probe_at = self._loop.now
        successor.done(why_not)

    def _hang_up(self) -> None:
        if self.line is not None:
            self.line.close()
            self.line = None

    def _wait(self) -> None:
        self._due = self._loop.now + self._backoff
        self._backoff = min(2 * self._backoff, MAX_BACKOFF)
        self._to(State.WAITING)

    def stop(self, restart: bool = False) -> None:
        """Tell it to finish what it has taken; start it anew after that if so wanted."""
        self._again = restart
        if self._process is None:
            return self._stopped()
        if self.state is not State.STOPPING:
            self._process.terminate()
            self._to(State.STOPPING)
        return None

    def _stopped(self) -> None:
        self._to(State.STOPPED)
        if self._again:
            return self.start()
        # Held on, the socket would let clients connect and wait, and nobody comes to serve them.
        return self._let_go()

    def reload(self, spec: Spec) -> None:
        """Go on as a new fleet file says: what it runs may have changed, or the files that this names."""
        changed, self.spec = spec != self.spec, spec
        if changed and self.running and self.state is not State.STOPPING:
            self.stop(restart=True)
        self._tell = self.running and not changed

    def kill(self) -> None:
        if self._process is not None:
            self._loop.log("instance killed", f"{self.spec.name}: not finished within the grace")
            self._process.kill()

    def reap(self) -> None:
        last = [self._next.process] if self._next is not None else []
        for process in last:
            process.kill()
        for process in [*last, *(old for old, _ in self._leaving)]:
            process.wait()
        if self._process is not None:
            self._process.wait()
            self._process = None
        self._hang_up()
        self._let_go()

    def look(self) -> None:
        """See whether its process has ended or is to be started, and whether it answers."""
        now = self._loop.now
        for process, until in self._leaving:
            if process.poll() is None and now >= until:
                process.kill()
        self._leaving = [(process, until) for process, until in self._leaving if process.poll() is None]
        if self._next is not None:
            self._look_next(self._next)
        if self._process is not None and (code := self._process.poll()) is not None:
            self._process = None
            self._hang_up()
            if self._next is not None:  # it takes over at once, and is as good as a restart
                self._process, self.line = self._next.process, self._next.line
                self._upgraded(self._next, "")
                return self._to(State.STARTING)
            if self.state is State.STOPPING:
                return self._stopped()
            self._loop.log("instance exited", f"{self.spec.name} with {code}; again in {self._backoff:.1f} s")
            self.restarts += 1
            self._wait()
        elif self.state is State.WAITING and now >= self._due:
            self.start()
        elif self.state in PROBED and now >= self._probe_at:
            self._probe_at = now + PROBE_EVERY + PROBE_TIMEOUT
            self._probe()
        if self.state is State.READY and now - self._since > STEADY:
            self._backoff = BACKOFF
        return None

    def _probe(self) -> None:
        results = self._probing = {}
        process = self._process

        def answered(front: str, well: bool) -> None:
            results[front] = well
            current = self._probing is results and self._process is process
            if current and len(results) == len(self.spec.fronts) and self.state is not State.STOPPING:
                self._probed(all(results.values()))

        for front, place in self.spec.fronts.items():
            drained = self.orders.drain is not None
            Probe(self._loop, front, place, drained, lambda well, front=front: answered(front, well))  # type: ignore[misc]

    def _probed(self, well: bool) -> None:
        self._probe_at = self._loop.now + PROBE_EVERY
        self._lost = 0 if well else self._lost + 1
        if well:
            self._to(State.READY if self.orders.drain is None else State.DRAINED)
            if self.line is not None:
                self.line.look()
            if self._tell and self._process is not None:
                self._tell = False
                self._process.send_signal(signal.SIGHUP)
        elif self.state in (State.READY, State.DRAINED) and self._lost >= PROBES_FAILED:
            self._loop.log("instance unresponsive", self.spec.name)
            self._to(State.UNRESPONSIVE)

    def report(self) -> dict[str, Any]:
        return {
            "name": self.spec.name,
            "state": self.state.value,
            "pid": self._process.pid if self._process is not None else None,
            "restarts": self.restarts,
            "since_s": round(self._loop.now - self._since, 1),
            "listen": {front: f"{host}:{port}" for front, (host, port) in self.spec.fronts.items()},
            "orders": self._report_orders(),
            "levels": self.line.status.get("levels") if self.line is not None else None,
            "recovery": self.line.status.get("recovery") if self.line is not None else None,
        }

    def _report_orders(self) -> list[dict[str, Any]]:
        given = filter(None, (self.orders.drain, self.orders.upgrade))
        return [
            {"order": one.order.value, "by": one.by, "since_s": round(self._loop.now - one.at, 1)}
            for one in given
        ]


@dataclass(frozen=True, slots=True)
class Successor:
    """A process that is to take an instance over."""

    process: subprocess.Popen[bytes]
    line: RouterLink
    until: float  # it is given up then
    done: Callable[[str], None]
