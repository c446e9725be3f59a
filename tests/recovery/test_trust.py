"""What is believed, for how long, and what ends it."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yewhook.recovery.trust import TABLE, Fact, FactKind, Ledger, Source, belief

PAIRS = sorted(TABLE, key=str)


@given(st.sampled_from(PAIRS), st.floats(0, 1e6), st.floats(0, 1e6))
def test_trust_never_rises_with_age(pair: tuple[FactKind, Source], one: float, other: float) -> None:
    young, old = sorted((one, other))
    assert belief(*pair, young) >= belief(*pair, old) >= 0


@pytest.mark.parametrize("pair", PAIRS)
def test_a_clock_that_jumped_makes_no_fact_younger(pair: tuple[FactKind, Source]) -> None:
    lasting = math.isinf(TABLE[pair].lapse)
    assert belief(*pair, -5.0) == (TABLE[pair].first if lasting else 0.0)
    assert belief(*pair, math.nan) == 0.0


def test_a_drain_order_outlives_everything_but_its_own_end() -> None:
    ledger = Ledger()
    ledger.note(Fact(FactKind.DRAIN, 7, None, Source.SNAPSHOT, 0.0))
    assert ledger.belief(FactKind.DRAIN, 7, 1e7) == 1.0
    ledger.end(FactKind.DRAIN, 7)
    assert ledger.best(FactKind.DRAIN, 7, 1e7) is None


def test_the_register_is_believed_over_the_snapshot_and_over_the_configuration() -> None:
    ledger = Ledger()
    for source, value in ((Source.REGISTER, 3.0), (Source.SNAPSHOT, 1.0), (Source.KNOWN, 2.0)):
        ledger.note(Fact(FactKind.STARTED, 7, value, source, 100.0))
    best = ledger.best(FactKind.STARTED, 7, 101.0)
    assert best is not None and best.value == 3.0


def test_what_a_worker_kept_is_lost_with_its_process() -> None:
    ledger = Ledger()
    ledger.note(Fact(FactKind.TEXT, 7, "s1", Source.ANSWERS, 100.0))
    assert ledger.holds(FactKind.TEXT, 7, 110.0) is not None
    ledger.note(Fact(FactKind.STARTED, 7, 105.0, Source.REGISTER, 108.0))
    assert ledger.holds(FactKind.TEXT, 7, 110.0) is None


def test_an_earlier_word_of_a_source_does_not_take_the_place_of_a_later_one() -> None:
    ledger = Ledger()
    ledger.note(Fact(FactKind.RUNS, 7, True, Source.PEERS, 100.0))
    ledger.note(Fact(FactKind.RUNS, 7, True, Source.PEERS, 97.0))
    assert ledger.belief(FactKind.RUNS, 7, 101.0) == pytest.approx(0.4)


def test_what_a_source_knows_nothing_of_is_not_believed() -> None:
    assert belief(FactKind.TEXT, Source.REGISTER, 0.0) == 0.0
