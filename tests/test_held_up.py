"""A router that is held up: what comes meanwhile is judged by when it came, not by when it is read."""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest
from settings import ENV
from test_platform import FLEET, Platform, begin

from yewhook.platform.clients import BAD_REQUEST_PAUSE_S
from yewhook.platform.workers import STREAM_SILENCE_NO_RESUME_S, STREAM_SILENCE_S


def only_life_deadline(p: Platform) -> float:
    (life,) = p.front.router.requests.values()
    return life.deadline


def open_connection(p: Platform) -> None:
    """A client's connection on which a request has been answered; it is open, and nothing is asked on it."""
    p.play("client send get path=/healthz\nclient expect 200\nwait 0.05")


@pytest.mark.parametrize("kept", [True, False])
def test_the_time_of_a_request_runs_while_the_router_is_held_up(p: Platform, kept: bool) -> None:
    # A list of thousands of servers stopped the loop for 3 s; requests that came meanwhile got late answers.
    if kept:
        open_connection(p)
    sent = p.clock.now
    p.play("client send ask left=5000m")
    p.clock.now += 3.0
    p.turn()
    p.turn()
    assert only_life_deadline(p) <= sent + 5.0
    p.play("reader expect X-Remaining: ")
    assert int(p.parties["reader"].text.partition("u\r\n")[0]) <= 2.0e6


def test_a_request_whose_time_is_over_when_it_is_read_is_refused_and_not_sent(p: Platform) -> None:
    open_connection(p)
    p.play("client send ask left=2000m")
    p.clock.now += 2.2
    p.play("client expect HTTP/1.1 503\nwait 0.1")
    assert "POST" not in p.parties["reader"].heard


def test_a_request_that_waits_out_a_penalty_has_its_time_run(p: Platform) -> None:
    p.play("client send ask lane=nobody\nclient expect HTTP/1.1 400")
    sent = p.clock.now
    p.play("client send ask left=5000m\nwait 0.6")
    assert only_life_deadline(p) <= sent + 5.0


def test_a_penalty_takes_no_more_off_a_clients_time_than_it_lasts(p: Platform) -> None:
    open_connection(p)
    p.play("wait 3.0\nclient send ask lane=nobody\nclient expect HTTP/1.1 400")
    sent = p.clock.now
    p.play("client send ask left=5000m\nwait 0.6")
    assert only_life_deadline(p) > sent + 5.0 - BAD_REQUEST_PAUSE_S - 0.1


def test_a_router_that_is_not_held_up_takes_next_to_nothing_off_a_clients_time(p: Platform) -> None:
    open_connection(p)
    p.play("wait 1.0")
    sent = p.clock.now
    p.play("client send ask left=5000m\nreader expect POST")
    assert only_life_deadline(p) > sent + 5.0 - 0.1


def test_nothing_is_sent_for_a_client_that_closes_while_a_turn_goes_on(p: Platform) -> None:
    # It came and was read; while the turn went on for others, it left. The next turn heard of that.
    stream(p)
    p.play("writer send last\nclient expect 0\nwait 0.1")  # the connection to the reader is kept
    p.parties["reader"].heard = ""
    router = p.front.router
    handle = router._module.handle

    def leaving(now: float, events: list) -> list:  # type: ignore[type-arg]
        acts = handle(now, events)
        if router.requests and p.parties["client"].sock is not None:
            p.parties["client"].close()
        return acts

    router._module.handle = leaving  # type: ignore[method-assign]
    p.play("client send ask id=r2\nwait 0.3")
    assert "POST" not in p.parties["reader"].heard
    assert not router.requests


@pytest.fixture
def alone() -> Iterator[Platform]:
    """A router whose clients do not ask for the rest of a stream."""
    played = Platform(FLEET, env={"extra": ENV["extra"] | {"resume": False}})
    yield played
    played.end()


def stream(p: Platform) -> None:
    p.play(begin() + "writer send stream\nwriter send event text=one\nclient expect one")


def test_a_stream_whose_client_cannot_go_on_elsewhere_is_waited_for_longer(alone: Platform) -> None:
    # Broken off after 2.5 s, it was lost though its server hung for 3 s only.
    stream(alone)
    alone.play("wait 3.5\nwriter send event text=two\nclient expect two\nwriter send last\nclient expect 0")


def test_a_stream_whose_client_cannot_go_on_elsewhere_is_ended_before_it_has_waited_for_5_s(
    alone: Platform,
) -> None:
    stream(alone)
    began = alone.clock.now
    alone.play(f"wait {STREAM_SILENCE_NO_RESUME_S - 0.2}")
    assert not alone.parties["client"].ended
    alone.play("client expect closed")
    assert alone.clock.now - began < 5.0


def test_a_stream_whose_event_came_while_the_router_was_held_up_is_not_cut(p: Platform) -> None:
    stream(p)
    p.parties["writer"].send(b"15\r\ndata: " + json.dumps("two and a half").encode()[:13] + b"\n\n\r\n")
    p.clock.now += STREAM_SILENCE_S + 0.5
    p.turn()
    p.play("wait 1.0")
    assert not p.parties["client"].ended and "two and" in p.parties["client"].text
