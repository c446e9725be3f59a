"""Puts the platform's front together."""

from __future__ import annotations

import time
from collections.abc import Callable

from hopshed import interface as i

from ..config import Config
from ..core.router import Router
from ..loop import Loop
from ..registry import Registry
from ..releases import Releases
from ..service import Acceptor, Room, listen
from .clients import ClientFront
from .discovery import Watch
from .reservations import delete
from .workers import HttpWorkers, WorkerPool


class PlatformFront:
    def __init__(self, loop: Loop, config: Config, room: Room) -> None:
        self.loop, self.config, self.log = loop, config, loop.log
        self.grace = max(c.patience for c in config.settings.classes)
        self.pool = WorkerPool(loop, room.for_workers, config.connect_timeout, config.idle_limit)
        self.registry = Registry(config.names, time.monotonic() - time.time())
        self.releases = Releases(
            loop,
            lambda address, request_id, done: delete(self.pool, address, request_id, done),
            self.pool.latest,
            self.registry.running,
        )
        workers = HttpWorkers(
            self.pool, config.names.columns, self.registry.addresses, self.releases.release
        )
        clock: Callable[[], float] = lambda: loop.now  # noqa: E731
        self.router = Router(config.settings, config.seed, loop.deadlines, clock, workers, loop.log)
        workers.told = self.router
        loop.deciders.append(self.router)
        self._known()
        listener = listen(config.listen)
        self.port: int = listener.getsockname()[1]
        self.clients = ClientFront(loop, self.router, config.names)
        self._acceptor = Acceptor(loop, listener, room.for_clients, self.clients.accepted)
        generation = int(config.known.get("generation") or 0)
        self.watch = Watch(loop, config.discovery, generation, self.registry, self._listed)
        self.log("serving", f"the platform's clients on {config.listen[0]}:{self.port}")

    def _known(self) -> None:
        try:
            servers = self.registry.read(self.config.known)
        except (KeyError, TypeError, ValueError) as error:
            self.log("known list not understood", str(error))
            servers = ()
        self.router.listed(i.ListKind.SAVED, servers)

    def _listed(self, kind: i.ListKind, servers: tuple[i.Server, ...]) -> None:
        self.pool.keep_only(self.registry.in_use())
        self.router.listed(kind, servers)

    @property
    def busy(self) -> bool:
        return self.router.busy or self.releases.busy or bool(self.clients.connections)

    def drain(self) -> None:
        self.clients.draining = True

    def stop_accepting(self) -> None:
        self._acceptor.stop()
        self.clients.stop_accepting()

    def break_off(self) -> None:
        self.router.break_off_streams()

    def close(self) -> None:
        self.watch.close()
