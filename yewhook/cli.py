"""The command line."""

from __future__ import annotations

import os

import typer

from . import __version__
from .config import Config, ConfigError
from .config import read as read_config

app = typer.Typer(no_args_is_help=True, add_completion=False, help="A router for model servers.")


def _config() -> Config:
    try:
        return read_config(os.environ)
    except ConfigError as error:
        typer.echo(f"yewhook: {error}", err=True)
        raise typer.Exit(2) from None


@app.command()
def serve() -> None:
    """Run one router on the platform's protocol, as PROXY_CONFIG says."""
    from .log import Log
    from .platform.service import Service

    config = _config()
    Service(config, Log(config.name)).run()


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


@app.command()
def check() -> None:
    """Check the configuration that PROXY_CONFIG names, and say what it holds."""
    config = _config()
    typer.echo(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
        f"{len(config.settings.classes)} classes, {len(config.known.get('instances') or [])} known workers"
    )
