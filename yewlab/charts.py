"""Charts of experiments; matplotlib comes with the lab extra and is imported only here."""

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
    """Load and level over time while capacity falls, and what that was worth with levels and without."""
    figure, (over_time, worth) = pyplot.subplots(1, 2, figsize=(11, 4), width_ratios=(2, 1))
    times = [at for at, _, _ in on.samples]
    over_time.plot(times, [load for _, load, _ in on.samples], label="load")
    over_time.set_xlabel("s")
    over_time.set_ylabel("load")
    steps = over_time.twinx()
    steps.step(times, [level for _, _, level in on.samples], where="post", color="tab:red", label="level")
    steps.set_yticks(list(Level), [level.label for level in Level])
    over_time.set_title("capacity falls to 60% and comes back cold")
    phases = list(on.by_phase)
    for shift, (label, run) in enumerate((("without levels", off), ("with levels", on))):
        places = [n + 0.4 * shift for n in range(len(phases))]
        worth.bar(places, [run.by_phase[name][2] for name in phases], 0.4, label=label)
    worth.set_xticks([n + 0.2 for n in range(len(phases))], phases)
    worth.set_title("service-log answered in time")
    worth.legend()
    figure.tight_layout()
    # Without a date, the same result gives the same file.
    metadata = {"Date": None} if path.suffix == ".svg" else None
    figure.savefig(path, metadata=metadata)
    pyplot.close(figure)


Answered = Sequence[tuple[float, float]]  # s, part of the worth asked for in that second


def draw_return(ours: Answered, theirs: Answered, figures: Mapping[str, Any], path: Path) -> None:
    """What of each second's worth is answered after a power loss, with the recovery and without it."""
    figure, axes = pyplot.subplots(figsize=(8, 4))
    for label, run in (("without the recovery", theirs), ("with it", ours)):
        axes.plot([at for at, _ in run], [part for _, part in run], label=label)
    for name, words in (("warm_half_s", "half is warm"), ("warm_full_s", "nine tenths are")):
        if figures[name] is not None:
            axes.axvline(figures[name], linestyle=":", color="tab:gray")
            axes.annotate(words, (figures[name], 1.0), rotation=90, va="top", ha="right")
    axes.set_xlabel("s after the first hall's return")
    axes.set_ylabel("worth answered, of that asked for")
    axes.set_ylim(0.0, 1.05)
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.suffix == ".svg" else None)
    pyplot.close(figure)
