"""Configuration of the tool-calls front (`deploy/toolcalls.toml`)."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hopshed.interface import Settings

from ..config import Address, ConfigError, Names, TomlTable, parse_address, parse_settings, read_toml

KEYS = {"listen", "records", "domain", "worker_service", "tool_service", "settings",
        "tool_deadline_s", "worker_silence_s", "connect_timeout_s", "idle_limit_s"}  # fmt: skip


@dataclass(frozen=True, slots=True)
class ToolCallsConfig:
    """The checked content of a tool-calls file and of the settings file that it names."""

    listen: Address
    records: Path  # DNS master file with the DNS-SD records
    domain: str  # ends with a dot
    worker_service: str  # such as `_worker._tcp`
    tool_service: str
    settings: Settings
    names: Names
    tool_deadline_s: float  # for one tool call, from its request to its response
    worker_silence_s: float  # limit without an event in a stream while no tool call is open
    connect_timeout_s: float
    idle_limit_s: float  # time after which the other side closes an idle connection


def read(path: Path) -> ToolCallsConfig:
    """Read and check a tool-calls file. Raises ConfigError."""
    table = TomlTable.parse(path, read_toml(path), KEYS)
    settings, names = _read_settings(table.file("settings"))
    return ToolCallsConfig(
        listen=parse_address(table.text("listen"), f"{path}: listen"),
        records=table.file("records"),
        domain=table.text("domain").rstrip(".") + ".",
        worker_service=table.text("worker_service"),
        tool_service=table.text("tool_service"),
        settings=settings,
        names=names,
        tool_deadline_s=table.positive("tool_deadline_s", 10.0),
        worker_silence_s=table.positive("worker_silence_s", 30.0),
        connect_timeout_s=table.positive("connect_timeout_s", 0.25),
        idle_limit_s=table.positive("idle_limit_s", 30.0),
    )


def _read_settings(path: Path) -> tuple[Settings, Names]:
    try:
        content: Any = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(content, dict):
        raise ConfigError(f"{path}: expected a JSON object")
    return parse_settings(content)
