"""A loss of power on real processes as in `yewhook lab power`: a short run with the recovery only."""

from __future__ import annotations

from dataclasses import replace

import pytest

from yewlab.processes.power import FAULTS, draw, play

ZERO_FIGURES = ("rules_broken", "cold_pushed_over", "sends_to_gone_or_drained", "taken_by_drained",
        "duplicates_of_unsafe", "faults")  # fmt: skip


def test_drains_outlast_a_loss_of_power() -> None:
    plan = replace(
        draw(3, ("drain", "register-old")),
        zone_delays=(0.0, 1.0, 2.0),
        discovery_delay=1.5,
        measured_after=6.0,
    )
    figures, lines = play(plan, with_recovery=True)
    assert not any(figures[name] for name in ZERO_FIGURES), lines
    assert figures["answered_once"] > 100
    assert any("restart judged: the whole fleet" in line for line in lines)
    assert any("register began anew" in line for line in lines)
    assert any("wanted state read: revision 1" in line for line in lines)


@pytest.mark.parametrize("seed", range(40))
def test_a_seed_draws_the_same_faults_each_time_and_no_unknown_ones(seed: int) -> None:
    plan = draw(seed)
    assert plan == draw(seed) and plan.faults <= set(FAULTS)
    assert {"never", "drain"} <= plan.faults and len(plan.faults) == 5
    assert plan.last_return <= 14.0
