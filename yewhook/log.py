"""Log lines on standard error, on the standard library's `logging`: one event a line, each only so often in a
while."""

from __future__ import annotations

import logging
import sys
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any

BURST, SPAN = 10, 10.0  # lines of one event in so many seconds


class LogFormat(Enum):
    CONSOLE = "console"  # for people
    JSON = "json"  # one object a line, for what collects logs


@dataclass(slots=True)
class _Window:
    since: float
    lines: int = 0
    dropped: int = 0


class RateLimit:
    """Lets of each event only so many lines through; the next one after that says how many were left out."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def left_out(self, event: str) -> int | None:
        """How many lines were left out before this one; None where it is to be left out, too."""
        now = time.monotonic()
        window, dropped = self._windows.get(event), 0
        if window is None or now - window.since > SPAN:
            dropped = window.dropped if window else 0
            window = self._windows[event] = _Window(now)
        window.lines += 1
        if window.lines > BURST:
            window.dropped += 1
            return None
        return dropped


class Console(logging.Formatter):
    converter = staticmethod(time.gmtime)

    def format(self, record: logging.LogRecord) -> str:
        detail, left_out = record.__dict__.get("detail", ""), record.__dict__.get("left_out", 0)
        if left_out:
            detail += f" ({left_out} lines like this were left out)"
        stamp = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        return f"{stamp} {record.name} {record.msg}{': ' + detail if detail else ''}"


def _formatter(form: LogFormat) -> logging.Formatter:
    if form is LogFormat.CONSOLE:
        return Console()
    from pythonjsonlogger.json import JsonFormatter  # only those who ask for JSON pay for it

    return JsonFormatter(
        "%(name)s %(message)s",
        timestamp=True,
        rename_fields={"name": "router", "message": "event"},
    )


class _Stderr(logging.StreamHandler[Any]):
    """Writes to what standard error is at the time."""

    def emit(self, record: logging.LogRecord) -> None:
        self.stream = sys.stderr
        super().emit(record)


class Log:
    """`event` names what happened, in fixed words that the on-call page lists; `detail` says the rest, and
    `figures` are what machines read of it."""

    def __init__(self, name: str, form: LogFormat = LogFormat.CONSOLE, detailed: bool = False) -> None:
        """`detailed` = write each step of each request, too, and every line of each event."""
        self.name, self.detailed = name, detailed
        self._handler, self._limit = _Stderr(), RateLimit()
        self.set_format(form)

    def set_format(self, form: LogFormat) -> None:
        """Write in this form from now on."""
        self._handler.setFormatter(_formatter(form))

    def __call__(self, event: str, detail: str = "", **figures: object) -> None:
        # Bad clients cause lines by the hundred: one that is left out must cost next to nothing, and a
        # logger's own way to a record walks the stack first.
        left_out = 0 if self.detailed else self._limit.left_out(event)
        if left_out is None:
            return
        record = logging.LogRecord(self.name, logging.INFO, "", 0, event, None, None)
        told = {"detail": detail} if detail else {}
        record.__dict__.update(told | figures | ({"left_out": left_out} if left_out else {}))
        self._handler.handle(record)
