"""Puts the tool-calls front together."""

from __future__ import annotations

from ..dnssd import Records
from ..front import RouterFront
from ..loop import Loop
from ..service import Room
from .clients import ClientFront
from .config import ToolCallsConfig
from .fleet import Fleet
from .peers import PeerPool
from .tools import Tools
from .workers import RpcWorkers, let_go


class ToolCallsFront(RouterFront):
    def __init__(self, loop: Loop, config: ToolCallsConfig, room: Room, seed: int) -> None:
        records = Records(config.records, config.domain)
        pool = PeerPool(loop, room.for_workers, config.connect_timeout, config.idle_limit)
        super().__init__(
            loop,
            config.settings,
            config.names,
            lambda address, request_id, done: let_go(pool, address, request_id, done),
            pool.latest,
        )
        tools = Tools(loop, pool, config.tool_deadline, lambda: records.browse(config.tool_service), seed)
        addresses, release = self.registry.addresses, self.releases.release
        workers = RpcWorkers(
            loop, pool, tools, config.names.columns, addresses, release, config.worker_silence
        )
        self.route(workers, seed)
        Fleet(loop, records, config.worker_service, self.registry, self.router.listed)
        self.clients = ClientFront(loop, self.router, config.names)
        self.open(self.clients, config.listen, room, "tool-calls")
