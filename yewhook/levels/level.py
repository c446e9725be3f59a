"""The levels of service, and the signals that decide which one applies."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import IntEnum
from typing import NamedTuple


class Level(IntEnum):
    """Levels of service from best to worst; each sheds all that the better ones shed, and more."""

    FULL = 0
    GUARDED = 1
    THRIFTY = 2
    ESSENTIAL = 3
    LAST_RESORT = 4

    @property
    def label(self) -> str:
        """The name in settings, reports and logs, as in `last-resort`."""
        return self.name.lower().replace("_", "-")

    @classmethod
    def from_label(cls, label: str) -> Level:
        """The level with this label. Raises KeyError if there is none."""
        return {level.label: level for level in cls}[label]


# One line on each level for operators, shown in reports and by the command line
LEVEL_DESCRIPTIONS = {
    Level.FULL: "no turns are shed",
    Level.GUARDED: "turns beyond a client's share and clients' own retries are shed as far as load requires",
    Level.THRIFTY: "all turns beyond a client's share are refused; long turns of the lower-worth classes are "
    "shed as far as load requires",
    Level.ESSENTIAL: "all new turns of the lower-worth classes are shed as far as load requires; the class "
    "of the highest worth, open sessions and resumed streams are kept",
    Level.LAST_RESORT: "requests in progress are finished; a new one starts only if there is room at once",
}


class ProcessHealth(NamedTuple):
    """Resource use of the process, and the age of its service discovery."""

    descriptors: float = 0.0  # in use, as a share of the configured limit
    memory: float = 0.0  # resident, as a share of the configured limit
    discovery_age: float = 0.0  # s since the last message from service discovery


@dataclass(frozen=True, slots=True)
class Signals:
    """The measurements that decide the level at one moment. 0 is best for each; higher is worse.

    The aim of a turn is the time within which its first token is wanted, its worth the value of answering it
    within that time.
    """

    load: float = 0.0  # work requested over the work possible at the scarcer of reading and writing
    late: float = 0.0  # worth answered after its aim, or refused for lack of room or time, over all worth
    waiting: float = 0.0  # 90th percentile of turns' wait for their first send, over their aim
    missing: float = 0.0  # share of a role's listed servers that is unusable or cold; the worse stage counts
    doubt: float = 0.0  # share of running servers that connections contradict; higher with a stale list
    lost: float = 0.0  # streams that broke over streams that began
    descriptors: float = 0.0  # in use, as a share of the configured limit
    memory: float = 0.0  # resident, as a share of the configured limit

    def value(self, name: str) -> float:
        """The signal with this field name."""
        return float(getattr(self, name))


SIGNALS = tuple(field.name for field in fields(Signals))
