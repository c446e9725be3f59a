"""Free room at servers: from load reports, from the adaptive limit, and in total over several servers."""

from __future__ import annotations

import math
from typing import Any

import pytest
from helpers import server, settings

from hopshed.free_room import LIMIT_CUT, LIMIT_START, MIN_LIMIT, REPORT_TTL_S, SMOOTHING_S, FreeRoom
from hopshed.interface import Load, Role, ServerState
from hopshed.state import Worker
from hopshed.topology import Topology

NOW = 100.0


def writer(number: int) -> Worker:
    """A running writer."""
    return Worker(server(number, 1, state=ServerState.RUNNING), Role.WRITER, NOW, -math.inf)


def room(*workers: Worker, **changes: Any) -> FreeRoom:
    """The free room at these servers; `changes` replaces fields of the settings."""
    topology = Topology()
    topology.rebuild(workers)
    return FreeRoom(settings(**changes), topology)


def report(worker: Worker, load: Load) -> Worker:
    """Give a server a load report."""
    worker.load, worker.load_at, worker.sends_since_load = load, NOW, 0
    return worker


def test_an_old_load_report_is_ignored() -> None:
    worker = report(writer(11), Load(utilization=0.5, in_flight=10.0))
    reported = room(worker, report_fields=("utilization",), instances=2)
    # Half of the requests in flight are this router's.
    assert reported.of_server(worker, NOW) == pytest.approx(5.0)
    assert reported.of_server(worker, NOW + REPORT_TTL_S + 0.01) is None


def test_sends_since_a_load_report_are_subtracted() -> None:
    worker = report(writer(11), Load(utilization=0.5, in_flight=10.0))
    reported = room(worker, report_fields=("utilization",), instances=2)
    worker.sends_since_load = 3
    assert reported.of_server(worker, NOW) == pytest.approx(2.0)


def test_a_limit_is_raised_when_nearly_used_and_lowered_to_the_streams_in_flight() -> None:
    worker = writer(11)
    limited = room(worker, memory_tokens=())
    assert limited.stream_limit(worker) == LIMIT_START
    worker.streams = 1
    limited.raise_limit(worker)
    assert limited.stream_limit(worker) == LIMIT_START  # too little of the limit is in use
    worker.streams = 3
    limited.raise_limit(worker)
    assert limited.stream_limit(worker) == LIMIT_START + 1 / LIMIT_START
    limited.lower_limit(worker)
    assert limited.stream_limit(worker) == pytest.approx(4 * LIMIT_CUT)
    worker.streams = 0
    limited.lower_limit(worker)
    assert limited.stream_limit(worker) == MIN_LIMIT


def test_a_limit_starts_from_the_memory_in_the_settings() -> None:
    worker = writer(11)
    limited = room(worker, memory_tokens=(0.0, 1000.0, 0.0), instances=2)
    assert limited.stream_limit(worker) == LIMIT_START  # the mean size of a request is not known yet
    limited.request_arrived(100.0)
    assert limited.stream_limit(worker) == pytest.approx(0.9 * 10 / 2)


def test_servers_without_a_report_count_with_the_mean_of_the_others() -> None:
    known, unknown = report(writer(11), Load(utilization=0.5, in_flight=12.0)), writer(12)
    reported = room(known, unknown, report_fields=("utilization",), instances=2)
    assert reported.total([known, unknown], NOW) == pytest.approx(12.0)
    assert reported.with_room([known, unknown], NOW) == [known, unknown]
    known.sends_since_load = 20
    assert reported.with_room([known, unknown], NOW) == [unknown]


def test_smoothed_room_rises_slowly_and_falls_at_once() -> None:
    worker = writer(11)
    limited = room(worker, memory_tokens=())
    worker.limit = 10.0
    assert limited.smoothed(Role.WRITER, [worker], NOW) == 10.0
    limited.mark_smoothed(NOW)
    worker.limit = 20.0
    rising = limited.smoothed(Role.WRITER, [worker], NOW + SMOOTHING_S)
    assert rising == pytest.approx(10.0 + 10.0 * (1 - math.exp(-1)))
    worker.streams = 20
    assert limited.smoothed(Role.WRITER, [worker], NOW + SMOOTHING_S) == 0.0
    assert limited.smoothed(Role.WRITER, [], NOW + SMOOTHING_S) == 0.0
