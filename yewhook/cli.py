"""The command line."""

from __future__ import annotations

import os
import secrets
from pathlib import Path
from typing import Annotated

import typer

from . import __version__
from .config import MOST_MEMORY_MB, MOST_SOCKETS, ConfigError, Limits
from .config import read as read_config
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
    try:
        config = read_config(os.environ) if platform else None
        limits = config.limits if config else Limits(MOST_SOCKETS, MOST_MEMORY_MB)
        room = Room(service.loop, limits)
        if config is not None:
            service.fronts.append(PlatformFront(service.loop, config, room))
        if toolcalls is not None:
            service.fronts.append(_toolcalls(service, toolcalls, room))
    except (ConfigError, OSError) as error:
        raise _complaint(error) from None
    if not service.fronts:
        raise _complaint("nothing to serve: --no-platform and no --toolcalls")
    service.run()


def _toolcalls(service: Service, path: Path, room: Room) -> Front:
    # Only this front needs a DNS library, and a router of the platform has little memory.
    from .dnssd import RecordsError
    from .toolcalls.config import read
    from .toolcalls.front import ToolCallsFront

    try:
        return ToolCallsFront(service.loop, read(path), room, secrets.randbits(64))
    except RecordsError as error:
        raise ConfigError(str(error)) from error


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command()
def check() -> None:
    """Check the configuration that PROXY_CONFIG names, and say what it holds."""
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        raise _complaint(error) from None
    typer.echo(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
        f"{len(config.settings.classes)} classes, {len(config.known.get('instances') or [])} known workers"
    )
