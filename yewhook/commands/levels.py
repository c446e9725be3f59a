"""`yewhook levels`: the levels of service as they are configured, as they stand, and held by hand."""

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
from .common import DEFAULT_AGENT_ADDRESS, AgentOption, ask_agent, read_settings, usage_error

levels = typer.Typer(no_args_is_help=True, help="Levels of reduced service.")
UNITS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


def seconds_of(text: str) -> float:
    """A time with its unit, as `90s`, `10m`, `2h` or `1d`. Raises ValueError."""
    found = re.fullmatch(r"([0-9]{1,6}(?:\.[0-9]{1,3})?)([smhd])", text)
    if found is None or float(found[1]) <= 0:
        raise ValueError(f"--for: got {text!r}, expected a time as 90s, 10m, 2h or 1d")
    return float(found[1]) * UNITS[found[2]]


def level_of(front: str, told: dict[str, Any] | None) -> str:
    """One front's level, in a few words."""
    if told is None:
        return f"{front}=levels off"
    pin = f", pinned for {told['pin']['for_s']:.0f} s" if told["pin"] else ""
    watched = " (watched only)" if told["mode"] == "watch" else ""
    return f"{front}={told['level']}{watched} for {told['since_s']:.0f} s{pin}"


def table(settings: ServiceLevelSettings) -> Iterator[str]:
    """The levels with their conditions, a line each."""
    yield f"levels are {settings.mode.value}"
    for level in settings.known:
        yield f"{level.label}: {LEVEL_DESCRIPTIONS[level]}"
        if level is Level.FULL:
            continue
        for name, limit in settings.levels[level].conditions.items():
            yield f"    {name:<12} entered from {limit.enter:g}, left under {limit.leave:g}"
        least, most = settings.levels[level].retry_after
        yield f"    {'Retry-After':<12} {least:g} to {most:g} s"
    yield (
        f"entered after {settings.confirm:g} s; left after {settings.leave_after:g} to "
        f"{settings.leave_after * (1 + settings.leave_spread):g} s of calm, times {settings.backoff:g} after "
        f"each leave that failed, {settings.leave_most:g} s at most; least stay {settings.least_stay:g} s"
    )


@levels.command()
def show(
    service: Annotated[Path | None, typer.Option("--service", help="An operators' file.")] = None,
    at: Annotated[str | None, typer.Option("--agent", help="Ask this agent how its routers stand.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="With --agent: as JSON.")] = False,
) -> None:
    """Print the levels with their conditions as configured; with --agent, where its routers stand."""
    if at is not None:
        told = ask_agent(at, "levels/show")["instances"]
        if as_json:
            typer.echo(json.dumps(told, indent=2))
            return
        for one in told:
            for front, level in (one["levels"] or {}).items():
                typer.echo(f"{one['name']}\t{level_of(front, level)}")
                if level is not None:
                    figures = " ".join(f"{name}={value:g}" for name, value in level["signals"].items())
                    typer.echo(f"\t{figures}\n\tadmitted by client: {level['admitted']}")
        return
    try:
        settings = read_settings(service).levels
    except ConfigError as error:
        raise usage_error(error) from None
    for line in table(settings):
        typer.echo(line)


@levels.command()
def pin(
    level: Annotated[str, typer.Argument(help=", ".join(level.label for level in Level))],
    reason: Annotated[str, typer.Option("--reason", help="Why; it is logged.")],
    duration: Annotated[str, typer.Option("--for", help="How long, as 90s, 10m, 2h.")] = "10m",
    router: Annotated[str | None, typer.Option("--router", help="One router; else all.")] = None,
    at: AgentOption = DEFAULT_AGENT_ADDRESS,
) -> None:
    """Hold routers at a level, whatever they see; it ends by itself."""
    try:
        seconds = seconds_of(duration)
    except ValueError as error:
        raise usage_error(error) from None
    _told(ask_agent(at, "levels/pin", level=level, for_s=seconds, reason=reason, **_one(router)))


@levels.command()
def unpin(
    router: Annotated[str | None, typer.Option("--router", help="One router; else all.")] = None,
    at: AgentOption = DEFAULT_AGENT_ADDRESS,
) -> None:
    """Let routers judge for themselves again."""
    _told(ask_agent(at, "levels/unpin", **_one(router)))


def _one(router: str | None) -> dict[str, Any]:
    return {} if router is None else {"name": router}


def _told(answer: dict[str, Any]) -> None:
    for name in answer["told"]:
        typer.echo(f"{name} told")
    for name in answer["not_told"]:
        typer.echo(f"{name} could not be told: it is not running", err=True)
    if answer["not_told"]:
        raise typer.Exit(1)
