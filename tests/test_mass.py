"""Many routers on virtual time: the rules that count over the whole fleet, on every kind of day."""

from __future__ import annotations

import pytest

from yewlab.mass import DAYS, Mass, play


@pytest.mark.parametrize("day", DAYS)
def test_no_day_breaks_a_rule(day: str) -> None:
    result = play(day, seed=3, routers=24, workers=20)
    assert result.broken == ()
    assert result.faults == ()
    assert result.turns > 200
    assert result.worth > 0.3


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
