"""Admission: divided among clients first, then by worth per unit of work, within what the level may shed."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise, product
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hopshed import interface
from yewhook.levels.admission import admit
from yewhook.levels.fairness import max_min
from yewhook.levels.level import Level
from yewhook.levels.turns import RefusalLoss, TurnKind, Turns, top_classes
from yewlab import site

LOOKUP, LOG = site.LOOKUP, site.LOG
SETTINGS = site.settings(quota=20.0)
TOP = frozenset({LOG})
KINDS = [TurnKind(*key) for key in product((LOOKUP, LOG), RefusalLoss, (False, True), (False, True))]

amounts = st.floats(0.0, 1000.0)
demands = st.lists(st.dictionaries(st.sampled_from(KINDS), amounts, max_size=12), min_size=3, max_size=3)
EPS = 1e-6


@given(st.lists(st.tuples(amounts, st.floats(0.0, 5.0)), min_size=1, max_size=8), st.floats(0.0, 5000.0))
def test_no_client_gets_less_than_its_fair_share_while_another_gets_more(
    clients: list[tuple[float, float]], capacity: float
) -> None:
    requested, weights = [amount for amount, _ in clients], [weight for _, weight in clients]
    allocated = max_min(requested, weights, capacity)
    assert sum(allocated) <= capacity + EPS
    assert all(0 <= got <= wanted + EPS for got, wanted in zip(allocated, requested, strict=True))
    assert sum(allocated) == pytest.approx(min(capacity, sum(requested)), abs=1e-3)  # all capacity is used
    weighted = [
        (got / weight, wanted - got)
        for got, wanted, weight in zip(allocated, requested, weights, strict=True)
        if weight > 0.01
    ]
    unmet = [per_weight for per_weight, missing in weighted if missing > 1e-3]
    # A client whose demand is not met gets as much per weight as any other.
    assert not unmet or min(unmet) >= max(per_weight for per_weight, _ in weighted) * (1 - 1e-6) - 1e-6


def test_one_client_at_five_times_its_share_takes_nothing_from_the_others() -> None:
    new = TurnKind(LOOKUP, RefusalLoss.NEW_SESSION, False, False)
    shares = [0.59, 0.23, 0.18]
    demand = [{new: 5 * 100 * shares[0]}, {new: 100 * shares[1]}, {new: 100 * shares[2]}]
    admitted = admit(Level.ESSENTIAL, demand, 100.0, SETTINGS, TOP)
    assert [admitted[1][new], admitted[2][new]] == pytest.approx([1.0, 1.0])
    assert admitted[0][new] == pytest.approx(0.2)


def test_unused_share_goes_to_others() -> None:
    new = TurnKind(LOOKUP, RefusalLoss.NEW_SESSION, False, False)
    admitted = admit(Level.ESSENTIAL, [{new: 10.0}, {new: 60.0}, {new: 60.0}], 100.0, SETTINGS, TOP)
    assert admitted[0][new] == 1.0
    assert admitted[1][new] > admitted[2][new] > 0.6


def test_kinds_with_the_least_worth_per_work_are_shed_first() -> None:
    kinds = {
        TurnKind(LOOKUP, RefusalLoss.CLIENT_RETRY, False, False): 10.0,
        TurnKind(LOOKUP, RefusalLoss.NEW_SESSION, True, False): 10.0,
        TurnKind(LOOKUP, RefusalLoss.NEW_SESSION, False, True): 10.0,
        TurnKind(LOOKUP, RefusalLoss.NEW_SESSION, False, False): 10.0,
        TurnKind(LOOKUP, RefusalLoss.OPEN_SESSION, False, False): 10.0,
        TurnKind(LOG, RefusalLoss.NEW_SESSION, False, False): 10.0,
        TurnKind(LOG, RefusalLoss.RESUMED_STREAM, False, False): 10.0,
    }
    order = list(kinds)

    def share(capacity: float) -> list[float]:
        return [admit(Level.ESSENTIAL, [kinds, {}, {}], capacity, SETTINGS, TOP)[0][kind] for kind in order]

    assert share(70.0) == [1, 0, 1, 1, 1, 1, 1]  # beyond a quota is refused at this level whatever the load
    assert share(55.0) == pytest.approx([0.5, 0, 1, 1, 1, 1, 1])
    assert share(45.0) == pytest.approx([0, 0, 0.5, 1, 1, 1, 1])
    assert share(35.0) == pytest.approx([0, 0, 0, 0.5, 1, 1, 1])
    assert share(5.0) == pytest.approx([0, 0, 0, 0, 1, 1, 1])  # this level may not shed the rest
    last_resort = admit(Level.LAST_RESORT, [kinds, {}, {}], 5.0, SETTINGS, TOP)[0]
    assert last_resort[order[-1]] == 1.0 and last_resort[order[-2]] == 0.0  # never a resumed stream


def test_the_top_classes_follow_from_worth_and_work() -> None:
    assert top_classes(SETTINGS, [1.0, 1.0]) == {LOG}
    swapped = interface.Settings(classes=SETTINGS.classes[::-1], roles=SETTINGS.roles, worth_by_work=True)
    assert top_classes(swapped, [1.0, 1.0]) == {0}
    by_request = interface.Settings(classes=SETTINGS.classes, roles=SETTINGS.roles)
    assert top_classes(by_request, [1.0, 10.0]) == {LOOKUP}  # worth 2 for 1 of work is more than 5 for 10
    assert top_classes(SETTINGS, [1.0, 0.0]) == {LOG}  # a class without any traffic yet


levels = st.sampled_from(list(Level)[1:])


@settings(max_examples=150, deadline=None)
@given(levels, demands, st.floats(0.0, 8000.0), st.floats(0.0, 8000.0))
def test_no_admitted_share_falls_when_capacity_grows(
    level: Level, demand: list[dict[TurnKind, float]], one: float, other: float
) -> None:
    less, more = sorted((one, other))
    for worse, better in zip(
        admit(level, demand, less, SETTINGS, TOP), admit(level, demand, more, SETTINGS, TOP), strict=True
    ):
        assert all(better[kind] >= worse[kind] - EPS for kind in worse)


@settings(max_examples=150, deadline=None)
@given(demands, st.floats(0.0, 8000.0), levels, st.floats(0.1, 1.0))
def test_no_admitted_share_falls_when_all_demand_falls_in_proportion(
    demand: list[dict[TurnKind, float]], capacity: float, level: Level, part: float
) -> None:
    less = [{kind: work * part for kind, work in kinds.items()} for kinds in demand]
    for before, after in zip(
        admit(level, demand, capacity, SETTINGS, TOP),
        admit(level, less, capacity, SETTINGS, TOP),
        strict=True,
    ):
        assert all(after[kind] >= before[kind] - EPS for kind in before)


@settings(max_examples=150, deadline=None)
@given(demands, st.floats(0.0, 8000.0))
def test_a_better_level_admits_no_less_of_any_kind(
    demand: list[dict[TurnKind, float]], capacity: float
) -> None:
    by_level = [admit(level, demand, capacity, SETTINGS, TOP) for level in list(Level)[1:]]
    for better, worse in pairwise(by_level):
        for more, less in zip(better, worse, strict=True):
            assert all(more[kind] >= less[kind] - EPS for kind in less)


def test_admission_is_continuous_where_demand_reaches_capacity() -> None:
    # Switching between all and nothing at load 1 would make the load oscillate.
    new = TurnKind(LOOKUP, RefusalLoss.NEW_SESSION, False, False)
    demand: list[dict[TurnKind, float]] = [{new: 59.0}, {new: 23.0}, {new: 18.0}]
    shares = [
        admit(Level.ESSENTIAL, demand, capacity, SETTINGS, TOP)[0][new]
        for capacity in (101.0, 100.0, 99.0, 98.0)
    ]
    assert shares == pytest.approx([1.0, 1.0, 0.99, 0.98], abs=1e-6)


def arrival(request_id: str, **fields: Any) -> interface.RequestArrived:
    base = interface.RequestArrived(request_id, LOOKUP, 0, f"s{request_id}", 8.0, 1200.0, None, 0.0, 200.0)
    return base._replace(**fields)


def test_turns_are_classified_by_what_their_refusal_would_lose() -> None:
    turns = Turns(SETTINGS, 1.5)
    assert turns.classify(arrival("a"), 1.0).kind.refusal_loss is RefusalLoss.NEW_SESSION
    assert turns.classify(arrival("b", repeat=True), 1.0).kind.refusal_loss is RefusalLoss.CLIENT_RETRY
    turns.turn_sent("sa", 1.0)
    again = turns.classify(arrival("c", session="sa", repeat=True), 2.0)
    assert again.kind.refusal_loss is RefusalLoss.OPEN_SESSION and again.repeat
    assert turns.classify(arrival("d", resumed=True), 2.0).kind.refusal_loss is RefusalLoss.RESUMED_STREAM
    assert turns.classify(arrival("e", prompt_tokens=30000.0), 3.0).kind.long
    burst = [turns.classify(arrival(f"f{n}", tenant=2), 4.0).kind.over_share for n in range(40)]
    assert not burst[0] and burst[-1]  # its quota is 3.6 turns per second


def test_work_is_estimated_from_served_turns() -> None:
    turns = Turns(SETTINGS, 1.5)
    before = turns.classify(arrival("a"), 1.0).work
    for _ in range(50):
        turns.answer_streamed(LOOKUP, 3.5)  # 50 tokens at the token rate of the class
        turns.prompt_read(LOOKUP, False, 1200.0, 1200.0)
    assert turns.classify(arrival("b"), 1.0).work == pytest.approx(50.0)
    assert before > 100.0


def test_a_class_without_turns_does_not_become_the_top_class() -> None:
    # Taken to cost almost no work, it became the only top class, and all real turns could be shed.
    settings = replace(SETTINGS, worth_by_work=False)
    turns = Turns(settings, 1.5)
    for n in range(5):
        turns.classify(interface.RequestArrived(f"r{n}", LOG, 0, "s", 8.0, 900.0, max_tokens=400.0), float(n))
    assert top_classes(settings, turns.mean_work) == {LOG}
