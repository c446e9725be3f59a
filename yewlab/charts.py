"""Charts of experiments. This is the only module that imports matplotlib, a package of the lab extra."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from yewhook.levels.level import Level

from .levels import Fall


def draw_fall(on: Fall, off: Fall, path: Path) -> None:
    """Write a chart of load and level over time while capacity falls, and of worth with and without levels.

    The suffix of the path chooses the format.
    """
    figure, (over_time, worth) = pyplot.subplots(1, 2, figsize=(11, 4), width_ratios=(2, 1))
    times = [at for at, _, _ in on.samples]
    over_time.plot(times, [load for _, load, _ in on.samples], label="load")
    over_time.set_xlabel("seconds")
    over_time.set_ylabel("load")
    steps = over_time.twinx()
    steps.step(times, [level for _, _, level in on.samples], where="post", color="tab:red", label="level")
    steps.set_yticks(list(Level), [level.label for level in Level])
    over_time.set_title("capacity falls to 60% and returns cold")
    phases = list(on.by_phase)
    for shift, (label, run) in enumerate((("without levels", off), ("with levels", on))):
        places = [n + 0.4 * shift for n in range(len(phases))]
        worth.bar(places, [run.by_phase[name][2] for name in phases], 0.4, label=label)
    worth.set_xticks([n + 0.2 for n in range(len(phases))], phases)
    worth.set_title("service-log answered in time")
    worth.legend()
    figure.tight_layout()
    # Without a date, the same result gives an identical file.
    metadata = {"Date": None} if path.suffix == ".svg" else None
    figure.savefig(path, metadata=metadata)
    pyplot.close(figure)


AnsweredWorth = Sequence[tuple[float, float]]  # seconds, worth answered / worth asked for in that second


def draw_return(ours: AnsweredWorth, theirs: AnsweredWorth, figures: Mapping[str, Any], path: Path) -> None:
    """Write a chart of the worth answered in each second after a power loss, with and without the recovery.

    The suffix of the path chooses the format.
    """
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for label, run in (("without the recovery", theirs), ("with the recovery", ours)):
        axes.plot([at for at, _ in run], [share for _, share in run], label=label)
    for name, caption in (("warm_half_s", "half is warm"), ("warm_full_s", "nine tenths are warm")):
        if figures[name] is not None:
            axes.axvline(figures[name], linestyle=":", color="tab:gray")
            axes.annotate(caption, (figures[name], 1.0), rotation=90, va="top", ha="right")
    axes.set_xlabel("seconds after the first zone's return")
    axes.set_ylabel("worth answered / worth asked for")
    axes.set_ylim(0.0, 1.05)
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)
