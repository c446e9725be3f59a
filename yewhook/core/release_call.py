"""One request's release: which workers are told to let go of what is held, and when.

Any worker that runs takes the call, but the one asked first may have fallen silent, and with it most of its
role or zone. So further workers are asked while earlier calls are still open, several at once as the time
runs short. The duty ends when one of them has confirmed, or long after its time. There is no I/O here: the
caller makes the calls, tells what came of them, and comes back at the time that it is given.
"""

from __future__ import annotations

from collections.abc import Container, Hashable, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import groupby

MAX_STEP = 0.15  # s to the next worker, where there is time
MIN_STEP = 0.03  # s; what a worker on the same network needs for an answer
STEPS = 6  # workers that are asked one by one within the time that there is
MAX_OPEN = 16  # calls open at once; the oldest gives way
MAX_BATCH = 8  # workers asked at once, and within one step
FULL_BATCH_STEP = 4  # the step from which on so many are asked
CALL_STEPS = 4  # steps that a call may take where there is nobody else to ask
LATE_STEP = 1.0  # s to the next worker once the time is over
ABANDON_AFTER = 5.0  # s over the time after which it is given up: nobody has answered in all of it


class Result(Enum):
    """How a release has ended."""

    CONFIRMED = auto()
    ABANDONED = auto()


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that may be asked."""

    address: tuple[str, int]
    group: Hashable = None  # workers that are likely to fall silent together: those of one role and zone
    heard: float = float("-inf")  # s of the loop's clock at which it last answered
    missed: float = float("-inf")  # and at which it last failed to
    draining: bool = False

    @property
    def doubtful(self) -> bool:
        """Whether it has failed to answer since it was last heard."""
        return self.missed > self.heard


class Ranking:
    """The workers that may be asked, those most likely to live first; one ranking serves many releases."""

    def __init__(self, candidates: Iterable[Candidate]) -> None:
        ranked = sorted(candidates, key=lambda c: (c.draining, c.doubtful, -c.heard))
        self.candidates: tuple[Candidate, ...] = tuple(ranked)
        # Those that run and are not in doubt, those in doubt, and the same of those that drain.
        self._tiers = [tuple(tier) for _, tier in groupby(ranked, lambda c: (c.draining, c.doubtful))]
        self._groups = [{candidate.group for candidate in tier} for tier in self._tiers]

    def best(self, but: Container[tuple[str, int]], groups: set[Hashable]) -> Candidate | None:
        """The first one that is none of these, of another group than these where its like has any."""
        for tier, of_tier in zip(self._tiers, self._groups, strict=True):
            free = (candidate for candidate in tier if candidate.address not in but)
            if (first := next(free, None)) is None:
                continue
            if first.group not in groups or of_tier <= groups:
                return first
            return next((candidate for candidate in free if candidate.group not in groups), first)
        return None


@dataclass(frozen=True, slots=True)
class Plan:
    """What the caller is to do now."""

    give_up: tuple[tuple[str, int], ...] = ()  # calls to close
    ask: tuple[tuple[str, int], ...] = ()  # workers to ask
    wake_at: float | None = None  # when to come back, at the latest
    missed_due: bool = False  # the time has just run out
    result: Result | None = None


@dataclass(slots=True)
class ReleaseCall:
    """The state of one release. All times are s of the loop's clock."""

    begin_at: float
    due: float  # when a worker must have been told
    open: dict[tuple[str, int], float] = field(default_factory=dict)  # calls and their begin, oldest first
    tried: dict[tuple[str, int], Hashable] = field(default_factory=dict)  # in this round, and their groups
    asked: int = 0  # calls made so far
    steps: int = 0  # steps taken so far
    _next_at: float = float("-inf")
    _step_ends: float = float("-inf")
    _in_step: int = 0  # calls begun within the step that ends then
    late: bool = False  # the time is over
    _over: bool = False

    @property
    def step(self) -> float:
        """s from one worker to the next while there is time."""
        return min(MAX_STEP, max(MIN_STEP, (self.due - self.begin_at) / STEPS))

    def answered(self, address: tuple[str, int], confirmed: bool, now: float) -> Plan | None:
        """Take the end of a call into account; None where nothing follows from it."""
        if self._over or address not in self.open:
            return None
        del self.open[address]
        if confirmed:
            return self._end(Result.CONFIRMED)
        if self._in_step < MAX_BATCH:  # else a fleet that refuses at once would be asked without end
            self._next_at = min(self._next_at, now)
        return Plan(wake_at=self._next_at)

    def advance(self, candidates: Ranking, now: float, room: int = MAX_BATCH) -> Plan:
        """What is to be done now, with so many more calls at most (one at the least).

        To be called at the time that the last plan named.
        """
        if self._over:
            return Plan()
        if now < self.begin_at:
            return Plan(wake_at=self.begin_at)
        if now >= self.due + ABANDON_AFTER:
            return self._end(Result.ABANDONED)
        missed_due = now > self.due and not self.late
        self.late = self.late or missed_due
        if now < self._next_at:
            return Plan(wake_at=self._next_at, missed_due=missed_due)
        give_up = self._outlasted(candidates, now)
        ask = self._choose(candidates, max(1, min(self._batch(now), room)))
        while len(self.open) + len(ask) > MAX_OPEN:
            give_up.append(self._take_oldest())
        self.open |= dict.fromkeys(ask, now)
        self.asked += len(ask)
        self._next_at = now + (LATE_STEP if self.late else self.step)
        if now >= self._step_ends:
            self._step_ends, self._in_step = self._next_at, 0
            self.steps += 1
        self._in_step += len(ask)
        return Plan(tuple(give_up), tuple(ask), self._next_at, missed_due)

    def _outlasted(self, candidates: Ranking, now: float) -> list[tuple[str, int]]:
        """Where everybody is being asked, the oldest call if it is better made anew on another connection."""
        everybody = all(candidate.address in self.open for candidate in candidates.candidates)
        if not self.open or not everybody or now - next(iter(self.open.values())) < CALL_STEPS * self.step:
            return []
        return [self._take_oldest()]

    def _take_oldest(self) -> tuple[str, int]:
        address = next(iter(self.open))
        del self.open[address]
        return address

    def _batch(self, now: float) -> int:
        """Workers to ask in this step: one, then another, then twice as many each time.

        A fleet of 24 of which all but one are silent is asked whole within the time. A worker that is asked
        in place of one that has just failed is asked alone.
        """
        if now < self._step_ends:
            return 1
        return MAX_BATCH if self.steps > FULL_BATCH_STEP else 1 << max(0, self.steps - 1)

    def _choose(self, candidates: Ranking, count: int) -> list[tuple[str, int]]:
        """Workers that are likely to live, of as many groups as there are; each once in a round."""
        chosen: list[tuple[str, int]] = []
        while len(chosen) < count:
            best = candidates.best(self.tried.keys() | self.open.keys(), set(self.tried.values()))
            if best is None and not chosen and self.tried:  # everybody has been asked in vain: begin anew
                self.tried.clear()
                best = candidates.best(self.open.keys(), set())
            if best is None:
                break
            self.tried[best.address] = best.group
            chosen.append(best.address)
        return chosen

    def _end(self, result: Result) -> Plan:
        self._over = True
        give_up, self.open = tuple(self.open), {}
        return Plan(give_up=give_up, result=result)
