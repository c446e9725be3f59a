"""The tool-calls front: clients, workers and tool servers connected through a router."""

from __future__ import annotations

from collections.abc import Callable

from ..config import ConfigError
from ..dnssd import Records, RecordsError, ServiceInstance
from ..front import RouterFront
from ..loop import Loop
from ..resource_budget import ResourceBudget
from .clients import ClientFront
from .config import ToolCallsConfig
from .discovery import RecordsDiscovery
from .peers import PeerPool
from .tools import ToolServers
from .workers import RpcWorkers, release_state


class ToolCallsFront(RouterFront):
    """A router whose clients, workers and tool servers speak JSON-RPC and are found by DNS-SD records."""

    front_name = "toolcalls"

    def __init__(
        self,
        loop: Loop,
        config: ToolCallsConfig,
        budget: ResourceBudget,
        seed: int,
        read_config: Callable[[], ToolCallsConfig],
    ) -> None:
        """`read_config` reads the configuration again for a reload. Raises ConfigError and OSError."""
        self._config, self._read_config = config, read_config
        self._records = _open_records(config)
        pool = PeerPool(loop, budget.can_open_worker, config.connect_timeout_s, config.idle_limit_s)
        super().__init__(
            loop,
            config.settings,
            config.names,
            lambda address, request_id, done: release_state(pool, address, request_id, done),
            pool.liveness,
        )
        self._tools = tools = ToolServers(loop, pool, config.tool_deadline_s, self._tool_servers, seed)
        self._workers = workers = RpcWorkers(
            loop,
            pool,
            tools,
            config.names.columns,
            self.worker_list,
            self.releases.release,
            config.worker_silence_s,
        )
        self.create_router(workers, seed)
        self._discovery = RecordsDiscovery(
            loop, self._records, config.worker_service, self.worker_list, self.router.servers_listed
        )
        self.clients = ClientFront(loop, self.router, config.names)
        self.open(self.clients, config.listen, budget, "tool-calls")

    def _tool_servers(self) -> list[ServiceInstance]:
        return self._records.browse(self._config.tool_service)

    @property
    def discovery_age(self) -> float:
        """Seconds since the records were last checked without an error."""
        return self.loop.now - self._discovery.checked_at

    def reload(self) -> Callable[[], str]:
        """Read the configuration again; the returned function applies it and tells what changed.

        Raises ConfigError.
        """
        config = self._read_config()
        records = _open_records(config)

        def apply() -> str:
            """Apply the new records and timeouts. All other settings need a restart."""
            old, self._config = self._config, config
            self._records = records
            self._tools.call_timeout_s = config.tool_deadline_s
            self._workers.silence_timeout_s = config.worker_silence_s
            self._discovery.use_records(records, config.worker_service)
            return f"records are now read from {config.records}" if config.records != old.records else ""

        return apply


def _open_records(config: ToolCallsConfig) -> Records:
    try:
        return Records(config.records, config.domain)
    except RecordsError as error:
        raise ConfigError(str(error)) from error
