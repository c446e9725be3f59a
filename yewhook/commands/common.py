"""What commands have in common: how they complain, read the operators' file and ask a running agent."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

from ..config import ConfigError, parse_address
from ..jsonrpc import RpcError
from ..service_settings import ServiceSettings

AgentOption = Annotated[str, typer.Option("--agent", help="Where the agent listens.")]
DEFAULT_AGENT_ADDRESS = "127.0.0.1:7400"


def usage_error(error: object) -> typer.Exit:
    typer.echo(f"yewhook: {error}", err=True)
    return typer.Exit(2)


def read_settings(path: Path | None) -> ServiceSettings:
    """What the operators' file says, or what holds without one. Raises ConfigError."""
    if path is None:
        return ServiceSettings()
    from ..settings_file import read  # the checking of it costs memory, which those without a file keep

    return read(path)


def ask_agent(at: str, method: str, timeout: float = 5.0, **params: Any) -> Any:
    """Its answer; whatever goes wrong ends the command with one plain line."""
    from ..agent.client import ask

    try:
        return ask(parse_address(at, "--agent"), method, params, timeout)
    except ConfigError as error:
        raise usage_error(error) from None
    except RpcError as error:
        typer.echo(f"yewhook: {error.message}", err=True)
    except OSError as error:
        typer.echo(f"yewhook: no agent answers at {at}: {error}", err=True)
    raise typer.Exit(1)
