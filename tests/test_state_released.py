"""The module, and a request whose state was let go since its time was over."""

from __future__ import annotations

import pytest
from helpers import Bench, only

from hopshed.interface import Outcome, Send, StateReleased

READERS = {1, 2, 3}  # of the fleet in helpers


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.FULL, Outcome.RESET])
def test_an_attempt_after_a_released_state_begins_with_a_read(outcome: Outcome) -> None:
    # Another writer was asked for a state that was gone.
    bench = Bench()
    bench.arrive("a")
    bench.read("a")
    assert bench.do(StateReleased("a")) == []
    (further,) = only(bench.end("a", outcome, after=0.3), Send)
    assert further.server in READERS and further.id == "a"


def test_a_released_state_of_a_request_that_has_ended_is_passed_over() -> None:
    assert Bench().do(StateReleased("gone")) == []
