"""Decisions stay the same: the module's actions on a recorded stream of events, step by step."""

from __future__ import annotations

import decision_stream
import pytest

from hopshed import control


@pytest.mark.parametrize("name", decision_stream.STREAMS)
def test_the_recorded_events_lead_to_the_recorded_actions(name: str) -> None:
    wanted, found = decision_stream.recorded()[name], decision_stream.digests(name)
    assert len(wanted) == len(found) == decision_stream.STEPS
    differs = next((n for n, pair in enumerate(zip(wanted, found, strict=True)) if len(set(pair)) > 1), None)
    assert differs is None, f"{name}: step {differs} decides otherwise"


CHANGED = {
    "AIM_MARGIN": 0.61,
    "COMFORT": 0.55,
    "STATE_HOLD": 0.2,
    "LIFT": 1.0,
    "RETRY_RATIO": 0.1,
    "SMOOTHING": 0.3,
}


@pytest.mark.parametrize(("constant", "value"), CHANGED.items())
def test_one_changed_constant_is_noticed(
    monkeypatch: pytest.MonkeyPatch, constant: str, value: float
) -> None:
    assert getattr(control, constant) != value
    monkeypatch.setattr(control, constant, value)
    found = {name: decision_stream.digests(name) for name in decision_stream.STREAMS}
    assert found != decision_stream.recorded()
