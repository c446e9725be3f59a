"""Log lines on standard error: one event a line, and of each event only so many in a while."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass

BURST, SPAN = 10, 10.0  # lines of one event in so many seconds


@dataclass(slots=True)
class _Window:
    since: float
    lines: int = 0
    dropped: int = 0


class Log:
    """`event` names what happened, in fixed words that the on-call page lists; `detail` says the rest."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._windows: dict[str, _Window] = {}

    def __call__(self, event: str, detail: str = "") -> None:
        now = time.monotonic()
        window = self._windows.get(event)
        if window is None or now - window.since > SPAN:
            dropped = window.dropped if window else 0
            window = self._windows[event] = _Window(now)
            if dropped:
                detail += f" ({dropped} lines like this were left out)"
        window.lines += 1
        if window.lines > BURST:
            window.dropped += 1
            return
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime())
        print(f"{stamp} {self.name} {event}{': ' + detail if detail else ''}", file=sys.stderr, flush=True)
