"""Puts the tool-calls front together."""

from __future__ import annotations

import time

from hopshed import interface as i

from ..core.router import Router
from ..dnssd import Records
from ..loop import Loop
from ..registry import Registry
from ..releases import Releases
from ..service import Acceptor, Room, listen
from .clients import ClientFront
from .config import ToolCallsConfig
from .fleet import Fleet
from .peers import PeerPool
from .tools import Tools
from .workers import RpcWorkers, let_go


class ToolCallsFront:
    def __init__(self, loop: Loop, config: ToolCallsConfig, room: Room, seed: int) -> None:
        self.grace = max(c.patience for c in config.settings.classes)
        records = Records(config.records, config.domain)
        self.pool = PeerPool(loop, room.for_workers, config.connect_timeout, config.idle_limit)
        tools = Tools(
            loop, self.pool, config.tool_deadline, lambda: records.browse(config.tool_service), seed
        )
        registry = Registry(config.names, time.monotonic() - time.time())
        self.releases = Releases(
            loop,
            lambda address, request_id, done: let_go(self.pool, address, request_id, done),
            self.pool.latest,
            registry.running,
        )
        workers = RpcWorkers(
            loop, self.pool, tools, config.names.columns, registry.addresses, self.releases.release,
            config.worker_silence,
        )  # fmt: skip
        self.router = Router(config.settings, seed, loop.deadlines, lambda: loop.now, workers, loop.log)
        workers.told = self.router
        loop.deciders.append(self.router)
        Fleet(loop, records, config.worker_service, registry, self._listed)
        self.clients = ClientFront(loop, self.router, config.names)
        listener = listen(config.listen)
        self.port: int = listener.getsockname()[1]
        self._acceptor = Acceptor(loop, listener, room.for_clients, self.clients.accepted)
        loop.log("serving", f"tool-calls clients on {config.listen[0]}:{self.port}")

    def _listed(self, kind: i.ListKind, servers: tuple[i.Server, ...]) -> None:
        self.router.listed(kind, servers)

    @property
    def busy(self) -> bool:
        return self.router.busy or self.releases.busy or bool(self.clients.connections)

    def drain(self) -> None:
        """Nothing tells clients beforehand: they connect elsewhere when this end hangs up."""

    def stop_accepting(self) -> None:
        self._acceptor.stop()
        self.clients.stop_accepting()

    def break_off(self) -> None:
        self.router.break_off_streams()

    def close(self) -> None:
        """Nothing is left open."""
