"""How commands complain, and how they ask a running agent."""

from __future__ import annotations

from typing import Annotated, Any

import typer

from ..config import ConfigError, address
from ..jsonrpc import RpcError

At = Annotated[str, typer.Option("--agent", help="Where the agent listens.")]
AGENT = "127.0.0.1:7400"


def complaint(error: object) -> typer.Exit:
    typer.echo(f"yewhook: {error}", err=True)
    return typer.Exit(2)


def ask_agent(at: str, method: str, **params: Any) -> Any:
    """Its answer; whatever goes wrong ends the command with one plain line."""
    from ..agent import ask

    try:
        return ask(address(at, "--agent"), method, params)
    except ConfigError as error:
        raise complaint(error) from None
    except RpcError as error:
        typer.echo(f"yewhook: {error.message}", err=True)
    except OSError as error:
        typer.echo(f"yewhook: no agent answers at {at}: {error}", err=True)
    raise typer.Exit(1)
