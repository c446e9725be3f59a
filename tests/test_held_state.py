"""Held state on real connections: it is released in time even if most workers of a role do not respond."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest
from scenario import FakePeer
from settings import ENV
from test_platform import Platform, begin

from yewhook.config import ConfigError, parse_settings

WRITERS = ("writer", "w2", "w3", "w4")
LIMIT_S = 1.0  # for which state may be held, in the settings of the tests
SLACK_S = 0.3


class UnreachableListener:
    """A listener whose accept queue in the kernel is full: connections to it hang, as if it were cut off."""

    def __init__(self, party: FakePeer) -> None:
        assert party.listener is not None
        self.party, self.listener, self.fillers = party, party.listener, list[socket.socket]()
        party.listener = None
        self.listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(party.address)
            self.fillers.append(filler)

    def close(self) -> None:
        for sock in (self.listener, *self.fillers):
            sock.close()


@pytest.fixture
def p() -> Iterator[Platform]:
    played = Platform({"reader": "prefill"} | dict.fromkeys(WRITERS, "decode"))
    yield played
    played.end()


def reader_receives(p: Platform, text: str, within: float) -> bool:
    """Whether the reader receives the text within so many seconds of the router's clock."""
    end = p.clock.now + within
    while text not in p.parties["reader"].heard and p.clock.now < end:
        p.wait(0.01)
    return text in p.parties["reader"].heard


def hold_state(p: Platform, seconds: float) -> float:
    """End a read while all writers drain, and let them run again so many seconds later.

    Returns when the read ended.
    """
    p.play("discovery send watch")
    generation = 2
    for name in WRITERS:
        p.play(f"discovery send list name={name} state=draining generation={generation}")
        generation += 1
    p.play("wait 0.05\nclient send ask\nreader expect POST\nreader send read")
    p.until(
        lambda: any(record.held.may_exist for record in p.front.router.requests.values()),
        "the read has ended",
    )
    ended = p.clock.now
    p.wait(seconds)
    for name in WRITERS:
        p.play(f"discovery send list name={name} state=up generation={generation}")
        generation += 1
    return ended


def test_a_state_is_let_go_in_time_though_no_writer_can_be_connected_to(p: Platform) -> None:
    # Failed connection attempts, 0.25 s each after 0.5 s without a writer, used to stop the time limit.
    unreachable = [UnreachableListener(p.parties[name]) for name in WRITERS]
    ended = hold_state(p, 0.45)
    assert reader_receives(p, "DELETE /internal/reservations/r1", LIMIT_S + SLACK_S)
    assert p.clock.now - ended <= LIMIT_S
    for listener in unreachable:
        listener.close()


def test_a_silent_worker_that_was_heard_last_does_not_keep_a_release(p: Platform) -> None:
    # Every writer accepts the call and does not answer. Writers used to be called first, one after another.
    p.play("client send ask\nreader expect POST\nreader send read")
    p.until(lambda: any(p.parties[name].heard for name in WRITERS), "a writer has been called")
    p.play("client close")
    left = p.clock.now
    assert reader_receives(p, "DELETE /internal/reservations/r1", LIMIT_S + SLACK_S)
    assert p.clock.now - left <= LIMIT_S / 2
    p.play("reader send status status=204")
    p.until(lambda: not p.front.releases.busy, "let go")


@pytest.mark.parametrize("status", ["404", "500", "200"])
def test_an_answer_to_a_release_is_taken_for_what_it_is(p: Platform, status: str) -> None:
    p.play("client send ask\nreader expect POST\nclient close")
    others = [name for name in p.parties if name != "reader"]
    p.until(lambda: any("DELETE" in p.parties[name].heard for name in others), "a release")
    first = next(name for name in others if "DELETE" in p.parties[name].heard)
    p.play(f"{first} send status status={status}")
    if status == "200":
        p.until(lambda: not p.front.releases.busy, "confirmed")
    else:
        p.until(lambda: sum("DELETE" in p.parties[name].heard for name in p.parties) > 1, "another worker")


def test_a_garbled_answer_to_a_release_confirms_nothing(p: Platform) -> None:
    p.play("client send ask\nreader expect POST\nclient close")
    others = [name for name in p.parties if name != "reader"]
    p.until(lambda: any("DELETE" in p.parties[name].heard for name in others), "a release")
    first = next(name for name in others if "DELETE" in p.parties[name].heard)
    p.play(f"{first} send raw text=nonsense")
    p.until(lambda: sum("DELETE" in p.parties[name].heard for name in p.parties) > 1, "another worker")
    assert p.front.releases.busy


def test_a_worker_that_leaves_the_list_is_no_longer_asked(p: Platform) -> None:
    p.play("discovery send watch")
    for generation, name in enumerate(("reader", *WRITERS[1:]), 2):
        p.play(f"discovery send list name={name} state=removed generation={generation}")
    p.play("wait 0.1")
    assert [c.address for c in p.front._release_candidates()] == [p.parties["writer"].address]


def test_the_remaining_time_is_that_when_the_request_is_written(p: Platform) -> None:
    # The remaining time used to be that of the decision: up to a whole connect timeout too long.
    p.play("client send ask left=5000m")
    while not any(record.attempt_out for record in p.front.router.requests.values()):
        p.service.loop.run_turn(0.01)
    decided = p.clock.now
    p.clock.now += 0.2  # the time to connect
    p.play("reader expect X-Remaining: ")
    remaining = int(p.parties["reader"].text.partition("u\r\n")[0]) / 1e6
    record = next(iter(p.front.router.requests.values()))
    assert record.attempt_out is not None and record.attempt_out.timer is not None
    assert remaining <= record.attempt_out.timer.at - decided - 0.2 + 0.001


@pytest.mark.parametrize("value", [0, -5, "soon", True, float("inf"), float("nan"), [1000]])
def test_a_senseless_time_to_let_go_is_refused_by_key_value_and_expectation(value: object) -> None:
    with pytest.raises(ConfigError) as refused:
        parse_settings(ENV | {"extra": ENV["extra"] | {"let-go-by-ms": value}})
    text = str(refused.value)
    assert "extra.let-go-by-ms" in text and repr(value) in text and "milliseconds over 0" in text


@pytest.mark.parametrize("extra", [{}, {"let-go-by-ms": None}])
def test_without_a_time_to_let_go_requests_are_served(extra: dict[str, None]) -> None:
    without = {key: value for key, value in ENV["extra"].items() if key != "let-go-by-ms"}
    p = Platform({"reader": "prefill", "writer": "decode"}, env={"extra": without | extra})
    try:
        p.play(begin() + "writer send stream\nwriter send event text=a\nclient expect a")
    finally:
        p.end()
