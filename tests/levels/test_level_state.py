"""The level state machine: fast down, slow up, later after each failed leave, never by more than it sees."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yewhook.levels.level import SIGNALS, Level, Signals
from yewhook.levels.level_state import Change, LevelStateMachine, Pin
from yewhook.levels.settings import LevelSettings, Mode, ServiceLevelSettings, Threshold

S = ServiceLevelSettings(mode=Mode.ON, leave_spread=0.0)
LOOK = 0.25


class Walk:
    """A level state machine that is shown signals look by look."""

    def __init__(self, settings: ServiceLevelSettings = S, spread: float = 0.0) -> None:
        self.level_state, self.now = LevelStateMachine(settings, spread, 0.0), 0.0
        self.changes: list[Change] = []

    def show(self, seconds: float, **signals: float) -> Level:
        for _ in range(round(seconds / LOOK)):
            self.now += LOOK
            change = self.level_state.step(self.now, Signals(**signals))
            self.changes += [change] if change is not None else []
        return self.level_state.level


def test_a_condition_is_confirmed_before_its_level_is_entered() -> None:
    walk = Walk()
    assert walk.show(1.5, load=1.05) is Level.FULL
    assert walk.show(0.5, load=0.9) is Level.FULL
    assert walk.show(1.5, load=1.05) is Level.FULL  # the first stretch no longer counts
    assert walk.show(1.0, load=1.05) is Level.GUARDED
    change = walk.changes[0]
    assert (change.condition, change.value, change.threshold) == ("load", 1.05, 1.0)


def test_two_thresholds_crossed_at_once_lead_straight_to_the_worse() -> None:
    walk = Walk()
    assert walk.show(3.0, load=1.3, descriptors=0.9) is Level.ESSENTIAL
    assert [(c.before, c.after) for c in walk.changes] == [(Level.FULL, Level.ESSENTIAL)]


def test_up_goes_one_level_at_a_time_and_only_after_calm() -> None:
    walk = Walk()
    walk.show(3.0, load=1.3)
    assert walk.show(S.leave_after - 1.0, load=0.1) is Level.ESSENTIAL
    walk.show(0.25, load=1.1)  # not calm for a moment: it begins anew
    assert walk.show(S.leave_after - 1.0, load=0.1) is Level.ESSENTIAL
    assert walk.show(2.0, load=0.1) is Level.THRIFTY
    assert walk.show(S.leave_after + 1.0, load=0.1) is Level.GUARDED
    assert walk.show(S.leave_after + 1.0, load=0.1) is Level.FULL
    assert [c.condition for c in walk.changes] == ["load", "calm", "calm", "calm"]


def test_between_the_thresholds_nothing_changes() -> None:
    walk = Walk()
    walk.show(3.0, load=1.02)
    assert walk.show(2000.0, load=0.9) is Level.GUARDED


def test_a_leave_that_failed_is_tried_later_each_time_up_to_a_bound() -> None:
    walk = Walk()
    waits = []
    for _ in range(4):
        walk.show(3.0, load=1.02)
        assert walk.show(0.25, load=1.02) is Level.GUARDED
        waits.append(walk.level_state.wait(Level.GUARDED))
        while walk.level_state.level is not Level.FULL:
            walk.show(1.0, load=0.1)
    assert waits == [60.0, 240.0, 300.0, 300.0]
    walk.show(2000.0, load=0.1)
    walk.show(3.0, load=1.02)
    assert walk.level_state.wait(Level.GUARDED) < 300.0  # and a good stay shortens it again


def test_routers_of_other_seeds_leave_at_other_times() -> None:
    spread = replace(S, leave_spread=0.5)
    left = set()
    for n in range(5):
        walk = Walk(spread, n / 4)
        walk.show(3.0, load=1.02)
        while walk.level_state.level is not Level.FULL:
            walk.show(0.25, load=0.1)
        left.add(walk.now)
    assert len(left) == 5 and max(left) - min(left) >= 25.0


def test_a_pause_of_the_process_is_neither_calm_nor_confirmation() -> None:
    walk = Walk()
    walk.show(3.0, load=1.02)
    walk.now += 500.0
    assert walk.show(1.0, load=0.1) is Level.GUARDED  # it was not seen to be calm for those 500 s
    walk = Walk()
    walk.show(0.25, load=3.0)
    walk.now += 500.0
    assert walk.show(1.0, load=3.0) is Level.FULL


def test_a_file_with_fewer_levels_moves_to_the_next_better_one() -> None:
    walk = Walk()
    walk.show(3.0, load=1.3)
    fewer = replace(S, levels={level: S.levels[level] for level in (Level.GUARDED, Level.LAST_RESORT)})
    change = walk.level_state.configure(fewer, walk.now)
    assert change is not None and change.condition == "configuration"
    assert walk.level_state.level is Level.GUARDED
    assert walk.show(10.0, load=1.3) is Level.GUARDED
    assert walk.show(S.leave_after + 1.0, load=0.1) is Level.FULL
    assert walk.level_state.configure(fewer, walk.now) is None


def test_a_pin_holds_whatever_is_seen_and_ends_by_itself() -> None:
    walk = Walk()
    walk.level_state.set_pin(Pin(Level.THRIFTY, 30.0, "drill"))
    assert walk.show(29.0, load=3.0) is Level.THRIFTY
    assert walk.show(2.0, load=0.1) is Level.THRIFTY  # ended, and left slowly like any other
    assert walk.level_state.pin is None
    assert [c.condition for c in walk.changes] == ["pinned", "pin ended"]
    assert walk.show(S.leave_after + 2.0, load=0.1) is Level.GUARDED
    walk.level_state.set_pin(Pin(Level.ESSENTIAL, 1e9, "drill"))
    walk.show(1.0)
    walk.level_state.set_pin(None)
    walk.show(0.5)
    assert walk.level_state.pin is None


values = st.floats(0.0, 4.0)
some = st.fixed_dictionaries({name: values for name in SIGNALS})
steps = st.lists(st.tuples(some, st.integers(1, 40)), min_size=1, max_size=12)


@settings(max_examples=60, deadline=None)
@given(steps, some, some)
def test_a_better_sight_never_leads_to_a_worse_level(
    before: list[tuple[dict[str, float], int]], one: dict[str, float], other: dict[str, float]
) -> None:
    better = {name: min(one[name], other[name]) for name in SIGNALS}
    walks = Walk(), Walk()
    for walk in walks:
        for signals, looks in before:
            walk.show(looks * LOOK, **signals)
    assert walks[0].show(100.0, **better) <= walks[1].show(100.0, **one)


@settings(max_examples=40, deadline=None)
@given(steps)
def test_the_level_depends_on_what_is_seen_and_on_nothing_else(
    seen: list[tuple[dict[str, float], int]],
) -> None:
    walks = Walk(), Walk()
    for signals, looks in seen:
        assert walks[0].show(looks * LOOK, **signals) is walks[1].show(looks * LOOK, **signals)
    assert walks[0].changes == walks[1].changes
    for change in walks[0].changes:  # up by one, and never for a signal that is over its threshold
        if change.after < change.before:
            assert change.after == change.before - 1 and change.condition == "calm"
        else:
            assert change.value >= change.threshold


@pytest.mark.parametrize(
    ("settings", "complaint"),
    [
        (
            {"levels": {Level.GUARDED: LevelSettings({"load": Threshold(1.0, 1.0)})}},
            "guarded.load.leave: got 1",
        ),
        ({"levels": {Level.GUARDED: LevelSettings({"laod": Threshold(1.0, 0.5)})}}, "laod: got an unknown"),
        ({"levels": {Level.GUARDED: LevelSettings({})}}, "expected at least one of load"),
        ({"levels": {Level.FULL: LevelSettings({"load": Threshold(1.0, 0.5)})}}, "levels.full"),
        ({"backoff": 0.5}, "levels.backoff: got 0.5, expected 1 to 100"),
        ({"leave_after": 200.0, "leave_most": 100.0}, "levels.leave_most: got 100, expected 200"),
    ],
)
def test_settings_that_make_no_sense_are_refused(settings: dict[str, object], complaint: str) -> None:
    with pytest.raises(ValueError, match=complaint):
        ServiceLevelSettings(**settings)  # type: ignore[arg-type]
