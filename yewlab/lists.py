"""How long a changed list of workers, and the decision after it, keep a router's loop from all else."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from hopshed import interface
from hopshed.control import Controller
from yewhook.config import parse_settings
from yewhook.log import Log
from yewhook.worker_list import WorkerList

REPEATS = 25
CHANGED_PART, CELL = 5, 6  # one entry in so many changes its state each time; workers of a cell


@dataclass(frozen=True, slots=True)
class Stop:
    entries: int
    list_median: float  # ms for a whole list with changes, from discovery's form to the module
    list_worst: float
    turn_median: float  # ms for the first arrival after it, whose hash order is not known any more
    turn_worst: float


def measure(sizes: tuple[int, ...], routers: int = 40) -> Iterator[Stop]:
    """Lists of these lengths, at one of so many routers."""
    raw = json.loads((Path(__file__).parents[1] / "deploy" / "settings.json").read_text())
    settings, names = parse_settings(raw | {"instances": routers})
    for size in sizes:
        worker_list, module = WorkerList(names, 0.0, Log("lab")), Controller(settings, 1)
        entries = [
            {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{1024 + n}", "cell": n // CELL,
             "lifecycle": "up",
             "zone": names.zones[n % len(names.zones)], "machineType": names.kinds[n % len(names.kinds)]}
            for n in range(size)
        ]  # fmt: skip
        lists, turns = [], []
        for repeat in range(REPEATS):
            for entry in entries[::CHANGED_PART]:
                entry["lifecycle"] = "draining" if repeat % 2 else "up"
            now, name = 100.0 + repeat, f"r{repeat}"
            began = time.perf_counter()
            servers = worker_list.parse({"reset": True, "instances": entries})
            module.handle(now, [interface.ServersListed(interface.ListKind.FULL, servers)])
            listed = time.perf_counter()
            module.handle(now, [interface.RequestArrived(name, 0, 0, name, 5.0, 1000.0, max_tokens=200.0)])
            lists.append(1000.0 * (listed - began))
            turns.append(1000.0 * (time.perf_counter() - listed))
        yield Stop(size, median(lists), max(lists), median(turns), max(turns))
