"""The fleet file: the router instances that one agent runs."""

from __future__ import annotations

import ipaddress
import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..config import Address, ConfigError, TomlTable, parse_address, read_toml
from ..config import read as read_config
from ..settings_file import read as read_settings
from ..toolcalls.config import read as read_toolcalls

KEYS = {
    "agent": {"listen", "records", "domain", "service", "grace_s", "state", "at_a_time"},
    "instance": {"name", "config", "toolcalls", "settings"},
}


@dataclass(frozen=True, slots=True)
class Spec:
    """One instance of the fleet file."""

    name: str
    config: Path | None  # the platform's front, if it has one
    toolcalls: Path | None
    settings: Path | None  # the operators' file, if it goes by one
    fronts: Mapping[str, Address]

    @property
    def upgradable(self) -> bool:
        """Whether the agent holds all that it listens on."""
        return set(self.fronts) == {"platform"}

    def command(self, control: int, drained: bool) -> list[str]:
        """What starts it; `control` is the descriptor of its line to the agent."""
        command = [sys.executable, "-m", "yewhook", "serve", "--control-fd", str(control)]
        if drained:
            command.append("--drained")
        if self.settings is not None:
            command += ["--service", str(self.settings)]
        if self.config is None:
            command.append("--no-platform")
        if self.toolcalls is not None:
            command += ["--toolcalls", str(self.toolcalls)]
        return command

    def environ(self) -> dict[str, str]:
        # The agent's own PROXY_ variables are not for its instances.
        base = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        config = {"PROXY_CONFIG": str(self.config)} if self.config is not None else {}
        return base | {"PROXY_NAME": self.name} | config


@dataclass(frozen=True, slots=True)
class FleetFile:
    listen: Address
    records: Path
    domain: str
    service: str
    grace: float  # s that instances have to finish what they took
    instances: tuple[Spec, ...]
    state: Path | None = None  # a folder on a lasting disk, for what operators ordered
    at_a_time: int | None = None  # processes that start at once; None = as many as there are


def read(path: Path) -> FleetFile:
    raw = read_toml(path)
    agent = TomlTable.parse(path, raw.get("agent"), KEYS["agent"], " in [agent]")
    place = parse_address(agent.text("listen"), f"{path}: listen")
    if not ipaddress.ip_address(place[0]).is_loopback:
        raise ConfigError(f"{path}: the agent listens on loopback only, not on {place[0]}")
    tables = raw.get("instance") or []
    specs = tuple(
        _spec(TomlTable.parse(path, table, KEYS["instance"], " in [[instance]]")) for table in tables
    )
    names = [spec.name for spec in specs]
    if not specs or len(set(names)) < len(names):
        raise ConfigError(f"{path}: expected [[instance]] tables, each with a name of its own")
    domain, service = agent.text("domain"), agent.text("service")
    state = agent.file("state") if "state" in agent.raw else None
    at_a_time = agent.positive("at_a_time", 1) if "at_a_time" in agent.raw else None
    if at_a_time is not None and at_a_time != int(at_a_time):
        raise ConfigError(f"{path}: at_a_time: got {at_a_time:g}, expected a whole number of processes")
    return FleetFile(
        place, agent.file("records"), domain, service, agent.positive("grace_s", 20.0), specs, state,
        int(at_a_time) if at_a_time is not None else None,
    )  # fmt: skip


def _spec(table: TomlTable) -> Spec:
    name = table.text("name")
    config = table.file("config") if "config" in table.raw else None
    toolcalls = table.file("toolcalls") if "toolcalls" in table.raw else None
    settings = table.file("settings") if "settings" in table.raw else None
    if settings is not None:
        read_settings(settings)
    fronts = {}
    if config is not None:
        fronts["platform"] = read_config({"PROXY_CONFIG": str(config)}).listen
    if toolcalls is not None:
        fronts["toolcalls"] = read_toolcalls(toolcalls).listen
    if not fronts:
        raise ConfigError(f"{table.path}: instance {name!r} has neither a config nor a toolcalls file")
    return Spec(name, config, toolcalls, settings, fronts)
