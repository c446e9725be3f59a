"""Configuration of a router, checked when it is read. Each error is one sentence for the operator."""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Mapping, Set
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hopshed import wire
from hopshed.interface import Settings


class ConfigError(Exception):
    """A configuration is invalid; the message is for its author."""


Address = tuple[str, int]  # host, port


@dataclass(frozen=True, slots=True)
class Names:
    """Names from the settings. The decision module refers to each by its index in the tuple."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]  # of workers
    columns: tuple[str, ...]  # of load reports


# Upper bounds of the configured limits, even if the platform allows more.
MAX_SOCKETS = 1024
MAX_MEMORY_MB = 192
# Lower bounds of the configured limits.
MIN_SOCKETS = 32  # with fewer descriptors no client connection is accepted
MIN_MEMORY_MB = 16  # with less the process cannot start


@dataclass(frozen=True, slots=True)
class Limits:
    """Resources that a router may use."""

    sockets: int = MAX_SOCKETS
    memory: int = MAX_MEMORY_MB << 20  # bytes


@dataclass(frozen=True, slots=True)
class Config:
    """The checked configuration of a router."""

    name: str
    listen: Address
    discovery: Address
    seed: int  # of random choices
    settings: Settings
    names: Names
    limits: Limits
    connect_timeout: float  # seconds
    idle_limit: float  # seconds after which a worker closes an idle connection
    known_workers: dict[str, Any]  # last known list of workers, in the form of a discovery message
    peer_listen: Address | None = None  # receives the messages of other routers
    peers: tuple[Address, ...] = ()  # source address of each router's messages, indexed by router number
    peer_broadcast: Address | None = None  # destination of messages to all routers
    mgmt: Address | None = None  # listen address of the operators' endpoint
    accept_fd: int | None = None  # listening socket for clients, if inherited from the platform


def parse_address(text: Any, what: str) -> Address:
    """Parse `host:port`; `what` names the setting in the error. Raises ConfigError."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{what}: expected host:port, got {text!r}")
    return host, int(port)


def _limit(path: str, limits: Mapping[str, Any], key: str, minimum: int, maximum: int) -> int:
    """A limit of the platform, capped at `maximum`, which is also the default. Raises ConfigError."""
    if (value := limits.get(key)) is None:
        return maximum
    if isinstance(value, bool) or not isinstance(value, int | float) or value < minimum:
        raise ConfigError(f"{path}: limits.{key} = {value!r}: expected a number of at least {minimum}")
    return min(int(value), maximum)


def _descriptor(text: str) -> int:
    """The number of an inherited file descriptor. Raises ConfigError unless it is open."""
    if not text.isdigit():
        raise ConfigError(f"PROXY_ACCEPT_FD: expected the number of a descriptor, got {text!r}")
    try:
        os.fstat(int(text))
    except OSError as error:
        raise ConfigError(f"PROXY_ACCEPT_FD: descriptor {text} is not open: {error}") from error
    return int(text)


@dataclass(frozen=True, slots=True)
class TomlTable:
    """A table of a TOML file; its methods check values and raise ConfigError."""

    path: Path
    raw: dict[str, Any]

    @classmethod
    def parse(cls, path: Path, raw: Any, keys: Set[str], where: str = "") -> TomlTable:
        """Check that `raw` is a table with known keys only; `where` is appended to errors."""
        if not isinstance(raw, dict):
            raise ConfigError(f"{path}: expected a table{where}")
        if unknown := raw.keys() - keys:
            raise ConfigError(f"{path}: unknown key {sorted(unknown)[0]!r}{where}")
        return cls(path, raw)

    def text(self, key: str) -> str:
        """A required, non-empty string."""
        if not isinstance(self.raw.get(key), str) or not self.raw[key]:
            raise ConfigError(f"{self.path}: {key} must be a non-empty string")
        return str(self.raw[key])

    def file(self, key: str) -> Path:
        """A path relative to the folder of the file."""
        return self.path.parent / self.text(key)

    def positive(self, key: str, default: float) -> float:
        """A number above 0."""
        value = self.raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            raise ConfigError(f"{self.path}: {key} must be a number above 0")
        return float(value)


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file. Raises ConfigError."""
    try:
        return tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error


def names(env: Mapping[str, Any]) -> Names:
    """The names in the settings, in the order of the decision module's indices."""
    return Names(
        tuple(str(c["name"]) for c in env["classes"]),
        tuple(str(t["name"]) for t in env.get("customers") or []),
        tuple(env.get("zones") or []),
        tuple(env.get("shapes") or []),
        tuple(wire.columns(dict(env))),
    )


def parse_settings(env: Mapping[str, Any]) -> tuple[Settings, Names]:
    """The settings of the decision module, and the names in them. Raises ConfigError."""
    try:
        return wire.settings(dict(env)), names(env)
    except wire.SettingError as error:
        raise ConfigError(f"settings: {error}") from error
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {type(error).__name__} {error}") from error


def read(environ: Mapping[str, str], reload: bool = False) -> Config:
    """Read the configuration file that PROXY_CONFIG names, and the environment. Raises ConfigError.

    The environment takes precedence over the file. With `reload` the file does for the address of discovery:
    the environment of a running process keeps the values from its start.
    """
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set: it names the JSON file with the configuration")
    try:
        raw = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"{path}: expected an object with 'settings'")
    env = raw["settings"]
    try:
        settings, known_names = parse_settings(env)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error
    caps = env.get("caps") or {}
    env_discovery = environ.get("PROXY_DISCOVERY")
    discovery = (raw.get("discovery") or env_discovery) if reload else (env_discovery or raw.get("discovery"))
    limits = raw.get("limits") or {}
    mgmt, accept_fd = environ.get("PROXY_MGMT") or raw.get("mgmt"), environ.get("PROXY_ACCEPT_FD")
    try:
        return Config(
            name=str(environ.get("PROXY_NAME") or raw.get("name") or "router"),
            listen=parse_address(environ.get("PROXY_LISTEN") or raw.get("listen"), "PROXY_LISTEN"),
            discovery=parse_address(discovery, "PROXY_DISCOVERY"),
            seed=int(str(raw.get("seed") or "0"), 16),
            settings=settings,
            names=known_names,
            limits=Limits(
                _limit(path, limits, "sockets", MIN_SOCKETS, MAX_SOCKETS),
                _limit(path, limits, "memory_mb", MIN_MEMORY_MB, MAX_MEMORY_MB) << 20,
            ),
            connect_timeout=float(caps.get("connect-timeout-ms") or 250.0) / 1000.0,
            idle_limit=float(caps.get("conn-idle-ms") or 30000.0) / 1000.0,
            known_workers=raw.get("known") or {},
            peer_listen=parse_address(raw["peer_listen"], "peer_listen") if raw.get("peer_listen") else None,
            peers=tuple(parse_address(peer, "peers") for peer in raw.get("peers") or ()),
            peer_broadcast=parse_address(raw["peers_all"], "peers_all") if raw.get("peers_all") else None,
            mgmt=parse_address(mgmt, "PROXY_MGMT") if mgmt else None,
            accept_fd=_descriptor(accept_fd) if accept_fd else None,
        )
    except (TypeError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
