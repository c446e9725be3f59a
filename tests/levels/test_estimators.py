"""Estimators: accuracy on recent samples and decay of old ones, also of capacity and doubt."""

from __future__ import annotations

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hopshed import interface
from yewhook.levels.capacity import Capacity
from yewhook.levels.discovery_health import CONTRADICTED_S, DiscoveryHealth
from yewhook.levels.estimators import DecayingRate, DecayingRatio, Mean, Quantiles, RecentKeys

Role = interface.Role


def test_a_rate_is_accurate_before_a_time_constant_has_passed() -> None:
    # Without the correction a rate read a tenth of its value after 1 second of a 10-second time constant.
    rate = DecayingRate(10.0, 0.0)
    for tick in range(1, 11):
        rate.add(0.5, tick / 10.0)
    assert rate.at(1.0) == pytest.approx(5.0, rel=0.06)
    for tick in range(11, 1001):
        rate.add(0.5, tick / 10.0)
    assert rate.at(100.0) == pytest.approx(5.0, rel=0.02)
    assert rate.at(200.0) < 0.001


def test_a_ratio_of_few_samples_is_taken_over_the_minimum_total() -> None:
    ratio = DecayingRatio(5.0, 10.0)
    assert ratio.at(0.0) == 0.0
    ratio.add(1.0, True, 0.0)
    assert ratio.at(0.0) == pytest.approx(0.1)  # one late answer does not make all of the service late
    for n in range(40):
        ratio.add(1.0, n % 2 == 0, 0.1 * n)
    assert ratio.at(4.0) == pytest.approx(0.5, abs=0.06)


def test_a_mean_is_arithmetic_over_its_first_samples() -> None:
    mean = Mean(0.02)
    assert mean.value_or(7.0) == 7.0
    mean.add(10.0)
    mean.add(20.0)
    assert mean.value_or(7.0) == pytest.approx(15.0)


@given(st.lists(st.floats(0.02, 60.0), min_size=20, max_size=200), st.sampled_from([0.1, 0.5, 0.9]))
def test_quantiles_are_accurate_to_a_bucket(values: list[float], quantile: float) -> None:
    quantiles = Quantiles(1e9)  # practically no decay
    for value in values:
        quantiles.add(value, 1.0)
    exact = sorted(values)[max(0, math.ceil(quantile * len(values)) - 1)]
    assert quantiles.at(quantile, 1.0, 1.0) == pytest.approx(exact, rel=0.16)


def test_quantiles_decay_and_do_not_overflow() -> None:
    quantiles = Quantiles(3.0)
    for tick in range(20000):
        # Over more than 600 time constants, unscaled weights would overflow.
        quantiles.add(5.0 if tick < 10000 else 0.5, 0.1 * tick)
    assert quantiles.at(0.9, 2000.0, 4.0) == pytest.approx(0.5, rel=0.16)
    assert quantiles.at(0.9, 2100.0, 4.0) == 0.0  # the decayed number of samples is too small


def test_recent_keys_are_found_and_old_ones_are_not() -> None:
    random = Random(5)
    recent = RecentKeys(60.0)
    keys = [f"s{random.getrandbits(40)}" for _ in range(2000)]
    for key in keys:
        recent.add(key, 10.0)
    assert all(recent.seen(key, 69.0) for key in keys)
    false_positives = sum(recent.seen(f"other{n}", 20.0) for n in range(2000))
    assert false_positives < 20
    recent.seen("x", 75.0)
    assert not any(recent.seen(key, 200.0) for key in keys)


def usage(readers: float = 2, writers: float = 3, busy: float = 0.5) -> dict[Role, interface.RoleUsage]:
    return {
        Role.READER: interface.RoleUsage(2, readers, busy / 4),
        Role.WRITER: interface.RoleUsage(3, writers, busy),
        Role.MIXED: interface.RoleUsage(0, 0.0, 0.0),
    }


def test_capacity_is_work_per_busy_server_times_usable_servers() -> None:
    capacity = Capacity()
    assert capacity.work_rate(0.0) is None  # unknown is not zero
    for tick in range(400):
        now = 0.25 * tick
        capacity.sent(25.0, now)  # 100 per second at half utilization
        capacity.update(usage(), now)
    assert capacity.work_rate(100.0) == pytest.approx(200.0, rel=0.05)
    capacity.update(usage(writers=1), 100.25)
    assert capacity.work_rate(100.25) == pytest.approx(200.0 / 3, rel=0.05)  # known at the next update


def test_refusing_turns_does_not_lower_the_estimated_capacity() -> None:
    # An estimate of load as utilization times requested over admitted work read 3 while half of the work was
    # refused at a true load of 1.5.
    capacity = Capacity()
    for tick in range(800):
        now = 0.25 * tick
        admitted = 1.0 if tick < 400 else 0.4
        capacity.sent(25.0 * admitted, now)
        capacity.update(usage(busy=0.5 * admitted), now)
    assert capacity.work_rate(200.0) == pytest.approx(200.0, rel=0.05)


def listed(
    *states: interface.ServerState, kind: interface.ListKind = interface.ListKind.FULL
) -> interface.ServersListed:
    return interface.ServersListed(
        kind, tuple(interface.Server(n, 0, 0, 0, state) for n, state in enumerate(states))
    )


def test_doubt_is_the_share_of_servers_that_connections_contradict() -> None:
    running, draining = interface.ServerState.RUNNING, interface.ServerState.DRAINING
    health = DiscoveryHealth()
    assert health.doubt(0.0, 99.0) == 0.0
    health.servers_listed(listed(running, running, running, running))
    health.attempt_ended(0, interface.Outcome.UNREACHABLE, 10.0)
    assert health.doubt(10.0, 1.0) == pytest.approx(0.25)
    assert health.doubt(10.0, 8.0) == pytest.approx(0.5)  # doubled with a stale list
    health.attempt_ended(0, interface.Outcome.OK, 10.5)
    assert health.doubt(10.5, 1.0) == 0.0
    health.attempt_ended(1, interface.Outcome.TIMED_OUT, 11.0)
    assert health.doubt(11.0 + CONTRADICTED_S, 1.0) == 0.0
    health.attempt_ended(1, interface.Outcome.TIMED_OUT, 12.0)
    health.servers_listed(listed(running, draining, kind=interface.ListKind.CHANGES))
    assert health.doubt(12.0, 1.0) == 0.0  # listed as draining: the list agrees now
