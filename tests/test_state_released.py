"""Requests whose read state was released because its time limit had passed."""

from __future__ import annotations

import pytest
from helpers import Bench, only

from hopshed.interface import Outcome, Send, StateReleased

READERS = {1, 2, 3}  # of FLEET in helpers.py


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.FULL, Outcome.RESET])
def test_an_attempt_after_a_released_state_begins_with_a_read(outcome: Outcome) -> None:
    # Otherwise another writer would be asked for a state that no longer exists.
    bench = Bench()
    bench.arrive("a")
    bench.read("a")
    assert bench.do(StateReleased("a")) == []
    (send,) = only(bench.end("a", outcome, after=0.3), Send)
    assert send.server in READERS and send.id == "a"


def test_the_release_of_an_ended_requests_state_is_ignored() -> None:
    assert Bench().do(StateReleased("gone")) == []
