"""What `deploy/toolcalls.toml` says, checked once."""

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
    listen: Address
    records: Path
    domain: str
    worker_service: str
    tool_service: str
    settings: Settings
    names: Names
    tool_deadline: float  # s for one tool call, from its request to its reply
    worker_silence: float  # s that a running stream may stand still while no tool call is open
    connect_timeout: float
    idle_limit: float  # s after which the other side closes an idle connection


def read(path: Path) -> ToolCallsConfig:
    table = TomlTable.parse(path, read_toml(path), KEYS)
    settings, names = _settings(table.file("settings"))
    return ToolCallsConfig(
        listen=parse_address(table.text("listen"), f"{path}: listen"),
        records=table.file("records"),
        domain=table.text("domain").rstrip(".") + ".",
        worker_service=table.text("worker_service"),
        tool_service=table.text("tool_service"),
        settings=settings,
        names=names,
        tool_deadline=table.positive("tool_deadline_s", 10.0),
        worker_silence=table.positive("worker_silence_s", 30.0),
        connect_timeout=table.positive("connect_timeout_s", 0.25),
        idle_limit=table.positive("idle_limit_s", 30.0),
    )


def _settings(path: Path) -> tuple[Settings, Names]:
    try:
        env: Any = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(env, dict):
        raise ConfigError(f"{path}: expected an object")
    return parse_settings(env)
