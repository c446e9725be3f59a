"""Charts of experiments; matplotlib comes with the lab extra and is imported only here."""

from __future__ import annotations

from pathlib import Path

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
