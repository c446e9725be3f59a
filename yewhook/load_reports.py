"""Load reports as workers write them. One that can't be read is only missing: a report is advice."""

from __future__ import annotations

import json
from typing import Any

from hopshed import interface as i
from hopshed import wire

MOST = 1e9  # whatever is larger is no figure of a worker's load
# Names under which a report may hold what the settings' columns name
SAME = {"avg_ms": "latency_ms", "active": "inflight", "waiting": "queue", "cpu": "util", "rps": "qps",
        "err_rps": "eps"}  # fmt: skip


def parse_json(text: str | bytes) -> Any:
    """JSON from outside; None for what can't be read, however it is malformed."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return None


def is_figure(value: Any) -> bool:
    """Whether it is a number that makes sense; not-a-number and infinities lie in no range."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < MOST


def token_count(value: Any) -> int:
    """A number of tokens that a worker states; 0 where it states none."""
    return int(value) if is_figure(value) else 0


def parse_load(raw: Any, columns: tuple[str, ...]) -> i.Load | None:
    """A report under the names of the settings' columns; None where it can't be read."""
    if not isinstance(raw, dict):
        return None
    row = [raw.get(name, raw.get(SAME.get(name, name))) for name in columns]
    if not all(value is None or is_figure(value) for value in row):
        return None
    return wire.load(row, list(columns))
