"""Backoff delays of many routers that call the same service."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from yewhook.backoff import JITTER, MAX_DELAY_CAP_S, MAX_DELAY_PER_ROUTER_S, Backoff


def calls_by_second(routers: int, span: float) -> Counter[int]:
    """The calls in each second to a service that always fails, by routers that begin at the same time."""
    calls: Counter[int] = Counter()
    for seed in range(routers):
        backoff, at = Backoff(routers, Random(seed)), 0.0
        while at < span:
            calls[int(at)] += 1
            at += backoff.next_delay()
    return calls


@pytest.mark.parametrize("routers", [4, 40])
def test_the_call_rate_of_all_routers_together_is_bounded(routers: int) -> None:
    # From ten routers on the delay of each one is capped, since a list must not be late (test_watch.py).
    later = [n for second, n in calls_by_second(routers, 60.0).items() if second >= 20]
    assert sum(later) / 40 < 1.5 * max(1 / MAX_DELAY_PER_ROUTER_S, routers / MAX_DELAY_CAP_S)


def test_routers_that_failed_together_do_not_call_again_together() -> None:
    delays = [Backoff(40, Random(seed)).next_delay() for seed in range(40)]
    tenths = Counter(int(10 * delay) for delay in delays)
    assert max(tenths.values()) <= 6


def test_a_delay_is_capped_for_any_number_of_routers_and_reset_by_an_answer() -> None:
    backoff = Backoff(10_000, Random(1))
    assert all(backoff.next_delay() <= MAX_DELAY_CAP_S * (1 + JITTER) for _ in range(20))
    backoff = Backoff(4, Random(1))
    longest = max(backoff.next_delay() for _ in range(8))
    backoff.reset()
    assert backoff.next_delay() < longest / 2
