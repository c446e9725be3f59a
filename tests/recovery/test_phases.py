"""The order in which service returns."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from yewhook.recovery.phases import Phase, PhaseEvidence, PhaseState, reached

CALM = 1.0
sights = st.builds(
    PhaseEvidence, path=st.booleans(), proven=st.booleans(), late=st.booleans(), fits=st.booleans(),
    warm=st.floats(0, 1), alone=st.booleans(),
)  # fmt: skip
BEST = PhaseEvidence(path=True, proven=True, late=False, fits=True, warm=1.0)


def play(standing: PhaseState, sight: PhaseEvidence, begin: float, looks: int) -> list[PhaseState]:
    states = [standing]
    for n in range(looks):
        states.append(states[-1].step(sight, begin + 0.25 * n, CALM))
    return states


@given(st.sampled_from(Phase), sights)
def test_phases_do_not_alternate_under_steady_evidence(phase: Phase, sight: PhaseEvidence) -> None:
    phases = [one.phase for one in play(PhaseState(phase, 0.0), sight, 0.0, 60)]
    moves = [b - a for a, b in pairwise(phases) if a is not b]
    assert all(m > 0 for m in moves) or (all(m < 0 for m in moves[:1]) and all(m > 0 for m in moves[1:]))
    assert phases[-1] is phases[-20]  # it comes to rest


@given(sights)
def test_it_ends_where_the_evidence_ends(sight: PhaseEvidence) -> None:
    last = play(PhaseState(Phase.NOTHING, 0.0), sight, 0.0, 60)[-1]
    assert last.phase is reached(sight)


def test_service_returns_step_by_step_and_not_before_each_condition_has_held() -> None:
    states = play(PhaseState(Phase.NOTHING, 0.0), BEST, 0.0, 20)
    order = list(dict.fromkeys(state.phase for state in states))
    assert order == [Phase.NOTHING, Phase.COLD, Phase.TRICKLE, Phase.RAMP, Phase.FULL]
    assert next(n for n, one in enumerate(states) if one.phase is Phase.FULL) > 2 * CALM / 0.25


def test_lateness_takes_the_ramp_back_at_once_and_full_service_not() -> None:
    late = replace(BEST, late=True)
    assert PhaseState(Phase.RAMP, 0.0).step(late, 5.0, CALM).phase is Phase.TRICKLE
    assert PhaseState(Phase.FULL, 0.0).step(late, 5.0, CALM).phase is Phase.FULL


def test_a_restart_of_this_router_alone_is_over_at_once() -> None:
    assert PhaseState(Phase.NOTHING, 0.0).step(replace(BEST, alone=True), 0.1, CALM).phase is Phase.FULL


def test_a_list_that_goes_begins_it_anew() -> None:
    assert PhaseState(Phase.FULL, 0.0).step(replace(BEST, path=False), 9.0, CALM).phase is Phase.NOTHING
