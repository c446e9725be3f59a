"""The agent itself: starts the instances, answers JSON-RPC requests, and publishes the records."""

from __future__ import annotations

import socket
import tempfile
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..agent_link import parse_pin
from ..dnssd import ServiceInstance, master_file
from ..front import ClientConnections
from ..jsonrpc import Code, Id, Peer, PeerHandler, RpcError
from ..loop import Loop
from ..operations.instance import FrontMode
from ..operations.orders import ActiveOrder, Order, OrderRefused, Orders
from ..recovery.start_order import next_to_start
from ..service import Acceptor, listen
from .fleet_file import FleetFile, Spec
from .instance import Instance, State

if TYPE_CHECKING:
    from ..recovery.desired_state_store import DesiredStateStore

POLL_EVERY = 0.1  # s between looks at the processes
MAX_PEERS = 64  # connections of those who ask
PEER_IDLE = 60.0  # s for which a connection is kept on which nothing is asked
SHOWN = {"levels/show": "levels", "recovery/show": "recovery"}  # each instance's report of that
ORDERS = {f"agent/{order.value}": order for order in Order}


class AgentPeers(ClientConnections[Peer]):
    """The connections of those who ask."""

    def __init__(self, loop: Loop, handler: PeerHandler) -> None:
        super().__init__(loop, PEER_IDLE)
        self._handler = handler

    def accepted(self, sock: socket.socket) -> None:
        self.connections.add(Peer.accepted(self.loop, sock, self._handler))

    def room(self) -> bool:
        return len(self.connections) < MAX_PEERS


class Agent:
    """A `Front` of its process: it drains by draining its instances."""

    def __init__(
        self, loop: Loop, fleet: FleetFile, stop: Callable[[], None], read_again: Callable[[], FleetFile]
    ) -> None:
        self.loop, self.fleet, self.grace, self.accept_after_term = loop, fleet, fleet.grace, 0.0
        self._read_again = read_again
        self._stop = stop
        self._peers = peers = AgentPeers(loop, self)
        self._folder = tempfile.TemporaryDirectory(prefix="yewhook-agent-")
        self._book = self._open(fleet.state) if fleet.state is not None else None
        self.instances = {spec.name: self._instance(spec) for spec in fleet.instances}
        listener = listen(fleet.listen)
        self.port: int = listener.getsockname()[1]
        self._acceptor = Acceptor(loop, listener, peers.room, peers.free_connections, peers.accepted)
        for instance in self.instances.values():
            self._bring_up(instance)
        self._look()

    def _instance(self, spec: Spec) -> Instance:
        return Instance(self.loop, spec, self._publish, Path(self._folder.name), self._write_down)

    def _bring_up(self, instance: Instance) -> None:
        """As operators want it, by what was written down before this agent's start."""
        if self._book is None:
            return instance.wait_for_start()
        wish = self._book.state.instance(instance.spec.name)
        if wish.drain is not None:
            since = self.loop.now - max(0.0, time.time() - wish.drain.since)
            instance.orders = Orders(drain=ActiveOrder(Order.DRAIN, wish.drain.by, since))
        instance.wanted = wish.runs
        return instance.wait_for_start() if wish.runs else None

    def _start_some(self) -> None:
        states = [(name, instance.state) for name, instance in self.instances.items()]
        waiting = [name for name, state in states if state is State.DUE]
        starting = sum(state is State.STARTING for _, state in states)
        for name in next_to_start(waiting, starting, self.fleet.at_a_time or len(states)):
            self.instances[name].start()

    def _open(self, folder: Path) -> DesiredStateStore:
        """What operators ordered before this agent's start. Raises OSError."""
        from ..recovery.desired_state_store import DesiredStateStore  # only where it is written down
        from ..recovery.files import Folder

        return DesiredStateStore(Folder(folder), self.loop.log)

    def _write_down(self, instance: Instance, orders: Orders, runs: bool) -> None:
        """What is wanted of it from now on, before anything is done. Raises OrderRefused."""
        if self._book is None:
            return
        from ..recovery.desired_state import DesiredInstance, Drained

        given, unix = orders.drain, time.time() - self.loop.now
        drain = Drained(given.by, given.at + unix) if given is not None else None
        try:
            self._book.write(instance.spec.name, DesiredInstance(runs, drain))
        except OSError as error:
            raise OrderRefused(f"{instance.spec.name}: the order can't be written down: {error}") from error

    def _look(self) -> None:
        self._start_some()
        for instance in self.instances.values():
            instance.look()
        known = {spec.name for spec in self.fleet.instances}
        self.instances = {n: one for n, one in self.instances.items() if one.running or n in known}
        self.loop.after(POLL_EVERY, self._look)

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
            "agent/restart": lambda instance: instance.stop(restart=True),
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
            except OrderRefused as error:
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
        except OrderRefused as error:
            raise RpcError(Code.INVALID_REQUEST, str(error)) from None
        return None

    def _tell_levels(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Tell one router or all; the answer names those that were told and those that could not be."""
        name = params.get("name")
        wanted = [one for one in self.instances.values() if name is None or one.spec.name == name]
        if not wanted:
            raise RpcError(Code.INVALID_PARAMS, f"no instance named {name!r}")
        if method == "levels/pin":
            parse_pin(params)  # a mistake is told once, by the agent
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
    def has_workers(self) -> bool:
        return True

    def set_mode(self, mode: FrontMode) -> None:
        """The agent answers until its last instance has stopped."""
        if not mode.keep_alive:
            for instance in self.instances.values():
                instance.stop()

    def move_streams(self, part: float) -> None:
        """Its instances see to their own streams."""

    def end_all(self) -> None:
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
