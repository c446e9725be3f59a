"""`yewhook lab`: experiments of the package yewlab, which is an optional extra and imported on use only."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated

import typer

lab = typer.Typer(no_args_is_help=True, help="Experiments and simulations (needs the lab extra).")
POWER = "power"  # day of `lab fleet` with a power loss of all parts, run with recovery and without
SeedOption = Annotated[int, typer.Option(min=0, help="The same seed gives the same result.")]


@lab.command()
def levels(
    seed: SeedOption = 1,
    minutes: Annotated[
        float, typer.Option(min=1.0, max=60.0, help="Simulated time at each threshold.")
    ] = 10.0,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object at the end.")] = False,
    chart: Annotated[
        Path | None, typer.Option(help="Write a chart of the loss of capacity to this file.")
    ] = None,
) -> None:
    """Vary load around each threshold of the levels of service and compare with levels off; exit 1 if
    a check fails."""
    from yewlab.levels import experiment

    result = experiment(seed, minutes)
    if chart is not None:
        from yewlab.charts import draw_fall

        draw_fall(result.on, result.off, chart)
    for line in result.lines():
        typer.echo(line, err=as_json)
    if as_json:
        typer.echo(json.dumps(result.figures()))
    raise typer.Exit(0 if result.holds else 1)


@lab.command()
def memory(
    root: Annotated[Path, typer.Option(help="Source folder of this or an earlier version.")] = Path(),
) -> None:
    """Print the memory (MB) and start time (ms) of routers in several configurations."""
    from yewlab.memory import measure

    for cost in measure(root.resolve()):
        typer.echo(f"{cost.what:<24} {cost.resident:6.1f} MB {cost.start:6.0f} ms")


@lab.command()
def hard_cases(
    seeds: Annotated[
        int, typer.Option(min=1, max=100, help="Runs of each case, with levels and without.")
    ] = 12,
) -> None:
    """Print the worth, and that of fault-lookup and service-log, in hard cases, without levels of service and
    with."""
    from yewlab.hardcases import compare

    for line in compare(seeds):
        typer.echo(line)


@lab.command()
def lists(
    size: Annotated[
        list[int] | None, typer.Option(min=1, help="Entries of the list; may be repeated.")
    ] = None,
) -> None:
    """Print how long a changed list of workers, and the turn after it, block the event loop (ms)."""
    from yewlab.lists import measure

    for pause in measure(tuple(size or (60, 600))):
        typer.echo(
            f"{pause.entries:5d} entries: list {pause.list_median:.2f}, worst {pause.list_worst:.2f}; "
            f"turn {pause.turn_median:.2f}, worst {pause.turn_worst:.2f}"
        )


@lab.command()
def fleet(
    day: Annotated[
        list[str] | None, typer.Option(help="A day to simulate; may be repeated. Default: all but `power`.")
    ] = None,
    seed: SeedOption = 1,
    routers: Annotated[int, typer.Option(min=2, max=1000)] = 200,
    workers: Annotated[int, typer.Option(min=5, max=1000)] = 100,
    load: Annotated[float, typer.Option(min=0.1, max=10.0, help="Turns per second and worker.")] = 0.75,
    chart: Annotated[
        Path | None, typer.Option(help="Write a chart of the recovery in `power` to this file.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object at the end.")] = False,
) -> None:
    """Simulate days of many routers on virtual time and check the rules across all of them; exit 1 if one is
    broken."""
    from yewlab.mass import DAYS, play_all
    from yewlab.power import compare

    names, known = day or list(DAYS), [*DAYS, POWER]
    if unknown := [name for name in names if name not in known]:
        raise typer.BadParameter(f"{unknown[0]!r}: expected one of {', '.join(known)}", param_hint="--day")
    power_loss = compare(seed, routers, workers, load) if POWER in names else None
    results = play_all([name for name in names if name != POWER], seed, routers, workers, load)
    for result in results:
        typer.echo(
            f"{result.day:<6} {result.turns} turns, worth {result.worth:.3f}, {result.refused} refused, "
            f"{result.failed} unserved, {len(result.broken)} rules broken"
            + "".join(f"\n       {what}" for what in (*result.broken[:5], *result.faults[:5])),
            err=as_json,
        )
    if power_loss is not None and chart is not None:
        from yewlab.charts import draw_return

        draw_return(power_loss.ours.answered, power_loss.theirs.answered, power_loss.figures(), chart)
    figures = {result.day: result.figures() for result in results}
    if power_loss is not None:
        figures[POWER] = power_loss.figures()
        typer.echo(f"{POWER:<6} {power_loss.figures()}", err=as_json)
        for what in (*power_loss.ours.broken[:5], *power_loss.ours.faults[:5]):
            typer.echo(f"       {what}", err=as_json)
    if as_json:
        typer.echo(json.dumps(figures))
    all_hold = all(result.holds for result in results) and (power_loss is None or power_loss.holds)
    raise typer.Exit(0 if all_hold else 1)


@lab.command()
def operate(
    seed: SeedOption = 1,
    acts: Annotated[int, typer.Option(min=1, max=6, help="Drains and upgrades of each router.")] = 4,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object at the end.")] = False,
) -> None:
    """Drain and upgrade router processes under load, with faults; exit 1 if a check fails."""
    from yewlab.processes.operate import experiment

    result = experiment(seed, acts=acts)
    for line in [*result.timeline, *result.broken[:20]]:
        typer.echo(line, err=as_json)
    typer.echo(json.dumps(result.figures))
    raise typer.Exit(0 if result.holds else 1)


@lab.command()
def soak(
    first: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds, run in sequence.")] = 1,
    faults: Annotated[int, typer.Option(min=1, help="Faults per seed.")] = 5,
) -> None:
    """Inject random faults into router processes; exit 1 if a rule is broken or a request unanswered."""
    from yewlab.processes.soak import play

    holds = True
    for seed in range(first, first + seeds):
        result = play(seed, faults)
        holds = holds and result.holds
        typer.echo(
            f"seed {seed}: {result.requests} requests, {result.served} served, "
            f"{result.unanswered} unanswered, {len(result.broken)} rules broken: {', '.join(result.timeline)}"
        )
        for what in result.broken[:10]:
            typer.echo(f"    {what}")
    raise typer.Exit(0 if holds else 1)


@lab.command()
def power(
    seed: SeedOption = 1,
    fault: Annotated[list[str] | None, typer.Option(help="Name of a fault; may be repeated.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object at the end.")] = False,
) -> None:
    """Cut the power of agent, routers, workers and register at once, with recovery and without; exit 1 if a
    rule is broken or recovery brings no gain."""
    from yewlab.processes.power import FAULTS, experiment

    if unknown := [name for name in fault or [] if name not in FAULTS]:
        raise typer.BadParameter(f"{unknown[0]!r}: expected one of {', '.join(FAULTS)}", param_hint="--fault")
    result = experiment(seed, tuple(fault or ()), lambda line: typer.echo(line, err=as_json))
    for line in result.log_lines[:200]:
        typer.echo(line, err=as_json)
    typer.echo(json.dumps(result.figures))
    raise typer.Exit(0 if result.holds else 1)


@lab.command()
def replace(
    way: Annotated[
        list[str] | None, typer.Option(help="Way of replacing; may be repeated. Default: all.")
    ] = None,
    seed: SeedOption = 1,
) -> None:
    """Replace each router of a small fleet in turn, under load, and print the cost of each way to do it."""
    from yewlab.processes.replace import WAYS, measure

    if unknown := [name for name in way or [] if name not in WAYS]:
        raise typer.BadParameter(f"{unknown[0]!r}: expected one of {', '.join(WAYS)}", param_hint="--way")
    costs = [measure(name, seed) for name in way or WAYS]
    for cost in costs:
        typer.echo(
            f"{cost.way:<8} worth {cost.worth:.3f} of {cost.requests} requests, "
            f"{cost.lost_with_process} lost with a process, {cost.unread} unread, "
            f"{cost.broken_off} broken off, {cost.rules_broken} rules broken"
        )
        if cost.last_taken is not None and cost.last_answered is not None:
            typer.echo(
                f"         after the order last taken {cost.last_taken:.2f} s, "
                f"last answered {cost.last_answered:.2f} s"
            )
    raise typer.Exit(0 if not any(cost.rules_broken for cost in costs) else 1)
