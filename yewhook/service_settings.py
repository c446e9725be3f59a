"""What the operators' file sets, as the program goes by it. Reading the file is `settings_file.py`'s."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .levels.level import Level
from .levels.settings import ServiceLevelSettings
from .log import LogFormat

if TYPE_CHECKING:
    from .recovery.settings import RecoverySettings


@dataclass(frozen=True, slots=True)
class PinSetting:
    level: Level
    until: float  # Unix time
    reason: str


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """The defaults are what holds without a file."""

    log: LogFormat = LogFormat.CONSOLE
    levels: ServiceLevelSettings = field(default_factory=ServiceLevelSettings)
    pin: PinSetting | None = None
    recovery: RecoverySettings | None = None  # None = off
