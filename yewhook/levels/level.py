"""The levels by name, and the signals by which they are entered and left."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import IntEnum
from typing import NamedTuple


class Level(IntEnum):
    """From the best to the worst; each gives up all that the better ones do, and more."""

    FULL = 0
    GUARDED = 1
    THRIFTY = 2
    ESSENTIAL = 3
    LAST_RESORT = 4

    @property
    def label(self) -> str:
        """The name as operators read and write it."""
        return self.name.lower().replace("_", "-")

    @classmethod
    def from_label(cls, label: str) -> Level:
        """Raises KeyError for a name that no level has."""
        return {level.label: level for level in cls}[label]


LEVEL_DESCRIPTIONS = {
    Level.FULL: "nothing gives way",
    Level.GUARDED: "traffic beyond a client's share and clients' own repeats give way, as far as load asks",
    Level.THRIFTY: "work beyond a share is refused; long turns of the lesser classes give way as far as load "
    "asks",
    Level.ESSENTIAL: "of the lesser classes all new turns give way as far as load asks; the class of the "
    "highest worth, sessions under way and streams that come back stay",
    Level.LAST_RESORT: "what is under way is finished; nothing new starts unless it finds room at once",
}


class ProcessHealth(NamedTuple):
    """What the process knows of itself and of the register; parts of limits, and seconds."""

    descriptors: float = 0.0
    memory: float = 0.0
    discovery_age: float = 0.0


@dataclass(frozen=True, slots=True)
class Signals:
    """What the levels are judged by at one moment. Of each, 0 is best and more is worse."""

    load: float = 0.0  # work that came over what can be done of it, at the scarcer of reading and writing
    late: float = 0.0  # worth answered after its aim, or refused for want of room or time, over what came
    waiting: float = 0.0  # 90th percentile of turns' wait for their first send, over their aim
    missing: float = 0.0  # part of a role's listed servers that is out of use or cold; the worse stage
    doubt: float = 0.0  # part of the running servers that sockets contradict, more with an old register
    lost: float = 0.0  # streams that broke over streams that began
    descriptors: float = 0.0  # in use, of the configured limit
    memory: float = 0.0  # resident, of the configured limit

    def value(self, name: str) -> float:
        return float(getattr(self, name))


SIGNALS = tuple(field.name for field in fields(Signals))
