"""Puts the platform's front together."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from hopshed import interface as i
from hopshed.handover import LearnedState

from ..config import Config
from ..front import RouterFront
from ..loop import Loop
from ..operations.instance import FrontMode
from ..service import ResourceBudget, adopt_listener
from ..start_times import MessageTimes
from ..throttle import Throttle
from .clients import ClientFront
from .discovery import Watch
from .peers import Peers
from .reservations import delete
from .workers import HttpWorkers, WorkerPool

if TYPE_CHECKING:
    from ..operations.handover_encoding import HandOver
    from ..recovery.snapshot_store import SnapshotStore

# First byte of the messages between routers that belong to the recovery; the module's begin with others
RECOVERY_MESSAGE_MARK = b"P"
# Servers from which on connections to those that have gone are not looked for at each message, and the s for
# each of them between looks: some 100 times what one costs.
MANY_SERVERS, CLOSE_UNUSED_EVERY = 400, 5e-5
FIRST_WORD = 0.25  # s that a process waits for discovery's first word; while that is down, none comes


class PlatformFront(RouterFront):
    front_name = "platform"

    def __init__(
        self,
        loop: Loop,
        config: Config,
        room: ResourceBudget,
        read_again: Callable[[], Config],
        succeeds: bool = False,
        handed: HandOver | None = None,
        snapshot_store: SnapshotStore | None = None,
    ) -> None:
        """`succeeds` = another process of this instance serves still; `handed` = what that knows;
        `snapshot_store` keeps what a process after this one goes on from."""
        self._config, self._read_again, self._snapshot_store = config, read_again, snapshot_store
        self.pool = pool = WorkerPool(
            loop, room.can_open_worker, config.connect_timeout, config.idle_limit, config.settings.may_resume
        )
        super().__init__(
            loop,
            config.settings,
            config.names,
            lambda address, request_id, done: delete(pool, address, request_id, done),
            pool.liveness,
        )
        self.workers = HttpWorkers(pool, config.names.columns, self.worker_list, self.releases.release)
        self.recovery = snapshot_store.recovery if snapshot_store is not None else None
        self.create_router(self.workers, config.seed)
        self._resumed, self._began = handed is not None, loop.now
        generation = self._resume(handed) if handed is not None else self._begin()
        self.peers: Peers | None = None
        if config.settings.may_tell and config.peer_listen and config.peer_broadcast:
            self.peers = Peers(
                loop, config.peer_listen, config.peers, config.peer_broadcast, self._peer_said, succeeds
            )
            self.router.tell = self.peers.tell
        self.clients = ClientFront(loop, self.router, config.names, room.body_bytes)
        listener = adopt_listener(config.accept_fd) if config.accept_fd is not None else None
        self.open(self.clients, config.listen, room, "the platform's", listener)
        self._unused = Throttle(loop, self._close_unused)
        # The router's seed is new with each start and another at each router.
        self.watch = Watch(
            loop, config.discovery, generation, self.worker_list, self._listed,
            config.settings.instances, Random(config.seed),
        )  # fmt: skip
        if handed is not None:
            self.watch.held_is_fresh()
        if snapshot_store is not None:
            snapshot_store.start(self, self.router.tell)

    def _begin(self) -> int:
        """Go on from the configuration's list; its generation."""
        try:
            known = self.worker_list.parse(self._config.known_workers, MessageTimes(self.loop.now))
        except (KeyError, TypeError, ValueError) as error:
            self.loop.log("known list not understood", str(error))
            known = ()
        if self._snapshot_store is not None:
            known = self.worker_list.add(self._snapshot_store.initial_servers(known))
        self.router.servers_listed(i.ListKind.SAVED, known)
        return int(self._config.known_workers.get("generation") or 0)

    def _peer_said(self, sender: int, data: bytes) -> None:
        if self._snapshot_store is not None and data[:1] == RECOVERY_MESSAGE_MARK:
            self._snapshot_store.message_received(sender, data)
        else:
            self.router.peer_message(sender, data)

    def _resume(self, handed: HandOver) -> int:
        """Go on from what a predecessor knows."""
        from ..operations import handover_encoding

        self.router.servers_listed(
            i.ListKind.SAVED, self.worker_list.resume(handover_encoding.from_listed(handed.servers))
        )
        try:
            self.router.resume(handed.told_off, handed.module)
        except ValueError as error:
            self.loop.log("hand-over passed over", f"what the module has learnt: {error}")
        return handed.generation

    def handover_state(self, drained: bool) -> HandOver:
        """What a successor goes on from."""
        return self._state(drained, self.router.split_learned_state())

    def state(self) -> HandOver:
        """What a process goes on from that comes after this one's end."""
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
        super().set_mode(mode)
        if self.peers is not None and mode.accepting:
            self.peers.open()
        elif self.peers is not None and mode.healthy:  # a successor speaks in this router's name
            self.peers.close()

    def _listed(self, kind: i.ListKind, servers: tuple[i.Server, ...]) -> None:
        if self._snapshot_store is not None:
            servers = self._snapshot_store.servers_listed(kind, servers, self.watch.generation)
            self.worker_list.set_states(servers)
        self._unused.trigger()
        self.router.servers_listed(kind, servers)

    def _close_unused(self) -> float:
        """Close what is kept to servers that have gone; s until that may be done again."""
        self.pool.close_others(self.worker_list.active_addresses())
        servers = len(self.worker_list.states)
        return CLOSE_UNUSED_EVERY * servers if servers >= MANY_SERVERS else 0.0

    @property
    def has_workers(self) -> bool:
        """Only discovery's word is new enough: what it has counts as told from a process's first moment."""
        heard = self.watch.answered or self._resumed or self.loop.now - self._began >= FIRST_WORD
        return heard and super().has_workers

    @property
    def discovery_age(self) -> float:
        return self.loop.now - self.watch.heard

    def reload(self) -> Callable[[], str]:
        config = self._read_again()

        def put_in_force() -> str:
            """Only where discovery listens can change; all else is what the process was built with."""
            old, self._config = self._config, config
            if config.discovery == old.discovery:
                return ""
            self.watch.move(config.discovery)
            return f"discovery is now at {config.discovery[0]}:{config.discovery[1]}"

        return put_in_force

    def close(self) -> None:
        self.watch.close()
        if self._snapshot_store is not None:
            self._snapshot_store.close()
        if self.peers is not None:
            self.peers.close()
