"""Many routers on virtual time: the rules that count over the whole fleet, on every kind of day."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hopshed.interface import Effect
from yewlab import power, site
from yewlab.mass import DAYS, Mass, play
from yewlab.rules import Rules


@pytest.mark.parametrize("day", DAYS)
def test_no_day_breaks_a_rule(day: str) -> None:
    result = play(day, seed=3, routers=24, workers=20)
    assert result.broken == ()
    assert result.faults == ()
    assert result.turns > 200
    assert result.worth > 0.3


def test_a_loss_of_all_is_come_back_from_in_order() -> None:
    ours, theirs = (power.play(2, routers=12, workers=20, with_it=way).figures for way in (True, False))
    assert ours["broken"] == 0 and ours["words"] > 12
    assert ours["top_class"] >= theirs["top_class"] + 0.05


def test_a_router_that_is_killed_loses_what_it_had_and_another_serves_its_clients() -> None:
    mass = Mass(seed=1, routers=3, workers=5)
    mass.sim.run(mass.sim.now + 5.0)
    old, ended = mass.hosted[1].router, mass.hosted[1].log
    mass.kill(1, back_after=1.0)
    assert mass.clients.routers[1] is mass.hosted[2].router
    mass.sim.run(mass.sim.now + 2.0)
    assert mass.clients.routers[1] is mass.hosted[1].router is not old
    assert not mass.rules.broken
    # What went wrong in a process that has ended counts like what goes wrong in one that runs.
    assert any(log is ended for log in mass.logs)


def test_a_cold_server_bears_what_chance_explains_and_falls_at_one_more() -> None:
    # N = 2.5 x 0.25 x 1 s / 0.05 s = 12.5 requests of mean work; 12.5 + 2 x root of 12.5 + 2 = 21.6.
    for told, breaks in ((True, 1), (False, 0)):
        rules = Rules(replace(site.settings(1e6), cold_time=13.0, fall_multiple=2.5, fall_window=1.0))
        if told:
            rules.started(0, 7, 100.0)
        for n in range(21):
            rules.cold(0, 7, 100.0, work=0.05, mean_work=0.05, capacity=0.25, now=101.0 + 0.01 * n)
        assert not rules.broken
        rules.cold(0, 7, 100.0, work=0.05, mean_work=0.05, capacity=0.25, now=101.5)
        assert len(rules.broken) == breaks


def test_what_came_before_the_window_does_not_push_a_cold_server_over() -> None:
    rules = Rules(site.settings(1e6))
    rules.started(0, 7, 100.0)
    for second in range(5):
        for n in range(21):
            rules.cold(
                0, 7, 100.0, work=0.05, mean_work=0.05, capacity=0.25, now=101.0 + 1.5 * second + 0.01 * n
            )
    assert not rules.broken


def test_on_sockets_an_attempt_given_up_has_a_moment_to_end_and_no_more() -> None:
    for ends_after, breaks in ((0.05, 0), (0.4, 1)):
        rules = Rules(site.settings(1e6), overlap_allowed_s=0.1)
        rules.came("r", Effect.SAFE, 10.0, 0.0)
        rules.sent(0, "r", 1, True, 1.0)
        rules.sent(0, "r", 2, True, 2.0)
        if ends_after < 0.25:
            rules.ended("r", False, 2.0 + ends_after)
        rules.sweep(2.25)
        assert len(rules.broken) == breaks
    strict = Rules(site.settings(1e6))
    strict.came("r", Effect.SAFE, 10.0, 0.0)
    for server in (1, 2):
        strict.sent(0, "r", server, True, 1.0)
    assert len(strict.broken) == 1
