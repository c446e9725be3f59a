"""The commands of `yewhook`. The groups `levels`, `lab` and `recovery` are in the package `commands`."""

from __future__ import annotations

import json
import os
from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from . import __version__
from .commands.common import DEFAULT_AGENT_ADDRESS, AgentOption, ask_agent, usage_error
from .commands.lab import lab
from .commands.levels import format_level, levels
from .commands.recovery import recovery
from .config import Address, ConfigError
from .config import read as read_config
from .log import Log
from .operations.instance import Event
from .serve import serve as run_serve
from .service import Service
from .service_settings import read_settings

UPGRADE_TIMEOUT_S = 20.0  # longer than the agent waits for an upgrade
app = typer.Typer(no_args_is_help=True, add_completion=False, help="A router for model servers.")


app.add_typer(levels, name="levels")
app.add_typer(lab, name="lab")
app.add_typer(recovery, name="recovery")


@app.command(
    add_help_option=False, context_settings={"allow_extra_args": True, "ignore_unknown_options": True}
)
def serve(context: typer.Context) -> None:
    """Run one router until SIGTERM."""
    run_serve(context.args)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command()
def check(
    toolcalls: Annotated[Path | None, typer.Option(help="A tool-calls file.")] = None,
    fleet: Annotated[Path | None, typer.Option(help="A fleet file, and the files that it names.")] = None,
    settings: Annotated[Path | None, typer.Option("--service", help="An operators' file.")] = None,
    site: Annotated[Path | None, typer.Option(help="A customer's site file.")] = None,
) -> None:
    """Check the given configuration files, or the one of PROXY_CONFIG, and summarize them."""
    try:
        if toolcalls is not None:
            from .toolcalls.config import read as read_toolcalls

            front = read_toolcalls(toolcalls)
            typer.echo(
                f"{toolcalls}: listens on {_format_address(front.listen)}, {len(front.names.classes)} classes"
            )
        if fleet is not None:
            from .agent.fleet_file import read as read_fleet

            file = read_fleet(fleet)
            names = ", ".join(spec.name for spec in file.instances)
            typer.echo(f"{fleet}: the agent listens on {_format_address(file.listen)} and runs {names}")
        if settings is not None:
            file_levels = read_settings(settings).levels
            used = ", ".join(level.label for level in file_levels.known)
            typer.echo(f"{settings}: levels of service are {file_levels.mode.value}: {used}")
        if site is not None:
            from .site_files import read as read_site

            site_file = read_site(site)
            classes = ", ".join(f"{c.name} {c.effect} {c.deadline_s:g} s" for c in site_file.classes)
            typer.echo(f"{site}: {classes}; {len(site_file.tenants)} tenants")
        if not any((toolcalls, fleet, settings, site)):
            config = read_config(os.environ)
            known = len(config.known_workers.get("instances") or [])
            typer.echo(f"{config.name}: listens on {_format_address(config.listen)}, {known} known workers")
    except ConfigError as error:
        raise usage_error(error) from None


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


@app.command()
def browse(file: Path, domain: str, service: str) -> None:
    """Show the instances of a service from a file of DNS-SD records."""
    from .dnssd import Records, RecordsError

    try:
        instances = Records(file, domain.rstrip(".") + ".").browse(service)
    except RecordsError as error:
        raise usage_error(error) from None
    for instance in instances:
        texts = " ".join(f"{key}={value}" for key, value in instance.texts.items())
        typer.echo(f"{instance.name}\t{_format_address(instance.address)}\t{texts}")


@app.command()
def agent(fleet: Path) -> None:
    """Run and supervise the routers of a fleet file until SIGTERM."""
    from .agent.agent import Agent
    from .agent.fleet_file import read as read_fleet

    service = Service(Log("agent"))
    service.handle_signals()
    try:
        stop = partial(service.handle_event, Event.TERM)
        agent_front = Agent(service.loop, read_fleet(fleet), stop, partial(read_fleet, fleet))
    except (ConfigError, OSError) as error:
        raise usage_error(error) from None
    service.fronts.append(agent_front)
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
    for instance in instances:
        addresses = " ".join(f"{front}={address}" for front, address in instance["listen"].items())
        state = f"{instance['state']} for {instance['since_s']:.0f} s"
        service = " ".join(
            format_level(front, report) for front, report in (instance["levels"] or {}).items()
        )
        columns = [
            instance["name"],
            state,
            f"pid {instance['pid'] or '-'}",
            f"{instance['restarts']} restarts",
            addresses,
            service,
        ]
        typer.echo("\t".join(columns).rstrip())


@app.command()
def start(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS) -> None:
    """Start a router that is stopped."""
    typer.echo(f"{name} {ask_agent(at, 'agent/start', name=name)['state']}")


@app.command()
def stop(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS) -> None:
    """Stop a router after its open requests have ended."""
    typer.echo(f"{name} {ask_agent(at, 'agent/stop', name=name)['state']}")


@app.command()
def restart(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS) -> None:
    """Restart a router after its open requests have ended."""
    typer.echo(f"{name} {ask_agent(at, 'agent/restart', name=name)['state']}")


@app.command()
def demo(
    seconds: Annotated[
        float, typer.Option(min=8.0, max=600.0, help="How long clients send requests.")
    ] = 30.0,
) -> None:
    """Run a small fleet on loopback and show a drain, its end and an upgrade; exit 1 if a request is lost."""
    from yewlab.processes.demo import show

    raise typer.Exit(0 if show(seconds, typer.echo) else 1)


ByOption = Annotated[str, typer.Option("--by", help="Who gives the order, as shown to other operators.")]


@app.command()
def drain(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS, by: ByOption = "") -> None:
    """Let a router finish its open requests and take no new ones, across restarts, until `resume`."""
    typer.echo(f"{name} {ask_agent(at, 'agent/drain', name=name, by=by or _user())['state']}")


@app.command()
def resume(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS, by: ByOption = "") -> None:
    """End the drain of a router."""
    typer.echo(f"{name} {ask_agent(at, 'agent/resume', name=name, by=by or _user())['state']}")


@app.command()
def upgrade(name: str, at: AgentOption = DEFAULT_AGENT_ADDRESS, by: ByOption = "") -> None:
    """Start a new process of a router and end the old one once the new one serves."""
    report = ask_agent(at, "agent/upgrade", timeout=UPGRADE_TIMEOUT_S, name=name, by=by or _user())
    typer.echo(f"{name} {report['state']}, pid {report['pid']}")


def _user() -> str:
    return os.environ.get("USER") or f"user {os.getuid()}"


@app.command()
def shutdown(at: AgentOption = DEFAULT_AGENT_ADDRESS) -> None:
    """Stop all routers after their open requests have ended, and then the agent."""
    ask_agent(at, "agent/shutdown")
    typer.echo("shutting down")
