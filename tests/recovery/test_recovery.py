"""The recovery of one router: merged lists, drains and phases after a power loss."""

from __future__ import annotations

import subprocess
import sys
from random import Random
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hopshed import interface
from hopshed.interface import ListKind, Outcome, Role, RoleUsage, ServerState
from yewhook.levels.governor import Governor
from yewhook.levels.settings import Mode, ServiceLevelSettings
from yewhook.recovery.peer_messages import PeerMessage, WorkerStatus
from yewhook.recovery.phases import Phase
from yewhook.recovery.recovery import OMITTED_RETENTION_S, PreviousRun, Recovery, UsualTraffic
from yewhook.recovery.restart_scope import Scope
from yewhook.recovery.settings import RecoverySettings
from yewlab import site

MODULE_SETTINGS = site.settings(1e6, 6)
RUNNING, DRAINING = ServerState.RUNNING, ServerState.DRAINING
USAGE = {role: RoleUsage(2, 2.0, 0.1) for role in Role}


def server(number: int, state: ServerState = RUNNING, started: float | None = None) -> interface.Server:
    return interface.Server(number, number % 3, 0, 0, state, started)


SERVERS = tuple(server(n) for n in range(6))


class Harness:
    """A recovery with a clock that starts at 100 s, and what it logged."""

    def __init__(self, previous: PreviousRun | None = None) -> None:
        self.logged: list[str] = []
        self.recovery = Recovery(RecoverySettings(), MODULE_SETTINGS, 100.0, Random(1), self.log)
        if previous is not None:
            self.recovery.load_previous_run(previous)
        self.now = 100.0

    def log(self, event: str, detail: str) -> None:
        self.logged.append(f"{event}: {detail}")

    def list_servers(
        self, servers: tuple[interface.Server, ...], generation: int, kind: ListKind = ListKind.FULL
    ) -> Any:
        merged = self.recovery.merge_list(kind, servers, generation, self.now)
        self.recovery.observe(interface.ServersListed(kind, merged), self.now)
        return {s.id: s.state for s in merged}

    def evaluate(self, seconds: float = 0.25, usage: dict[Role, RoleUsage] = USAGE) -> Phase:
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            self.recovery.update(self.now, usage, 1.0)
        return self.recovery.phase_state.phase

    def end_attempt(self, number: int, outcome: Outcome = Outcome.OK) -> None:
        self.recovery.observe(interface.AttemptEnded("r", 0, number, outcome, 0.1, True), self.now)


def previous_run(*servers: interface.Server, generation: int = 40, boot: bool | None = False) -> PreviousRun:
    return PreviousRun(90.0, boot, False, generation, servers)


def test_workers_omitted_by_a_restarted_register_are_kept_for_a_while() -> None:
    harness = Harness(previous_run(*SERVERS))
    harness.recovery.initial_servers((), 100.0)
    assert harness.list_servers((), 1) == dict.fromkeys(range(6), RUNNING)
    assert harness.list_servers((server(0, started=95.0),), 2, ListKind.CHANGES) == {0: RUNNING}
    assert harness.recovery.expire_omitted(harness.now) == ()
    harness.now += OMITTED_RETENTION_S + 1.0
    assert {s.id for s in harness.recovery.expire_omitted(harness.now)} == {1, 2, 3, 4, 5}
    assert all(s.state is ServerState.GONE for s in harness.recovery.expire_omitted(harness.now))
    assert any("register began anew" in line for line in harness.logged)


def test_an_omitted_worker_that_is_unreachable_expires_at_once() -> None:
    harness = Harness(previous_run(*SERVERS))
    harness.list_servers((), 1)
    harness.end_attempt(3, Outcome.UNREACHABLE)
    assert [s.id for s in harness.recovery.expire_omitted(harness.now)] == [3]


def test_a_list_with_a_later_generation_is_taken_unchanged() -> None:
    harness = Harness(previous_run(*SERVERS))
    assert harness.list_servers((server(0),), 41) == {0: RUNNING}


def test_a_drain_survives_an_older_list_and_ends_with_its_process() -> None:
    harness = Harness(previous_run(*SERVERS[:3], server(3, DRAINING)))
    assert {s.id: s.state for s in harness.recovery.initial_servers(SERVERS, 100.0)}[3] is DRAINING
    assert harness.list_servers(SERVERS, 12)[3] is DRAINING  # an older list says that it runs
    # A new process of the worker
    assert harness.list_servers((server(3, started=99.0),), 13, ListKind.CHANGES)[3] is RUNNING


def test_a_drain_ends_with_a_later_list_of_the_register() -> None:
    harness = Harness(previous_run(*SERVERS[:3], server(3, DRAINING)))
    assert harness.list_servers(SERVERS, 41)[3] is RUNNING


def test_only_start_times_from_the_register_indicate_a_loss_of_the_fleet() -> None:
    harness = Harness(previous_run(*SERVERS))
    harness.recovery.initial_servers(SERVERS, 100.0)
    harness.evaluate()
    assert not harness.recovery.scope_estimate.reasons
    harness.list_servers(tuple(server(n, started=97.0) for n in range(6)), 41)
    harness.evaluate()
    assert harness.recovery.scope_estimate.scope is Scope.FLEET
    assert sum("restart judged" in line for line in harness.logged) == 1


def test_after_a_restart_of_this_router_alone_full_service_is_immediate() -> None:
    harness = Harness(previous_run(*SERVERS, boot=True))
    harness.list_servers(SERVERS, 41)
    assert harness.evaluate() is Phase.FULL and harness.recovery.scope_estimate.scope is Scope.THIS_ROUTER


def test_after_a_loss_of_the_fleet_service_returns_as_workers_are_confirmed() -> None:
    harness = Harness(previous_run(*SERVERS))
    harness.list_servers(SERVERS, 41)
    assert harness.evaluate(1.0) is Phase.COLD
    harness.end_attempt(0, Outcome.READ)  # a reader alone cannot serve
    assert harness.evaluate(1.0) is Phase.COLD
    harness.recovery.message_received(
        2, PeerMessage(False, Phase.COLD, 3.0, (WorkerStatus(1, True, 0.2),)), harness.now
    )
    assert harness.evaluate(0.25) is Phase.TRICKLE  # another router has confirmed a writer
    assert harness.evaluate(3.0) is Phase.FULL
    harness.evaluate(0.25, {role: RoleUsage(0, 0.0, 0.0) for role in Role})
    assert harness.recovery.phase_state.phase is Phase.NOTHING_KNOWN  # as after another loss


def test_the_proven_turn_rate_counts_confirmed_workers_only() -> None:
    harness = Harness(previous_run(*SERVERS))
    harness.recovery.set_usual_traffic(UsualTraffic(3.0, dict.fromkeys(Role, 2), {}))
    harness.list_servers(tuple(server(n, started=100.0) for n in range(6)), 41)
    for number in range(6):
        harness.end_attempt(number)
    early = harness.recovery._proven_turn_rate(harness.recovery._warm_capacity(harness.now))
    late = harness.recovery._proven_turn_rate(harness.recovery._warm_capacity(harness.now + 20.0))
    assert 0.2 * 3.0 < early < 0.35 * 3.0 < late <= 3.0
    harness.end_attempt(1, Outcome.UNREACHABLE)
    harness.evaluate(12.0)
    harness.end_attempt(1, Outcome.UNREACHABLE)  # its earlier answer has expired
    assert harness.recovery.workers_alive()[Role.WRITER] == 1


def test_the_governor_applies_the_recovery_and_keeps_the_level_meanwhile() -> None:
    harness = Harness(previous_run(*SERVERS))
    governor = Governor(
        MODULE_SETTINGS, ServiceLevelSettings(mode=Mode.ON), 1, 100.0, recovery=harness.recovery
    )  # fmt: skip
    merged = harness.recovery.merge_list(
        ListKind.FULL, tuple(server(n, started=97.0) for n in range(6)), 41, 100.0
    )
    forwarded = governor.filter_events(
        100.5, [interface.ServersListed(ListKind.FULL, merged)], lambda now: USAGE
    )
    sent = [event for event in forwarded if isinstance(event, interface.ServiceLevel)]
    assert sent and sent[0].name == "recovering" and sent[0].retry_after[0] < sent[0].retry_after[1]
    requests = [
        interface.RequestArrived(f"r{cls}", cls, 0, f"s{cls}", 8.0, 800.0, max_tokens=400.0) for cls in (0, 1)
    ]
    lower, top = governor.filter_events(100.6, list(requests), lambda now: USAGE)
    assert isinstance(lower, interface.RequestArrived) and lower.admit == 0.0
    assert isinstance(top, interface.RequestArrived) and top.admit == 1.0
    assert governor.level_state.level.label == "full"


def test_a_new_start_reported_by_the_register_confirms_a_worker() -> None:
    harness = Harness(previous_run(*SERVERS))
    harness.list_servers((server(0, started=97.0), server(1, started=80.0)), 41)
    assert harness.evaluate(1.0) is Phase.COLD  # that writer started before the snapshot
    harness.list_servers((server(1, started=98.0),), 42, ListKind.CHANGES)
    assert harness.evaluate(0.25) is Phase.TRICKLE


def test_the_report_names_the_phase_and_the_awaited_condition() -> None:
    harness = Harness(previous_run(*SERVERS))
    harness.list_servers(SERVERS, 41)
    harness.evaluate()
    report = harness.recovery.report(harness.now)
    assert report["phase"] == "known but cold" and "a new start of a reader" in report["waits_for"]
    assert report["workers_by_source"] == {"the register": 6} and report["snapshot_age_s"] == 10.2


def test_a_router_without_recovery_imports_none_of_it() -> None:
    code = (
        "import sys, yewhook.cli, yewhook.platform.front, yewhook.service_level_admin;"
        "import yewhook.operations.management_endpoint;"
        "print(*(m for m in sys.modules if m.startswith('yewhook.recovery') or m == 'msgspec'))"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout.split() == []


@given(st.lists(st.tuples(st.sampled_from(range(6)), st.booleans()), max_size=30))
def test_the_proven_turn_rate_never_exceeds_the_usual_rate(events: list[tuple[int, bool]]) -> None:
    harness = Harness(previous_run(*SERVERS))
    harness.recovery.set_usual_traffic(UsualTraffic(3.0, dict.fromkeys(Role, 2), {}))
    harness.list_servers(SERVERS, 41)
    for number, alive in events:
        harness.now += 0.5
        harness.end_attempt(number, Outcome.OK if alive else Outcome.UNREACHABLE)
        proven = harness.recovery._proven_turn_rate(harness.recovery._warm_capacity(harness.now))
        assert 0.0 <= proven <= 3.0


def test_a_first_start_in_a_warm_fleet_reaches_full_service_at_once() -> None:
    harness = Harness()
    harness.recovery.initial_servers(SERVERS, 100.0)
    harness.recovery.observe(interface.ServersListed(ListKind.SAVED, SERVERS), 100.0)
    assert harness.evaluate(1.0) is Phase.COLD  # the configuration is no evidence of the present
    harness.list_servers(SERVERS, 1)
    assert harness.evaluate(0.25) is Phase.FULL
    cold = Harness()
    cold.list_servers(tuple(server(n, started=97.0 if n < 3 else None) for n in range(6)), 1)
    assert cold.evaluate(1.0) is Phase.COLD


def test_own_answers_alone_recover_a_cold_fleet() -> None:
    harness = Harness()
    harness.list_servers(tuple(server(n, started=99.0) for n in range(6)), 1)
    harness.end_attempt(2)  # a mixed worker can serve alone
    assert harness.evaluate(1.0) is Phase.TRICKLE
    assert harness.evaluate(20.0) is Phase.FULL
