"""The estimators forget, stay small, and are right on what they have seen."""

from __future__ import annotations

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hopshed import interface as i
from yewhook.levels.capacity import Capacity
from yewhook.levels.discovery_health import KEPT, DiscoveryHealth
from yewhook.levels.estimators import DecayingRate, DecayingRatio, Mean, Quantiles, Recent

R = i.Role


def test_a_rate_is_right_from_the_first_seconds_on() -> None:
    # Without the correction a rate read a tenth of itself after one second of a ten-second constant.
    rate = DecayingRate(10.0, 0.0)
    for tick in range(1, 11):
        rate.add(0.5, tick / 10.0)
    assert rate.at(1.0) == pytest.approx(5.0, rel=0.06)
    for tick in range(11, 1001):
        rate.add(0.5, tick / 10.0)
    assert rate.at(100.0) == pytest.approx(5.0, rel=0.02)
    assert rate.at(200.0) < 0.001


def test_a_share_of_too_little_is_held_against_the_least() -> None:
    share = DecayingRatio(5.0, 10.0)
    assert share.at(0.0) == 0.0
    share.add(1.0, True, 0.0)
    assert share.at(0.0) == pytest.approx(0.1)  # one late answer is not all of the service
    for n in range(40):
        share.add(1.0, n % 2 == 0, 0.1 * n)
    assert share.at(4.0) == pytest.approx(0.5, abs=0.06)


def test_a_mean_takes_its_first_samples_whole() -> None:
    mean = Mean(0.02)
    assert mean.known(7.0) == 7.0
    mean.add(10.0)
    mean.add(20.0)
    assert mean.known(7.0) == pytest.approx(15.0)


@given(st.lists(st.floats(0.02, 60.0), min_size=20, max_size=200), st.sampled_from([0.1, 0.5, 0.9]))
def test_quantiles_are_right_to_their_buckets(values: list[float], part: float) -> None:
    sketch = Quantiles(1e9)  # as good as no fading
    for value in values:
        sketch.add(value, 1.0)
    exact = sorted(values)[max(0, math.ceil(part * len(values)) - 1)]
    assert sketch.at(part, 1.0, 1.0) == pytest.approx(exact, rel=0.16)


def test_quantiles_forget_and_survive_long_times() -> None:
    sketch = Quantiles(3.0)
    for tick in range(20000):
        sketch.add(5.0 if tick < 10000 else 0.5, 0.1 * tick)  # over 600 constants: weights would overflow
    assert sketch.at(0.9, 2000.0, 4.0) == pytest.approx(0.5, rel=0.16)
    assert sketch.at(0.9, 2100.0, 4.0) == 0.0  # too few are left to say anything


def test_recent_keys_are_found_and_old_ones_forgotten() -> None:
    random = Random(5)
    recent = Recent(60.0)
    keys = [f"s{random.getrandbits(40)}" for _ in range(2000)]
    for key in keys:
        recent.add(key, 10.0)
    assert all(recent.seen(key, 69.0) for key in keys)
    wrong = sum(recent.seen(f"other{n}", 20.0) for n in range(2000))
    assert wrong < 20
    recent.seen("x", 75.0)
    assert not any(recent.seen(key, 200.0) for key in keys)


def sight(readers: float = 2, writers: float = 3, busy: float = 0.5) -> dict[R, i.RoleUsage]:
    return {
        R.READER: i.RoleUsage(2, readers, busy / 4),
        R.WRITER: i.RoleUsage(3, writers, busy),
        R.MIXED: i.RoleUsage(0, 0.0, 0.0),
    }


def test_capacity_is_what_was_done_for_the_use_it_took() -> None:
    capacity = Capacity()
    assert capacity.can(0.0) is None  # nothing known is not nothing possible
    for tick in range(400):
        now = 0.25 * tick
        capacity.sent(25.0, now)  # 100 a second, at half use
        capacity.look(sight(), now)
    assert capacity.can(100.0) == pytest.approx(200.0, rel=0.05)
    capacity.look(sight(writers=1), 100.25)
    assert capacity.can(100.25) == pytest.approx(200.0 / 3, rel=0.05)  # felt at the next look


def test_refusing_does_not_look_like_less_capacity() -> None:
    # Use times asked over taken once rose to 3 while half was refused at a load of 1.5.
    capacity = Capacity()
    for tick in range(800):
        now = 0.25 * tick
        part = 1.0 if tick < 400 else 0.4
        capacity.sent(25.0 * part, now)
        capacity.look(sight(busy=0.5 * part), now)
    assert capacity.can(200.0) == pytest.approx(200.0, rel=0.05)


def listed(*states: i.ServerState, kind: i.ListKind = i.ListKind.FULL) -> i.ServersListed:
    return i.ServersListed(kind, tuple(i.Server(n, 0, 0, 0, state) for n, state in enumerate(states)))


def test_doubt_is_the_part_that_sockets_contradict() -> None:
    up, down = i.ServerState.RUNNING, i.ServerState.DRAINING
    register = DiscoveryHealth()
    assert register.doubt(0.0, 99.0) == 0.0
    register.listed(listed(up, up, up, up))
    register.heard(0, i.Outcome.UNREACHABLE, 10.0)
    assert register.doubt(10.0, 1.0) == pytest.approx(0.25)
    assert register.doubt(10.0, 8.0) == pytest.approx(0.5)  # an old word is believed less
    register.heard(0, i.Outcome.OK, 10.5)
    assert register.doubt(10.5, 1.0) == 0.0
    register.heard(1, i.Outcome.TIMED_OUT, 11.0)
    assert register.doubt(11.0 + KEPT, 1.0) == 0.0
    register.heard(1, i.Outcome.TIMED_OUT, 12.0)
    register.listed(listed(up, down, kind=i.ListKind.CHANGES))
    assert register.doubt(12.0, 1.0) == 0.0  # told to drain: the register agrees now
