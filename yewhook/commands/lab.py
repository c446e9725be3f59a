"""`yewhook lab`: experiments in the laboratory, which is installed as an extra and imported only here."""

from __future__ import annotations

import json
from typing import Annotated

import typer

lab = typer.Typer(no_args_is_help=True, help="Experiments on virtual time (needs the lab extra).")
Seed = Annotated[int, typer.Option(min=0, help="The same seed gives the same result.")]


@lab.callback()
def main() -> None:
    """Keeps `lab` a group of commands."""


@lab.command()
def levels(
    seed: Seed = 1,
    minutes: Annotated[float, typer.Option(min=1.0, max=60.0, help="Simulated, at each threshold.")] = 10.0,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object at the end.")] = False,
) -> None:
    """Swing load round every threshold of the levels of service, and compare with none; exit 1 if it
    fails."""
    from yewlab.levels import experiment

    result = experiment(seed, minutes)
    for line in result.lines():
        typer.echo(line, err=as_json)
    if as_json:
        typer.echo(json.dumps(result.figures()))
    raise typer.Exit(0 if result.holds else 1)
