"""One router's recovery: lists, drains and phases after a loss."""

from __future__ import annotations

import subprocess
import sys
from random import Random
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hopshed import interface as i
from hopshed.interface import ListKind, Outcome, Role, RoleUsage, ServerState
from yewhook.levels.governor import Governor
from yewhook.levels.settings import Mode, ServiceLevelSettings
from yewhook.recovery.peer_messages import PeerMessage, Seen
from yewhook.recovery.phases import Phase
from yewhook.recovery.recovery import MISSED_FOR, PreviousRun, Recovery, UsualTraffic
from yewhook.recovery.restart_scope import Scope
from yewhook.recovery.settings import RecoverySettings
from yewlab import site

MODULE = site.settings(1e6, 6)
UP, DRAINING = ServerState.RUNNING, ServerState.DRAINING
SIGHT = {role: RoleUsage(2, 2.0, 0.1) for role in Role}


def server(number: int, state: ServerState = UP, started: float | None = None) -> i.Server:
    return i.Server(number, number % 3, 0, 0, state, started)


ALL = tuple(server(n) for n in range(6))


class Play:
    def __init__(self, past: PreviousRun | None = None) -> None:
        self.said: list[str] = []
        self.recovery = Recovery(RecoverySettings(), MODULE, 100.0, Random(1), self.say)
        if past is not None:
            self.recovery.load_previous_run(past)
        self.now = 100.0

    def say(self, event: str, detail: str) -> None:
        self.said.append(f"{event}: {detail}")

    def listed(self, servers: tuple[i.Server, ...], generation: int, kind: ListKind = ListKind.FULL) -> Any:
        merged = self.recovery.merge_list(kind, servers, generation, self.now)
        self.recovery.observe(i.ServersListed(kind, merged), self.now)
        return {s.id: s.state for s in merged}

    def look(self, seconds: float = 0.25, sight: dict[Role, RoleUsage] = SIGHT) -> Phase:
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            self.recovery.update(self.now, sight, 1.0)
        return self.recovery.phase_state.phase

    def answered(self, number: int, outcome: Outcome = Outcome.OK) -> None:
        self.recovery.observe(i.AttemptEnded("r", 0, number, outcome, 0.1, True), self.now)


def past(*servers: i.Server, generation: int = 40, boot: bool | None = False) -> PreviousRun:
    return PreviousRun(90.0, boot, False, generation, servers)


def test_a_register_that_begins_anew_ends_no_worker_by_leaving_it_out() -> None:
    play = Play(past(*ALL))
    play.recovery.begin((), 100.0)
    assert play.listed((), 1) == dict.fromkeys(range(6), UP)
    assert play.listed((server(0, started=95.0),), 2, ListKind.CHANGES) == {0: UP}
    assert play.recovery.missed(play.now) == ()
    play.now += MISSED_FOR + 1.0
    assert {s.id for s in play.recovery.missed(play.now)} == {1, 2, 3, 4, 5}
    assert all(s.state is ServerState.GONE for s in play.recovery.missed(play.now))
    assert any("register began anew" in line for line in play.said)


def test_a_worker_left_out_that_can_not_be_reached_is_kept_no_longer() -> None:
    play = Play(past(*ALL))
    play.listed((), 1)
    play.answered(3, Outcome.UNREACHABLE)
    assert [s.id for s in play.recovery.missed(play.now)] == [3]


def test_a_list_that_goes_on_numbering_is_taken_as_it_is() -> None:
    play = Play(past(*ALL))
    assert play.listed((server(0),), 41) == {0: UP}


def test_a_drain_outlives_a_list_from_before_it_and_ends_with_its_process() -> None:
    play = Play(past(*ALL[:3], server(3, DRAINING)))
    assert {s.id: s.state for s in play.recovery.begin(ALL, 100.0)}[3] is DRAINING
    assert play.listed(ALL, 12)[3] is DRAINING  # an old list says that it is up
    assert play.listed((server(3, started=99.0),), 13, ListKind.CHANGES)[3] is UP  # another process


def test_a_drain_ends_by_the_registers_later_word() -> None:
    play = Play(past(*ALL[:3], server(3, DRAINING)))
    assert play.listed(ALL, 41)[3] is UP


def test_the_fleets_loss_is_judged_by_the_registers_starts_and_not_by_the_configurations() -> None:
    play = Play(past(*ALL))
    play.recovery.begin(ALL, 100.0)
    play.look()
    assert not play.recovery.scope_estimate.why
    play.listed(tuple(server(n, started=97.0) for n in range(6)), 41)
    play.look()
    assert play.recovery.scope_estimate.scope is Scope.FLEET
    assert sum("restart judged" in line for line in play.said) == 1


def test_after_its_own_restart_a_router_serves_in_full_at_once() -> None:
    play = Play(past(*ALL, boot=True))
    play.listed(ALL, 41)
    assert play.look() is Phase.FULL and play.recovery.scope_estimate.scope is Scope.ALONE


def test_after_the_fleets_loss_service_returns_as_workers_show_themselves() -> None:
    play = Play(past(*ALL))
    play.listed(ALL, 41)
    assert play.look(1.0) is Phase.COLD
    play.answered(0, Outcome.READ)  # a reader alone is no way
    assert play.look(1.0) is Phase.COLD
    play.recovery.message_received(2, PeerMessage(False, Phase.COLD, 3.0, (Seen(1, True, 0.2),)), play.now)
    assert play.look(0.25) is Phase.TRICKLE  # another router has met a writer
    assert play.look(3.0) is Phase.FULL
    play.look(0.25, {role: RoleUsage(0, 0.0, 0.0) for role in Role})
    assert play.recovery.phase_state.phase is Phase.NOTHING  # a second loss


def test_what_is_warm_is_reckoned_from_those_who_have_shown_themselves() -> None:
    play = Play(past(*ALL))
    play.recovery.set_usual_traffic(UsualTraffic(3.0, dict.fromkeys(Role, 2), {}))
    play.listed(tuple(server(n, started=100.0) for n in range(6)), 41)
    for number in range(6):
        play.answered(number)
    early = play.recovery._shown_to_do(play.recovery._able(play.now))
    late = play.recovery._shown_to_do(play.recovery._able(play.now + 20.0))
    assert 0.2 * 3.0 < early < 0.35 * 3.0 < late <= 3.0
    play.answered(1, Outcome.UNREACHABLE)
    play.look(12.0)
    play.answered(1, Outcome.UNREACHABLE)  # what it said once has lapsed
    assert play.recovery.workers_alive()[Role.WRITER] == 1


def test_the_governor_asks_the_recovery_and_holds_the_levels_meanwhile() -> None:
    play = Play(past(*ALL))
    governor = Governor(
        MODULE, ServiceLevelSettings(mode=Mode.ON), 1, 100.0, recovery=play.recovery
    )  # fmt: skip
    merged = play.recovery.merge_list(
        ListKind.FULL, tuple(server(n, started=97.0) for n in range(6)), 41, 100.0
    )
    heard = governor.filter_events(100.5, [i.ServersListed(ListKind.FULL, merged)], lambda now: SIGHT)
    told = [event for event in heard if isinstance(event, i.ServiceLevel)]
    assert told and told[0].name == "recovering" and told[0].retry_after[0] < told[0].retry_after[1]
    asks = [i.RequestArrived(f"r{cls}", cls, 0, f"s{cls}", 8.0, 800.0, max_tokens=400.0) for cls in (0, 1)]
    lesser, worthiest = governor.filter_events(100.6, list(asks), lambda now: SIGHT)
    assert isinstance(lesser, i.RequestArrived) and lesser.admit == 0.0
    assert isinstance(worthiest, i.RequestArrived) and worthiest.admit == 1.0
    assert governor.level_state.level.label == "full"


def test_a_start_that_the_register_tells_of_shows_that_a_worker_runs() -> None:
    play = Play(past(*ALL))
    play.listed((server(0, started=97.0), server(1, started=80.0)), 41)
    assert play.look(1.0) is Phase.COLD  # that writer's start lies before the snapshot
    play.listed((server(1, started=98.0),), 42, ListKind.CHANGES)
    assert play.look(0.25) is Phase.TRICKLE


def test_the_report_says_what_it_waits_for() -> None:
    play = Play(past(*ALL))
    play.listed(ALL, 41)
    play.look()
    report = play.recovery.report(play.now)
    assert report["phase"] == "known but cold" and "a new start of a reader" in report["waits_for"]
    assert report["workers_by_source"] == {"the register": 6} and report["snapshot_age_s"] == 10.2


def test_a_router_without_it_loads_none_of_it() -> None:
    code = (
        "import sys, yewhook.cli, yewhook.platform.front, yewhook.service_level_admin;"
        "import yewhook.operations.management_endpoint;"
        "print(*(m for m in sys.modules if m.startswith('yewhook.recovery') or m == 'msgspec'))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.split() == []


@given(st.lists(st.tuples(st.sampled_from(range(6)), st.booleans()), max_size=30))
def test_more_evidence_never_makes_it_reckon_with_more_than_there_is(events: list[tuple[int, bool]]) -> None:
    play = Play(past(*ALL))
    play.recovery.set_usual_traffic(UsualTraffic(3.0, dict.fromkeys(Role, 2), {}))
    play.listed(ALL, 41)
    for number, lives in events:
        play.now += 0.5
        play.answered(number, Outcome.OK if lives else Outcome.UNREACHABLE)
        warm = play.recovery._shown_to_do(play.recovery._able(play.now))
        assert 0.0 <= warm <= 3.0


def test_a_first_start_among_workers_that_run_for_long_is_over_at_once() -> None:
    play = Play()
    play.recovery.begin(ALL, 100.0)
    play.recovery.observe(i.ServersListed(ListKind.SAVED, ALL), 100.0)
    assert play.look(1.0) is Phase.COLD  # the configuration alone says nothing of now
    play.listed(ALL, 1)
    assert play.look(0.25) is Phase.FULL
    cold = Play()
    cold.listed(tuple(server(n, started=97.0 if n < 3 else None) for n in range(6)), 1)
    assert cold.look(1.0) is Phase.COLD


def test_without_any_word_of_others_a_cold_fleet_is_recovered_by_own_answers() -> None:
    play = Play()
    play.listed(tuple(server(n, started=99.0) for n in range(6)), 1)
    play.answered(2)  # a mixed worker is a way by itself
    assert play.look(1.0) is Phase.TRICKLE
    assert play.look(20.0) is Phase.FULL
