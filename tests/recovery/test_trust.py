"""How far facts are believed, for how long, and what invalidates them."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yewhook.recovery.trust import TRUST, Fact, FactKind, FactStore, Source, belief

PAIRS = sorted(TRUST, key=str)


@given(st.sampled_from(PAIRS), st.floats(0, 1e6), st.floats(0, 1e6))
def test_trust_never_rises_with_age(pair: tuple[FactKind, Source], one: float, other: float) -> None:
    young, old = sorted((one, other))
    assert belief(*pair, young) >= belief(*pair, old) >= 0


@pytest.mark.parametrize("pair", PAIRS)
def test_a_clock_jump_makes_no_fact_younger(pair: tuple[FactKind, Source]) -> None:
    lasting = math.isinf(TRUST[pair].lifetime)
    assert belief(*pair, -5.0) == (TRUST[pair].initial_belief if lasting else 0.0)
    assert belief(*pair, math.nan) == 0.0


def test_a_drain_order_lasts_until_it_is_removed() -> None:
    facts = FactStore()
    facts.record(Fact(FactKind.DRAIN, 7, None, Source.SNAPSHOT, 0.0))
    assert facts.belief(FactKind.DRAIN, 7, 1e7) == 1.0
    facts.remove(FactKind.DRAIN, 7)
    assert facts.best(FactKind.DRAIN, 7, 1e7) is None


def test_the_register_is_believed_over_the_snapshot_and_over_the_configuration() -> None:
    facts = FactStore()
    for source, value in ((Source.REGISTER, 3.0), (Source.SNAPSHOT, 1.0), (Source.CONFIGURATION, 2.0)):
        facts.record(Fact(FactKind.START_TIME, 7, value, source, 100.0))
    best = facts.best(FactKind.START_TIME, 7, 101.0)
    assert best is not None and best.value == 3.0


def test_cached_text_is_lost_with_the_process_of_its_worker() -> None:
    facts = FactStore()
    facts.record(Fact(FactKind.CACHED_TEXT, 7, "s1", Source.ANSWERS, 100.0))
    assert facts.best_valid(FactKind.CACHED_TEXT, 7, 110.0) is not None
    facts.record(Fact(FactKind.START_TIME, 7, 105.0, Source.REGISTER, 108.0))
    assert facts.best_valid(FactKind.CACHED_TEXT, 7, 110.0) is None


def test_an_older_fact_does_not_replace_a_later_one_of_the_same_source() -> None:
    facts = FactStore()
    facts.record(Fact(FactKind.RUNNING, 7, True, Source.PEERS, 100.0))
    facts.record(Fact(FactKind.RUNNING, 7, True, Source.PEERS, 97.0))
    assert facts.belief(FactKind.RUNNING, 7, 101.0) == pytest.approx(0.4)


def test_a_source_is_not_believed_on_facts_it_cannot_know() -> None:
    assert belief(FactKind.CACHED_TEXT, Source.REGISTER, 0.0) == 0.0
