"""Many routers on virtual time: the rules that apply to the whole fleet, on each day of the lab."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hopshed.interface import Effect
from yewlab import power, site
from yewlab.mass import DAYS, FleetRun, play
from yewlab.rules import Rules


@pytest.mark.parametrize("day", DAYS)
def test_no_day_breaks_a_rule(day: str) -> None:
    result = play(day, seed=3, routers=24, workers=20)
    assert result.broken == ()
    assert result.faults == ()
    assert result.turns > 200
    assert result.worth > 0.3


@pytest.mark.parametrize("seed", [5, 7, 13])
def test_many_routers_under_overload_do_not_push_over_servers_that_return_cold(seed: int) -> None:
    # Each router took what it sent to warm servers for what they can take, though these turned much of it
    # away: together the routers sent up to three times what a cold server may get.
    result = play("cold", seed, routers=56, workers=22, turns=4.0)
    assert result.broken == ()


def test_the_recovery_breaks_no_rule_and_serves_the_top_class_better() -> None:
    ours, theirs = (
        power.play(2, routers=12, workers=20, with_recovery=recovery).figures for recovery in (True, False)
    )
    assert ours["broken"] == 0 and ours["words"] > 12
    assert ours["top_class"] >= theirs["top_class"] + 0.05


def test_clients_of_a_killed_router_are_served_by_another_one() -> None:
    run = FleetRun(seed=1, routers=3, workers=5)
    run.sim.run(run.sim.now + 5.0)
    old, ended_log = run.hosted[1].router, run.hosted[1].log
    run.kill(1, restart_after=1.0)
    assert run.clients.routers[1] is run.hosted[2].router
    run.sim.run(run.sim.now + 2.0)
    assert run.clients.routers[1] is run.hosted[1].router is not old
    assert not run.rules.broken
    # Faults that an ended process logged count like those of a running one.
    assert any(log is ended_log for log in run.logs)


def test_a_cold_server_is_overloaded_by_one_request_more_than_chance_explains() -> None:
    # The budget is 2.5 x 0.25 x 1 s / 0.05 s = 12.5 requests of mean work, the limit
    # 12.5 + 2 x sqrt(12.5) + 2 = 21.6. It applies only to routers that knew of the start.
    for told, breaks in ((True, 1), (False, 0)):
        rules = Rules(replace(site.settings(1e6), cold_time=13.0, fall_multiple=2.5, fall_window=1.0))
        if told:
            rules.started(0, 7, 100.0)
        for n in range(21):
            rules.cold(0, 7, 100.0, work=0.05, mean_work=0.05, capacity=0.25, now=101.0 + 0.01 * n)
        assert not rules.broken
        rules.cold(0, 7, 100.0, work=0.05, mean_work=0.05, capacity=0.25, now=101.5)
        assert len(rules.broken) == breaks


def test_work_before_the_window_does_not_count_against_a_cold_server() -> None:
    rules = Rules(site.settings(1e6))
    rules.started(0, 7, 100.0)
    for second in range(5):
        for n in range(21):
            rules.cold(
                0, 7, 100.0, work=0.05, mean_work=0.05, capacity=0.25, now=101.0 + 1.5 * second + 0.01 * n
            )
    assert not rules.broken


def test_attempts_may_overlap_only_for_the_allowed_time() -> None:
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
