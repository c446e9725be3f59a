"""The agent: starts the instances, answers JSON-RPC requests, and publishes DNS-SD records."""

from __future__ import annotations

import socket
import tempfile
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..acceptor import Acceptor, listen
from ..agent_link import parse_pin
from ..dnssd import ServiceInstance, master_file
from ..front import ClientConnections
from ..jsonrpc import Code, Id, Peer, PeerHandler, RpcError
from ..loop import Loop
from ..operations.instance import FrontMode
from ..operations.orders import ActiveOrder, Order, OrderRefused, Orders
from ..recovery.start_order import next_to_start
from .fleet_file import FleetFile, InstanceSpec
from .instance import MIN_KILL_TIMEOUT_S, Instance, State, StopReason
from .router_process import ProcessLauncher

if TYPE_CHECKING:
    from ..recovery.desired_state_store import DesiredStateStore

POLL_INTERVAL_S = 0.1  # between checks of the processes
MAX_PEERS = 64  # client connections
PEER_IDLE_TIMEOUT_S = 60.0
CONNECTION_MEMORY_BYTES = 8 << 20  # that the agent's connections may take; its messages are small
REPORT_KEYS = {"levels/show": "levels", "recovery/show": "recovery"}  # method -> key of the instance report
ORDERS = {f"agent/{order.value}": order for order in Order}


class AgentPeers(ClientConnections[Peer]):
    """The connections of the agent's clients."""

    def __init__(self, loop: Loop, handler: PeerHandler) -> None:
        super().__init__(loop, PEER_IDLE_TIMEOUT_S)
        self._handler = handler

    def accepted(self, sock: socket.socket) -> None:
        """Serve an accepted connection."""
        self.connections.add(Peer.accepted(self.loop, sock, self._handler))

    def room(self) -> bool:
        """Whether a further connection may be accepted."""
        return len(self.connections) < MAX_PEERS and not self.loop.memory.exceeded


class Agent:
    """Supervises the instances; as the `Front` of its process it drains by stopping them."""

    def __init__(
        self, loop: Loop, fleet: FleetFile, stop: Callable[[], None], read_fleet_file: Callable[[], FleetFile]
    ) -> None:
        """Start to listen and to start the instances. Raises OSError.

        `stop` ends this process; `read_fleet_file` reads the fleet file for a reload.
        """
        self.loop, self.fleet, self.accept_after_term = loop, fleet, 0.0
        self.grace = max(MIN_KILL_TIMEOUT_S, fleet.grace)
        self._read_fleet_file = read_fleet_file
        self._stop = stop
        self._is_ending = False  # told to shut down: no process is started any more
        loop.memory.limit = CONNECTION_MEMORY_BYTES
        self._peers = peers = AgentPeers(loop, self)
        self._folder = tempfile.TemporaryDirectory(prefix="yewhook-agent-")
        self._desired_state_store = self._open_desired_state(fleet.state) if fleet.state is not None else None
        self.instances = {spec.name: self._create_instance(spec) for spec in fleet.instances}
        listener = listen(fleet.listen)
        self.port: int = listener.getsockname()[1]
        self._acceptor = Acceptor(loop, listener, peers.room, peers.free_connections, peers.accepted)
        for instance in self.instances.values():
            self._restore_desired_state(instance)
        self._poll()

    def _create_instance(self, spec: InstanceSpec) -> Instance:
        return Instance(
            self.loop,
            spec,
            self._publish,
            ProcessLauncher(self.loop, Path(self._folder.name)),
            self._store_desired_state,
            lambda: self.grace,
        )

    def _restore_desired_state(self, instance: Instance) -> None:
        """Restore the stored drain and stop orders of an instance, and start it unless it was stopped."""
        if self._desired_state_store is None:
            return instance.wait_for_start()
        desired = self._desired_state_store.state.instance(instance.spec.name)
        if desired.drain is not None:
            since = self.loop.now - max(0.0, time.time() - desired.drain.since)
            instance.orders = Orders(drain=ActiveOrder(Order.DRAIN, desired.drain.by, since))
        instance.wanted = desired.runs
        return instance.wait_for_start() if desired.runs else None

    def _start_due(self) -> None:
        """Start waiting instances, up to the limit of instances that start at the same time."""
        states = [(name, instance.state) for name, instance in self.instances.items()]
        waiting = [name for name, state in states if state is State.DUE]
        starting = sum(state is State.STARTING for _, state in states)
        for name in next_to_start(waiting, starting, self.fleet.at_a_time or len(states)):
            self.instances[name].start()

    def _open_desired_state(self, folder: Path) -> DesiredStateStore:
        """Open the store of the operators' orders. Raises OSError."""
        from ..recovery.desired_state_store import DesiredStateStore  # only if a fleet file enables it
        from ..recovery.files import Folder

        return DesiredStateStore(Folder(folder), self.loop.log)

    def _store_desired_state(self, instance: Instance, orders: Orders, runs: bool) -> None:
        """Store the desired state of an instance before it takes effect. Raises OrderRefused."""
        if self._desired_state_store is None:
            return
        from ..recovery.desired_state import DesiredInstance, Drained

        order, epoch_offset = orders.drain, time.time() - self.loop.now
        drain = Drained(order.by, order.at + epoch_offset) if order is not None else None
        try:
            self._desired_state_store.write(instance.spec.name, DesiredInstance(runs, drain))
        except OSError as error:
            raise OrderRefused(f"{instance.spec.name}: the order could not be stored: {error}") from error

    def _poll(self) -> None:
        self._start_due()
        for instance in self.instances.values():
            instance.poll()
        configured = {spec.name for spec in self.fleet.instances}
        self.instances = {
            name: instance
            for name, instance in self.instances.items()
            if instance.running or name in configured
        }
        self.loop.after(POLL_INTERVAL_S, self._poll)

    def _publish(self) -> None:
        """Write the records of the ready instances, replacing the file atomically."""
        ready = (instance.spec for instance in self.instances.values() if instance.state is State.READY)
        text = master_file(self.fleet.domain, self.fleet.service, _service_instances(ready))
        path = self.fleet.records
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.with_name(path.name + ".new").write_text(text)
            path.with_name(path.name + ".new").replace(path)
        except OSError as error:
            self.loop.log("records not written", str(error))

    # ---- requests ----

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Answer a JSON-RPC request. Raises RpcError."""
        if method == "agent/status":
            instances = [instance.report() for instance in self.instances.values()]
            return peer.result(request_id, {"instances": instances})
        if method in REPORT_KEYS:
            keys = ("name", "state", REPORT_KEYS[method])
            reports = [instance.report() for instance in self.instances.values()]
            selected = [{key: report[key] for key in keys} for report in reports]
            return peer.result(request_id, {"instances": selected})
        if method in ("levels/pin", "levels/unpin"):
            return self._forward_to_routers(peer, request_id, method, params)
        if method == "agent/shutdown":
            self._stop()
            return peer.result(request_id, {})
        actions: dict[str, Callable[[Instance], None]] = {
            "agent/start": Instance.start,
            "agent/stop": lambda instance: instance.stop(StopReason.OPERATOR),
            "agent/restart": lambda instance: instance.stop(StopReason.OPERATOR, restart=True),
        }
        if method not in actions and method not in ORDERS:
            raise RpcError(Code.METHOD_NOT_FOUND, f"unknown method {method!r}")
        if self._is_ending:
            raise RpcError(Code.INVALID_REQUEST, StopReason.SHUTDOWN.value)
        instance = self.instances.get(str(params.get("name")))
        if instance is None or instance.is_removed:
            raise RpcError(Code.INVALID_PARAMS, f"no instance named {params.get('name')!r}")
        if method in actions:
            if (upgrade := instance.orders.upgrade) is not None:
                raise RpcError(Code.INVALID_REQUEST, f"an upgrade by {upgrade.by} is under way")
            runs = method != "agent/stop"
            try:
                self._store_desired_state(instance, instance.orders, runs)
            except OrderRefused as error:
                raise RpcError(Code.INTERNAL_ERROR, str(error)) from None
            instance.wanted = runs
            actions[method](instance)
            return peer.result(request_id, instance.report())

        def done(failure: str) -> None:
            if failure:
                peer.error(request_id, RpcError(Code.INTERNAL_ERROR, f"{instance.spec.name}: {failure}"))
            else:
                peer.result(request_id, instance.report())

        try:
            instance.order(ORDERS[method], str(params.get("by") or "nobody named"), done)
        except OrderRefused as error:
            raise RpcError(Code.INVALID_REQUEST, str(error)) from None
        return None

    def _forward_to_routers(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Forward a request to one router or to all.

        The answer lists the routers that carried it out and those that did not. Raises RpcError.
        """
        name = params.get("name")
        targets = [
            instance for instance in self.instances.values() if name is None or instance.spec.name == name
        ]
        if not targets:
            raise RpcError(Code.INVALID_PARAMS, f"no instance named {name!r}")
        if method == "levels/pin":
            parse_pin(params)  # reports invalid parameters once instead of once per router
        succeeded: dict[str, bool] = {}

        def answered(name: str, success: bool) -> None:
            succeeded[name] = success
            if len(succeeded) == len(targets):
                result = {
                    "told": sorted(name for name in succeeded if succeeded[name]),
                    "not_told": sorted(name for name in succeeded if not succeeded[name]),
                }
                peer.result(request_id, result)

        for instance in targets:
            callback = partial(answered, instance.spec.name)
            if instance.link is None:
                callback(False)
            else:
                instance.link.tell(method, params, callback)

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Ignored: no notification is defined."""

    def gone(self, peer: Peer) -> None:
        """A client connection is closed."""
        self._peers.connections.discard(peer)

    def slow(self, peer: Peer, slow: bool) -> None:
        """Ignored: answers are small."""

    # ---- reload ----

    def reload(self) -> Callable[[], str]:
        """Read the fleet file; returns what puts it into effect. Raises ConfigError."""
        fleet = self._read_fleet_file()

        def apply() -> str:
            """Put everything into effect except the address at which the agent listens."""
            if self._is_ending:
                return "nothing, since the agent shuts down"
            self.fleet, self.grace = fleet, max(MIN_KILL_TIMEOUT_S, fleet.grace)
            specs = {spec.name: spec for spec in fleet.instances}
            for name in self.instances.keys() - specs.keys():
                self.instances[name].remove()
            for name, spec in specs.items():
                if name in self.instances:
                    self.instances[name].reload(spec)
                else:
                    self.instances[name] = self._create_instance(spec)
                    self._restore_desired_state(self.instances[name])
            self._publish()
            return f"{len(specs)} instances"

        return apply

    # ---- shutdown ----

    @property
    def busy(self) -> bool:
        """Whether a router process still runs."""
        return any(instance.running for instance in self.instances.values())

    @property
    def has_workers(self) -> bool:
        """Always true: the agent itself needs no workers."""
        return True

    def set_mode(self, mode: FrontMode) -> None:
        """Stop the instances if the process is to end; the agent answers until the last has stopped."""
        if not mode.keep_alive:
            self._is_ending = True
            for instance in self.instances.values():
                instance.stop(StopReason.SHUTDOWN)

    def move_streams(self, part: float) -> None:
        """Nothing: the routers move their own streams."""

    def limit_requests(self) -> None:
        """Nothing: the routers limit their own requests."""

    def end_all(self) -> None:
        """Kill the router processes that still run."""
        for instance in self.instances.values():
            instance.kill()

    def close(self) -> None:
        """Stop listening, wait for the router processes, and withdraw their records."""
        self._acceptor.stop()
        for peer in list(self._peers.connections):
            peer.close()
        for instance in self.instances.values():
            instance.reap()
        self._publish()
        self._folder.cleanup()


def _service_instances(specs: Iterable[InstanceSpec]) -> Iterable[ServiceInstance]:
    for spec in specs:
        for front, address in spec.fronts.items():
            yield ServiceInstance(f"{spec.name}-{front}", address, texts={"name": spec.name, "front": front})
