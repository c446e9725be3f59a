"""The agent: runs the router instances of one fleet file, and answers about them on loopback."""

from __future__ import annotations

import ipaddress
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .channel import Channel
from .config import Address, ConfigError, Table, address, toml
from .config import read as read_config
from .control import pin_of
from .dnssd import ServiceInstance, master_file
from .front import ClientConnections
from .jsonrpc import Code, Handler, Id, Peer, RpcError, encode
from .loop import Loop
from .operations.instance import Posture
from .operations.orders import Given, Order, Orders, Refused
from .operators import read as read_settings
from .recovery.starts import due
from .service import Acceptor, listen
from .toolcalls.config import read as read_toolcalls

if TYPE_CHECKING:
    from .recovery.book import Book

POLL = 0.1  # s between looks at the processes
PEERS_MOST, PEER_IDLE = 64, 60.0  # connections of those who ask; s for which one is kept that asks nothing
PROBE_EVERY, PROBE_PATIENCE, PROBES_LOST = 0.5, 1.0, 3  # s, s, lost in a row until an instance is not ready
BACKOFF, BACKOFF_MOST = 0.2, 10.0  # s until a restart, doubling
STEADY = 10.0  # s of good service after which the next restart is quick again
ASK_PATIENCE = 1.0  # s that a router may take to answer on its line to the agent
YES_WITHIN, OLD_ENDS_WITHIN = 10.0, 3.7  # s for a successor to serve; s for the old process to end after that
SHOWN = {"levels/show": "levels", "recovery/show": "recovery"}  # each instance's report of that
ORDERS = {f"agent/{order.value}": order for order in Order}
KEYS = {
    "agent": {"listen", "records", "domain", "service", "grace_s", "state", "at_a_time"},
    "instance": {"name", "config", "toolcalls", "settings"},
}


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


@dataclass(frozen=True, slots=True)
class Spec:
    """One instance of the fleet file."""

    name: str
    config: Path | None  # the platform's front, if it has one
    toolcalls: Path | None
    settings: Path | None  # the operators' file, if it goes by one
    fronts: Mapping[str, Address]

    @property
    def upgradable(self) -> bool:
        """Whether the agent holds all that it listens on."""
        return set(self.fronts) == {"platform"}

    def command(self, control: int, drained: bool) -> list[str]:
        """What starts it; `control` is the descriptor of its line to the agent."""
        command = [sys.executable, "-m", "yewhook", "serve", "--control-fd", str(control)]
        if drained:
            command.append("--drained")
        if self.settings is not None:
            command += ["--service", str(self.settings)]
        if self.config is None:
            command.append("--no-platform")
        if self.toolcalls is not None:
            command += ["--toolcalls", str(self.toolcalls)]
        return command

    def environ(self) -> dict[str, str]:
        # The agent's own PROXY_ variables are not for its instances.
        base = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        config = {"PROXY_CONFIG": str(self.config)} if self.config is not None else {}
        return base | {"PROXY_NAME": self.name} | config


@dataclass(frozen=True, slots=True)
class FleetFile:
    listen: Address
    records: Path
    domain: str
    service: str
    grace: float  # s that instances have to finish what they took
    instances: tuple[Spec, ...]
    state: Path | None = None  # a folder on a lasting disk, for what operators ordered
    at_a_time: int | None = None  # processes that start at once; None = as many as there are


def read(path: Path) -> FleetFile:
    raw = toml(path)
    agent = Table.of(path, raw.get("agent"), KEYS["agent"], " in [agent]")
    place = address(agent.text("listen"), f"{path}: listen")
    if not ipaddress.ip_address(place[0]).is_loopback:
        raise ConfigError(f"{path}: the agent listens on loopback only, not on {place[0]}")
    tables = raw.get("instance") or []
    specs = tuple(_spec(Table.of(path, table, KEYS["instance"], " in [[instance]]")) for table in tables)
    names = [spec.name for spec in specs]
    if not specs or len(set(names)) < len(names):
        raise ConfigError(f"{path}: expected [[instance]] tables, each with a name of its own")
    domain, service = agent.text("domain"), agent.text("service")
    state = agent.file("state") if "state" in agent.raw else None
    at_a_time = agent.positive("at_a_time", 1) if "at_a_time" in agent.raw else None
    if at_a_time is not None and at_a_time != int(at_a_time):
        raise ConfigError(f"{path}: at_a_time: got {at_a_time:g}, expected a whole number of processes")
    return FleetFile(
        place, agent.file("records"), domain, service, agent.positive("grace_s", 20.0), specs, state,
        int(at_a_time) if at_a_time is not None else None,
    )  # fmt: skip


def _spec(table: Table) -> Spec:
    name = table.text("name")
    config = table.file("config") if "config" in table.raw else None
    toolcalls = table.file("toolcalls") if "toolcalls" in table.raw else None
    settings = table.file("settings") if "settings" in table.raw else None
    if settings is not None:
        read_settings(settings)
    fronts = {}
    if config is not None:
        fronts["platform"] = read_config({"PROXY_CONFIG": str(config)}).listen
    if toolcalls is not None:
        fronts["toolcalls"] = read_toolcalls(toolcalls).listen
    if not fronts:
        raise ConfigError(f"{table.path}: instance {name!r} has neither a config nor a toolcalls file")
    return Spec(name, config, toolcalls, settings, fronts)


class Probe:
    """Asks one front whether it serves; each front's own way of asking."""

    QUESTIONS: Mapping[str, bytes] = {
        "platform": b"GET /healthz HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n",
        "toolcalls": encode({"id": 1, "method": "ping", "params": {}}),
    }
    ANSWERS: Mapping[str, bytes] = {"platform": b"HTTP/1.1 200", "toolcalls": b'"result"'}

    DRAINED: Mapping[str, bytes] = {"platform": b"HTTP/1.1 503", "toolcalls": b'"result"'}

    def __init__(
        self, loop: Loop, front: str, place: Address, drained: bool, answered: Callable[[bool], None]
    ) -> None:
        self._front, self._answered, self._heard = front, answered, b""
        self._wanted = (self.DRAINED if drained else self.ANSWERS)[front]
        self._over = False
        try:
            self._channel = Channel.connect(loop, place, self)
        except OSError:
            return self._end(False)
        self._channel.send(self.QUESTIONS[front])
        loop.after(PROBE_PATIENCE, lambda: self._end(False))

    def connected(self) -> None:
        """The question is on its way."""

    def drained(self) -> None:
        """The question is written."""

    def received(self, data: bytes) -> None:
        self._heard += data
        if self._wanted in self._heard:
            self._end(True)

    def lost(self, error: OSError | None) -> None:
        self._end(False)

    def _end(self, well: bool) -> None:
        if not self._over:
            self._over = True
            if hasattr(self, "_channel"):
                self._channel.abort()
            self._answered(well)


class Line:
    """The agent's line to one router: asks how it stands, and tells it what operators want."""

    def __init__(self, loop: Loop) -> None:
        ours, self._theirs = socket.socketpair()
        self._peer = Peer.accepted(loop, ours, self)
        self.status: dict[str, Any] = {}  # as last heard
        self._asking = self.closed = False

    @property
    def descriptor(self) -> int:
        """Of the router's end, for its process to inherit."""
        return self._theirs.fileno()

    def inherited(self) -> None:
        self._theirs.close()

    def look(self) -> None:
        """Ask how it stands, unless the last question still waits."""
        if not self._asking and not self.closed:
            self._asking = True
            self._peer.ask("router/status", {}, self._heard, ASK_PATIENCE)

    def _heard(self, result: Any, error: RpcError | None) -> None:
        self._asking = False
        if error is None and isinstance(result, dict):
            self.status = result

    def tell(self, method: str, params: dict[str, Any], told: Callable[[bool], None]) -> None:
        if self.closed:
            return told(False)

        def heard(result: Any, error: RpcError | None) -> None:
            self._heard(result, error)
            told(error is None)

        self._peer.ask(method, params, heard, ASK_PATIENCE)
        return None

    def close(self) -> None:
        """Hang up; whoever waits for an answer is told that there is none."""
        self._peer.hang_up()

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        raise RpcError(Code.METHOD_NOT_FOUND, "a router asks nothing of its agent")

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Routers announce nothing."""

    def gone(self, peer: Peer) -> None:
        self.closed = True

    def slow(self, peer: Peer, slow: bool) -> None:
        """Questions are short."""


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
        """`folder` = where its processes meet; `write_down` its orders, and raise Refused where it can't."""
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
        self.line: Line | None = None

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

    def _spawn(self) -> tuple[subprocess.Popen[bytes], Line]:
        """A further process of it, and the line to that. Raises OSError."""
        line, environ = Line(self._loop), self.spec.environ()
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
            line.inherited()
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
        """Carry out an operator's order; `done` hears of its end, with why it failed. Raises Refused."""
        if order is Order.UPGRADE and not self.spec.upgradable:
            raise Refused(f"{self.spec.name} has a tool-calls front, which can't be handed on: restart it")
        if order is Order.UPGRADE and self.state not in (State.READY, State.DRAINED):
            raise Refused(f"{self.spec.name} is {self.state.value}: only one that serves can be replaced")
        orders = self.orders.take(order, by, self._loop.now)
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
            self.orders = self.orders.over()
            return done(str(error))
        self._loop.log("upgrade begun", f"{self.spec.name} pid {process.pid} beside {self.report()['pid']}")
        self._next = Successor(process, line, self._loop.now + YES_WITHIN, done)
        return None

    def _look_next(self, successor: Successor) -> None:
        code, status = successor.process.poll(), successor.line.status
        if code is None and status.get("serves") and self._process is not None:
            self._process.terminate()
            self._leaving.append((self._process, self._loop.now + OLD_ENDS_WITHIN))
            self._hang_up()
            self._process, self.line = successor.process, successor.line
            return self._upgraded(successor, "")
        if code is not None:
            return self._upgraded(successor, f"the new process ended with {code}; the old one serves on")
        if self._loop.now >= successor.until:
            successor.process.kill()
            successor.process.wait()
            return self._upgraded(successor, f"no yes within {YES_WITHIN:.0f} s; the old one serves on")
        return successor.line.look()

    def _upgraded(self, successor: Successor, why_not: str) -> None:
        self._next, self.orders = None, self.orders.over()
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
        self._backoff = min(2 * self._backoff, BACKOFF_MOST)
        self._to(State.WAITING)

    def stop(self, again: bool = False) -> None:
        """Tell it to finish what it has taken; start it anew after that if so wanted."""
        self._again = again
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
            self.stop(again=True)
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
            self._probe_at = now + PROBE_EVERY + PROBE_PATIENCE
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
        elif self.state in (State.READY, State.DRAINED) and self._lost >= PROBES_LOST:
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
    line: Line
    until: float  # it is given up then
    done: Callable[[str], None]


class AgentPeers(ClientConnections[Peer]):
    """The connections of those who ask."""

    def __init__(self, loop: Loop, handler: Handler) -> None:
        super().__init__(loop, PEER_IDLE)
        self._handler = handler

    def accepted(self, sock: socket.socket) -> None:
        self.connections.add(Peer.accepted(self.loop, sock, self._handler))

    def room(self) -> bool:
        return len(self.connections) < PEERS_MOST


class Agent:
    """A `Front` of its process: it drains by draining its instances."""

    def __init__(
        self, loop: Loop, fleet: FleetFile, stop: Callable[[], None], read_again: Callable[[], FleetFile]
    ) -> None:
        self.loop, self.fleet, self.grace, self.lasts = loop, fleet, fleet.grace, 0.0
        self._read_again = read_again
        self._stop = stop
        self._peers = peers = AgentPeers(loop, self)
        self._folder = tempfile.TemporaryDirectory(prefix="yewhook-agent-")
        self._book = self._open(fleet.state) if fleet.state is not None else None
        self.instances = {spec.name: self._instance(spec) for spec in fleet.instances}
        listener = listen(fleet.listen)
        self.port: int = listener.getsockname()[1]
        self._acceptor = Acceptor(loop, listener, peers.room, peers.make_room, peers.accepted)
        for instance in self.instances.values():
            self._bring_up(instance)
        self._look()

    def _instance(self, spec: Spec) -> Instance:
        return Instance(self.loop, spec, self._publish, Path(self._folder.name), self._write_down)

    def _bring_up(self, instance: Instance) -> None:
        """As operators want it, by what was written down before this agent's start."""
        if self._book is None:
            return instance.wait_for_start()
        wish = self._book.wanted.of(instance.spec.name)
        if wish.drain is not None:
            since = self.loop.now - max(0.0, time.time() - wish.drain.since)
            instance.orders = Orders(drain=Given(Order.DRAIN, wish.drain.by, since))
        instance.wanted = wish.runs
        return instance.wait_for_start() if wish.runs else None

    def _start_some(self) -> None:
        states = [(name, instance.state) for name, instance in self.instances.items()]
        waiting = [name for name, state in states if state is State.DUE]
        starting = sum(state is State.STARTING for _, state in states)
        for name in due(waiting, starting, self.fleet.at_a_time or len(states)):
            self.instances[name].start()

    def _open(self, folder: Path) -> Book:
        """What operators ordered before this agent's start. Raises OSError."""
        from .recovery.book import Book  # only where it is written down
        from .recovery.files import Folder

        return Book(Folder(folder), self.loop.log)

    def _write_down(self, instance: Instance, orders: Orders, runs: bool) -> None:
        """What is wanted of it from now on, before anything is done. Raises Refused."""
        if self._book is None:
            return
        from .recovery.wanted import Drained, Wish

        given, unix = orders.drain, time.time() - self.loop.now
        drain = Drained(given.by, given.at + unix) if given is not None else None
        try:
            self._book.write(instance.spec.name, Wish(runs, drain))
        except OSError as error:
            raise Refused(f"{instance.spec.name}: the order can't be written down: {error}") from error

    def _look(self) -> None:
        self._start_some()
        for instance in self.instances.values():
            instance.look()
        known = {spec.name for spec in self.fleet.instances}
        self.instances = {n: one for n, one in self.instances.items() if one.running or n in known}
        self.loop.after(POLL, self._look)

    def _publish(self) -> None:
        """Write the records of the instances that are ready; readers see the old file or the new one."""
        ready = (n.spec for n in self.instances.values() if n.state is State.READY)
        text = master_file(self.fleet.domain, self.fleet.service, _services(ready))
        path = self.fleet.records
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.with_name(path.name + ".new").write_text(text)
            path.with_name(path.name + ".new").replace(path)
        except OSError as error:
            self.loop.log("records not written", str(error))

    # ---- what is asked ----

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        if method == "agent/status":
            instances = [instance.report() for instance in self.instances.values()]
            return peer.result(request_id, {"instances": instances})
        if method in SHOWN:
            keys = ("name", "state", SHOWN[method])
            reports = [instance.report() for instance in self.instances.values()]
            shown = [{key: report[key] for key in keys} for report in reports]
            return peer.result(request_id, {"instances": shown})
        if method in ("levels/pin", "levels/unpin"):
            return self._tell_levels(peer, request_id, method, params)
        if method == "agent/shutdown":
            self._stop()
            return peer.result(request_id, {})
        actions: dict[str, Callable[[Instance], None]] = {
            "agent/start": Instance.start,
            "agent/stop": Instance.stop,
            "agent/restart": lambda instance: instance.stop(again=True),
        }
        if method not in actions and method not in ORDERS:
            raise RpcError(Code.METHOD_NOT_FOUND, f"unknown method {method!r}")
        instance = self.instances.get(str(params.get("name")))
        if instance is None:
            raise RpcError(Code.INVALID_PARAMS, f"no instance named {params.get('name')!r}")
        if method in actions:
            if (upgrade := instance.orders.upgrade) is not None:
                raise RpcError(Code.INVALID_REQUEST, f"an upgrade by {upgrade.by} is under way")
            runs = method != "agent/stop"
            try:
                self._write_down(instance, instance.orders, runs)
            except Refused as error:
                raise RpcError(Code.INTERNAL_ERROR, str(error)) from None
            instance.wanted = runs
            actions[method](instance)
            return peer.result(request_id, instance.report())

        def done(why_not: str) -> None:
            if why_not:
                peer.error(request_id, RpcError(Code.INTERNAL_ERROR, f"{instance.spec.name}: {why_not}"))
            else:
                peer.result(request_id, instance.report())

        try:
            instance.order(ORDERS[method], str(params.get("by") or "nobody named"), done)
        except Refused as error:
            raise RpcError(Code.INVALID_REQUEST, str(error)) from None
        return None

    def _tell_levels(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Tell one router or all; the answer names those that were told and those that could not be."""
        name = params.get("name")
        wanted = [one for one in self.instances.values() if name is None or one.spec.name == name]
        if not wanted:
            raise RpcError(Code.INVALID_PARAMS, f"no instance named {name!r}")
        if method == "levels/pin":
            pin_of(params)  # a mistake is told once, by the agent
        told: dict[str, bool] = {}

        def heard(name: str, well: bool) -> None:
            told[name] = well
            if len(told) == len(wanted):
                done = {
                    "told": sorted(n for n in told if told[n]),
                    "not_told": sorted(n for n in told if not told[n]),
                }
                peer.result(request_id, done)

        for one in wanted:
            hear = partial(heard, one.spec.name)
            if one.line is None:
                hear(False)
            else:
                one.line.tell(method, params, hear)

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Nothing is announced to the agent."""

    def gone(self, peer: Peer) -> None:
        self._peers.connections.discard(peer)

    def slow(self, peer: Peer, slow: bool) -> None:
        """Reports are short."""

    # ---- a new fleet file ----

    def reload(self) -> Callable[[], str]:
        fleet = self._read_again()

        def put_in_force() -> str:
            """All but where the agent listens."""
            self.fleet, self.grace = fleet, fleet.grace
            wanted = {spec.name: spec for spec in fleet.instances}
            for name in self.instances.keys() - wanted.keys():
                self.instances[name].stop()
            for name, spec in wanted.items():
                if name in self.instances:
                    self.instances[name].reload(spec)
                else:
                    self.instances[name] = self._instance(spec)
                    self._bring_up(self.instances[name])
            self._publish()
            return f"{len(wanted)} instances"

        return put_in_force

    # ---- the end ----

    @property
    def busy(self) -> bool:
        return any(instance.running for instance in self.instances.values())

    @property
    def able(self) -> bool:
        return True

    def take(self, posture: Posture) -> None:
        """The agent answers until its last instance has stopped."""
        if not posture.keeping:
            for instance in self.instances.values():
                instance.stop()

    def thin_out(self, part: float) -> None:
        """Its instances see to their own streams."""

    def break_off(self) -> None:
        for instance in self.instances.values():
            instance.kill()

    def close(self) -> None:
        self._acceptor.stop()
        for peer in list(self._peers.connections):
            peer.close()
        for instance in self.instances.values():
            instance.reap()
        self._publish()
        self._folder.cleanup()


def _services(specs: Iterable[Spec]) -> Iterable[ServiceInstance]:
    for spec in specs:
        for front, place in spec.fronts.items():
            yield ServiceInstance(f"{spec.name}-{front}", place, texts={"name": spec.name, "front": front})


def ask(place: Address, method: str, params: dict[str, Any], timeout: float = 5.0) -> Any:
    """One question to a running agent, for the command line. Raises OSError or RpcError."""
    with socket.create_connection(place, timeout) as sock, sock.makefile("rb") as lines:
        sock.sendall(encode({"id": 1, "method": method, "params": params}))
        line = lines.readline()
    try:
        answer = json.loads(line)
    except ValueError:
        raise OSError("the agent hung up without an answer") from None
    if "error" in answer:
        raise RpcError(answer["error"]["code"], answer["error"]["message"])
    return answer["result"]
