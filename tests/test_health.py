"""Outlier detection by itself: ejection, trial, doubt and silence; and which servers are due for a probe."""

from __future__ import annotations

import math
from random import Random
from typing import Any

import pytest
from helpers import server, settings

from hopshed.gossip import Gossip
from hopshed.health import (
    DOUBT_TIME,
    EJECT_BASE,
    EJECT_MAX,
    EJECT_MAX_SHARE,
    PROBE_FAILS,
    SILENT_AFTER,
    SILENT_TIMES,
    Health,
)
from hopshed.interface import Load, Role, ServerState
from hopshed.probes import MAX_BUDGET, MIN_AGE, MIN_AGE_DRAWN, PER_REQUEST, Probes
from hopshed.queue_waits import QueueWaits
from hopshed.read_pace import ReadPaces
from hopshed.state import Attempt, Worker
from hopshed.zone_reachability import ZoneReachability

NOW = 100.0
KINDS = {Role.READER: 0, Role.WRITER: 1, Role.MIXED: 2}


def worker(number: int, role: Role = Role.WRITER, state: ServerState = ServerState.RUNNING) -> Worker:
    return Worker(server(number, KINDS[role], state=state), role, NOW, -math.inf)


def health(**kw: Any) -> Health:
    figures = settings(**kw)
    gossip = Gossip(figures)
    return Health(figures, ZoneReachability(), gossip, QueueWaits(gossip), ReadPaces())


def waiting(w: Worker, since: float, read: bool = False) -> Worker:
    w.add_attempt(Attempt(w, read, since, 0.0))
    return w


def test_failures_in_a_row_eject_and_good_answers_between_them_do_not() -> None:
    seen, failing, flaky = health(), worker(1), worker(2)
    assert [seen.attempt_failed(failing, NOW) for _ in range(3)] == [False, True, True]
    for _ in range(20):
        assert not seen.attempt_failed(flaky, NOW)
        for _ in range(3):
            seen.attempt_succeeded(flaky, NOW)


def test_the_time_out_doubles_up_to_its_most_and_starts_anew_after_a_good_while() -> None:
    seen, w = health(), worker(1)
    peers, now, times = [w, worker(2)], NOW, []
    for _ in range(4):
        assert seen.eject(w, peers, now)
        assert not seen.eject(w, peers, now)  # once at a time
        times.append(w.ejected - now)
        now = w.ejected
    assert times == pytest.approx([EJECT_BASE, 2 * EJECT_BASE, EJECT_MAX, EJECT_MAX])
    seen.attempt_succeeded(w, now + EJECT_MAX + 0.1)
    assert seen.eject(w, peers, now + EJECT_MAX + 0.2)
    assert w.ejected == pytest.approx(now + EJECT_MAX + 0.2 + EJECT_BASE)


@pytest.mark.parametrize("size", [1, 2, 4, 10])
def test_only_a_part_of_a_role_is_ejected_at_once(size: int) -> None:
    seen, peers = health(), [worker(n) for n in range(size)]
    ejected = sum(seen.eject(w, peers, NOW) for w in peers)
    assert ejected == int(EJECT_MAX_SHARE * size)


def test_after_an_ejection_one_attempt_at_a_time_tries_the_server() -> None:
    seen, w = health(), worker(1)
    seen.eject(w, [w, worker(2)], NOW)
    back = NOW + EJECT_BASE
    assert not seen.usable(w, back - 0.01) and seen.usable(w, back)
    waiting(w, back)
    assert not seen.usable(w, back)
    w.remove_attempt(w.pending[0])
    seen.attempt_succeeded(w, back + 0.1)
    assert seen.usable(waiting(w, back + 0.2), back + 0.2)


def test_where_probes_are_allowed_one_must_be_answered_before_a_server_comes_back() -> None:
    seen, w = health(may_probe=True), worker(1)
    seen.eject(w, [w, worker(2)], NOW)
    assert not seen.usable(w, w.ejected)
    assert not seen.probe_ended(w, True, w.ejected)
    assert seen.usable(w, w.ejected)


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_a_server_that_does_not_run_is_not_usable(state: ServerState) -> None:
    assert not health().usable(worker(1, state=state), NOW)


def test_a_failure_puts_a_server_in_doubt_for_a_while_but_never_a_reader() -> None:
    seen, writer, reader = health(), worker(1), worker(2, Role.READER)
    for w in (writer, reader):
        seen.attempt_failed(w, NOW)
    assert seen.is_suspect(writer, NOW + DOUBT_TIME - 0.1)
    assert not seen.is_suspect(writer, NOW + DOUBT_TIME)
    assert not seen.is_suspect(reader, NOW)


def test_lost_probes_eject_a_server_only_where_nothing_else_has_been_heard_of_it() -> None:
    seen, silent, heard = health(may_probe=True), worker(1), worker(2)
    now = NOW + SILENT_AFTER + 0.1
    seen.attempt_succeeded(heard, now)
    lost = [[seen.probe_ended(w, False, now) for _ in range(PROBE_FAILS)] for w in (silent, heard)]
    assert lost == [[False] * (PROBE_FAILS - 1) + [True], [False] * PROBE_FAILS]


def test_a_writer_that_answers_probes_beside_its_queue_is_still_late_and_then_overdue() -> None:
    seen, writer, reader = health(may_probe=True), worker(1), worker(2, Role.READER)
    now = NOW + SILENT_AFTER + 0.01
    for w in (writer, reader):
        waiting(w, NOW, read=w is reader)
        seen.probe_ended(w, True, now)
    assert seen.is_silent(writer, now) and not seen.is_silent(reader, now)
    assert not seen.exceeds_silence_limit(writer, now)
    assert seen.exceeds_silence_limit(writer, NOW + SILENT_TIMES * SILENT_AFTER + 0.01)


def probes(**kw: Any) -> Probes:
    base: dict[str, Any] = {"may_probe": True, "report_fields": ("utilization",)}
    figures = settings(**(base | kw))
    gossip = Gossip(figures)
    return Probes(figures, Health(figures, ZoneReachability(), gossip, QueueWaits(gossip), ReadPaces()))


def test_probes_for_load_are_held_to_a_budget_that_requests_earn() -> None:
    due, writers = probes(), [worker(n) for n in range(20)]
    assert len(due.due(writers, Random(1), NOW)) == int(MAX_BUDGET)
    assert due.due(writers, Random(1), NOW) == []
    due.request_arrived()
    assert len(due.due(writers, Random(1), NOW)) == int(PER_REQUEST)


def test_the_stalest_are_probed_first_and_fresh_reports_are_not_asked_for_again() -> None:
    due, writers = probes(), [worker(n) for n in range(8)]
    for w in writers:
        w.probed_at = NOW - MIN_AGE - w.info.id
    writers[7].probed_at = NOW - MIN_AGE / 2
    assert [w.info.id for w in due.due(writers, Random(1), NOW)] == [6, 5, 4, 3, 2, 1]


@pytest.mark.parametrize("kw", [{"may_probe": False}, {"report_fields": ()}, {"reports_in_answers": True}])
def test_load_is_not_probed_for_where_that_is_not_allowed_or_not_needed(kw: dict[str, Any]) -> None:
    assert probes(**kw).due([worker(1)], Random(1), NOW) == []


def test_readers_are_probed_for_load_only_where_their_reports_tell_of_queues() -> None:
    assert probes().due([worker(1, Role.READER)], Random(1), NOW) == []
    assert len(probes(report_fields=("queued",)).due([worker(1, Role.READER)], Random(1), NOW)) == 1


def test_a_silent_server_is_probed_without_regard_to_the_budget() -> None:
    due, silent = probes(report_fields=()), waiting(worker(1), NOW)
    now = NOW + SILENT_AFTER + 0.1
    for _ in range(10):
        assert due.due([silent], Random(1), now) == [silent]
    silent.probe_in_flight = True
    assert due.due([silent], Random(1), now) == []


def test_of_the_writers_drawn_for_a_request_those_not_heard_lately_are_probed() -> None:
    due, fresh, stale = probes(), worker(1), worker(2)
    fresh.load, fresh.load_at = Load(), NOW - MIN_AGE_DRAWN / 2
    assert due.due_among([fresh, stale], NOW) == [stale]
