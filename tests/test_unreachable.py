"""Attempts in flight at a server that becomes unreachable are moved or cancelled when it is ejected."""

from __future__ import annotations

import pytest
from helpers import FLEET, Bench, only

from hopshed.interface import Action, AttemptEnded, CancelAttempt, MoveStream, Outcome, StreamStarted


def until_ejected(bench: Bench, target: int, outcome: Outcome) -> list[Action]:
    """End attempts at a server with this outcome until it is ejected; the actions taken meanwhile."""
    actions: list[Action] = []
    for n in range(40):
        if bench.controller.workers[target].trial:
            return actions
        request = f"r{n}"
        bench.arrive(request)
        if bench.attempts[request][-1] < 10 and bench.attempts[request][-1] != target:
            bench.read(request)
        if bench.attempts[request][-1] == target:
            last = len(bench.attempts[request]) - 1
            actions += bench.do(AttemptEnded(request, last, target, outcome, 0.25, False))
    raise AssertionError("the server was not ejected")


@pytest.mark.parametrize(("outcome", "moved"), [(Outcome.UNREACHABLE, ["s"]), (Outcome.FAILED, [])])
def test_streams_are_moved_off_a_writer_that_cannot_be_reached(outcome: Outcome, moved: list[str]) -> None:
    # Streams at a machine that disappeared stalled until it returned and reset them. A server that only fails
    # requests still serves its running streams, so these stay.
    bench = Bench(FLEET, may_resume=True)
    bench.arrive("s")
    bench.read("s")
    writer = bench.attempts["s"][-1]
    bench.do(StreamStarted("s", 1, writer, 0.1))
    assert [action.id for action in only(until_ejected(bench, writer, outcome), MoveStream)] == moved


@pytest.mark.parametrize(("outcome", "cancelled"), [(Outcome.UNREACHABLE, ["w"]), (Outcome.FAILED, [])])
def test_reads_at_a_reader_that_cannot_be_reached_are_cancelled(
    outcome: Outcome, cancelled: list[str]
) -> None:
    # They would wait for their time-outs; at another reader they can be read at once.
    bench = Bench(FLEET)
    bench.arrive("w")
    reader = bench.attempts["w"][-1]
    assert [action.id for action in only(until_ejected(bench, reader, outcome), CancelAttempt)] == cancelled
