"""The command line."""

from __future__ import annotations

import json
import os
import secrets
from functools import partial
from pathlib import Path
from typing import Annotated, Any

import typer

from . import __version__
from .config import Address, ConfigError, Limits, address
from .config import read as read_config
from .jsonrpc import RpcError
from .log import Log
from .platform.front import PlatformFront
from .service import Front, Room, Service

app = typer.Typer(no_args_is_help=True, add_completion=False, help="A router for model servers.")


def _complaint(error: object) -> typer.Exit:
    typer.echo(f"yewhook: {error}", err=True)
    return typer.Exit(2)


@app.command()
def serve(
    platform: Annotated[bool, typer.Option(help="Serve the platform, as PROXY_CONFIG says.")] = True,
    toolcalls: Annotated[Path | None, typer.Option(help="Serve tool calls too, as this file says.")] = None,
) -> None:
    """Run one router until SIGTERM."""
    name = os.environ.get("PROXY_NAME", "router")
    service = Service(Log(name))
    service.heed_signals()
    try:
        config = read_config(os.environ) if platform else None
        limits = config.limits if config else Limits()
        room = Room(service.loop, limits)
        if config is not None:
            again = partial(read_config, os.environ, again=True)
            service.fronts.append(PlatformFront(service.loop, config, room, again))
        if toolcalls is not None:
            service.fronts.append(_toolcalls(service, toolcalls, room))
    except (ConfigError, OSError) as error:
        raise _complaint(error) from None
    if not service.fronts:
        raise _complaint("nothing to serve: --no-platform and no --toolcalls")
    service.run()


def _toolcalls(service: Service, path: Path, room: Room) -> Front:
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
) -> None:
    """Read configuration files and say what they hold: those named, else the one of PROXY_CONFIG."""
    try:
        if toolcalls is not None:
            from .toolcalls.config import read as read_toolcalls

            front = read_toolcalls(toolcalls)
            typer.echo(f"{toolcalls}: listens on {_place(front.listen)}, {len(front.names.classes)} classes")
        if fleet is not None:
            from .agent import read as read_fleet

            file = read_fleet(fleet)
            names = ", ".join(spec.name for spec in file.instances)
            typer.echo(f"{fleet}: the agent listens on {_place(file.listen)} and runs {names}")
        if toolcalls is None and fleet is None:
            config = read_config(os.environ)
            known = len(config.known.get("instances") or [])
            typer.echo(f"{config.name}: listens on {_place(config.listen)}, {known} known workers")
    except ConfigError as error:
        raise _complaint(error) from None


def _place(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


@app.command()
def browse(file: Path, domain: str, service: str) -> None:
    """Show the service instances that a file of DNS-SD records names."""
    from .dnssd import Records, RecordsError

    try:
        found = Records(file, domain.rstrip(".") + ".").browse(service)
    except RecordsError as error:
        raise _complaint(error) from None
    for one in found:
        texts = " ".join(f"{key}={value}" for key, value in one.texts.items())
        typer.echo(f"{one.name}\t{_place(one.address)}\t{texts}")


@app.command()
def agent(fleet: Path) -> None:
    """Run the routers of a fleet file until SIGTERM, and supervise them."""
    from .agent import Agent
    from .agent import read as read_fleet

    service = Service(Log("agent"))
    service.heed_signals()
    try:
        runner = Agent(service.loop, read_fleet(fleet), service.drain, partial(read_fleet, fleet))
    except (ConfigError, OSError) as error:
        raise _complaint(error) from None
    service.fronts.append(runner)
    service.run()


At = Annotated[str, typer.Option("--agent", help="Where the agent listens.")]
AGENT = "127.0.0.1:7400"


def _ask(at: str, method: str, **params: str) -> Any:
    from .agent import ask

    try:
        return ask(address(at, "--agent"), method, params)
    except ConfigError as error:
        raise _complaint(error) from None
    except RpcError as error:
        typer.echo(f"yewhook: {error.message}", err=True)
    except OSError as error:
        typer.echo(f"yewhook: no agent answers at {at}: {error}", err=True)
    raise typer.Exit(1)


@app.command()
def status(
    at: At = AGENT, as_json: Annotated[bool, typer.Option("--json", help="As JSON.")] = False
) -> None:
    """Show the routers that an agent runs."""
    instances = _ask(at, "agent/status")["instances"]
    if as_json:
        typer.echo(json.dumps(instances, indent=2))
        return
    for one in instances:
        where = " ".join(f"{front}={place}" for front, place in one["listen"].items())
        since = f"{one['state']} for {one['since_s']:.0f} s"
        typer.echo(f"{one['name']}\t{since}\tpid {one['pid'] or '-'}\t{one['restarts']} restarts\t{where}")


@app.command()
def start(name: str, at: At = AGENT) -> None:
    """Start a router that is stopped."""
    typer.echo(f"{name} {_ask(at, 'agent/start', name=name)['state']}")


@app.command()
def stop(name: str, at: At = AGENT) -> None:
    """Let a router finish what it has taken, and keep it stopped."""
    typer.echo(f"{name} {_ask(at, 'agent/stop', name=name)['state']}")


@app.command()
def restart(name: str, at: At = AGENT) -> None:
    """Let a router finish what it has taken, and start it anew."""
    typer.echo(f"{name} {_ask(at, 'agent/restart', name=name)['state']}")


@app.command()
def shutdown(at: At = AGENT) -> None:
    """Let all routers finish, and end the agent."""
    _ask(at, "agent/shutdown")
    typer.echo("shutting down")
