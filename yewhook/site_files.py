"""Static checks of a customer's site file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .config import ConfigError, read_toml

EFFECTS = ("safe", "unsafe", "keyed")
GROUPS = ("all", "zone", "cell")


@dataclass(frozen=True, slots=True)
class SiteClass:
    """A request class of a site."""

    name: str
    effect: str  # one of EFFECTS
    aim_s: float  # target latency
    deadline_s: float
    dedup_window_s: float | None  # time in which a key is recognized as a repeat; effect "keyed" only


@dataclass(frozen=True, slots=True)
class Site:
    """The checked content of a site file."""

    name: str
    classes: tuple[SiteClass, ...]
    tenants: tuple[str, ...]


def read(path: Path) -> Site:
    """Read a site file.

    Raises ConfigError with the file, the key, its value and what was expected.
    """
    raw = read_toml(path)
    checker = _Checker(path)
    classes = tuple(checker.request_class(n, entry) for n, entry in enumerate(checker.tables(raw, "class")))
    tenants = tuple(
        checker.text(f"tenant[{n}]", entry, "name") for n, entry in enumerate(checker.tables(raw, "tenant"))
    )
    names = [c.name for c in classes]
    if len(set(names)) < len(names):
        raise ConfigError(f"{path}: class names {names!r}: expected each of them once")
    rules = raw.get("rules") or {}
    for key in ("drain_grace_ms", "fall_multiple", "fall_ms"):
        checker.positive("rules", rules, key)
    return Site(checker.text("the file", raw, "name"), classes, tenants)


class _Checker:
    """Takes values out of the tables of a file; its methods raise ConfigError."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def _error(self, where: str, key: str, value: Any, expected: str) -> ConfigError:
        return ConfigError(f"{self._path}: {where}: {key} = {value!r}: expected {expected}")

    def tables(self, raw: dict[str, Any], key: str) -> list[dict[str, Any]]:
        value = raw.get(key)
        if not isinstance(value, list) or not value or not all(isinstance(entry, dict) for entry in value):
            raise self._error("the file", key, value, f"one or more [[{key}]] tables")
        return value

    def text(self, where: str, raw: dict[str, Any], key: str) -> str:
        value = raw.get(key)
        if not isinstance(value, str) or not value:
            raise self._error(where, key, value, "a non-empty string")
        return value

    def positive(self, where: str, raw: dict[str, Any], key: str) -> float:
        value = raw.get(key)
        if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
            raise self._error(where, key, value, "a number above 0")
        return float(value)

    def choice(self, where: str, raw: dict[str, Any], key: str, choices: tuple[str, ...]) -> str:
        value = raw.get(key)
        if value not in choices:
            raise self._error(where, key, value, f"one of {', '.join(choices)}")
        return str(value)

    def request_class(self, number: int, raw: dict[str, Any]) -> SiteClass:
        where = f"class[{number}]"
        aim_s, deadline_s = (self.positive(where, raw, key) / 1000.0 for key in ("aim_ms", "deadline_ms"))
        if aim_s >= deadline_s:
            raise self._error(where, "aim_ms", raw["aim_ms"], "less than deadline_ms")
        effect = self.choice(where, raw, "effect", EFFECTS)
        dedup_window_s = None
        if effect == "keyed":
            self.choice(where, raw, "group", GROUPS)
            dedup_window_s = self.positive(where, raw, "window_ms") / 1000.0
        return SiteClass(self.text(where, raw, "name"), effect, aim_s, deadline_s, dedup_window_s)
