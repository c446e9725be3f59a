"""Shared by the commands: error output, reading of the operators' file and requests to an agent."""

from __future__ import annotations

from typing import Annotated, Any

import typer

from ..config import ConfigError, parse_address
from ..jsonrpc import RpcError

AgentOption = Annotated[str, typer.Option("--agent", help="Where the agent listens.")]
DEFAULT_AGENT_ADDRESS = "127.0.0.1:7400"


def usage_error(error: object) -> typer.Exit:
    """Print an error; returns the exception that ends the command with status 2."""
    typer.echo(f"yewhook: {error}", err=True)
    return typer.Exit(2)


def ask_agent(at: str, method: str, timeout: float = 5.0, **params: Any) -> Any:
    """Send a request to an agent and return the result.

    On an error the command prints one line and exits, with status 2 for an invalid address and 1 otherwise.
    `timeout` in seconds.
    """
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
