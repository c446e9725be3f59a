"""The controller's actions on recorded streams of events stay the same, step by step."""

from __future__ import annotations

from types import ModuleType

import decision_stream
import pytest

from hopshed import control, free_room, hold_queue


@pytest.mark.parametrize("name", decision_stream.STREAMS)
def test_recorded_events_lead_to_the_recorded_actions(name: str) -> None:
    expected, found = decision_stream.recorded()[name], decision_stream.digests(name)
    assert len(expected) == len(found) == decision_stream.STEPS
    differs = next(
        (n for n, pair in enumerate(zip(expected, found, strict=True)) if len(set(pair)) > 1), None
    )
    assert differs is None, f"{name}: other actions from step {differs} on"


CHANGED = [
    (control, "AIM_SHARE", 0.61),
    (control, "ACCEPT_SHARE", 0.55),
    (control, "STATE_HOLD_SHARE", 0.2),
    (hold_queue, "PRIORITY_WAIT_FACTOR", 1.0),
    (control, "RETRY_RATIO", 0.1),
    (free_room, "SMOOTHING_S", 0.3),
    (free_room, "LIMIT_CUT", 0.7),
]


@pytest.mark.parametrize(("module", "constant", "value"), CHANGED)
def test_a_changed_constant_changes_the_recorded_actions(
    monkeypatch: pytest.MonkeyPatch, module: ModuleType, constant: str, value: float
) -> None:
    assert getattr(module, constant) != value
    monkeypatch.setattr(module, constant, value)
    found = {name: decision_stream.digests(name) for name in decision_stream.STREAMS}
    assert found != decision_stream.recorded()
