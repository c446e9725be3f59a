"""What the module does about a server that cannot be reached while attempts of ours stand still on it."""

from __future__ import annotations

import pytest
from helpers import FLEET, Bench, only

from hopshed.interface import Action, AttemptEnded, CancelAttempt, MoveStream, Outcome, StreamStarted


def until_out(bench: Bench, target: int, outcome: Outcome) -> list[Action]:
    """End attempts at a server in this way until it is left out; what the module did meanwhile."""
    acts: list[Action] = []
    for n in range(40):
        if bench.controller.workers[target].trial:
            return acts
        rid = f"r{n}"
        bench.arrive(rid)
        if bench.attempts[rid][-1] < 10 and bench.attempts[rid][-1] != target:
            bench.read(rid)
        if bench.attempts[rid][-1] == target:
            last = len(bench.attempts[rid]) - 1
            acts += bench.do(AttemptEnded(rid, last, target, outcome, 0.25, False))
    raise AssertionError("never left out")


@pytest.mark.parametrize(("outcome", "moved"), [(Outcome.UNREACHABLE, ["s"]), (Outcome.FAILED, [])])
def test_streams_are_moved_off_a_writer_that_cannot_be_reached(outcome: Outcome, moved: list[str]) -> None:
    # A machine that has vanished says nothing: its streams stood still until it came back and reset them.
    # One that only fails still serves its streams, so they stay there.
    bench = Bench(FLEET, may_resume=True)
    bench.arrive("s")
    bench.read("s")
    writer = bench.attempts["s"][-1]
    bench.do(StreamStarted("s", 1, writer, 0.1))
    assert [act.id for act in only(until_out(bench, writer, outcome), MoveStream)] == moved


@pytest.mark.parametrize(("outcome", "cancelled"), [(Outcome.UNREACHABLE, ["w"]), (Outcome.FAILED, [])])
def test_reads_at_a_reader_that_cannot_be_reached_are_cancelled(
    outcome: Outcome, cancelled: list[str]
) -> None:
    # They would run into their time-outs; elsewhere they can be read at once.
    bench = Bench(FLEET)
    bench.arrive("w")
    reader = bench.attempts["w"][-1]
    assert [act.id for act in only(until_out(bench, reader, outcome), CancelAttempt)] == cancelled
