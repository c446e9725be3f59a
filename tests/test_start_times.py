"""Start times of servers when the wall clock steps: a cold server must not appear to be warm."""

from __future__ import annotations

import json
import math
import time

import pytest
from test_platform import Platform, chunk

from yewhook.start_times import MAX_REPORT_DELAY_S, MessageTimes, StartTimes
from yewhook.worker_list import server_id

HOUR_S = 3600.0  # by which the wall clock steps
# Seconds of the loop's clock: of a message, and of the one before it.
RECEIVED = 100.0
PREVIOUS = 98.5


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_a_start_reported_after_a_step_lies_between_two_messages(step: float) -> None:
    # A process that began with its clock an hour ahead used to treat every cold server as warm.
    start_times = StartTimes(unix_offset=0.0)
    started = start_times.convert(1, 99.0 + step, MessageTimes(RECEIVED, PREVIOUS))
    assert started is not None and PREVIOUS <= started <= RECEIVED


@pytest.mark.parametrize("started", [99.0, PREVIOUS - MAX_REPORT_DELAY_S, RECEIVED])
def test_a_possible_start_is_kept(started: float) -> None:
    assert StartTimes(0.0).convert(1, started, MessageTimes(RECEIVED, PREVIOUS)) == started


def test_a_start_that_is_reported_again_is_the_same_time() -> None:
    start_times = StartTimes(0.0)
    first = start_times.convert(1, 99.0 + HOUR_S, MessageTimes(RECEIVED, PREVIOUS))
    assert start_times.convert(1, 99.0 + HOUR_S, MessageTimes(RECEIVED + 50.0, PREVIOUS + 50.0)) == first
    start_times.forget(1)
    assert (
        start_times.convert(1, 99.0 + HOUR_S, MessageTimes(RECEIVED + 50.0, PREVIOUS + 50.0))
        == RECEIVED + 50.0
    )


def test_a_first_list_may_report_starts_of_any_age_but_none_in_the_future() -> None:
    start_times = StartTimes(0.0)
    assert start_times.convert(1, 50.0 - HOUR_S, MessageTimes(RECEIVED)) == 50.0 - HOUR_S
    assert start_times.convert(2, 50.0 + HOUR_S, MessageTimes(RECEIVED)) == RECEIVED
    assert start_times.convert(3, 0.0, MessageTimes(RECEIVED)) is None
    assert start_times.convert(4, 50.0, MessageTimes()) == 50.0 and math.isinf(MessageTimes().received)


def join(p: Platform, step: float, reset: bool = False) -> float:
    """Report a server that joins now by a clock that is `step` seconds ahead; returns its age in seconds."""
    unix_time = p.clock.now + time.time() - time.monotonic()  # of the router's clock, which is no real one
    joined = p.entry("writer") | {
        "instanceId": "s-joined",
        "startedAtMs": round((unix_time + step) * 1000.0),
    }
    message = {"generation": 2, "reset": reset, "instances": [joined]}
    p.parties["discovery"].send(chunk(json.dumps(message) + "\n"))
    number = server_id("s-joined")
    p.until(lambda: number in p.front.router.servers, "the server is known")
    started = p.front.router.servers[number].started
    assert started is not None
    return p.clock.now - started


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_a_server_that_joins_after_a_clock_step_is_cold(step: float, p: Platform) -> None:
    p.play("discovery expect GET /v1/servers?watch=1&after=1\ndiscovery send watch\ndiscovery send empty")
    p.wait(0.1)
    assert 0.0 <= join(p, step) <= 1.0


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_a_server_that_joins_before_the_first_message_of_a_watch_is_cold(step: float, p: Platform) -> None:
    # The first message could report a start of any age, so that a cold server was taken for a warm one.
    p.play("discovery expect GET /v1/servers?watch=1&after=1\ndiscovery send watch")
    p.wait(0.5)
    assert 0.0 <= join(p, step) <= 0.6


@pytest.mark.parametrize(("wait", "reset"), [(0.0, False), (0.5, True)], ids=["changes", "whole list"])
def test_what_a_watch_answers_with_may_report_old_starts(wait: float, reset: bool, p: Platform) -> None:
    p.play("discovery expect GET /v1/servers?watch=1&after=1\ndiscovery send watch")
    p.wait(wait)
    assert join(p, -HOUR_S, reset) >= HOUR_S
