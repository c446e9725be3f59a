"""Trust in sources of facts about the fleet: how much each is believed on what, and for how long.

Belief is a number from 0 to 1 that decreases linearly with a fact's age and never rises. Times are seconds on
the caller's clock; a fact whose age cannot be determined is treated as expired.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class FactKind(Enum):
    """What a fact is about."""

    LISTED = "address and role of a worker"
    RUNNING = "a worker runs"
    DRAIN = "a worker's drain order"
    START_TIME = "start time of a worker"
    PERFORMANCE = "a worker's speed and health"
    CACHED_TEXT = "a session's last reader, servers with a prefix, held state"
    PIN = "a level of service that operators pinned"
    QUOTA_USE = "quotas used up"
    ROUTER_COUNT = "how many routers serve"


class Source(Enum):
    """Where a fact is from."""

    SNAPSHOT = "own snapshot"
    CONFIGURATION = "the configuration's known list"
    REGISTER = "the register"  # the service that lists the workers
    PEERS = "other routers"
    ANSWERS = "what workers' answers show"


class Trust(NamedTuple):
    """The belief in the facts of one kind from one source."""

    initial_belief: float  # in a new fact
    lifetime: float  # s, after which the belief is 0; infinite = until the fact is removed


TRUST: dict[tuple[FactKind, Source], Trust] = {
    (FactKind.LISTED, Source.SNAPSHOT): Trust(0.6, 3600.0),
    (FactKind.LISTED, Source.CONFIGURATION): Trust(0.5, 3600.0),
    (FactKind.LISTED, Source.REGISTER): Trust(0.9, 60.0),
    (FactKind.LISTED, Source.ANSWERS): Trust(1.0, 60.0),
    (FactKind.RUNNING, Source.SNAPSHOT): Trust(0.3, 10.0),
    (FactKind.RUNNING, Source.CONFIGURATION): Trust(0.2, 10.0),
    (FactKind.RUNNING, Source.REGISTER): Trust(0.6, 30.0),
    (FactKind.RUNNING, Source.PEERS): Trust(0.5, 5.0),
    (FactKind.RUNNING, Source.ANSWERS): Trust(1.0, 10.0),
    (FactKind.DRAIN, Source.SNAPSHOT): Trust(1.0, math.inf),
    (FactKind.DRAIN, Source.CONFIGURATION): Trust(0.9, math.inf),
    (FactKind.DRAIN, Source.REGISTER): Trust(1.0, math.inf),
    (FactKind.START_TIME, Source.SNAPSHOT): Trust(0.4, 3600.0),
    (FactKind.START_TIME, Source.CONFIGURATION): Trust(0.3, 3600.0),
    (FactKind.START_TIME, Source.REGISTER): Trust(0.9, 3600.0),
    (FactKind.START_TIME, Source.PEERS): Trust(0.7, 3600.0),
    (FactKind.PERFORMANCE, Source.SNAPSHOT): Trust(0.6, 600.0),
    (FactKind.PERFORMANCE, Source.PEERS): Trust(0.4, 10.0),
    (FactKind.PERFORMANCE, Source.ANSWERS): Trust(1.0, 60.0),
    (FactKind.CACHED_TEXT, Source.SNAPSHOT): Trust(0.8, 60.0),
    (FactKind.CACHED_TEXT, Source.ANSWERS): Trust(1.0, 60.0),
    (FactKind.PIN, Source.SNAPSHOT): Trust(1.0, math.inf),
    (FactKind.QUOTA_USE, Source.SNAPSHOT): Trust(0.8, 60.0),
    (FactKind.QUOTA_USE, Source.ANSWERS): Trust(1.0, 60.0),
    (FactKind.ROUTER_COUNT, Source.SNAPSHOT): Trust(0.2, 10.0),
    (FactKind.ROUTER_COUNT, Source.PEERS): Trust(0.8, 5.0),
}
MIN_RUNNING_BELIEF = 0.5  # from which on a worker counts as running
LOST_WITH_PROCESS = frozenset({FactKind.CACHED_TEXT})


def belief(kind: FactKind, source: Source, age: float) -> float:
    """The belief in a fact of an age in seconds; 0 if its source cannot know facts of this kind.

    A negative age means that a clock jumped, so that the true age is unknown.
    """
    trust = TRUST.get((kind, source))
    if trust is None or math.isnan(age):
        return 0.0
    if math.isinf(trust.lifetime):
        return trust.initial_belief
    if age < 0 or age >= trust.lifetime:
        return 0.0
    return trust.initial_belief * (1.0 - age / trust.lifetime)


@dataclass(frozen=True, slots=True)
class Fact:
    """One fact from one source."""

    kind: FactKind
    subject: int  # the worker's number; 0 = the fleet
    value: object
    source: Source
    as_of: float  # s; when it was true, as far as its source can tell

    def belief(self, now: float) -> float:
        """The belief in it at a time."""
        return belief(self.kind, self.source, now - self.as_of)


@dataclass(slots=True)
class FactStore:
    """The latest fact of each source on each kind and subject; bounded by the number of workers."""

    _facts: dict[tuple[FactKind, int], dict[Source, Fact]] = field(default_factory=dict)

    def record(self, fact: Fact) -> None:
        """Replaces an earlier fact of the same source; ignored if the stored one is later."""
        by_source = self._facts.setdefault((fact.kind, fact.subject), {})
        if (old := by_source.get(fact.source)) is None or fact.as_of >= old.as_of:
            by_source[fact.source] = fact

    def best(self, kind: FactKind, subject: int, now: float) -> Fact | None:
        """The fact with the highest belief, the latest of equals; None if none is believed."""
        found = [fact for fact in self._facts.get((kind, subject), {}).values() if fact.belief(now) > 0]
        return max(found, key=lambda fact: (fact.belief(now), fact.as_of), default=None)

    def belief(self, kind: FactKind, subject: int, now: float) -> float:
        """The highest belief in a fact of this kind."""
        fact = self.best(kind, subject, now)
        return fact.belief(now) if fact is not None else 0.0

    def best_valid(self, kind: FactKind, subject: int, now: float) -> Fact | None:
        """The best fact; None if it was lost because the worker was restarted after it."""
        fact = self.best(kind, subject, now)
        if fact is None or kind not in LOST_WITH_PROCESS:
            return fact
        start = self.best(FactKind.START_TIME, subject, now)
        lost = start is not None and isinstance(start.value, float) and start.value > fact.as_of
        return None if lost else fact

    def subjects(self, kind: FactKind) -> set[int]:
        """All subjects with facts of this kind."""
        return {subject for stored_kind, subject in self._facts if stored_kind is kind}

    def remove(self, kind: FactKind, subject: int) -> None:
        """Removes the facts of a kind, which have ended or turned out to be wrong."""
        self._facts.pop((kind, subject), None)

    def forget(self, subject: int) -> None:
        """Removes all facts on a subject."""
        for kind in FactKind:
            self.remove(kind, subject)
