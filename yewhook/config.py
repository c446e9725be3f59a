"""What a router is told at its start, checked once; every complaint is one plain sentence."""

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
    """What is wrong with a configuration, for the person who wrote it."""


Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Names:
    """The names of the settings, whose places the module works with."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    columns: tuple[str, ...]  # of load reports


MOST_SOCKETS, MOST_MEMORY_MB = 1024, 192  # whatever more the platform would allow
LEAST_SOCKETS, LEAST_MEMORY_MB = 32, 16  # with fewer descriptors no client gets in; with less it can't start


@dataclass(frozen=True, slots=True)
class Limits:
    sockets: int = MOST_SOCKETS
    memory: int = MOST_MEMORY_MB << 20  # bytes


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    names: Names
    limits: Limits
    connect_timeout: float
    idle_limit: float  # s after which a worker closes an idle connection
    known_workers: dict[str, Any]  # the list of workers as last held, in discovery's form
    peer_listen: Address | None = None  # where messages of other routers arrive
    peers: tuple[Address, ...] = ()  # whence each router's messages come, in the order of their numbers
    peer_broadcast: Address | None = None  # where a message goes that is for all of them
    mgmt: Address | None = None  # where operators call
    accept_fd: int | None = None  # the clients' listening socket, where the platform holds it


def parse_address(text: Any, what: str) -> Address:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{what}: expected host:port, got {text!r}")
    return host, int(port)


def _limit(path: str, limits: Mapping[str, Any], key: str, least: int, most: int) -> int:
    """A limit of the platform's, as far as it is used; none given = the most."""
    if (value := limits.get(key)) is None:
        return most
    if isinstance(value, bool) or not isinstance(value, int | float) or value < least:
        raise ConfigError(f"{path}: limits.{key} = {value!r}: expected a number of at least {least}")
    return min(int(value), most)


def _descriptor(text: str) -> int:
    """A descriptor that the process has inherited."""
    if not text.isdigit():
        raise ConfigError(f"PROXY_ACCEPT_FD: expected the number of a descriptor, got {text!r}")
    try:
        os.fstat(int(text))
    except OSError as error:
        raise ConfigError(f"PROXY_ACCEPT_FD: descriptor {text} is not open: {error}") from error
    return int(text)


@dataclass(frozen=True, slots=True)
class TomlTable:
    """A table of a TOML file, whose values are checked as they are taken out."""

    path: Path
    raw: dict[str, Any]

    @classmethod
    def parse(cls, path: Path, raw: Any, keys: Set[str], where: str = "") -> TomlTable:
        if not isinstance(raw, dict):
            raise ConfigError(f"{path}: expected a table{where}")
        if unknown := raw.keys() - keys:
            raise ConfigError(f"{path}: unknown key {sorted(unknown)[0]!r}{where}")
        return cls(path, raw)

    def text(self, key: str) -> str:
        if not isinstance(self.raw.get(key), str) or not self.raw[key]:
            raise ConfigError(f"{self.path}: {key} must be a text")
        return str(self.raw[key])

    def file(self, key: str) -> Path:
        """A path, which starts from the file's folder."""
        return self.path.parent / self.text(key)

    def positive(self, key: str, default: float) -> float:
        value = self.raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            raise ConfigError(f"{self.path}: {key} must be a number above 0")
        return float(value)


def read_toml(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error


def names(env: Mapping[str, Any]) -> Names:
    return Names(
        tuple(str(c["name"]) for c in env["classes"]),
        tuple(str(t["name"]) for t in env.get("customers") or []),
        tuple(env.get("zones") or []),
        tuple(env.get("shapes") or []),
        tuple(wire.columns(dict(env))),
    )


def parse_settings(env: Mapping[str, Any]) -> tuple[Settings, Names]:
    """The module's settings and the names they go by."""
    try:
        return wire.settings(dict(env)), names(env)
    except wire.SettingError as error:
        raise ConfigError(f"settings: {error}") from error
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {type(error).__name__} {error}") from error


def read(environ: Mapping[str, str], reload: bool = False) -> Config:
    """The configuration; `reload` = in a running process, where the file may name a newer discovery than the
    environment, which is as old as the process."""
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
    told = environ.get("PROXY_DISCOVERY")
    discovery = (raw.get("discovery") or told) if reload else (told or raw.get("discovery"))
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
                _limit(path, limits, "sockets", LEAST_SOCKETS, MOST_SOCKETS),
                _limit(path, limits, "memory_mb", LEAST_MEMORY_MB, MOST_MEMORY_MB) << 20,
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
