"""What a router holds in memory and how long it takes to start, by real processes on loopback."""

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

from yewhook.service_level_admin import resident_bytes

STARTS, SETTLE = 5, 1.5  # processes of each kind; s until memory is read
JSON_LINES = '[log]\nform = "json"\n[levels]\nmode = "on"\n'
LEVELS_ON = '[levels]\nmode = "on"\n'


@dataclass(frozen=True, slots=True)
class Cost:
    what: str
    resident: float  # MB, median
    start: float  # ms until it listens, median


def measure(root: Path) -> Iterator[Cost]:
    """Routers of the program in that folder: plain, with levels, with JSON lines, as far as it has them."""
    yield _cost("no operators' file", root, None)
    # Earlier releases have the module that reads the settings file under its former name.
    if any((root / "yewhook" / name).exists() for name in ("settings_file.py", "operators.py")):
        yield _cost("levels on", root, LEVELS_ON)
        yield _cost("levels on, JSON lines", root, JSON_LINES)


def _cost(what: str, root: Path, settings: str | None) -> Cost:
    with tempfile.TemporaryDirectory() as folder:
        starts = [_start(root, Path(folder), settings) for _ in range(STARTS)]
    return Cost(what, statistics.median(r for r, _ in starts), statistics.median(s for _, s in starts))


def _start(root: Path, folder: Path, settings: str | None) -> tuple[float, float]:
    config = folder / "config.json"
    settings_of = json.loads((Path(__file__).parents[1] / "deploy" / "settings.json").read_text())
    told = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1"}
    config.write_text(json.dumps(told | {"settings": settings_of}))
    command = [sys.executable, "-m", "yewhook", "serve"]
    if settings is not None:
        (folder / "service.toml").write_text(settings)
        command += ["--service", str(folder / "service.toml")]
    began = time.monotonic()
    env = os.environ | {"PROXY_CONFIG": str(config)}
    with subprocess.Popen(command, cwd=root, env=env, stderr=subprocess.PIPE, text=True) as process:
        assert process.stderr is not None
        for line in process.stderr:
            if "serving" in line:
                break
        start = time.monotonic() - began
        time.sleep(SETTLE)
        held = resident_bytes(process.pid) / (1 << 20)
        process.send_signal(signal.SIGTERM)
        process.stderr.read()
        process.wait()
    return held, 1000.0 * start
