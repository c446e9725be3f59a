"""`yewhook serve`: runs one router. Loads no command-line library, for a router may have little memory."""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from .config import Config, ConfigError, Limits
from .config import read as read_config
from .front import RouterFront
from .levels.level import Level
from .log import Log
from .memory_monitor import MemoryMonitor, resident_bytes
from .operations.instance import Event
from .operations.management_endpoint import RESERVED_DESCRIPTORS, ManagementEndpoint
from .platform.front import PlatformFront
from .resource_budget import ResourceBudget
from .service import Service
from .service_level_admin import ServiceLevelAdmin
from .service_settings import read_settings
from .transient_errors import retry_transient

if TYPE_CHECKING:
    from .recovery.settings import RecoverySettings
    from .recovery.snapshot_store import SnapshotStore

REQUEST_LOG = "PROXY_REQUEST_LOG"  # environment variable; "all" = log each step of each request


class ServeOptions(argparse.Namespace):
    """The options of the command."""

    platform: bool
    toolcalls: Path | None
    service: Path | None
    control_fd: int | None
    drained: bool


def _parse(arguments: Sequence[str]) -> ServeOptions:
    parser = argparse.ArgumentParser(
        "yewhook serve", description="Run one router until SIGTERM.", allow_abbrev=False
    )
    switch = argparse.BooleanOptionalAction
    parser.add_argument(
        "--platform", action=switch, default=True, help="Serve the platform, configured by PROXY_CONFIG."
    )
    parser.add_argument(
        "--toolcalls", type=Path, metavar="FILE", help="Serve tool calls as well, configured by this file."
    )
    parser.add_argument("--service", type=Path, metavar="FILE", help="The operators' file.")
    # The descriptor of the connection to the agent
    parser.add_argument("--control-fd", type=int, help=argparse.SUPPRESS)
    parser.add_argument(
        "--drained", action=switch, default=False, help="Start drained, until told to resume."
    )
    return parser.parse_args(arguments, ServeOptions())


def usage_error(error: object) -> SystemExit:
    """Print an error; returns the exception that ends the process with status 2."""
    print(f"yewhook: {error}", file=sys.stderr)
    return SystemExit(2)


def serve(arguments: Sequence[str]) -> None:
    """Run one router until SIGTERM; `arguments` follow the word `serve` on the command line."""
    options = _parse(arguments)
    name = os.environ.get("PROXY_NAME", "router")
    service = Service(Log(name, detailed=os.environ.get(REQUEST_LOG) == "all"))
    service.handle_signals()
    fronts: list[RouterFront] = []
    snapshot_store = None
    try:
        read_service_settings = partial(read_settings, options.service)
        service_settings = retry_transient(read_service_settings)
        service.log.set_format(service_settings.log)
        config = retry_transient(partial(read_config, os.environ)) if options.platform else None
        limits = config.limits if config else Limits()
        reserved_descriptors = RESERVED_DESCRIPTORS if config is not None and config.mgmt is not None else 0
        budget = ResourceBudget(service.loop, limits, reserved_descriptors)
        if config is not None:
            snapshot_store = _snapshot_store(service, config, service_settings.recovery)
            fronts.append(_platform(service, config, budget, snapshot_store))
        if options.toolcalls is not None:
            fronts.append(_toolcalls(service, options.toolcalls, budget))
        level_admin = ServiceLevelAdmin(
            service.loop, service.log, limits, fronts, service_settings, read_service_settings
        )
        if snapshot_store is not None and (pin := snapshot_store.pin) is not None:
            level_admin.pin(Level.from_label(pin.level), pin.until - time.time(), pin.reason)
    except (ConfigError, OSError) as error:
        raise usage_error(error) from None
    if not fronts:
        raise usage_error("nothing to serve: --no-platform and no --toolcalls")
    service.fronts += fronts
    if options.drained:
        service.handle_event(Event.DRAIN)
    service.reloaders.append(level_admin.reload)
    if options.control_fd is not None:
        from .agent_link import AgentLink

        AgentLink(service, options.control_fd, level_admin)
    budget.process_started(resident_bytes())
    MemoryMonitor(service.loop, limits.memory)
    service.run()


def _snapshot_store(
    service: Service, config: Config, settings: RecoverySettings | None
) -> SnapshotStore | None:
    if settings is None:
        return None
    # Imported only if configured, because the snapshots need a library and memory.
    from .recovery.snapshot_store import SnapshotStore

    return SnapshotStore(service.loop, settings, config.settings, config.names, config.seed)


def _platform(
    service: Service, config: Config, budget: ResourceBudget, snapshot_store: SnapshotStore | None
) -> RouterFront:
    hot_restart = None
    if config.accept_fd is not None:
        # Imported only if the platform can replace the process; all others are spared its cost.
        from .operations.hot_restart import join_instance

        hot_restart = join_instance(service, os.environ, config.name)
    if config.mgmt is not None:
        ManagementEndpoint(service, config.mgmt)
    handed_over = hot_restart.await_handover() if hot_restart is not None else None
    has_predecessor = hot_restart is not None and hot_restart.has_predecessor
    reload_config = partial(read_config, os.environ, reload=True)
    front = PlatformFront(
        service.loop, config, budget, reload_config, has_predecessor, handed_over, snapshot_store
    )
    if hot_restart is not None:
        hot_restart.monitor(front.handover_state, budget)
    return front


def _toolcalls(service: Service, path: Path, budget: ResourceBudget) -> RouterFront:
    # Imported only here: this front needs a DNS library, and a router on the platform has little memory.
    from .toolcalls.config import read
    from .toolcalls.front import ToolCallsFront

    return ToolCallsFront(
        service.loop, read(path), budget, int.from_bytes(os.urandom(8), "big"), partial(read, path)
    )
