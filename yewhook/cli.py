"""The command line."""

from __future__ import annotations

import json
import os
import secrets
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from . import __version__
from .commands.common import DEFAULT_AGENT_ADDRESS, AgentOption, ask_agent, read_settings, usage_error
from .commands.lab import lab
from .commands.levels import level_of, levels
from .commands.recovery import recovery
from .config import Address, Config, ConfigError, Limits
from .config import read as read_config
from .front import RouterFront
from .levels.level import Level
from .log import Log
from .operations.instance import Event
from .operations.management_endpoint import RESERVED_DESCRIPTORS, ManagementEndpoint
from .platform.front import PlatformFront
from .service import ResourceBudget, Service
from .service_level_admin import ServiceLevelAdmin
from .transient_errors import retry_transient

if TYPE_CHECKING:
    from .recovery.settings import RecoverySettings
    from .recovery.snapshot_store import SnapshotStore

REQUEST_LOG = "PROXY_REQUEST_LOG"  # "all" = write each step of each request, for those who look for a fault
UPGRADE_PATIENCE = 20.0  # s; the agent gives up before
app = typer.Typer(no_args_is_help=True, add_completion=False, help="A router for model servers.")


app.add_typer(levels, name="levels")
app.add_typer(lab, name="lab")
app.add_typer(recovery, name="recovery")


@app.command()
def serve(
    platform: Annotated[bool, typer.Option(help="Serve the platform, as PROXY_CONFIG says.")] = True,
    toolcalls: Annotated[Path | None, typer.Option(help="Serve tool calls too, as this file says.")] = None,
    settings: Annotated[Path | None, typer.Option("--service", help="The operators' file.")] = None,
    control_fd: Annotated[int | None, typer.Option(hidden=True, help="The agent's line to it.")] = None,
    drained: Annotated[bool, typer.Option(help="Start drained, until told to resume.")] = False,
) -> None:
    """Run one router until SIGTERM."""
    name = os.environ.get("PROXY_NAME", "router")
    service = Service(Log(name, detailed=os.environ.get(REQUEST_LOG) == "all"))
    service.handle_signals()
    fronts: list[RouterFront] = []
    snapshot_store = None
    try:
        read_operators = partial(read_settings, settings)
        operators = retry_transient(read_operators)
        service.log.set_format(operators.log)
        config = retry_transient(partial(read_config, os.environ)) if platform else None
        limits = config.limits if config else Limits()
        door_files = RESERVED_DESCRIPTORS if config is not None and config.mgmt is not None else 0
        room = ResourceBudget(service.loop, limits, door_files)
        if config is not None:
            snapshot_store = _snapshot_store(service, config, operators.recovery)
            fronts.append(_platform(service, config, room, snapshot_store))
        if toolcalls is not None:
            fronts.append(_toolcalls(service, toolcalls, room))
        level_admin = ServiceLevelAdmin(service.loop, service.log, limits, fronts, operators, read_operators)
        if snapshot_store is not None and (pin := snapshot_store.pin) is not None:
            level_admin.pin(Level.from_label(pin.level), pin.until - time.time(), pin.reason)
    except (ConfigError, OSError) as error:
        raise usage_error(error) from None
    if not fronts:
        raise usage_error("nothing to serve: --no-platform and no --toolcalls")
    service.fronts += fronts
    if drained:
        service.handle_event(Event.DRAIN)
    service.reloaders.append(level_admin.reload)
    if control_fd is not None:
        from .agent_link import AgentLink

        AgentLink(service, control_fd, level_admin)
    service.run()


def _snapshot_store(
    service: Service, config: Config, settings: RecoverySettings | None
) -> SnapshotStore | None:
    if settings is None:
        return None
    # Only where operators want it: what is kept takes a library and memory.
    from .recovery.snapshot_store import SnapshotStore

    return SnapshotStore(service.loop, settings, config.settings, config.names, config.seed)


def _platform(
    service: Service, config: Config, room: ResourceBudget, snapshot_store: SnapshotStore | None
) -> RouterFront:
    hot_restart = None
    if config.accept_fd is not None:
        # Only where a process can be replaced; what the hand-over needs is not free.
        from .operations.hot_restart import join_instance

        hot_restart = join_instance(service, os.environ, config.name)
    if config.mgmt is not None:
        ManagementEndpoint(service, config.mgmt)
    handed = hot_restart.await_handover() if hot_restart is not None else None
    succeeds = hot_restart is not None and hot_restart.has_predecessor
    read_again = partial(read_config, os.environ, reload=True)
    front = PlatformFront(service.loop, config, room, read_again, succeeds, handed, snapshot_store)
    if hot_restart is not None:
        hot_restart.monitor(front.handover_state, room)
    return front


def _toolcalls(service: Service, path: Path, room: ResourceBudget) -> RouterFront:
    # Only this front needs a DNS library, and a router of the platform has little memory.
    from .toolcalls.config import read
    from .toolcalls.front import ToolCallsFront

    return ToolCallsFront(service.loop, read(path), room, secrets.randbits(64), partial(read, path))


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command()
def check(
    toolcalls: Annotated[Path | None, typer.Option(help="A tool-calls file.")] = None,
    fleet: Annotated[Path | None, typer.Option(help="A fleet file, with all that it names.")] = None,
    settings: Annotated[Path | None, typer.Option("--service", help="An operators' file.")] = None,
    site: Annotated[Path | None, typer.Option(help="A customer's site file.")] = None,
) -> None:
    """Read configuration files and say what they hold: those named, else the one of PROXY_CONFIG."""
    try:
        if toolcalls is not None:
            from .toolcalls.config import read as read_toolcalls

            front = read_toolcalls(toolcalls)
            typer.echo(f"{toolcalls}: listens on {_place(front.listen)}, {len(front.names.classes)} classes")
        if fleet is not None:
            from .agent.fleet_file import read as read_fleet

            file = read_fleet(fleet)
            names = ", ".join(spec.name for spec in file.instances)
            typer.echo(f"{fleet}: the agent listens on {_place(file.listen)} and runs {names}")
        if settings is not None:
            file_levels = read_settings(settings).levels
            used = ", ".join(level.label for level in file_levels.known)
            typer.echo(f"{settings}: levels of service are {file_levels.mode.value}: {used}")
        if site is not None:
            from .site_files import read as read_site

            told = read_site(site)
            classes = ", ".join(f"{c.name} {c.effect} {c.deadline:g} s" for c in told.classes)
            typer.echo(f"{site}: {classes}; {len(told.tenants)} tenants")
        if not any((toolcalls, fleet, settings, site)):
            config = read_config(os.environ)
            known = len(config.known_workers.get("instances") or [])
            typer.echo(f"{config.name}: listens on {_place(config.listen)}, {known} known workers")
    except ConfigError as error:
        raise usage_error(error) from None


def _place(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


@app.command()
def browse(file: Path, domain: str, service: str) -> None:
    """Show the service instances that a file of DNS-SD records names."""
    from .dnssd import Records, RecordsError

    try:
        found = Records(file, domain.rstrip(".") + ".").browse(service)
    except RecordsError as error:
        raise usage_error(error) from None
    for one in found:
        texts = " ".join(f"{key}={value}" for key, value in one.texts.items())
        typer.echo(f"{one.name}\t{_place(one.address)}\t{texts}")


@app.command()
def agent(fleet: Path) -> None:
    """Run the routers of a fleet file until SIGTERM, and supervise them."""
    from .agent.agent import Agent
    from .agent.fleet_file import read as read_fleet

    service = Service(Log("agent"))
    service.handle_signals()
    try:
        stop = partial(service.handle_event, Event.TERM)
        runner = Agent(service.loop, read_fleet(fleet), stop, partial(read_fleet, fleet))
    except (ConfigError, OSError) as error:
        raise usage_error(error) from None
    service.fronts.append(runner)
    service.run()


@app.command()
def status(
    at: AgentOption = DEFAULT_AGENT_ADDRESS,
    as_json: Annotated[bool, typer.Option("--json", help="As JSON.")] = False,
) -> None:
    """Show the routers that an agent runs."""
    instances = ask_agent(at, "agent/status")["instances"]
    if as_json:
        typer.echo(json.dumps(instances, indent=2))
        return
    for one in instances:
        where = " ".join(f"{front}={place}" for front, place in one["listen"].items())
        since = f"{one['state']} for {one['since_s']:.0f} s"
        service = " ".join(level_of(front, told) for front, told in (one["levels"] or {}).items())
        line = [one["name"], since, f"pid {one['pid'] or '-'}", f"{one['restarts']} restarts", where, service]
        typer.echo("\t".join(line).rstrip())


@app.command()
def start(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS) -> None:
    """Start a router that is stopped."""
    typer.echo(f"{name} {ask_agent(at, 'agent/start', name=name)['state']}")


@app.command()
def stop(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS) -> None:
    """Let a router finish what it has taken, and keep it stopped."""
    typer.echo(f"{name} {ask_agent(at, 'agent/stop', name=name)['state']}")


@app.command()
def restart(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS) -> None:
    """Let a router finish what it has taken, and start it anew."""
    typer.echo(f"{name} {ask_agent(at, 'agent/restart', name=name)['state']}")


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(min=8.0, max=600.0, help="How long clients come.")] = 30.0,
) -> None:
    """Run a small fleet on loopback and show a drain, its end and an upgrade; exit 1 if a request is lost."""
    from yewlab.processes.demo import show

    raise typer.Exit(0 if show(seconds, typer.echo) else 1)


By = Annotated[str, typer.Option("--by", help="Who orders it, for those who find it under way.")]


@app.command()
def drain(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS, by: By = "") -> None:
    """Let a router finish what it has, and take nothing new; it stays so over restarts, until `resume`."""
    typer.echo(f"{name} {ask_agent(at, 'agent/drain', name=name, by=by or _user())['state']}")


@app.command()
def resume(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS, by: By = "") -> None:
    """Let a drained router serve again."""
    typer.echo(f"{name} {ask_agent(at, 'agent/resume', name=name, by=by or _user())['state']}")


@app.command()
def upgrade(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS, by: By = "") -> None:
    """Start a new process of a router beside the old one, and end that once the new one serves."""
    done = ask_agent(at, "agent/upgrade", timeout=UPGRADE_PATIENCE, name=name, by=by or _user())
    typer.echo(f"{name} {done['state']}, pid {done['pid']}")


def _user() -> str:
    return os.environ.get("USER") or f"user {os.getuid()}"


@app.command()
def shutdown(at: AgentOption = DEFAULT_AGENT_ADDRESS) -> None:
    """Let all routers finish, and end the agent."""
    ask_agent(at, "agent/shutdown")
    typer.echo("shutting down")
