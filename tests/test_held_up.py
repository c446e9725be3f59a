"""Tests of a router whose event loop was blocked.

What arrived meanwhile is timed from its arrival and not from when it is read.
"""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest
from settings import ENV
from test_platform import FLEET, Platform, begin

from yewhook.platform.clients import BAD_REQUEST_PAUSE_S
from yewhook.platform.workers import STREAM_SILENCE_NO_RESUME_S, STREAM_SILENCE_S


def deadline_of_only_request(p: Platform) -> float:
    """Returns the deadline of the one open request, by the router's clock."""
    (life,) = p.front.router.requests.values()
    return life.deadline


def open_idle_connection(p: Platform) -> None:
    """Leave an idle client connection on which a request has been answered."""
    p.play("client send get path=/healthz\nclient expect 200\nwait 0.05")


@pytest.mark.parametrize("kept", [True, False])
def test_the_time_of_a_request_runs_while_the_loop_is_blocked(p: Platform, kept: bool) -> None:
    # A list of thousands of servers blocked the loop for 3 s, and requests that arrived meanwhile were
    # answered too late.
    if kept:
        open_idle_connection(p)
    sent = p.clock.now
    p.play("client send ask left=5000m")
    p.clock.now += 3.0
    p.turn()
    p.turn()
    assert deadline_of_only_request(p) <= sent + 5.0
    p.play("reader expect X-Remaining: ")
    assert int(p.parties["reader"].text.partition("u\r\n")[0]) <= 2.0e6


def test_a_request_whose_time_is_over_when_it_is_read_is_refused(p: Platform) -> None:
    open_idle_connection(p)
    p.play("client send ask left=2000m")
    p.clock.now += 2.2
    p.play("client expect HTTP/1.1 503\nwait 0.1")
    assert "POST" not in p.parties["reader"].heard


def test_the_time_of_a_request_runs_while_reading_is_paused(p: Platform) -> None:
    p.play("client send ask lane=nobody\nclient expect HTTP/1.1 400")
    sent = p.clock.now
    p.play("client send ask left=5000m\nwait 0.6")
    assert deadline_of_only_request(p) <= sent + 5.0


def test_a_reading_pause_shortens_a_clients_time_by_no_more_than_its_length(p: Platform) -> None:
    open_idle_connection(p)
    p.play("wait 3.0\nclient send ask lane=nobody\nclient expect HTTP/1.1 400")
    sent = p.clock.now
    p.play("client send ask left=5000m\nwait 0.6")
    assert deadline_of_only_request(p) > sent + 5.0 - BAD_REQUEST_PAUSE_S - 0.1


def test_a_loop_that_is_not_blocked_hardly_shortens_a_clients_time(p: Platform) -> None:
    open_idle_connection(p)
    p.play("wait 1.0")
    sent = p.clock.now
    p.play("client send ask left=5000m\nreader expect POST")
    assert deadline_of_only_request(p) > sent + 5.0 - 0.1


def test_nothing_is_sent_for_a_client_that_disconnects_during_a_turn(p: Platform) -> None:
    # The request was read, and the client disconnected later in the same turn; only the next turn noticed it.
    start_stream(p)
    p.play("writer send last\nclient expect 0\nwait 0.1")  # leaves a reusable connection to the reader
    p.parties["reader"].heard = ""
    router = p.front.router
    handle = router._module.handle

    def handle_then_disconnect(now: float, events: list) -> list:  # type: ignore[type-arg]
        actions = handle(now, events)
        if router.requests and p.parties["client"].sock is not None:
            p.parties["client"].close()
        return actions

    router._module.handle = handle_then_disconnect  # type: ignore[method-assign]
    p.play("client send ask id=r2\nwait 0.3")
    assert "POST" not in p.parties["reader"].heard
    assert not router.requests


@pytest.fixture
def without_resume() -> Iterator[Platform]:
    """A router whose clients cannot resume a stream elsewhere."""
    played = Platform(FLEET, env={"extra": ENV["extra"] | {"resume": False}})
    yield played
    played.end()


def start_stream(p: Platform) -> None:
    """Send a request and let its stream begin."""
    p.play(begin() + "writer send stream\nwriter send event text=one\nclient expect one")


def test_a_stream_whose_client_cannot_resume_elsewhere_is_waited_for_longer(without_resume: Platform) -> None:
    # The stream was broken off after 2.5 s and lost, though its server hung for only 3 s.
    start_stream(without_resume)
    without_resume.play(
        "wait 3.5\nwriter send event text=two\nclient expect two\nwriter send last\nclient expect 0"
    )


def test_a_stream_whose_client_cannot_resume_elsewhere_is_ended_before_5_s(
    without_resume: Platform,
) -> None:
    start_stream(without_resume)
    began = without_resume.clock.now
    without_resume.play(f"wait {STREAM_SILENCE_NO_RESUME_S - 0.2}")
    assert not without_resume.parties["client"].ended
    without_resume.play("client expect closed")
    assert without_resume.clock.now - began < 5.0


def test_a_stream_whose_event_arrived_while_the_loop_was_blocked_is_not_broken_off(p: Platform) -> None:
    start_stream(p)
    p.parties["writer"].send(b"15\r\ndata: " + json.dumps("two and a half").encode()[:13] + b"\n\n\r\n")
    p.clock.now += STREAM_SILENCE_S + 0.5
    p.turn()
    p.play("wait 1.0")
    assert not p.parties["client"].ended and "two and" in p.parties["client"].text
