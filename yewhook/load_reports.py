"""Parses the load reports of workers. A report is advice, so a malformed one counts as missing."""

from __future__ import annotations

import json
from typing import Any

from hopshed import interface, wire

MAX_FIGURE = 1e9  # anything larger is not a plausible figure
# Other names under which a report may hold the figures that the settings' columns name
ALTERNATIVE_NAMES = {"avg_ms": "latency_ms", "active": "inflight", "waiting": "queue", "cpu": "util",
                     "rps": "qps", "err_rps": "eps"}  # fmt: skip


def parse_json(text: str | bytes) -> Any:
    """Decode JSON from outside; returns None where it is malformed in any way."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return None


def is_figure(value: Any) -> bool:
    """Whether a value is a plausible number; not-a-number and infinities fail the comparison."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < MAX_FIGURE


def token_count(value: Any) -> int:
    """Returns the number of tokens that a worker states; 0 where it states none."""
    return int(value) if is_figure(value) else 0


def parse_load(raw: Any, columns: tuple[str, ...]) -> interface.Load | None:
    """Translate a decoded report, whose fields the settings' columns name; returns None if malformed."""
    if not isinstance(raw, dict):
        return None
    row = [raw.get(name, raw.get(ALTERNATIVE_NAMES.get(name, name))) for name in columns]
    if not all(value is None or is_figure(value) for value in row):
        return None
    return wire.load(row, list(columns))
