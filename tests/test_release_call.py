"""The release of held state: whom it asks and when, whatever the workers do."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yewhook.core.release_call import (
    ABANDON_AFTER,
    MAX_BATCH,
    MAX_OPEN,
    MAX_STEP,
    MIN_STEP,
    STEPS,
    Candidate,
    Ranking,
    ReleaseCall,
    Result,
)

Address = tuple[str, int]
LIVE_ANSWER = 0.01  # s that a worker takes which lives


class Kind(Enum):
    """What a worker does with a call."""

    LIVES = auto()
    SILENT = auto()
    REFUSES = auto()
    FAILS = auto()  # it answers, and the answer is no confirmation


@dataclass
class Fleet:
    """Workers round one release, on a clock of their own."""

    workers: dict[Address, Kind]
    candidates: Sequence[Candidate]
    begin_at: float
    due: float
    now: float = 0.0
    calls: list[tuple[float, Address]] = field(default_factory=list)
    most_open: int = 0
    result: Result | None = None
    confirmed_at: float | None = None
    lateness_told: int = 0

    def play(self, until: float) -> None:
        """Turn the clock up to a time, or until the release has ended."""
        call = ReleaseCall(self.begin_at, self.due)
        answers: list[tuple[float, Address, bool]] = []
        wake_at = self.now
        while self.result is None and self.now < until:
            plan = call.advance(Ranking(self.candidates), self.now) if self.now >= wake_at else None
            for due_at, address, confirmed in [a for a in answers if a[0] <= self.now]:
                answers.remove((due_at, address, confirmed))
                answered = call.answered(address, confirmed, self.now)
                plan = answered if answered is not None else plan
                if plan is not None and plan.result is Result.CONFIRMED:
                    break
                if answered is not None and answered.wake_at is not None and answered.wake_at <= self.now:
                    plan = call.advance(Ranking(self.candidates), self.now)
                    answers += self._ask(plan.ask)
                    plan = plan if plan.result is not None else None
                    wake_at = self.now
            if plan is not None:
                self.lateness_told += plan.missed_due
                answers += self._ask(plan.ask)
                wake_at = plan.wake_at if plan.wake_at is not None else wake_at
                self.result = plan.result
            self.most_open = max(self.most_open, len(call.open))
            self.now += 0.005

    def _ask(self, addresses: Sequence[Address]) -> list[tuple[float, Address, bool]]:
        answers = []
        for address in addresses:
            self.calls.append((self.now, address))
            kind = self.workers[address]
            if kind is not Kind.SILENT:
                wait = 0.0 if kind is Kind.REFUSES else LIVE_ANSWER
                answers.append((self.now + wait, address, kind is Kind.LIVES))
        return answers


def fleet(kinds: Sequence[Kind], begin_at: float = 0.0, due: float = 1.0, groups: int = 3) -> Fleet:
    """Workers of some groups; those that have answered latest are named first."""
    addresses = [("127.0.0.1", 1000 + n) for n in range(len(kinds))]
    candidates = [
        Candidate(address, group=n % groups, heard=-float(n)) for n, address in enumerate(addresses)
    ]
    return Fleet(dict(zip(addresses, kinds, strict=True)), candidates, begin_at, due)


def test_one_live_worker_is_asked_once() -> None:
    played = fleet([Kind.LIVES] * 8)
    played.play(2.0)
    assert played.result is Result.CONFIRMED and len(played.calls) == 1


def test_a_worker_of_another_group_is_asked_after_one_that_is_silent() -> None:
    played = fleet([Kind.SILENT] * 6, groups=3)
    played.play(0.4)
    groups = {c.address: c.group for c in played.candidates}
    assert len({groups[address] for _, address in played.calls}) == 3


def test_workers_that_failed_to_answer_and_those_that_drain_are_asked_last() -> None:
    call = ReleaseCall(0.0, 1.0)
    doubtful = Candidate(("a", 1), heard=5.0, missed=6.0)
    draining = Candidate(("b", 1), heard=9.0, draining=True)
    unknown = Candidate(("c", 1))
    assert call.advance(Ranking([doubtful, draining, unknown]), 0.0).ask == (("c", 1),)
    assert call.advance(Ranking([doubtful, draining, unknown]), 0.2).ask == (("a", 1),)
    assert call.advance(Ranking([doubtful, draining, unknown]), 0.4).ask == (("b", 1),)


def test_nobody_is_asked_before_its_begin() -> None:
    played = fleet([Kind.LIVES] * 2, begin_at=0.5, due=1.5)
    played.play(2.0)
    assert [at >= 0.5 for at, _ in played.calls] == [True]


def test_it_is_given_up_long_after_its_time_and_said_once_to_be_late() -> None:
    played = fleet([Kind.SILENT] * 3)
    played.play(30.0)
    assert played.result is Result.ABANDONED and played.lateness_told == 1
    assert 1.0 + ABANDON_AFTER <= played.now <= 1.0 + ABANDON_AFTER + 1.1


def test_nobody_to_ask_yet_is_no_end() -> None:
    call = ReleaseCall(0.0, 1.0)
    first = call.advance(Ranking([]), 0.0)
    assert first.ask == () and first.result is None and first.wake_at is not None
    assert call.advance(Ranking([Candidate(("a", 1))]), first.wake_at).ask == (("a", 1),)


def test_nothing_follows_from_an_answer_after_the_end() -> None:
    call = ReleaseCall(0.0, 1.0)
    first = Candidate(("a", 1)), Candidate(("b", 1), group=1)
    call.advance(Ranking(first), 0.0)
    call.advance(Ranking(first), 0.2)
    end = call.answered(("a", 1), True, 0.3)
    assert end is not None and end.result is Result.CONFIRMED and end.give_up == (("b", 1),)
    assert call.answered(("b", 1), True, 0.3) is None
    assert call.advance(Ranking(first), 0.4).ask == ()


@pytest.mark.parametrize("limit", [0.2, 0.5, 1.0, 3.0])
@pytest.mark.parametrize("others", [Kind.SILENT, Kind.REFUSES, Kind.FAILS])
def test_one_live_worker_among_twenty_four_is_reached_in_time(limit: float, others: Kind) -> None:
    # Four in five of one role were silent; here all workers are but one, and it is the last to be tried.
    played = fleet([others] * 23 + [Kind.LIVES], due=limit, groups=4)
    played.play(limit + 10.0)
    assert played.result is Result.CONFIRMED
    assert played.calls[-1][0] <= limit and played.now <= limit + 2 * LIVE_ANSWER


def test_a_fleet_that_refuses_at_once_is_not_asked_without_end() -> None:
    played = fleet([Kind.REFUSES] * 300)
    played.play(1.0)
    assert played.result is None and len(played.calls) <= 7 * 2 * MAX_BATCH


def test_without_room_for_more_calls_one_worker_is_asked_in_each_step() -> None:
    call = ReleaseCall(0.0, 1.0)
    candidates = [Candidate(("a", n)) for n in range(20)]
    asked = [len(call.advance(Ranking(candidates), 0.2 * n, room=-5).ask) for n in range(5)]
    assert asked == [1] * 5


KINDS = st.lists(st.sampled_from(list(Kind)), min_size=1, max_size=24)


@given(kinds=KINDS, limit=st.floats(0.2, 4.0), groups=st.integers(1, 6))
def test_whatever_workers_do_calls_are_bounded_and_a_live_worker_is_told_in_time(
    kinds: list[Kind], limit: float, groups: int
) -> None:
    played = fleet(kinds, due=limit, groups=groups)
    played.play(limit + ABANDON_AFTER + 3.0)
    assert played.most_open <= MAX_OPEN
    steps = limit / max(MIN_STEP, min(MAX_STEP, limit / STEPS)) + ABANDON_AFTER + 4
    assert len(played.calls) <= 2 * MAX_BATCH * steps
    if Kind.LIVES not in kinds:
        assert played.result is Result.ABANDONED
        return
    assert played.result is Result.CONFIRMED
    told = [at for at, address in played.calls if played.workers[address] is Kind.LIVES]
    assert told[0] <= limit and played.calls[-1][0] <= told[0] + 2 * LIVE_ANSWER


@given(silent=st.integers(0, 4), limit=st.floats(0.3, 4.0))
def test_with_a_whole_role_silent_a_worker_of_another_is_reached_in_the_first_half(
    silent: int, limit: float
) -> None:
    # The silent ones answered latest, just before they fell silent together.
    silent_role = [Candidate(("10.0.0.1", n), group="writers", heard=9.0) for n in range(silent)]
    other_role = [Candidate(("10.0.0.2", n), group="readers", heard=8.0) for n in range(3)]
    workers = {c.address: Kind.SILENT for c in silent_role} | {c.address: Kind.LIVES for c in other_role}
    played = Fleet(workers, [*silent_role, *other_role], 0.0, limit)
    played.play(limit)
    assert played.result is Result.CONFIRMED
    assert played.now <= max(limit / 2, 0.1) and len(played.calls) <= 2
