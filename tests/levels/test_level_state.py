"""The level state machine: quick to a worse level, slow to a better one, with backoff after failed leaves."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yewhook.levels.level import SIGNALS, Level, Signals
from yewhook.levels.level_state import Change, LevelStateMachine, Pin
from yewhook.levels.settings import LevelSettings, Mode, ServiceLevelSettings, Threshold

SETTINGS = ServiceLevelSettings(mode=Mode.ON, leave_spread=0.0)
STEP_S = 0.25


class Stepper:
    """Steps a level state machine through virtual time and records its changes."""

    def __init__(self, settings: ServiceLevelSettings = SETTINGS, spread: float = 0.0) -> None:
        self.level_state, self.now = LevelStateMachine(settings, spread, 0.0), 0.0
        self.changes: list[Change] = []

    def run(self, seconds: float, **signals: float) -> Level:
        """Evaluates the same signals for so long. Returns the level at the end."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            change = self.level_state.step(self.now, Signals(**signals))
            self.changes += [change] if change is not None else []
        return self.level_state.level


def test_a_condition_is_confirmed_before_its_level_is_entered() -> None:
    stepper = Stepper()
    assert stepper.run(1.5, load=1.05) is Level.FULL
    assert stepper.run(0.5, load=0.9) is Level.FULL
    assert stepper.run(1.5, load=1.05) is Level.FULL  # the first 1.5 seconds no longer count
    assert stepper.run(1.0, load=1.05) is Level.GUARDED
    change = stepper.changes[0]
    assert (change.condition, change.value, change.threshold) == ("load", 1.05, 1.0)


def test_two_thresholds_exceeded_at_once_enter_the_worse_level_directly() -> None:
    stepper = Stepper()
    assert stepper.run(3.0, load=1.3, descriptors=0.9) is Level.ESSENTIAL
    assert [(c.before, c.after) for c in stepper.changes] == [(Level.FULL, Level.ESSENTIAL)]


def test_levels_improve_one_at_a_time_and_only_after_calm() -> None:
    stepper = Stepper()
    stepper.run(3.0, load=1.3)
    assert stepper.run(SETTINGS.leave_after - 1.0, load=0.1) is Level.ESSENTIAL
    stepper.run(0.25, load=1.1)  # the calm is interrupted and starts again
    assert stepper.run(SETTINGS.leave_after - 1.0, load=0.1) is Level.ESSENTIAL
    assert stepper.run(2.0, load=0.1) is Level.THRIFTY
    assert stepper.run(SETTINGS.leave_after + 1.0, load=0.1) is Level.GUARDED
    assert stepper.run(SETTINGS.leave_after + 1.0, load=0.1) is Level.FULL
    assert [c.condition for c in stepper.changes] == ["load", "calm", "calm", "calm"]


def test_a_signal_between_leave_and_enter_keeps_the_level() -> None:
    stepper = Stepper()
    stepper.run(3.0, load=1.02)
    assert stepper.run(2000.0, load=0.9) is Level.GUARDED


def test_each_failed_leave_raises_the_calm_required_up_to_a_bound() -> None:
    stepper = Stepper()
    required = []
    for _ in range(4):
        stepper.run(3.0, load=1.02)
        assert stepper.run(0.25, load=1.02) is Level.GUARDED
        required.append(stepper.level_state.required_calm(Level.GUARDED))
        while stepper.level_state.level is not Level.FULL:
            stepper.run(1.0, load=0.1)
    assert required == [60.0, 240.0, 300.0, 300.0]
    stepper.run(2000.0, load=0.1)
    stepper.run(3.0, load=1.02)
    # Lowered, since the level was not entered again soon after it was left
    assert stepper.level_state.required_calm(Level.GUARDED) < 300.0


def test_routers_with_different_spreads_leave_at_different_times() -> None:
    spread = replace(SETTINGS, leave_spread=0.5)
    left_at = set()
    for n in range(5):
        stepper = Stepper(spread, n / 4)
        stepper.run(3.0, load=1.02)
        while stepper.level_state.level is not Level.FULL:
            stepper.run(0.25, load=0.1)
        left_at.add(stepper.now)
    assert len(left_at) == 5 and max(left_at) - min(left_at) >= 25.0


def test_a_stall_of_the_process_counts_neither_as_calm_nor_as_confirmation() -> None:
    stepper = Stepper()
    stepper.run(3.0, load=1.02)
    stepper.now += 500.0
    assert stepper.run(1.0, load=0.1) is Level.GUARDED  # no calm was observed in those 500 s
    stepper = Stepper()
    stepper.run(0.25, load=3.0)
    stepper.now += 500.0
    assert stepper.run(1.0, load=3.0) is Level.FULL


def test_a_level_that_is_no_longer_configured_becomes_the_next_better_one() -> None:
    stepper = Stepper()
    stepper.run(3.0, load=1.3)
    fewer = replace(
        SETTINGS, levels={level: SETTINGS.levels[level] for level in (Level.GUARDED, Level.LAST_RESORT)}
    )
    change = stepper.level_state.configure(fewer, stepper.now)
    assert change is not None and change.condition == "configuration"
    assert stepper.level_state.level is Level.GUARDED
    assert stepper.run(10.0, load=1.3) is Level.GUARDED
    assert stepper.run(SETTINGS.leave_after + 1.0, load=0.1) is Level.FULL
    assert stepper.level_state.configure(fewer, stepper.now) is None


def test_a_pin_holds_its_level_whatever_the_signals_and_expires() -> None:
    stepper = Stepper()
    stepper.level_state.set_pin(Pin(Level.THRIFTY, 30.0, "drill"))
    assert stepper.run(29.0, load=3.0) is Level.THRIFTY
    assert stepper.run(2.0, load=0.1) is Level.THRIFTY  # the pin expired; the level is left slowly as usual
    assert stepper.level_state.pin is None
    assert [c.condition for c in stepper.changes] == ["pinned", "pin ended"]
    assert stepper.run(SETTINGS.leave_after + 2.0, load=0.1) is Level.GUARDED
    stepper.level_state.set_pin(Pin(Level.ESSENTIAL, 1e9, "drill"))
    stepper.run(1.0)
    stepper.level_state.set_pin(None)
    stepper.run(0.5)
    assert stepper.level_state.pin is None


signal_values = st.floats(0.0, 4.0)
signal_sets = st.fixed_dictionaries({name: signal_values for name in SIGNALS})
histories = st.lists(st.tuples(signal_sets, st.integers(1, 40)), min_size=1, max_size=12)


@settings(max_examples=60, deadline=None)
@given(histories, signal_sets, signal_sets)
def test_lower_signals_never_lead_to_a_worse_level(
    before: list[tuple[dict[str, float], int]], one: dict[str, float], other: dict[str, float]
) -> None:
    better = {name: min(one[name], other[name]) for name in SIGNALS}
    steppers = Stepper(), Stepper()
    for stepper in steppers:
        for signals, steps in before:
            stepper.run(steps * STEP_S, **signals)
    assert steppers[0].run(100.0, **better) <= steppers[1].run(100.0, **one)


@settings(max_examples=40, deadline=None)
@given(histories)
def test_the_level_depends_on_the_signals_alone(
    history: list[tuple[dict[str, float], int]],
) -> None:
    steppers = Stepper(), Stepper()
    for signals, steps in history:
        assert steppers[0].run(steps * STEP_S, **signals) is steppers[1].run(steps * STEP_S, **signals)
    assert steppers[0].changes == steppers[1].changes
    for change in steppers[
        0
    ].changes:  # better by one level after calm, or worse for a signal over its threshold
        if change.after < change.before:
            assert change.after == change.before - 1 and change.condition == "calm"
        else:
            assert change.value >= change.threshold


@pytest.mark.parametrize(
    ("settings", "message"),
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
def test_invalid_settings_are_rejected(settings: dict[str, object], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        ServiceLevelSettings(**settings)  # type: ignore[arg-type]
