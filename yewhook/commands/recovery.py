"""`yewhook recovery`: how far the routers of an agent have come back."""

from __future__ import annotations

import json
from typing import Annotated, Any

import typer

from .common import DEFAULT_AGENT_ADDRESS, AgentOption, ask_agent

recovery = typer.Typer(no_args_is_help=True, help="Recovery of the fleet from a power loss.")


@recovery.callback()
def _group() -> None:
    """So that `show` stays a command of its own, though it is the only one."""


@recovery.command()
def show(
    at: AgentOption = DEFAULT_AGENT_ADDRESS,
    as_json: Annotated[bool, typer.Option("--json", help="As JSON.")] = False,
) -> None:
    """Show each router's phase, since when, what it trusts from where, and what it waits for."""
    instances = ask_agent(at, "recovery/show")["instances"]
    if as_json:
        typer.echo(json.dumps(instances, indent=2))
        return
    for one in instances:
        told = {front: report for front, report in (one["recovery"] or {}).items() if report is not None}
        lines = [_line(report) for report in told.values()] or ["recovery off"]
        for line in lines:
            typer.echo(f"{one['name']}\t{one['state']}\t{line}")


def _line(report: dict[str, Any]) -> str:
    trusted = ", ".join(f"{count} by {source}" for source, count in report["workers_by_source"].items())
    alive = ", ".join(f"{count} {role}s" for role, count in report["alive"].items())
    parts = [
        f"{report['phase']} for {report['since_s']:.0f} s",
        f"judged {report['judged']}",
        f"workers {trusted or 'none known'}; shown themselves: {alive}",
    ]
    if report["waits_for"]:
        parts.append(f"waits for {report['waits_for']}")
    return "\t".join(parts)
