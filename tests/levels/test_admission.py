"""Who gives way: by client first, then by worth for a unit of work, and only what the level names."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise, product
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hopshed import interface as i
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
def test_no_client_is_below_its_share_while_another_is_above(
    clients: list[tuple[float, float]], capacity: float
) -> None:
    asked, weights = [a for a, _ in clients], [w for _, w in clients]
    given_ = max_min(asked, weights, capacity)
    assert sum(given_) <= capacity + EPS
    assert all(0 <= g <= a + EPS for g, a in zip(given_, asked, strict=True))
    assert sum(given_) == pytest.approx(min(capacity, sum(asked)), abs=1e-3)  # nothing is left unused
    weighted = [(g / w, a - g) for g, a, w in zip(given_, asked, weights, strict=True) if w > 0.01]
    wanting = [level for level, lack in weighted if lack > 1e-3]
    # Whoever lacks something has as much for its weight as anyone.
    assert not wanting or min(wanting) >= max(level for level, _ in weighted) * (1 - 1e-6) - 1e-6


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


def test_what_is_worth_least_for_its_work_goes_first() -> None:
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

    assert share(70.0) == [1, 0, 1, 1, 1, 1, 1]  # beyond a share is refused at this level in any case
    assert share(55.0) == pytest.approx([0.5, 0, 1, 1, 1, 1, 1])
    assert share(45.0) == pytest.approx([0, 0, 0.5, 1, 1, 1, 1])
    assert share(35.0) == pytest.approx([0, 0, 0, 0.5, 1, 1, 1])
    assert share(5.0) == pytest.approx([0, 0, 0, 0, 1, 1, 1])  # the rest is not this level's to refuse
    last = admit(Level.LAST_RESORT, [kinds, {}, {}], 5.0, SETTINGS, TOP)[0]
    assert last[order[-1]] == 1.0 and last[order[-2]] == 0.0  # a stream that comes back, never


def test_classes_go_by_their_worth_and_not_by_their_names() -> None:
    assert top_classes(SETTINGS, [1.0, 1.0]) == {LOG}
    swapped = i.Settings(classes=SETTINGS.classes[::-1], roles=SETTINGS.roles, worth_by_work=True)
    assert top_classes(swapped, [1.0, 1.0]) == {0}
    by_request = i.Settings(classes=SETTINGS.classes, roles=SETTINGS.roles)
    assert top_classes(by_request, [1.0, 10.0]) == {LOOKUP}  # worth 2 for 1 of work beats 5 for 10
    assert top_classes(SETTINGS, [1.0, 0.0]) == {LOG}  # a class without any traffic


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
def test_no_admitted_share_falls_when_load_falls_evenly(
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
def test_a_better_level_admits_no_less_of_anything(
    demand: list[dict[TurnKind, float]], capacity: float
) -> None:
    by_level = [admit(level, demand, capacity, SETTINGS, TOP) for level in list(Level)[1:]]
    for better, worse in pairwise(by_level):
        for b, w in zip(better, worse, strict=True):
            assert all(b[kind] >= w[kind] - EPS for kind in w)


def test_at_a_threshold_nothing_changes_at_once() -> None:
    # All or nothing at load 1 would make the load swing by itself.
    new = TurnKind(LOOKUP, RefusalLoss.NEW_SESSION, False, False)
    demand: list[dict[TurnKind, float]] = [{new: 59.0}, {new: 23.0}, {new: 18.0}]
    shares = [admit(Level.ESSENTIAL, demand, c, SETTINGS, TOP)[0][new] for c in (101.0, 100.0, 99.0, 98.0)]
    assert shares == pytest.approx([1.0, 1.0, 0.99, 0.98], abs=1e-6)


def arrival(rid: str, **more: Any) -> i.RequestArrived:
    base = i.RequestArrived(rid, LOOKUP, 0, f"s{rid}", 8.0, 1200.0, None, 0.0, 200.0)
    return base._replace(**more)


def test_turns_are_told_apart_by_what_their_refusal_would_lose() -> None:
    turns = Turns(SETTINGS, 1.5)
    assert turns.classify(arrival("a"), 1.0).kind.refusal_loss is RefusalLoss.NEW_SESSION
    assert turns.classify(arrival("b", repeat=True), 1.0).kind.refusal_loss is RefusalLoss.CLIENT_RETRY
    turns.begun("sa", 1.0)
    again = turns.classify(arrival("c", session="sa", repeat=True), 2.0)
    assert again.kind.refusal_loss is RefusalLoss.OPEN_SESSION and again.repeat
    assert turns.classify(arrival("d", resumed=True), 2.0).kind.refusal_loss is RefusalLoss.RESUMED_STREAM
    assert turns.classify(arrival("e", prompt_tokens=30000.0), 3.0).kind.long
    burst = [turns.classify(arrival(f"f{n}", tenant=2), 4.0).kind.over_share for n in range(40)]
    assert not burst[0] and burst[-1]  # its quota is 3.6 a second


def test_work_is_learnt_from_what_was_served() -> None:
    turns = Turns(SETTINGS, 1.5)
    before = turns.classify(arrival("a"), 1.0).work
    for _ in range(50):
        turns.streamed(LOOKUP, 3.5)  # 50 tokens at its pace
        turns.read(LOOKUP, False, 1200.0, 1200.0)
    assert turns.classify(arrival("b"), 1.0).work == pytest.approx(50.0)
    assert before > 100.0


def test_a_class_that_never_came_is_not_taken_for_the_worthiest() -> None:
    # It counted as costing next to nothing, so that all who did come gave way to nobody.
    settings = replace(SETTINGS, worth_by_work=False)
    turns = Turns(settings, 1.5)
    for n in range(5):
        turns.classify(i.RequestArrived(f"r{n}", LOG, 0, "s", 8.0, 900.0, max_tokens=400.0), float(n))
    assert top_classes(settings, turns.mean_work) == {LOG}
