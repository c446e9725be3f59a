"""Which turns go first, and how many of the others."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yewhook.levels.turns import RefusalLoss, Turn, TurnKind
from yewhook.recovery.ramp import LEAST, Ramp, Rank, rank
from yewhook.recovery.settings import RecoverySettings

TOP = frozenset({1})
SETTINGS = RecoverySettings()


def turn(
    cls: int = 0, standing: RefusalLoss = RefusalLoss.NEW_SESSION, over: bool = False, tenant: int = 0
) -> Turn:
    return Turn(TurnKind(cls, standing, over, False), tenant, 200.0, 2.0, 2.0, 0.0)


@pytest.mark.parametrize(
    ("kind", "place"),
    [
        (TurnKind(0, RefusalLoss.RESUMED_STREAM, True, False), Rank.BACK),
        (TurnKind(1, RefusalLoss.NEW_SESSION, False, False), Rank.TOP),
        (TurnKind(1, RefusalLoss.CLIENT_RETRY, False, True), Rank.TOP),
        (TurnKind(1, RefusalLoss.NEW_SESSION, True, False), Rank.BEYOND),
        (TurnKind(0, RefusalLoss.OPEN_SESSION, False, False), Rank.UNDER_WAY),
        (TurnKind(0, RefusalLoss.NEW_SESSION, False, False), Rank.NEW),
        (TurnKind(0, RefusalLoss.CLIENT_RETRY, False, False), Rank.BEYOND),
    ],
)
def test_the_worthiest_go_first(kind: TurnKind, place: Rank) -> None:
    assert rank(kind, TOP) is place


def seconds(
    ramp: Ramp, begin: float, count: int, each: list[Turn], warm: float, late: float = 0.0
) -> list[int]:
    """How many of the lesser turns are admitted in each second; all of `each` come in every quarter."""
    admitted = []
    for second in range(count):
        got = 0
        for quarter in range(4):
            now = begin + second + quarter / 4
            for one in each:
                ok = ramp.admits(one, TOP, now)
                got += ok and one.kind.cls not in TOP
                if ok:
                    ramp.late.add(1.0, late > 0 and quarter / 4 < late, now)
            ramp.look(now, warm, True)
        admitted.append(got)
    return admitted


def test_the_worthiest_and_streams_that_come_back_always_go() -> None:
    ramp = Ramp(SETTINGS, [1.0], 0.0)
    assert not ramp.admits(turn(), TOP, 0.0)
    assert all(ramp.admits(turn(cls=1), TOP, 0.0) for _ in range(50))
    assert ramp.admits(turn(standing=RefusalLoss.RESUMED_STREAM, over=True), TOP, 0.0)


def test_the_lesser_return_while_answers_are_in_time_and_at_first_by_half_of_what_is_warm() -> None:
    got = seconds(Ramp(SETTINGS, [1.0], 0.0), 0.0, 8, [turn(), turn(), turn()], warm=4.0)
    assert got[0] <= 3 and got[-1] >= 8 and got == sorted(got)


def test_they_give_way_as_soon_as_a_fifth_is_late() -> None:
    ramp = Ramp(SETTINGS, [1.0], 0.0)
    seconds(ramp, 0.0, 6, [turn(), turn()], warm=4.0)
    before = ramp.rate
    got = seconds(ramp, 6.0, 12, [turn(), turn(), turn(cls=1)], warm=4.0, late=0.5)
    assert got[-1] <= 1 and ramp.rate < before / 4
    back = seconds(ramp, 18.0, 10, [turn(), turn(), turn(cls=1)], warm=4.0)
    assert back[-1] >= 6  # and it does not go round in a circle: once in time, it rises to what comes


@given(
    st.lists(st.tuples(st.floats(0.01, 1.0), st.booleans(), st.floats(0.0, 20.0)), min_size=1, max_size=80)
)
def test_the_rate_stays_under_what_is_tried_of_what_is_warm(steps: list[tuple[float, bool, float]]) -> None:
    ramp, now = Ramp(SETTINGS, [1.0], 0.0), 0.0
    tried = 1.0
    for seconds_, late, warm in steps:
        now += seconds_
        ramp.admits(turn(), TOP, now)
        ramp.late.add(1.0, late, now)
        ramp.look(now, warm, True)
        tried *= SETTINGS.grow**seconds_  # what is tried beyond what is warm grows no faster than this
        assert 0.0 <= ramp.rate <= max(LEAST, tried * warm) + 1e-9


def test_with_no_more_than_is_warm_nothing_more_is_admitted_than_that() -> None:
    ramp = Ramp(SETTINGS, [1.0], 0.0)
    first = seconds(ramp, 0.0, 2, [turn()] * 20, warm=2.0)
    assert sum(first) <= 2 * 2.0 * SETTINGS.grow**2 + 2


def test_a_client_with_its_part_leaves_room_to_the_others() -> None:
    ramp = Ramp(SETTINGS, [0.5, 0.5], 0.0)
    greedy, modest = turn(tenant=0), turn(tenant=1)
    got = {0: 0, 1: 0}
    for quarter in range(80):
        now = quarter / 4
        for one in [greedy] * 6 + [modest] * 2:
            got[one.tenant] += ramp.admits(one, TOP, now)
        ramp.late.add(1.0, quarter % 4 == 0, now)  # so late that it stays short
        ramp.look(now, 6.0, True)
    assert got[1] >= 0.25 * got[0] > 0


def test_advice_spreads_what_comes_back_over_as_long_as_it_takes() -> None:
    ramp = Ramp(SETTINGS, [1.0], 0.0)
    calm = ramp.retry_after(0.0)
    for n in range(200):
        ramp.admits(turn(), TOP, n / 100)
    least, most = ramp.retry_after(2.0)
    assert most > calm[1] and 0 < least < most <= 5.0


def test_shares_of_a_parted_fleet_sum_to_one_at_most() -> None:
    # Each router's rate is bounded by its own part, whatever it hears of the others.
    ramps = [Ramp(SETTINGS, [1.0], 0.0) for _ in range(10)]
    for ramp in ramps:
        ramp.admits(turn(), TOP, 0.25)
        ramp.look(0.25, 12.0 / 10, True)
    assert sum(ramp.rate for ramp in ramps) <= 12.0 * SETTINGS.grow**0.25
