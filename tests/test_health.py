"""Outlier detection on its own: ejection, trial, suspects and silence; which servers are due for a probe."""

from __future__ import annotations

import math
from random import Random
from typing import Any

import pytest
from helpers import server, settings

from hopshed.gossip import Gossip
from hopshed.health import (
    EJECTED_SHARE_MAX,
    EJECTION_BASE_S,
    EJECTION_MAX_S,
    PROBE_FAILURES_MAX,
    SILENCE_LIMIT_FACTOR,
    SILENT_AFTER_S,
    SUSPECT_FOR_S,
    Health,
)
from hopshed.interface import Load, Role, ServerState
from hopshed.probes import MAX_BUDGET, MIN_PROBE_INTERVAL_S, MIN_REPORT_AGE_S, PROBES_PER_REQUEST, Probes
from hopshed.queue_waits import QueueWaits
from hopshed.read_pace import ReadPaces
from hopshed.state import Attempt, Worker
from hopshed.zone_reachability import ZoneReachability

NOW = 100.0
KINDS = {Role.READER: 0, Role.WRITER: 1, Role.MIXED: 2}


def make_worker(number: int, role: Role = Role.WRITER, state: ServerState = ServerState.RUNNING) -> Worker:
    """A server of this role, of which nothing is known."""
    return Worker(server(number, KINDS[role], state=state), role, NOW, -math.inf)


def make_health(**changes: Any) -> Health:
    """Outlier detection on its own; `changes` replaces fields of the settings."""
    module_settings = settings(**changes)
    gossip = Gossip(module_settings)
    return Health(module_settings, ZoneReachability(), gossip, QueueWaits(gossip), ReadPaces())


def waiting(worker: Worker, since: float, read: bool = False) -> Worker:
    """The server, with an attempt added that was sent at `since` and is pending."""
    worker.add_attempt(Attempt(worker, read, since, 0.0))
    return worker


def test_failures_in_a_row_eject_but_failures_between_answers_do_not() -> None:
    health, failing, flaky = make_health(), make_worker(1), make_worker(2)
    assert [health.attempt_failed(failing, NOW) for _ in range(3)] == [False, True, True]
    for _ in range(20):
        assert not health.attempt_failed(flaky, NOW)
        for _ in range(3):
            health.attempt_succeeded(flaky, NOW)


def test_the_ejection_time_doubles_up_to_a_limit_and_resets_after_good_answers() -> None:
    health, worker = make_health(), make_worker(1)
    peers, now, times = [worker, make_worker(2)], NOW, []
    for _ in range(4):
        assert health.eject(worker, peers, now)
        assert not health.eject(worker, peers, now)  # once at a time
        times.append(worker.ejected - now)
        now = worker.ejected
    assert times == pytest.approx([EJECTION_BASE_S, 2 * EJECTION_BASE_S, EJECTION_MAX_S, EJECTION_MAX_S])
    health.attempt_succeeded(worker, now + EJECTION_MAX_S + 0.1)
    assert health.eject(worker, peers, now + EJECTION_MAX_S + 0.2)
    assert worker.ejected == pytest.approx(now + EJECTION_MAX_S + 0.2 + EJECTION_BASE_S)


@pytest.mark.parametrize("size", [1, 2, 4, 10])
def test_only_a_part_of_a_role_is_ejected_at_once(size: int) -> None:
    health, peers = make_health(), [make_worker(n) for n in range(size)]
    ejected = sum(health.eject(worker, peers, NOW) for worker in peers)
    assert ejected == int(EJECTED_SHARE_MAX * size)


def test_after_an_ejection_the_server_gets_one_attempt_at_a_time() -> None:
    health, worker = make_health(), make_worker(1)
    health.eject(worker, [worker, make_worker(2)], NOW)
    back = NOW + EJECTION_BASE_S
    assert not health.usable(worker, back - 0.01) and health.usable(worker, back)
    waiting(worker, back)
    assert not health.usable(worker, back)
    worker.remove_attempt(worker.pending[0])
    health.attempt_succeeded(worker, back + 0.1)
    assert health.usable(waiting(worker, back + 0.2), back + 0.2)


def test_where_probes_are_allowed_one_must_be_answered_to_end_an_ejection() -> None:
    health, worker = make_health(may_probe=True), make_worker(1)
    health.eject(worker, [worker, make_worker(2)], NOW)
    assert not health.usable(worker, worker.ejected)
    assert not health.probe_ended(worker, True, worker.ejected)
    assert health.usable(worker, worker.ejected)


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_a_server_that_does_not_run_is_not_usable(state: ServerState) -> None:
    assert not make_health().usable(make_worker(1, state=state), NOW)


def test_a_failure_makes_a_server_suspect_for_a_while_but_never_a_reader() -> None:
    health, writer, reader = make_health(), make_worker(1), make_worker(2, Role.READER)
    for worker in (writer, reader):
        health.attempt_failed(worker, NOW)
    assert health.is_suspect(writer, NOW + SUSPECT_FOR_S - 0.1)
    assert not health.is_suspect(writer, NOW + SUSPECT_FOR_S)
    assert not health.is_suspect(reader, NOW)


def test_lost_probes_eject_a_server_only_without_other_signs_of_life() -> None:
    health, silent, answering = make_health(may_probe=True), make_worker(1), make_worker(2)
    now = NOW + SILENT_AFTER_S + 0.1
    health.attempt_succeeded(answering, now)
    lost = [
        [health.probe_ended(worker, False, now) for _ in range(PROBE_FAILURES_MAX)]
        for worker in (silent, answering)
    ]
    assert lost == [[False] * (PROBE_FAILURES_MAX - 1) + [True], [False] * PROBE_FAILURES_MAX]


def test_a_hung_writer_that_answers_probes_is_silent_and_exceeds_the_limit() -> None:
    health, writer, reader = make_health(may_probe=True), make_worker(1), make_worker(2, Role.READER)
    now = NOW + SILENT_AFTER_S + 0.01
    for worker in (writer, reader):
        waiting(worker, NOW, read=worker is reader)
        health.probe_ended(worker, True, now)
    assert health.is_silent(writer, now) and not health.is_silent(reader, now)
    assert not health.exceeds_silence_limit(writer, now)
    assert health.exceeds_silence_limit(writer, NOW + SILENCE_LIMIT_FACTOR * SILENT_AFTER_S + 0.01)


def make_probes(**changes: Any) -> Probes:
    """Probes that may ask for load, where the settings do not say otherwise."""
    base: dict[str, Any] = {"may_probe": True, "report_fields": ("utilization",)}
    module_settings = settings(**(base | changes))
    gossip = Gossip(module_settings)
    return Probes(
        module_settings, Health(module_settings, ZoneReachability(), gossip, QueueWaits(gossip), ReadPaces())
    )


def test_probes_for_load_are_limited_to_a_budget_that_requests_earn() -> None:
    probes, writers = make_probes(), [make_worker(n) for n in range(20)]
    assert len(probes.due(writers, Random(1), NOW)) == int(MAX_BUDGET)
    assert probes.due(writers, Random(1), NOW) == []
    probes.request_arrived()
    assert len(probes.due(writers, Random(1), NOW)) == int(PROBES_PER_REQUEST)


def test_the_least_recently_probed_come_first_and_recently_probed_are_left_out() -> None:
    probes, writers = make_probes(), [make_worker(n) for n in range(8)]
    for worker in writers:
        worker.probed_at = NOW - MIN_PROBE_INTERVAL_S - worker.info.id
    writers[7].probed_at = NOW - MIN_PROBE_INTERVAL_S / 2
    assert [worker.info.id for worker in probes.due(writers, Random(1), NOW)] == [6, 5, 4, 3, 2, 1]


@pytest.mark.parametrize(
    "changes", [{"may_probe": False}, {"report_fields": ()}, {"reports_in_answers": True}]
)
def test_load_is_not_probed_for_where_that_is_not_allowed_or_not_needed(changes: dict[str, Any]) -> None:
    assert make_probes(**changes).due([make_worker(1)], Random(1), NOW) == []


def test_readers_are_probed_for_load_only_where_reports_include_queues() -> None:
    assert make_probes().due([make_worker(1, Role.READER)], Random(1), NOW) == []
    assert len(make_probes(report_fields=("queued",)).due([make_worker(1, Role.READER)], Random(1), NOW)) == 1


def test_a_silent_server_is_probed_regardless_of_the_budget() -> None:
    probes, silent = make_probes(report_fields=()), waiting(make_worker(1), NOW)
    now = NOW + SILENT_AFTER_S + 0.1
    for _ in range(10):
        assert probes.due([silent], Random(1), now) == [silent]
    silent.probe_in_flight = True
    assert probes.due([silent], Random(1), now) == []


def test_writers_considered_for_a_request_are_probed_if_their_report_is_old() -> None:
    probes, fresh, stale = make_probes(), make_worker(1), make_worker(2)
    fresh.load, fresh.load_at = Load(), NOW - MIN_REPORT_AGE_S / 2
    assert probes.due_among([fresh, stale], NOW) == [stale]
