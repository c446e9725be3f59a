"""The platform front: builds the client side, the worker side, the discovery watch and the peer messages."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from hopshed import interface
from hopshed.handover import LearnedState

from ..acceptor import adopt_listener
from ..config import Config
from ..front import RouterFront
from ..loop import Loop
from ..operations.instance import FrontMode
from ..resource_budget import ResourceBudget
from ..start_times import MessageTimes
from ..throttle import Throttle
from .attempts import HttpWorkers
from .clients import ClientFront
from .discovery import Watch
from .peers import Peers
from .reservations import delete_reservation
from .workers import WorkerPool

if TYPE_CHECKING:
    from ..operations.handover_encoding import HandOver
    from ..recovery.snapshot_store import SnapshotStore

# First byte of recovery messages between routers; those of the routing module begin with other bytes
RECOVERY_MESSAGE_MARK = b"P"
# From this number of servers on, connections to servers that have gone are not closed at each message but at
# intervals of this length for each server. A search for them takes about 1/100 of the interval.
LARGE_FLEET_SERVERS = 400
CLOSE_UNUSED_INTERVAL_PER_SERVER_S = 5e-5
FIRST_LIST_TIMEOUT_S = 0.25  # for which a new process waits for discovery's first list; it may be down


class PlatformFront(RouterFront):
    """Serves the platform's protocol: HTTP/1.1 to clients, workers and discovery."""

    front_name = "platform"

    def __init__(
        self,
        loop: Loop,
        config: Config,
        budget: ResourceBudget,
        read_config: Callable[[], Config],
        has_predecessor: bool = False,
        handover: HandOver | None = None,
        snapshot_store: SnapshotStore | None = None,
    ) -> None:
        """Listen for clients and connect to discovery.

        `read_config` reads the configuration again for a reload. `has_predecessor` says that another process
        of this instance is still serving, and `handover` is the state that it has handed over.
        `snapshot_store` saves the state that a process started later restores.
        """
        self._config, self._read_config, self._snapshot_store = config, read_config, snapshot_store
        self.pool = pool = WorkerPool(
            loop,
            budget.can_open_worker,
            config.connect_timeout,
            config.idle_limit,
            config.settings.may_resume,
        )
        super().__init__(
            loop,
            config.settings,
            config.names,
            lambda address, request_id, done: delete_reservation(pool, address, request_id, done),
            pool.liveness,
        )
        self.workers = HttpWorkers(pool, config.names.columns, self.worker_list, self.releases.release)
        self.recovery = snapshot_store.recovery if snapshot_store is not None else None
        self.create_router(self.workers, config.seed)
        self._resumed, self._began_at = handover is not None, loop.now
        generation = self._resume(handover) if handover is not None else self._load_known_workers()
        self.peers: Peers | None = None
        if config.settings.may_tell and config.peer_listen and config.peer_broadcast:
            self.peers = Peers(
                loop, config.peer_listen, config.peers, config.peer_broadcast,
                self._peer_message_received, has_predecessor,
            )  # fmt: skip
            self.router.tell = self.peers.tell
        self.clients = ClientFront(loop, self.router, config.names)
        listener = adopt_listener(config.accept_fd) if config.accept_fd is not None else None
        self.open(self.clients, config.listen, budget, "the platform's", listener)
        self._close_unused_throttle = Throttle(loop, self._close_unused)
        # The seed differs at each start and each router, so that the retries of the routers are spread.
        self.watch = Watch(
            loop, config.discovery, generation, self.worker_list, self._listed,
            config.settings.instances, Random(config.seed),
        )  # fmt: skip
        if handover is not None:
            self.watch.reject_older_lists()
        if snapshot_store is not None:
            snapshot_store.start(self, self.router.tell)

    def _load_known_workers(self) -> int:
        """Start from the list in the configuration, and what the snapshot adds; returns its generation."""
        try:
            known = self.worker_list.parse(self._config.known_workers, MessageTimes(self.loop.now))
        except (KeyError, TypeError, ValueError) as error:
            self.loop.log("known list not understood", str(error))
            known = ()
        if self._snapshot_store is not None:
            known = self.worker_list.add(self._snapshot_store.initial_servers(known))
        self.router.servers_listed(interface.ListKind.SAVED, known)
        return int(self._config.known_workers.get("generation") or 0)

    def _peer_message_received(self, sender: int, data: bytes) -> None:
        if self._snapshot_store is not None and data[:1] == RECOVERY_MESSAGE_MARK:
            self._snapshot_store.message_received(sender, data)
        else:
            self.router.peer_message(sender, data)

    def _resume(self, handover: HandOver) -> int:
        """Start from the state of the preceding process; returns its list's generation."""
        from ..operations import handover_encoding

        self.router.servers_listed(
            interface.ListKind.SAVED,
            self.worker_list.resume(handover_encoding.from_listed(handover.servers)),
        )
        try:
            self.router.resume(handover.told_off, handover.module)
        except ValueError as error:
            self.loop.log("hand-over passed over", f"what the module has learnt: {error}")
        return handover.generation

    def handover_state(self, drained: bool) -> HandOver:
        """Returns the state for a succeeding process."""
        return self._state(drained, self.router.split_learned_state())

    def state(self) -> HandOver:
        """Returns the state for a process started after this one has ended."""
        return self._state(False, self.router.export_learned_state())

    def _state(self, drained: bool, module: LearnedState) -> HandOver:
        from ..operations import handover_encoding

        known = self.router.table.present()
        listed = handover_encoding.to_listed(
            (server, self.worker_list.addresses.get(server.id)) for server in known
        )
        router = self.router
        return handover_encoding.HandOver(
            self.loop.now, drained, self.watch.generation, listed, router.withdrawn_since, module
        )

    def set_mode(self, mode: FrontMode) -> None:
        """Apply a mode; the peer socket is closed while a successor uses the address."""
        super().set_mode(mode)
        if self.peers is not None and mode.accepting:
            self.peers.open()
        elif self.peers is not None and mode.healthy:  # a successor sends under this router's number
            self.peers.close()

    def _listed(self, kind: interface.ListKind, servers: tuple[interface.Server, ...]) -> None:
        if self._snapshot_store is not None:
            servers = self._snapshot_store.servers_listed(kind, servers, self.watch.generation)
            self.worker_list.set_states(servers)
        self._close_unused_throttle.trigger()
        self.router.servers_listed(kind, servers)

    def _close_unused(self) -> float:
        """Close kept connections to servers that have gone; returns the seconds until the next search."""
        self.pool.close_others(self.worker_list.active_addresses())
        servers = len(self.worker_list.states)
        return CLOSE_UNUSED_INTERVAL_PER_SERVER_S * servers if servers >= LARGE_FLEET_SERVERS else 0.0

    @property
    def has_workers(self) -> bool:
        """Whether a worker is known, and discovery has answered or been waited for.

        A list in the configuration may be out of date, while discovery's own list counts as known from the
        process's first moment.
        """
        waited = (
            self.watch.answered or self._resumed or self.loop.now - self._began_at >= FIRST_LIST_TIMEOUT_S
        )
        return waited and super().has_workers

    @property
    def discovery_age(self) -> float:
        """Seconds since discovery last sent anything."""
        return self.loop.now - self.watch.last_message_at

    def reload(self) -> Callable[[], str]:
        """Read the configuration again; returns a function that applies it. Raises ConfigError."""
        config = self._read_config()

        def apply() -> str:
            """Switch to another discovery address; no other change takes effect before a restart."""
            old, self._config = self._config, config
            if config.discovery == old.discovery:
                return ""
            self.watch.switch_address(config.discovery)
            return f"discovery is now at {config.discovery[0]}:{config.discovery[1]}"

        return apply

    def close(self) -> None:
        """Close the discovery watch, the snapshot store and the peer socket."""
        self.watch.close()
        if self._snapshot_store is not None:
            self._snapshot_store.close()
        if self.peers is not None:
            self.peers.close()
