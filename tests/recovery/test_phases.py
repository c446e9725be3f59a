"""The phases in which service returns."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from yewhook.recovery.phases import Phase, PhaseEvidence, PhaseState, best_phase

CALM = 1.0
evidences = st.builds(
    PhaseEvidence,
    path_listed=st.booleans(),
    path_confirmed=st.booleans(),
    late=st.booleans(),
    all_admitted=st.booleans(),
    warm_share=st.floats(0, 1),
    only_this_router=st.booleans(),
)
BEST = PhaseEvidence(path_listed=True, path_confirmed=True, late=False, all_admitted=True, warm_share=1.0)


def run_steps(state: PhaseState, evidence: PhaseEvidence, start: float, evaluations: int) -> list[PhaseState]:
    states = [state]
    for n in range(evaluations):
        states.append(states[-1].step(evidence, start + 0.25 * n, CALM))
    return states


@given(st.sampled_from(Phase), evidences)
def test_phases_do_not_alternate_under_steady_evidence(phase: Phase, evidence: PhaseEvidence) -> None:
    phases = [state.phase for state in run_steps(PhaseState(phase, 0.0), evidence, 0.0, 60)]
    moves = [b - a for a, b in pairwise(phases) if a is not b]
    assert all(m > 0 for m in moves) or (all(m < 0 for m in moves[:1]) and all(m > 0 for m in moves[1:]))
    assert phases[-1] is phases[-20]  # it settles


@given(evidences)
def test_steady_evidence_leads_to_its_best_phase(evidence: PhaseEvidence) -> None:
    last = run_steps(PhaseState(Phase.NOTHING_KNOWN, 0.0), evidence, 0.0, 60)[-1]
    assert last.phase is best_phase(evidence)


def test_phases_advance_one_at_a_time_after_calm() -> None:
    states = run_steps(PhaseState(Phase.NOTHING_KNOWN, 0.0), BEST, 0.0, 20)
    order = list(dict.fromkeys(state.phase for state in states))
    assert order == [Phase.NOTHING_KNOWN, Phase.COLD, Phase.TRICKLE, Phase.RAMP, Phase.FULL]
    assert next(n for n, state in enumerate(states) if state.phase is Phase.FULL) > 2 * CALM / 0.25


def test_lateness_ends_the_ramp_at_once_but_not_full_service() -> None:
    late = replace(BEST, late=True)
    assert PhaseState(Phase.RAMP, 0.0).step(late, 5.0, CALM).phase is Phase.TRICKLE
    assert PhaseState(Phase.FULL, 0.0).step(late, 5.0, CALM).phase is Phase.FULL


def test_a_restart_of_this_router_alone_skips_the_phases() -> None:
    assert (
        PhaseState(Phase.NOTHING_KNOWN, 0.0).step(replace(BEST, only_this_router=True), 0.1, CALM).phase
        is Phase.FULL
    )


def test_a_list_without_the_needed_workers_restarts_the_phases() -> None:
    assert (
        PhaseState(Phase.FULL, 0.0).step(replace(BEST, path_listed=False), 9.0, CALM).phase
        is Phase.NOTHING_KNOWN
    )
