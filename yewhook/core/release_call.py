"""One request's release: which workers to call so that held state is released, and when.

Any running worker accepts the call, but the first one that is called may have stopped responding, together
with most workers of its role or zone. So further workers are called while earlier calls are still open, and
several at once as time runs short. The release ends when one worker has confirmed it, or is abandoned long
after it was due. This module does no I/O: the caller makes the calls, reports how they ended, and calls
`advance` at the time that it is given.
"""

from __future__ import annotations

from collections.abc import Container, Hashable, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import groupby

MAX_STEP_S = 0.15  # longest time from one worker to the next, where there is time
MIN_STEP_S = 0.03  # shortest such time; a worker on the same network answers within it
STEPS = 6  # steps into which the time until the release is due is divided
MAX_OPEN_CALLS = 16  # calls of one release; the oldest is closed to make room for a new one
MAX_BATCH = 8  # workers called at once, and within one step
FULL_BATCH_STEP = 4  # the step after which `MAX_BATCH` workers are called at once
MAX_CALL_STEPS = 4  # steps that a call may take if all workers are being called
LATE_STEP_S = 1.0  # time from one worker to the next once the release is overdue
ABANDON_AFTER_S = 5.0  # an overdue release is abandoned after this: no worker has confirmed in all of it


class Result(Enum):
    """How a release has ended."""

    CONFIRMED = auto()
    ABANDONED = auto()


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that may be called; times are seconds of the loop's clock."""

    address: tuple[str, int]
    group: Hashable = None  # its role and zone: workers of one group are likely to fail together
    last_heard: float = float("-inf")  # when it last answered
    last_missed: float = float("-inf")  # when it last failed to answer
    draining: bool = False

    @property
    def suspected(self) -> bool:
        """Whether it has failed to answer since it was last heard."""
        return self.last_missed > self.last_heard


class Ranking:
    """The workers that may be called, the most likely to respond first; one ranking serves many releases."""

    def __init__(self, candidates: Iterable[Candidate]) -> None:
        ranked = sorted(candidates, key=lambda c: (c.draining, c.suspected, -c.last_heard))
        self.candidates: tuple[Candidate, ...] = tuple(ranked)
        # Running workers, suspected running ones, draining ones, suspected draining ones.
        self._tiers = [tuple(tier) for _, tier in groupby(ranked, lambda c: (c.draining, c.suspected))]
        self._groups = [{candidate.group for candidate in tier} for tier in self._tiers]

    def best(self, excluded: Container[tuple[str, int]], tried_groups: set[Hashable]) -> Candidate | None:
        """The first candidate of the best tier that has one; None if all are excluded.

        Within the tier, candidates of groups that have not been tried come first.
        """
        for tier, groups in zip(self._tiers, self._groups, strict=True):
            free = (candidate for candidate in tier if candidate.address not in excluded)
            if (first := next(free, None)) is None:
                continue
            if first.group not in tried_groups or groups <= tried_groups:
                return first
            return next((candidate for candidate in free if candidate.group not in tried_groups), first)
        return None


@dataclass(frozen=True, slots=True)
class Plan:
    """What the caller has to do now."""

    close: tuple[tuple[str, int], ...] = ()  # workers whose calls to close
    call: tuple[tuple[str, int], ...] = ()  # workers to call
    wake_at: float | None = None  # when to call `advance` again
    missed_due: bool = False  # the release has just become overdue
    result: Result | None = None  # set if the release has ended


@dataclass(slots=True)
class ReleaseCall:
    """The state of one release. All times are seconds of the loop's clock."""

    begin_at: float
    due: float  # by when a worker must have been told to release the state
    open_calls: dict[tuple[str, int], float] = field(default_factory=dict)  # worker -> begin, oldest first
    tried: dict[tuple[str, int], Hashable] = field(default_factory=dict)  # worker -> group, of this round
    calls_made: int = 0
    steps_taken: int = 0
    _next_call_at: float = float("-inf")
    _step_end: float = float("-inf")
    _calls_in_step: int = 0
    late: bool = False  # the release is overdue
    _ended: bool = False

    @property
    def step_s(self) -> float:
        """Seconds from one worker to the next while there is time."""
        return min(MAX_STEP_S, max(MIN_STEP_S, (self.due - self.begin_at) / STEPS))

    def call_ended(self, address: tuple[str, int], confirmed: bool, now: float) -> Plan | None:
        """Take the end of a call into account; returns None if nothing has to be done."""
        if self._ended or address not in self.open_calls:
            return None
        del self.open_calls[address]
        if confirmed:
            return self._end(Result.CONFIRMED)
        if self._calls_in_step < MAX_BATCH:  # or workers that all refuse at once would be called in a loop
            self._next_call_at = min(self._next_call_at, now)
        return Plan(wake_at=self._next_call_at)

    def advance(self, ranking: Ranking, now: float, max_calls: int = MAX_BATCH) -> Plan:
        """Return what to do now; call this at the time that the last plan named.

        No more than `max_calls` new calls are made, but at least one.
        """
        if self._ended:
            return Plan()
        if now < self.begin_at:
            return Plan(wake_at=self.begin_at)
        if now >= self.due + ABANDON_AFTER_S:
            return self._end(Result.ABANDONED)
        missed_due = now > self.due and not self.late
        self.late = self.late or missed_due
        if now < self._next_call_at:
            return Plan(wake_at=self._next_call_at, missed_due=missed_due)
        close = self._expired_call(ranking, now)
        call = self._choose(ranking, max(1, min(self._batch_size(now), max_calls)))
        while len(self.open_calls) + len(call) > MAX_OPEN_CALLS:
            close.append(self._take_oldest())
        self.open_calls |= dict.fromkeys(call, now)
        self.calls_made += len(call)
        self._next_call_at = now + (LATE_STEP_S if self.late else self.step_s)
        if now >= self._step_end:
            self._step_end, self._calls_in_step = self._next_call_at, 0
            self.steps_taken += 1
        self._calls_in_step += len(call)
        return Plan(tuple(close), tuple(call), self._next_call_at, missed_due)

    def _expired_call(self, ranking: Ranking, now: float) -> list[tuple[str, int]]:
        """The oldest call, if all workers are being called and it has taken too long.

        Its worker can then be called again on a new connection.
        """
        all_called = all(candidate.address in self.open_calls for candidate in ranking.candidates)
        if (
            not self.open_calls
            or not all_called
            or now - next(iter(self.open_calls.values())) < MAX_CALL_STEPS * self.step_s
        ):
            return []
        return [self._take_oldest()]

    def _take_oldest(self) -> tuple[str, int]:
        address = next(iter(self.open_calls))
        del self.open_calls[address]
        return address

    def _batch_size(self, now: float) -> int:
        """Number of workers to call now: one in each of the first two steps, then twice as many each step.

        So all of 24 workers are called in time, even if all but one have stopped responding. A worker that
        replaces one that has just failed is called alone.
        """
        if now < self._step_end:
            return 1
        return MAX_BATCH if self.steps_taken > FULL_BATCH_STEP else 1 << max(0, self.steps_taken - 1)

    def _choose(self, ranking: Ranking, count: int) -> list[tuple[str, int]]:
        """The best workers to call, of as many groups as possible; each is called once in a round."""
        chosen: list[tuple[str, int]] = []
        while len(chosen) < count:
            best = ranking.best(self.tried.keys() | self.open_calls.keys(), set(self.tried.values()))
            if best is None and not chosen and self.tried:  # all have been called: begin a new round
                self.tried.clear()
                best = ranking.best(self.open_calls.keys(), set())
            if best is None:
                break
            self.tried[best.address] = best.group
            chosen.append(best.address)
        return chosen

    def _end(self, result: Result) -> Plan:
        self._ended = True
        close, self.open_calls = tuple(self.open_calls), {}
        return Plan(close=close, result=result)
