"""How long a changed list of workers, and the first decision after it, block a router's event loop."""

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

MEASUREMENTS = 25
CHANGED_EVERY = 5  # one entry in so many changes its state between measurements
WORKERS_PER_CELL = 6


@dataclass(frozen=True, slots=True)
class ListTiming:
    """Times in milliseconds for one length of list."""

    entries: int
    list_median: float  # to parse a full list with changes and to pass it to `hopshed`
    list_worst: float
    turn_median: float  # to decide on the first arrival after it, which must compute its hash order again
    turn_worst: float


def measure(sizes: tuple[int, ...], routers: int = 40) -> Iterator[ListTiming]:
    """Measure lists of these lengths, at one of so many routers."""
    raw = json.loads((Path(__file__).parents[1] / "deploy" / "settings.json").read_text())
    settings, names = parse_settings(raw | {"instances": routers})
    for size in sizes:
        worker_list, controller = WorkerList(names, 0.0, Log("lab")), Controller(settings, 1)
        entries = [
            {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{1024 + n}", "cell": n // WORKERS_PER_CELL,
             "lifecycle": "up",
             "zone": names.zones[n % len(names.zones)], "machineType": names.kinds[n % len(names.kinds)]}
            for n in range(size)
        ]  # fmt: skip
        lists, turns = [], []
        for repeat in range(MEASUREMENTS):
            for entry in entries[::CHANGED_EVERY]:
                entry["lifecycle"] = "draining" if repeat % 2 else "up"
            now, name = 100.0 + repeat, f"r{repeat}"
            start = time.perf_counter()
            servers = worker_list.parse({"reset": True, "instances": entries})
            controller.handle(now, [interface.ServersListed(interface.ListKind.FULL, servers)])
            listed = time.perf_counter()
            controller.handle(
                now, [interface.RequestArrived(name, 0, 0, name, 5.0, 1000.0, max_tokens=200.0)]
            )
            lists.append(1000.0 * (listed - start))
            turns.append(1000.0 * (time.perf_counter() - listed))
        yield ListTiming(size, median(lists), max(lists), median(turns), max(turns))
