"""Measures the memory and the start time of a router, with real processes on loopback."""

from __future__ import annotations

import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from yewhook.memory_monitor import resident_bytes

PROCESSES = 5  # of each kind
SETTLE_S = 1.5  # from the start until memory is read
JSON_LINES = '[log]\nform = "json"\n[levels]\nmode = "on"\n'
LEVELS_ON = '[levels]\nmode = "on"\n'


@dataclass(frozen=True, slots=True)
class Cost:
    """The memory and start time of one kind of router."""

    what: str
    resident: float  # MiB, median
    start: float  # milliseconds until it listens, median


def measure(root: Path) -> Iterator[Cost]:
    """Measure routers of the program in this folder: without settings file, with levels, with JSON logs.

    Earlier releases without a settings file are measured without it only.
    """
    yield _median_cost("no operators' file", root, None)
    # In earlier releases the module that reads the settings file is called operators.py.
    if any((root / "yewhook" / name).exists() for name in ("settings_file.py", "operators.py")):
        yield _median_cost("levels on", root, LEVELS_ON)
        yield _median_cost("levels on, JSON lines", root, JSON_LINES)


def _median_cost(what: str, root: Path, settings: str | None) -> Cost:
    with tempfile.TemporaryDirectory() as folder:
        starts = [_measure_process(root, Path(folder), settings) for _ in range(PROCESSES)]
    return Cost(
        what,
        statistics.median(resident for resident, _ in starts),
        statistics.median(start for _, start in starts),
    )


def _measure_process(root: Path, folder: Path, settings: str | None) -> tuple[float, float]:
    config = folder / "config.json"
    module_settings = json.loads((Path(__file__).parents[1] / "deploy" / "settings.json").read_text())
    base = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1"}
    config.write_text(json.dumps(base | {"settings": module_settings}))
    command = [sys.executable, "-m", "yewhook", "serve"]
    if settings is not None:
        (folder / "service.toml").write_text(settings)
        command += ["--service", str(folder / "service.toml")]
    launched = time.monotonic()
    env = os.environ | {"PROXY_CONFIG": str(config)}
    with subprocess.Popen(command, cwd=root, env=env, stderr=subprocess.PIPE, text=True) as process:
        assert process.stderr is not None
        for line in process.stderr:
            if "serving" in line:
                break
        start = time.monotonic() - launched
        time.sleep(SETTLE_S)
        resident = resident_bytes(process.pid) / (1 << 20)
        process.send_signal(signal.SIGTERM)
        process.stderr.read()
        process.wait()
    return resident, 1000.0 * start
