"""Strains of the soak: servers and discovery whose answers never end, by seed."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from hopshed.interface import Role

from .endless_answers import FLOODING_ANSWERS, READER_ANSWERS, WATCH_ANSWERS, WRITER_ANSWERS
from .operate import Script
from .testbed import NOTIFIED_WITHIN_S, ProcessTestBed

ENDLESS_REMAINDERS = (5, 7, 8, 9)  # of a seed by ENDLESS_SEEDS, of those with such answers
ENDLESS_SEEDS = 10
ANSWERS = (2, 6)  # of servers, in one strain
MAX_FURTHER_CALLS = 1  # of discovery, answered without end too
DRAINED_S = 1.0  # for which a server drains after all routers count as told


def has_endless_answers(seed: int) -> bool:
    """Whether servers and discovery answer without end in a seed of the soak."""
    return seed % ENDLESS_SEEDS in ENDLESS_REMAINDERS


class EndlessStrains:
    """The strains of one seed."""

    def __init__(self, test_bed: ProcessTestBed, readers: list[str], seed: int) -> None:
        """`readers` are the names of workers of which one may drain at a time."""
        self.test_bed, self._readers, self._random = test_bed, readers, Random(f"endless {seed}")
        self._drains = False  # whether a reader drains now

    def choose(self) -> tuple[str, Callable[[], Script]]:
        """Choose a strain at random; returns its name and its script."""
        kinds = [self.endless_answers, self.endless_answers]
        kind = self._random.choice(kinds if self._drains else [*kinds, self.endless_watches])
        return kind.__name__, kind

    def endless_answers(self) -> Script:
        """Some servers answer a request without end."""
        waiting = self.test_bed.workers.endless_answers
        for _ in range(self._random.randint(*ANSWERS)):
            if self._random.random() < 0.25:
                waiting[Role.READER].append(self._random.choice(READER_ANSWERS))
            else:
                waiting[Role.WRITER].append(self._random.choice(WRITER_ANSWERS + FLOODING_ANSWERS))
        yield 1.0

    def endless_watches(self) -> Script:
        """Some watches go on without end, and then a reader begins to drain."""
        self._drains = True
        endpoints = self.test_bed.discovery.endpoints
        for endpoint in self._random.sample(endpoints, self._random.randint(1, len(endpoints))):
            calls = self._random.randint(0, MAX_FURTHER_CALLS)
            endpoint.spoil_watches(self._random.choice(WATCH_ANSWERS), calls)
        name = self._random.choice(self._readers)
        self.test_bed.change_entry(name, lifecycle="draining")
        yield NOTIFIED_WITHIN_S + DRAINED_S
        self.test_bed.change_entry(name, lifecycle="up")
        self._drains = False
