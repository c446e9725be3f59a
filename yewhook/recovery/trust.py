"""Which source is believed about what, for how long, and what overrides it: one table, and a ledger by it.

Belief is a figure from 0 to 1 that falls evenly with a fact's age and never rises. Times are seconds on one
clock of the caller's; a fact whose age can't be shown is as old as can be.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class FactKind(Enum):
    LISTED = "address and role of a worker"
    RUNS = "a worker runs"
    DRAIN = "a worker's drain order"
    STARTED = "since when a worker runs"
    PACE = "a worker's pace and health"
    TEXT = "a session's last reader, homes of shared beginnings, state held"
    PIN = "a level that operators hold"
    SPENT = "quotas spent"
    ROUTERS = "how many routers serve"


class Source(Enum):
    SNAPSHOT = "own snapshot"
    KNOWN = "the configuration's known list"
    REGISTER = "the register"
    PEERS = "other routers"
    ANSWERS = "what workers' answers show"


class Trust(NamedTuple):
    first: float  # belief in a fresh fact
    lapse: float  # s after which nothing is left of it; infinite = until its own end


TABLE: dict[tuple[FactKind, Source], Trust] = {
    (FactKind.LISTED, Source.SNAPSHOT): Trust(0.6, 3600.0),
    (FactKind.LISTED, Source.KNOWN): Trust(0.5, 3600.0),
    (FactKind.LISTED, Source.REGISTER): Trust(0.9, 60.0),
    (FactKind.LISTED, Source.ANSWERS): Trust(1.0, 60.0),
    (FactKind.RUNS, Source.SNAPSHOT): Trust(0.3, 10.0),
    (FactKind.RUNS, Source.KNOWN): Trust(0.2, 10.0),
    (FactKind.RUNS, Source.REGISTER): Trust(0.6, 30.0),
    (FactKind.RUNS, Source.PEERS): Trust(0.5, 5.0),
    (FactKind.RUNS, Source.ANSWERS): Trust(1.0, 10.0),
    (FactKind.DRAIN, Source.SNAPSHOT): Trust(1.0, math.inf),
    (FactKind.DRAIN, Source.KNOWN): Trust(0.9, math.inf),
    (FactKind.DRAIN, Source.REGISTER): Trust(1.0, math.inf),
    (FactKind.STARTED, Source.SNAPSHOT): Trust(0.4, 3600.0),
    (FactKind.STARTED, Source.KNOWN): Trust(0.3, 3600.0),
    (FactKind.STARTED, Source.REGISTER): Trust(0.9, 3600.0),
    (FactKind.STARTED, Source.PEERS): Trust(0.7, 3600.0),
    (FactKind.PACE, Source.SNAPSHOT): Trust(0.6, 600.0),
    (FactKind.PACE, Source.PEERS): Trust(0.4, 10.0),
    (FactKind.PACE, Source.ANSWERS): Trust(1.0, 60.0),
    (FactKind.TEXT, Source.SNAPSHOT): Trust(0.8, 60.0),
    (FactKind.TEXT, Source.ANSWERS): Trust(1.0, 60.0),
    (FactKind.PIN, Source.SNAPSHOT): Trust(1.0, math.inf),
    (FactKind.SPENT, Source.SNAPSHOT): Trust(0.8, 60.0),
    (FactKind.SPENT, Source.ANSWERS): Trust(1.0, 60.0),
    (FactKind.ROUTERS, Source.SNAPSHOT): Trust(0.2, 10.0),
    (FactKind.ROUTERS, Source.PEERS): Trust(0.8, 5.0),
}
LIVES = 0.5  # belief that a worker runs from which on it counts as one within reach
KEPT = frozenset({FactKind.TEXT})  # what a worker loses with its process


def belief(kind: FactKind, source: Source, age: float) -> float:
    """What is left of a fact at an age in s; nothing where its source knows nothing of the kind.

    An age under 0 is a clock's that has jumped: nobody can say how old the fact is."""
    trust = TABLE.get((kind, source))
    if trust is None or math.isnan(age):
        return 0.0
    if math.isinf(trust.lapse):
        return trust.first
    if age < 0 or age >= trust.lapse:
        return 0.0
    return trust.first * (1.0 - age / trust.lapse)


@dataclass(frozen=True, slots=True)
class Fact:
    kind: FactKind
    about: int  # the worker's or router's number; 0 = the fleet
    value: object
    source: Source
    at: float  # s; when it held, as far as its source can say

    def belief(self, now: float) -> float:
        return belief(self.kind, self.source, now - self.at)


@dataclass(slots=True)
class Ledger:
    """The latest fact of each source on each matter; the number of workers bounds it."""

    _facts: dict[tuple[FactKind, int], dict[Source, Fact]] = field(default_factory=dict)

    def note(self, fact: Fact) -> None:
        """A later word of the same source takes the place of its earlier one."""
        by = self._facts.setdefault((fact.kind, fact.about), {})
        if (old := by.get(fact.source)) is None or fact.at >= old.at:
            by[fact.source] = fact

    def best(self, kind: FactKind, about: int, now: float) -> Fact | None:
        """The fact that is believed most at present, if any is."""
        found = [fact for fact in self._facts.get((kind, about), {}).values() if fact.belief(now) > 0]
        return max(found, key=lambda fact: (fact.belief(now), fact.at), default=None)

    def belief(self, kind: FactKind, about: int, now: float) -> float:
        fact = self.best(kind, about, now)
        return fact.belief(now) if fact is not None else 0.0

    def holds(self, kind: FactKind, about: int, now: float) -> Fact | None:
        """As `best`; but what a worker keeps is lost where it has begun after the fact."""
        fact = self.best(kind, about, now)
        if fact is None or kind not in KEPT:
            return fact
        began = self.best(FactKind.STARTED, about, now)
        lost = began is not None and isinstance(began.value, float) and began.value > fact.at
        return None if lost else fact

    def about(self, kind: FactKind) -> set[int]:
        return {number for one, number in self._facts if one is kind}

    def end(self, kind: FactKind, about: int) -> None:
        """What a matter's own end, or its opposite, does away with."""
        self._facts.pop((kind, about), None)

    def forget(self, about: int) -> None:
        for kind in FactKind:
            self.end(kind, about)
