"""Logging to standard error by the standard library's `logging`: one event per line, rate limited."""

from __future__ import annotations

import logging
import sys
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any

BURST = 10  # lines of one event per SPAN
SPAN = 10.0  # seconds
MAX_DETAIL = 4000  # characters of a detail; others may choose what it quotes


class LogFormat(Enum):
    """Format of the log lines; the values are those of the operators' file."""

    CONSOLE = "console"  # readable text
    JSON = "json"  # one object per line, for log collectors


@dataclass(slots=True)
class _Window:
    started_at: float
    lines: int = 0
    dropped: int = 0


class RateLimit:
    """Limits each event to BURST lines per SPAN and counts the lines left out."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def left_out(self, event: str) -> int | None:
        """The number of lines left out before this one; None if this one is to be left out as well."""
        now = time.monotonic()
        window, dropped = self._windows.get(event), 0
        if window is None or now - window.started_at > SPAN:
            dropped = window.dropped if window else 0
            window = self._windows[event] = _Window(now)
        window.lines += 1
        if window.lines > BURST:
            window.dropped += 1
            return None
        return dropped


class ConsoleFormatter(logging.Formatter):
    """Formats a line as time (UTC), router, event and detail."""

    converter = staticmethod(time.gmtime)

    def format(self, record: logging.LogRecord) -> str:
        """Format one line, with the number of lines left out before it."""
        detail, left_out = record.__dict__.get("detail", ""), record.__dict__.get("left_out", 0)
        if left_out:
            detail += f" ({left_out} lines like this were left out)"
        stamp = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        return f"{stamp} {record.name} {record.msg}{': ' + detail if detail else ''}"


def _formatter(log_format: LogFormat) -> logging.Formatter:
    if log_format is LogFormat.CONSOLE:
        return ConsoleFormatter()
    from pythonjsonlogger.json import JsonFormatter  # costs memory, so it is loaded only if used

    return JsonFormatter(
        "%(name)s %(message)s",
        timestamp=True,
        rename_fields={"name": "router", "message": "event"},
    )


class _StderrHandler(logging.StreamHandler[Any]):
    """Writes to the current `sys.stderr`, which may have been replaced since the handler was created."""

    def emit(self, record: logging.LogRecord) -> None:
        self.stream = sys.stderr
        super().emit(record)


class Log:
    """The log of one router.

    Call it with an `event`, a fixed text that the on-call page lists, a free-form `detail`, and `figures`:
    values that become fields of their own in the JSON format.
    """

    def __init__(self, name: str, log_format: LogFormat = LogFormat.CONSOLE, detailed: bool = False) -> None:
        """`detailed`: log each step of each request, without a rate limit."""
        self.name, self.detailed = name, detailed
        self._handler, self._limit = _StderrHandler(), RateLimit()
        self.set_format(log_format)

    def set_format(self, log_format: LogFormat) -> None:
        """Change the format of all further lines."""
        self._handler.setFormatter(_formatter(log_format))

    def __call__(self, event: str, detail: str = "", **figures: object) -> None:
        # Misbehaving clients cause hundreds of lines, so one that is left out must be cheap. The record is
        # created here because `logging.Logger` inspects the stack for each one.
        left_out = 0 if self.detailed else self._limit.left_out(event)
        if left_out is None:
            return
        record = logging.LogRecord(self.name, logging.INFO, "", 0, event, None, None)
        if len(detail) > MAX_DETAIL:
            detail = f"{detail[:MAX_DETAIL]}... ({len(detail)} characters)"
        fields = {"detail": detail} if detail else {}
        record.__dict__.update(fields | figures | ({"left_out": left_out} if left_out else {}))
        self._handler.handle(record)
