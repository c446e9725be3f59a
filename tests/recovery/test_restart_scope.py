"""Only this router, or all of them."""

from __future__ import annotations

import pytest

from yewhook.recovery.restart_scope import Evidence, Scope, estimate_scope

BEFORE, AFTER = {n: 50.0 for n in range(4)}, {n: 120.0 for n in range(4)}


@pytest.mark.parametrize(
    ("seen", "scope"),
    [
        (Evidence(None, None), Scope.UNKNOWN),
        (Evidence(100.0, True, starts=BEFORE), Scope.ALONE),
        (Evidence(100.0, False, starts=BEFORE, up_longer=3), Scope.ALONE),
        (Evidence(100.0, False, starts=AFTER), Scope.FLEET),
        (Evidence(100.0, None, starts=AFTER, up_since=2), Scope.FLEET),
        # A register with a list from before the loss speaks against what everybody else shows.
        (Evidence(100.0, False, starts=BEFORE, up_since=2), Scope.UNKNOWN),
        # A third of the workers was replaced meanwhile: that is a release, and no loss.
        (Evidence(100.0, True, starts=BEFORE | {0: 120.0}), Scope.ALONE),
        # It was only this machine; the others have gone on.
        (Evidence(100.0, False, starts={}, up_longer=2), Scope.UNKNOWN),
        # Its clock was in the past, or the snapshot's in the future: starts say nothing.
        (Evidence(100.0, False, clock_back=True, starts=AFTER), Scope.UNKNOWN),
        (Evidence(100.0, False, generation_back=True, starts=AFTER, up_longer=1), Scope.FLEET),
    ],
)
def test_evidence_decides(seen: Evidence, scope: Scope) -> None:
    assert estimate_scope(seen).scope is scope


def test_clocks_that_differ_a_little_make_no_loss() -> None:
    assert estimate_scope(Evidence(100.0, True, starts={1: 100.9})).scope is Scope.ALONE


def test_a_verdict_says_on_what() -> None:
    told = str(estimate_scope(Evidence(100.0, False, starts=AFTER)))
    assert "4 of 4 workers began after the snapshot" in told and "started anew" in told
