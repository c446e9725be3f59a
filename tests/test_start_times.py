"""Servers' starts while the wall clock steps: a cold server must not look as if it had been up for long."""

from __future__ import annotations

import json
import math
import time

import pytest
from test_platform import Platform, chunk

from yewhook.start_times import LATE, MessageTimes, StartTimes
from yewhook.worker_list import server_id

HOUR = 3600.0  # s by which the clock steps
NOW, BEFORE = 100.0, 98.5  # s of the loop's clock: of a message, and of the one before it


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_start_told_after_a_step_lies_between_two_words(step: float) -> None:
    # A process that began with its clock an hour ahead took every cold server for a warm one.
    starts = StartTimes(unix_offset=0.0)
    started = starts.read(1, 99.0 + step, MessageTimes(NOW, BEFORE))
    assert started is not None and BEFORE <= started <= NOW


@pytest.mark.parametrize("started", [99.0, BEFORE - LATE, NOW])
def test_a_start_that_can_be_is_believed(started: float) -> None:
    assert StartTimes(0.0).read(1, started, MessageTimes(NOW, BEFORE)) == started


def test_the_same_start_told_again_is_the_same_time() -> None:
    starts = StartTimes(0.0)
    first = starts.read(1, 99.0 + HOUR, MessageTimes(NOW, BEFORE))
    assert starts.read(1, 99.0 + HOUR, MessageTimes(NOW + 50.0, BEFORE + 50.0)) == first
    starts.forget(1)
    assert starts.read(1, 99.0 + HOUR, MessageTimes(NOW + 50.0, BEFORE + 50.0)) == NOW + 50.0


def test_a_first_list_tells_of_starts_of_any_age_but_of_none_to_come() -> None:
    starts = StartTimes(0.0)
    assert starts.read(1, 50.0 - HOUR, MessageTimes(NOW)) == 50.0 - HOUR
    assert starts.read(2, 50.0 + HOUR, MessageTimes(NOW)) == NOW
    assert starts.read(3, 0.0, MessageTimes(NOW)) is None
    assert starts.read(4, 50.0, MessageTimes()) == 50.0 and math.isinf(MessageTimes().now)


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_server_that_joins_is_cold_though_the_clock_has_stepped(step: float, p: Platform) -> None:
    p.play("discovery expect GET /v1/servers?watch=1&after=1\ndiscovery send watch\ndiscovery send empty")
    p.wait(0.1)
    joined = p.entry("writer") | {
        "instanceId": "s-joined",
        "startedAtMs": round((time.time() + step) * 1000.0),
    }
    message = {"generation": 2, "reset": False, "instances": [joined]}
    p.parties["discovery"].send(chunk(json.dumps(message) + "\n"))
    number = server_id("s-joined")
    p.until(lambda: number in p.front.router.servers, "the server is known")
    started = p.front.router.servers[number].started
    assert started is not None and 0.0 <= p.clock.now - started <= 1.0
