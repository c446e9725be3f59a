"""Puts the tool-calls front together."""

from __future__ import annotations

from collections.abc import Callable

from ..config import ConfigError
from ..dnssd import Records, RecordsError, ServiceInstance
from ..front import RouterFront
from ..loop import Loop
from ..service import ResourceBudget
from .clients import ClientFront
from .config import ToolCallsConfig
from .fleet import Fleet
from .peers import PeerPool
from .tools import Tools
from .workers import RpcWorkers, let_go


class ToolCallsFront(RouterFront):
    front_name = "toolcalls"

    def __init__(
        self,
        loop: Loop,
        config: ToolCallsConfig,
        room: ResourceBudget,
        seed: int,
        read_again: Callable[[], ToolCallsConfig],
    ) -> None:
        self._config, self._read_again = config, read_again
        self._records = _records(config)
        pool = PeerPool(loop, room.can_open_worker, config.connect_timeout, config.idle_limit)
        super().__init__(
            loop,
            config.settings,
            config.names,
            lambda address, request_id, done: let_go(pool, address, request_id, done),
            pool.liveness,
        )
        self._tools = tools = Tools(loop, pool, config.tool_deadline, self._tool_servers, seed)
        self._workers = workers = RpcWorkers(
            loop,
            pool,
            tools,
            config.names.columns,
            self.worker_list,
            self.releases.release,
            config.worker_silence,
        )
        self.create_router(workers, seed)
        self._fleet = Fleet(
            loop, self._records, config.worker_service, self.worker_list, self.router.servers_listed
        )
        self.clients = ClientFront(loop, self.router, config.names)
        self.open(self.clients, config.listen, room, "tool-calls")

    def _tool_servers(self) -> list[ServiceInstance]:
        return self._records.browse(self._config.tool_service)

    @property
    def discovery_age(self) -> float:
        return self.loop.now - self._fleet.looked

    def reload(self) -> Callable[[], str]:
        config = self._read_again()
        records = _records(config)

        def put_in_force() -> str:
            """Where the records are and how long is waited can change; the settings are built in."""
            old, self._config = self._config, config
            self._records = records
            self._tools.deadline, self._workers.silence = config.tool_deadline, config.worker_silence
            self._fleet.move(records, config.worker_service)
            return f"records are now read from {config.records}" if config.records != old.records else ""

        return put_in_force


def _records(config: ToolCallsConfig) -> Records:
    try:
        return Records(config.records, config.domain)
    except RecordsError as error:
        raise ConfigError(str(error)) from error
