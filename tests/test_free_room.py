"""Free room at servers, by itself: from load reports, by the adaptive limit, and over several servers."""

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
    return Worker(server(number, 1, state=ServerState.RUNNING), Role.WRITER, NOW, -math.inf)


def room(*workers: Worker, **kw: Any) -> FreeRoom:
    topology = Topology()
    topology.rebuild(workers)
    return FreeRoom(settings(**kw), topology)


def report(w: Worker, load: Load) -> Worker:
    w.load, w.load_at, w.sends_since_load = load, NOW, 0
    return w


def test_a_report_that_is_old_is_as_not_heard() -> None:
    w = report(writer(11), Load(utilization=0.5, in_flight=10.0))
    told = room(w, report_fields=("utilization",), instances=2)
    assert told.of_server(w, NOW) == pytest.approx(5.0)  # half of what is in flight is ours
    assert told.of_server(w, NOW + REPORT_TTL_S + 0.01) is None


def test_sends_since_a_report_are_taken_off() -> None:
    w = report(writer(11), Load(utilization=0.5, in_flight=10.0))
    told = room(w, report_fields=("utilization",), instances=2)
    w.sends_since_load = 3
    assert told.of_server(w, NOW) == pytest.approx(2.0)


def test_a_limit_grows_by_good_answers_near_it_and_is_cut_to_what_is_out() -> None:
    w = writer(11)
    limited = room(w, memory_tokens=())
    assert limited.stream_limit(w) == LIMIT_START
    w.streams = 1
    limited.raise_limit(w)
    assert limited.stream_limit(w) == LIMIT_START  # far from it: the answer says nothing
    w.streams = 3
    limited.raise_limit(w)
    assert limited.stream_limit(w) == LIMIT_START + 1 / LIMIT_START
    limited.lower_limit(w)
    assert limited.stream_limit(w) == pytest.approx(4 * LIMIT_CUT)
    w.streams = 0
    limited.lower_limit(w)
    assert limited.stream_limit(w) == MIN_LIMIT


def test_a_limit_starts_from_the_memory_that_settings_tell() -> None:
    w = writer(11)
    limited = room(w, memory_tokens=(0.0, 1000.0, 0.0), instances=2)
    assert limited.stream_limit(w) == LIMIT_START  # no request's size is known yet
    limited.request_arrived(100.0)
    assert limited.stream_limit(w) == pytest.approx(0.9 * 10 / 2)


def test_servers_not_heard_count_as_those_that_were() -> None:
    heard, unheard = report(writer(11), Load(utilization=0.5, in_flight=12.0)), writer(12)
    told = room(heard, unheard, report_fields=("utilization",), instances=2)
    assert told.total([heard, unheard], NOW) == pytest.approx(12.0)
    assert told.with_room([heard, unheard], NOW) == [heard, unheard]
    heard.sends_since_load = 20
    assert told.with_room([heard, unheard], NOW) == [unheard]


def test_smoothed_room_rises_slowly_and_falls_at_once() -> None:
    w = writer(11)
    limited = room(w, memory_tokens=())
    w.limit = 10.0
    assert limited.smoothed(Role.WRITER, [w], NOW) == 10.0
    limited.mark_smoothed(NOW)
    w.limit = 20.0
    rising = limited.smoothed(Role.WRITER, [w], NOW + SMOOTHING_S)
    assert rising == pytest.approx(10.0 + 10.0 * (1 - math.exp(-1)))
    w.streams = 20
    assert limited.smoothed(Role.WRITER, [w], NOW + SMOOTHING_S) == 0.0
    assert limited.smoothed(Role.WRITER, [], NOW + SMOOTHING_S) == 0.0
