"""`yewhook levels`: shows the levels of service, as configured and as in force, and pins them."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import typer

from ..config import ConfigError
from ..levels.level import LEVEL_DESCRIPTIONS, Level
from ..levels.settings import ServiceLevelSettings
from ..service_settings import read_settings
from .common import DEFAULT_AGENT_ADDRESS, AgentOption, ask_agent, usage_error

levels = typer.Typer(no_args_is_help=True, help="Levels of service.")
SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}


def parse_duration(text: str) -> float:
    """Parse a duration with its unit, such as `90s`, `10m`, `2h` or `1d`, to seconds. Raises ValueError."""
    match = re.fullmatch(r"([0-9]{1,6}(?:\.[0-9]{1,3})?)([smhd])", text)
    if match is None or float(match[1]) <= 0:
        raise ValueError(f"--for: got {text!r}, expected a time as 90s, 10m, 2h or 1d")
    return float(match[1]) * SECONDS_BY_UNIT[match[2]]


def format_level(front: str, report: dict[str, Any] | None) -> str:
    """Describe the level of a front; None = levels are off."""
    if report is None:
        return f"{front}=levels off"
    pin = f", pinned for {report['pin']['for_s']:.0f} s" if report["pin"] else ""
    watched = " (watched only)" if report["mode"] == "watch" else ""
    return f"{front}={report['level']}{watched} for {report['since_s']:.0f} s{pin}"


def format_settings(settings: ServiceLevelSettings) -> Iterator[str]:
    """Describe the levels and their conditions, one line at a time."""
    yield f"levels are {settings.mode.value}"
    for level in settings.known:
        yield f"{level.label}: {LEVEL_DESCRIPTIONS[level]}"
        if level is Level.FULL:
            continue
        for name, limit in settings.levels[level].conditions.items():
            yield f"    {name:<12} entered from {limit.enter:g}, left under {limit.leave:g}"
        minimum, maximum = settings.levels[level].retry_after
        yield f"    {'Retry-After':<12} {minimum:g} to {maximum:g} s"
    yield (
        f"entered after {settings.confirm:g} s; left after {settings.leave_after:g} to "
        f"{settings.leave_after * (1 + settings.leave_spread):g} s of calm, times {settings.backoff:g} after "
        f"each leave that failed, {settings.leave_most:g} s at most; least stay {settings.least_stay:g} s"
    )


@levels.command()
def show(
    service: Annotated[Path | None, typer.Option("--service", help="An operators' file.")] = None,
    at: Annotated[
        str | None, typer.Option("--agent", help="Show the routers of the agent at this address.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="With --agent: as JSON.")] = False,
) -> None:
    """Print the configured levels and their conditions; with --agent, the current levels of its routers."""
    if at is not None:
        instances = ask_agent(at, "levels/show")["instances"]
        if as_json:
            typer.echo(json.dumps(instances, indent=2))
            return
        for instance in instances:
            for front, report in (instance["levels"] or {}).items():
                typer.echo(f"{instance['name']}\t{format_level(front, report)}")
                if report is not None:
                    signals = " ".join(f"{name}={value:g}" for name, value in report["signals"].items())
                    typer.echo(f"\t{signals}\n\tadmitted by client: {report['admitted']}")
        return
    try:
        settings = read_settings(service).levels
    except ConfigError as error:
        raise usage_error(error) from None
    for line in format_settings(settings):
        typer.echo(line)


@levels.command()
def pin(
    level: Annotated[str, typer.Argument(help=", ".join(level.label for level in Level))],
    reason: Annotated[str, typer.Option("--reason", help="Reason, for the log.")],
    duration: Annotated[str, typer.Option("--for", help="Duration, such as 90s, 10m or 2h.")] = "10m",
    router: Annotated[str | None, typer.Option("--router", help="Name of a router. Default: all.")] = None,
    at: AgentOption = DEFAULT_AGENT_ADDRESS,
) -> None:
    """Hold routers at a level for a time, whatever their signals."""
    try:
        seconds = parse_duration(duration)
    except ValueError as error:
        raise usage_error(error) from None
    _print_outcome(
        ask_agent(at, "levels/pin", level=level, for_s=seconds, reason=reason, **_selection(router))
    )


@levels.command()
def unpin(
    router: Annotated[str | None, typer.Option("--router", help="Name of a router. Default: all.")] = None,
    at: AgentOption = DEFAULT_AGENT_ADDRESS,
) -> None:
    """End a pin: routers choose their level by their signals again."""
    _print_outcome(ask_agent(at, "levels/unpin", **_selection(router)))


def _selection(router: str | None) -> dict[str, Any]:
    return {} if router is None else {"name": router}


def _print_outcome(result: dict[str, Any]) -> None:
    for name in result["told"]:
        typer.echo(f"{name} told")
    for name in result["not_told"]:
        typer.echo(f"{name} could not be told: it is not running", err=True)
    if result["not_told"]:
        raise typer.Exit(1)
