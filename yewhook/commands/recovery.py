"""`yewhook recovery`: shows how far the routers of an agent have recovered from a power loss."""

from __future__ import annotations

import json
from typing import Annotated, Any

import typer

from .common import DEFAULT_AGENT_ADDRESS, AgentOption, ask_agent

recovery = typer.Typer(no_args_is_help=True, help="Recovery of the fleet from a power loss.")


@recovery.callback()
def _group() -> None:
    """Keeps `show` a subcommand: typer would merge a single command into its group."""


@recovery.command()
def show(
    at: AgentOption = DEFAULT_AGENT_ADDRESS,
    as_json: Annotated[bool, typer.Option("--json", help="As JSON.")] = False,
) -> None:
    """Show the recovery phase of each router, since when, its sources of data and what it waits for."""
    instances = ask_agent(at, "recovery/show")["instances"]
    if as_json:
        typer.echo(json.dumps(instances, indent=2))
        return
    for instance in instances:
        reports = {
            front: report for front, report in (instance["recovery"] or {}).items() if report is not None
        }
        lines = [_format_report(report) for report in reports.values()] or ["recovery off"]
        for line in lines:
            typer.echo(f"{instance['name']}\t{instance['state']}\t{line}")


def _format_report(report: dict[str, Any]) -> str:
    sources = ", ".join(f"{count} by {source}" for source, count in report["workers_by_source"].items())
    alive = ", ".join(f"{count} {role}s" for role, count in report["alive"].items())
    parts = [
        f"{report['phase']} for {report['since_s']:.0f} s",
        f"judged {report['judged']}",
        f"workers {sources or 'none known'}; shown themselves: {alive}",
    ]
    if report["waits_for"]:
        parts.append(f"waits for {report['waits_for']}")
    return "\t".join(parts)
