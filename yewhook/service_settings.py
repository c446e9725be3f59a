"""The settings of the operators' file as the program uses them; `settings_file.py` reads the file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from .levels.level import Level
from .levels.settings import ServiceLevelSettings
from .log import LogFormat

if TYPE_CHECKING:
    from .recovery.settings import RecoverySettings


@dataclass(frozen=True, slots=True)
class PinSetting:
    """A level that operators hold until a given time."""

    level: Level
    until: float  # s, Unix time
    reason: str


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """The settings of logging, levels and recovery; the defaults apply without a file."""

    log: LogFormat = LogFormat.CONSOLE
    levels: ServiceLevelSettings = field(default_factory=ServiceLevelSettings)
    pin: PinSetting | None = None
    recovery: RecoverySettings | None = None  # None = off


def read_settings(path: Path | None) -> ServiceSettings:
    """Read the operators' file; without one, return the defaults. Raises ConfigError."""
    if path is None:
        return ServiceSettings()
    from .settings_file import read  # needs memory, so it is imported only if there is a file

    return read(path)
