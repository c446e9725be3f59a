"""The estimate of whether only this router or the whole fleet was restarted."""

from __future__ import annotations

import pytest

from yewhook.recovery.restart_scope import RestartEvidence, Scope, estimate_scope

STARTED_BEFORE, STARTED_AFTER = {n: 50.0 for n in range(4)}, {n: 120.0 for n in range(4)}


@pytest.mark.parametrize(
    ("evidence", "scope"),
    [
        (RestartEvidence(None, None), Scope.UNKNOWN),
        (RestartEvidence(100.0, True, start_times=STARTED_BEFORE), Scope.THIS_ROUTER),
        (RestartEvidence(100.0, False, start_times=STARTED_BEFORE, routers_up_before=3), Scope.THIS_ROUTER),
        (RestartEvidence(100.0, False, start_times=STARTED_AFTER), Scope.FLEET),
        (RestartEvidence(100.0, None, start_times=STARTED_AFTER, routers_up_after=2), Scope.FLEET),
        # A register with a list from before the loss contradicts all other evidence.
        (RestartEvidence(100.0, False, start_times=STARTED_BEFORE, routers_up_after=2), Scope.UNKNOWN),
        # A quarter of the workers was replaced meanwhile, as in a deployment: no power loss.
        (RestartEvidence(100.0, True, start_times=STARTED_BEFORE | {0: 120.0}), Scope.THIS_ROUTER),
        # Only this machine was rebooted; the other routers kept running.
        (RestartEvidence(100.0, False, start_times={}, routers_up_before=2), Scope.UNKNOWN),
        # The clock is behind the snapshot, so start times cannot be compared.
        (RestartEvidence(100.0, False, clock_went_back=True, start_times=STARTED_AFTER), Scope.UNKNOWN),
        (
            RestartEvidence(
                100.0, False, generation_went_back=True, start_times=STARTED_AFTER, routers_up_before=1
            ),
            Scope.FLEET,
        ),
    ],
)
def test_the_scope_that_the_evidence_indicates(evidence: RestartEvidence, scope: Scope) -> None:
    assert estimate_scope(evidence).scope is scope


def test_a_small_clock_difference_is_tolerated() -> None:
    assert estimate_scope(RestartEvidence(100.0, True, start_times={1: 100.9})).scope is Scope.THIS_ROUTER


def test_an_estimate_names_its_evidence() -> None:
    text = str(estimate_scope(RestartEvidence(100.0, False, start_times=STARTED_AFTER)))
    assert "4 of 4 workers began after the snapshot" in text and "started anew" in text
