"""The precedence of turns and the rate at which the others are admitted while service returns."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yewhook.levels.turns import RefusalLoss, Turn, TurnKind
from yewhook.recovery.ramp import MIN_TURNS_PER_S, Ramp, Rank, rank
from yewhook.recovery.settings import RecoverySettings

TOP_CLASSES = frozenset({1})
SETTINGS = RecoverySettings()


def turn(
    cls: int = 0, refusal_loss: RefusalLoss = RefusalLoss.NEW_SESSION, over: bool = False, tenant: int = 0
) -> Turn:
    return Turn(TurnKind(cls, refusal_loss, over, False), tenant, 200.0, 2.0, 2.0, 0.0)


@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        (TurnKind(0, RefusalLoss.RESUMED_STREAM, True, False), Rank.RESUMED_STREAM),
        (TurnKind(1, RefusalLoss.NEW_SESSION, False, False), Rank.TOP_CLASS),
        (TurnKind(1, RefusalLoss.CLIENT_RETRY, False, True), Rank.TOP_CLASS),
        (TurnKind(1, RefusalLoss.NEW_SESSION, True, False), Rank.OVER_SHARE_OR_RETRY),
        (TurnKind(0, RefusalLoss.OPEN_SESSION, False, False), Rank.OPEN_SESSION),
        (TurnKind(0, RefusalLoss.NEW_SESSION, False, False), Rank.NEW_SESSION),
        (TurnKind(0, RefusalLoss.CLIENT_RETRY, False, False), Rank.OVER_SHARE_OR_RETRY),
    ],
)
def test_the_rank_of_each_kind_of_turn(kind: TurnKind, expected: Rank) -> None:
    assert rank(kind, TOP_CLASSES) is expected


def admitted_per_second(
    ramp: Ramp, start: float, count: int, arrivals: list[Turn], proven: float, late: float = 0.0
) -> list[int]:
    """Turns below the top class admitted in each second; all of `arrivals` arrive every quarter of a second.

    `late` = share of each second in which admitted turns count as late.
    """
    admitted = []
    for second in range(count):
        got = 0
        for quarter in range(4):
            now = start + second + quarter / 4
            for one in arrivals:
                ok = ramp.admits(one, TOP_CLASSES, now)
                got += ok and one.kind.cls not in TOP_CLASSES
                if ok:
                    ramp.lateness.add(1.0, late > 0 and quarter / 4 < late, now)
            ramp.update(now, proven, True)
        admitted.append(got)
    return admitted


def test_the_top_class_and_resumed_streams_are_always_admitted() -> None:
    ramp = Ramp(SETTINGS, [1.0], 0.0)
    assert not ramp.admits(turn(), TOP_CLASSES, 0.0)
    assert all(ramp.admits(turn(cls=1), TOP_CLASSES, 0.0) for _ in range(50))
    assert ramp.admits(turn(refusal_loss=RefusalLoss.RESUMED_STREAM, over=True), TOP_CLASSES, 0.0)


def test_the_rate_starts_low_and_rises_while_answers_are_in_time() -> None:
    got = admitted_per_second(Ramp(SETTINGS, [1.0], 0.0), 0.0, 8, [turn(), turn(), turn()], proven=4.0)
    assert got[0] <= 3 and got[-1] >= 8 and got == sorted(got)


def test_the_rate_is_cut_when_a_fifth_of_the_worth_is_late() -> None:
    ramp = Ramp(SETTINGS, [1.0], 0.0)
    admitted_per_second(ramp, 0.0, 6, [turn(), turn()], proven=4.0)
    before = ramp.rate
    got = admitted_per_second(ramp, 6.0, 12, [turn(), turn(), turn(cls=1)], proven=4.0, late=0.5)
    assert got[-1] <= 1 and ramp.rate < before / 4
    back = admitted_per_second(ramp, 18.0, 10, [turn(), turn(), turn(cls=1)], proven=4.0)
    assert back[-1] >= 6  # no oscillation: once answers are in time, it rises to the demand


@given(
    st.lists(st.tuples(st.floats(0.01, 1.0), st.booleans(), st.floats(0.0, 20.0)), min_size=1, max_size=80)
)
def test_the_rate_stays_below_the_tried_multiple_of_the_proven_rate(
    steps: list[tuple[float, bool, float]],
) -> None:
    ramp, now = Ramp(SETTINGS, [1.0], 0.0), 0.0
    tried = 1.0
    for seconds, late, proven in steps:
        now += seconds
        ramp.admits(turn(), TOP_CLASSES, now)
        ramp.lateness.add(1.0, late, now)
        ramp.update(now, proven, True)
        tried *= SETTINGS.grow**seconds  # the multiple that is tried grows no faster than this
        assert 0.0 <= ramp.rate <= max(MIN_TURNS_PER_S, tried * proven) + 1e-9


def test_admitted_turns_are_bounded_by_the_proven_rate() -> None:
    ramp = Ramp(SETTINGS, [1.0], 0.0)
    first = admitted_per_second(ramp, 0.0, 2, [turn()] * 20, proven=2.0)
    assert sum(first) <= 2 * 2.0 * SETTINGS.grow**2 + 2


def test_a_client_beyond_its_fair_share_leaves_room_to_others() -> None:
    ramp = Ramp(SETTINGS, [0.5, 0.5], 0.0)
    greedy, modest = turn(tenant=0), turn(tenant=1)
    got = {0: 0, 1: 0}
    for quarter in range(80):
        now = quarter / 4
        for one in [greedy] * 6 + [modest] * 2:
            got[one.tenant] += ramp.admits(one, TOP_CLASSES, now)
        ramp.lateness.add(1.0, quarter % 4 == 0, now)  # late enough to keep the rate below the demand
        ramp.update(now, 6.0, True)
    assert got[1] >= 0.25 * got[0] > 0


def test_retry_advice_grows_with_the_refused_turns() -> None:
    ramp = Ramp(SETTINGS, [1.0], 0.0)
    calm = ramp.retry_after(0.0)
    for n in range(200):
        ramp.admits(turn(), TOP_CLASSES, n / 100)
    least, most = ramp.retry_after(2.0)
    assert most > calm[1] and 0 < least < most <= 5.0


def test_rates_in_a_partitioned_fleet_do_not_exceed_the_whole() -> None:
    # Each router's rate is bounded by its own part, whatever it knows of the others.
    ramps = [Ramp(SETTINGS, [1.0], 0.0) for _ in range(10)]
    for ramp in ramps:
        ramp.admits(turn(), TOP_CLASSES, 0.25)
        ramp.update(0.25, 12.0 / 10, True)
    assert sum(ramp.rate for ramp in ramps) <= 12.0 * SETTINGS.grow**0.25
