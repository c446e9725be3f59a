"""The fleet file: the settings of an agent and the router instances that it runs."""

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

ALLOWED_KEYS = {
    "agent": {"listen", "records", "domain", "service", "grace_s", "state", "at_a_time"},
    "instance": {"name", "config", "toolcalls", "settings"},
}


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """An [[instance]] table of the fleet file."""

    name: str
    config: Path | None  # configuration of the platform front, if it has one
    toolcalls: Path | None  # configuration of the tool-calls front, if it has one
    settings: Path | None  # the operators' settings file, if any
    fronts: Mapping[str, Address]  # front name -> address at which it listens

    @property
    def upgradable(self) -> bool:
        """Whether it has the platform front alone, the one whose listening socket the agent holds."""
        return set(self.fronts) == {"platform"}

    def command(self, control: int, drained: bool) -> list[str]:
        """The command that starts the router; `control` is its descriptor of the connection to the agent."""
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
        """The environment of the router process, without the PROXY_ variables of the agent itself."""
        base = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        config = {"PROXY_CONFIG": str(self.config)} if self.config is not None else {}
        return base | {"PROXY_NAME": self.name} | config


@dataclass(frozen=True, slots=True)
class FleetFile:
    """The content of a fleet file."""

    listen: Address
    records: Path  # the DNS-SD records of the ready instances are written there
    domain: str
    service: str
    grace: float  # seconds that instances have to finish their requests
    instances: tuple[InstanceSpec, ...]
    state: Path | None = None  # a folder on a persistent disk for operators' orders
    at_a_time: int | None = None  # instances that start at the same time; None = all


def read(path: Path) -> FleetFile:
    """Read and check a fleet file and the files that it names. Raises ConfigError."""
    raw = read_toml(path)
    agent = TomlTable.parse(path, raw.get("agent"), ALLOWED_KEYS["agent"], " in [agent]")
    listen = parse_address(agent.text("listen"), f"{path}: listen")
    if not ipaddress.ip_address(listen[0]).is_loopback:
        raise ConfigError(f"{path}: the agent listens on loopback only, not on {listen[0]}")
    tables = raw.get("instance") or []
    specs = tuple(
        _parse_instance(TomlTable.parse(path, table, ALLOWED_KEYS["instance"], " in [[instance]]"))
        for table in tables
    )
    names = [spec.name for spec in specs]
    if not specs or len(set(names)) < len(names):
        raise ConfigError(f"{path}: expected [[instance]] tables, each with a unique name")
    domain, service = agent.text("domain"), agent.text("service")
    state = agent.file("state") if "state" in agent.raw else None
    at_a_time = agent.positive("at_a_time", 1) if "at_a_time" in agent.raw else None
    if at_a_time is not None and at_a_time != int(at_a_time):
        raise ConfigError(f"{path}: at_a_time: got {at_a_time:g}, expected a whole number of processes")
    return FleetFile(
        listen, agent.file("records"), domain, service, agent.positive("grace_s", 20.0), specs, state,
        int(at_a_time) if at_a_time is not None else None,
    )  # fmt: skip


def _parse_instance(table: TomlTable) -> InstanceSpec:
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
    return InstanceSpec(name, config, toolcalls, settings, fronts)
