"""Waits of routers that ask the same place again, all of them together."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from yewhook.backoff import LONGEST, MOST, SPREAD, Backoff


def asks(routers: int, span: float) -> Counter[int]:
    """How often a place that answers nobody is asked in each second by routers that begin at once."""
    each_second: Counter[int] = Counter()
    for seed in range(routers):
        backoff, at = Backoff(routers, Random(seed)), 0.0
        while at < span:
            each_second[int(at)] += 1
            at += backoff.next_delay()
    return each_second


@pytest.mark.parametrize("routers", [4, 40])
def test_however_many_they_are_all_together_ask_about_as_often(routers: int) -> None:
    # Past some ten routers each one's wait is bounded, for a list must not be late (test_watch.py).
    later = [n for second, n in asks(routers, 60.0).items() if second >= 20]
    assert sum(later) / 40 < 1.5 * max(1 / MOST, routers / LONGEST)


def test_those_that_failed_together_do_not_come_back_together() -> None:
    waits = [Backoff(40, Random(seed)).next_delay() for seed in range(40)]
    tenths = Counter(int(10 * wait) for wait in waits)
    assert max(tenths.values()) <= 6


def test_a_wait_is_bounded_however_many_routers_there_are_and_short_again_after_an_answer() -> None:
    backoff = Backoff(10_000, Random(1))
    assert all(backoff.next_delay() <= LONGEST * (1 + SPREAD) for _ in range(20))
    backoff = Backoff(4, Random(1))
    worn = max(backoff.next_delay() for _ in range(8))
    backoff.reset()
    assert backoff.next_delay() < worn / 2
