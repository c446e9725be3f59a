"""Tests of the discovery watch: each way in which a call can end, and messages of overlapping calls.

A change counts as known 6 s after discovery has it, whatever became of the call that should have brought it.
"""

from __future__ import annotations

import contextlib
import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

import pytest
from scenario import STEP_S, FakePeer
from test_platform import FLEET, Platform, chunk

from yewhook.backoff import Backoff
from yewhook.platform.front import FIRST_LIST_TIMEOUT_S

LIST_KNOWN_AFTER_S = 6.0  # after which a change counts as known
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture(params=[4, 40, 200])
def tier(request: pytest.FixtureRequest) -> Iterator[Platform]:
    """A router in a tier of several sizes."""
    platform = Platform(FLEET, routers=request.param)
    yield platform
    platform.end()


def answer_first_call(p: Platform) -> None:
    """Answer the first call."""
    p.play("discovery expect GET /v1/servers?watch=1&after=1\ndiscovery send watch\ndiscovery send empty")
    p.wait(0.1)
    assert p.front.watch.answered


def drain(p: Platform, generation: str = "2") -> bytes:
    """Encode a list in which the reader drains."""
    return p.listed("reader", "draining", generation)


def answer_calls(p: Platform, seconds: float, answer: Callable[[int], bool]) -> float | None:
    """Run for some seconds and pass the number of each further call of discovery to `answer`.

    Returns the seconds until `answer` says that it has answered one, or None.
    """
    party, began = p.parties["discovery"], p.clock.now
    seen = party.connections
    while p.clock.now - began < seconds:
        p.turn(STEP_S)
        if party.connections > seen and "\r\n\r\n" in party.text:
            seen = party.connections
            if answer(seen - 1):
                return p.clock.now - began
    return None


def reset(p: Platform) -> None:
    """The connection is reset."""
    p.play("discovery reset")


def closed(p: Platform) -> None:
    """The connection is closed in the middle of the response."""
    p.play("discovery close")


def silent(p: Platform) -> None:
    """Nothing more arrives on a connection that stays open."""


def garbled(p: Platform) -> None:
    """A message is not JSON."""
    p.parties["discovery"].send(chunk('{"generation": 2, "instances": [}\n'))


def not_an_object(p: Platform) -> None:
    """A message is JSON but not an object."""
    p.parties["discovery"].send(chunk("[]\n"))


def bad_chunk(p: Platform) -> None:
    """The chunked encoding is malformed."""
    p.parties["discovery"].send(b"zz\r\n")


def ended(p: Platform) -> None:
    """The response is ended with the last chunk."""
    p.parties["discovery"].send(b"0\r\n\r\n")


def incomplete(p: Platform) -> None:
    """A message stops after its first line, and an empty line follows."""
    p.parties["discovery"].send(chunk('{"generation": 2,\n') + chunk("\n"))


ENDINGS = [reset, closed, silent, garbled, not_an_object, bad_chunk, ended, incomplete]


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("second", ["answered", "refused", "silent", "reset"])
def test_however_a_call_and_the_next_one_end_a_drain_is_known_in_time(
    tier: Platform, ending: Callable[[Platform], None], second: str
) -> None:
    # One of 200 routers waited for up to 27 s after a reset, and sent requests to draining workers meanwhile.
    p = tier
    answer_first_call(p)
    ending(p)
    party = p.parties["discovery"]
    failed = 0

    def answer(number: int) -> bool:
        nonlocal failed
        if second != "answered" and not failed:
            failed = number
            if second == "refused":
                party.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            elif second == "reset":
                p.play("discovery reset")
            return False
        party.send(HEAD + drain(p))
        return True

    p.parties["client"].text = ""
    assert answer_calls(p, LIST_KNOWN_AFTER_S - 0.1, answer) is not None
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503")
    assert "POST" not in p.parties["reader"].heard


def test_a_call_that_says_nothing_stays_open_beside_the_next_one() -> None:
    # A call that is closed and opened again goes to the end of discovery's queue, but one that is lost is
    # never answered, so a second call is opened beside the first.
    p = Platform(FLEET, routers=200)
    answer_first_call(p)
    party = p.parties["discovery"]
    assert answer_calls(p, 4.0, lambda number: True) is not None
    first = party.sock
    assert answer_calls(p, 4.0, lambda number: True) is not None
    assert first is not None and party.earlier_sockets[-1] is first
    first.sendall(HEAD + drain(p))
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503")
    p.play("discovery expect closed")
    p.end()


def test_a_watch_that_speaks_is_not_opened_again(p: Platform) -> None:
    answer_first_call(p)
    for _ in range(5):
        p.play("wait 2\ndiscovery send empty\nwait 0.01")
    assert p.parties["discovery"].connections == 1


@pytest.mark.parametrize("indent", [None, 1, 4, "\t"])
@pytest.mark.parametrize("cut", [1, 50, 100_000])
def test_lists_may_be_indented_and_split_anywhere(p: Platform, indent: int | None, cut: int) -> None:
    answer_first_call(p)
    entries = [p.entry("reader", "draining"), p.entry("writer", "up") | {"weight": 2.5}]
    message = {"generation": 7, "reset": True, "instances": entries}
    text = chunk(json.dumps(message, indent=indent) + "\n") + chunk("\n")
    for begin in range(0, len(text), cut):
        p.parties["discovery"].send(text[begin : begin + cut])
        p.turn(0.0, 0.0)
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503")
    assert p.front.watch.generation == 7 and p.parties["discovery"].connections == 1


def test_at_sighup_the_old_watch_tells_of_changes_until_the_new_one_has_answered(p: Platform) -> None:
    # The old call was closed at once, so changes at the old address were missed until the new one answered.
    answer_first_call(p)
    p.parties["other"] = FakePeer()
    p.config = replace(p.config, discovery=p.parties["other"].address)
    p.service.reload()
    p.play("other expect GET /v1/servers?watch=1&after=0\nother send watch\nother send empty\nwait 0.1")
    assert not p.parties["discovery"].ended
    p.parties["discovery"].send(drain(p))
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503\nwait 3")
    assert not p.parties["discovery"].ended
    p.play("other expect after=0\nother send watch\nother send list name=reader generation=1\nwait 0.1")
    p.play("discovery expect closed\nlate send ask id=r2\nreader expect POST")


def test_at_sighup_a_new_address_that_refuses_is_retried_and_the_old_one_is_kept(p: Platform) -> None:
    answer_first_call(p)
    p.parties["other"] = FakePeer()
    p.config = replace(p.config, discovery=p.parties["other"].address)
    p.service.reload()
    for _ in range(2):
        p.play("other expect GET /v1/servers?watch=1&after=0\nother send status status=503\nwait 0.5")
    assert not p.parties["discovery"].ended
    p.play("other expect after=0\nother send watch\nother send list name=reader state=draining\nwait 0.1")
    p.play("discovery expect closed\nclient send ask\nclient expect HTTP/1.1 503")


def test_an_answer_that_crossed_a_later_list_does_not_undo_it(p: Platform) -> None:
    answer_first_call(p)
    party = p.parties["discovery"]
    old = party.sock
    assert old is not None and answer_calls(p, 4.0, lambda number: True) is not None
    old.sendall(drain(p, generation="3"))  # a late answer to the first call
    p.wait(0.1)
    party.send(HEAD + p.listed("reader", "up", "2"))  # sent before that one
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503")
    assert p.front.watch.generation == 3
    # A later list in which the worker is up again is applied.
    party.send(p.listed("reader", "up", "4"))
    p.play("wait 0.1\nlate send ask id=r2\nreader expect POST")


def test_a_process_that_starts_waits_for_discoverys_list() -> None:
    # Discovery's list counts as known from a process's first moment, and that of its configuration is older.
    p = Platform(FLEET, wait_for_list=False)
    assert not p.front.clients.mode.healthy
    p.play("discovery expect GET\ndiscovery send watch")
    p.parties["discovery"].send(drain(p))
    p.play("wait 0.05\nclient send get path=/healthz\nclient expect 200\nclient send ask\nclient expect 503")
    assert "POST" not in p.parties["reader"].heard
    p.end()


def test_a_process_is_ready_soon_without_an_answer_from_discovery() -> None:
    p = Platform(FLEET, wait_for_list=False)
    p.play(f"wait {FIRST_LIST_TIMEOUT_S + 0.05}\nclient send get path=/healthz\nclient expect 200")
    p.end()


@pytest.mark.parametrize("routers", [1, 4, 40, 200, 10_000])
def test_retry_delays_keep_lists_in_time(routers: int) -> None:
    for seed in range(50):
        backoff = Backoff(routers, Random(seed))
        waits = [backoff.next_delay() for _ in range(12)]
        assert max(waits) < LIST_KNOWN_AFTER_S - 1.0
        assert waits[0] + waits[1] < LIST_KNOWN_AFTER_S - 0.5  # so that a second failure is still in time


# Guards against memory that an answer of discovery takes whose head does not end.
def test_a_head_that_does_not_end_is_not_understood(p: Platform) -> None:
    p.play("discovery expect GET /v1/servers?watch=1&after=1")
    p.parties["discovery"].send(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 40_000)
    p.wait(0.1)
    assert any("the head is too large" in line for line in p.log.lines)


ENDLESS_MESSAGES = {
    "line": (chunk('{"generation":'), chunk("1")),
    "size line": (b"0", b"0"),
    "indented message": (chunk('{\n"instances":[\n'), chunk('{"a":\n1},\n')),
    "chunk of 4 GB": (b"ee6b2800\r\n", b"\n"),
    "chunk extension": (b"5;a=", b"x"),
}


# Guards against routers that wait for a message of discovery that never ends, and send to draining servers.
@pytest.mark.parametrize("kind", ENDLESS_MESSAGES)
@pytest.mark.parametrize("endless_calls", [1, 2])
def test_a_drain_is_known_in_time_though_a_message_never_ends(
    tier: Platform, kind: str, endless_calls: int
) -> None:
    p, (opening, repeated) = tier, ENDLESS_MESSAGES[kind]
    answer_first_call(p)
    party, began, seen = p.parties["discovery"], p.clock.now, 1
    assert party.sock is not None
    party.send(opening)
    endless = [party.sock]
    written_at = p.clock.now
    while p.clock.now - began < LIST_KNOWN_AFTER_S - 0.1:
        p.turn(STEP_S)
        if p.clock.now - written_at > 0.24:
            written_at = p.clock.now
            for sock in endless:
                with contextlib.suppress(OSError):
                    sock.send(repeated)
        if party.connections == seen or "\r\n\r\n" not in party.text:
            continue
        seen = party.connections
        party.send(HEAD + (opening if len(endless) < endless_calls else drain(p)))
        endless.append(party.sock)
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503")
    assert "POST" not in p.parties["reader"].heard


# Guards against lists that never arrive, since the call that brings one is closed for a further one.
@pytest.mark.parametrize("seconds", [2.0, 4.0, 8.0])
def test_a_list_of_thousands_that_is_written_slowly_arrives(p: Platform, seconds: float) -> None:
    party, began = p.parties["discovery"], p.clock.now
    entries = [p.entry("writer") | {"instanceId": f"s-{n}"} for n in range(3200)]
    entries.append(p.entry("reader", "draining"))
    message = {"generation": 5, "reset": True, "instances": entries}
    data = HEAD + chunk(json.dumps(message) + "\n")
    written: dict[socket.socket, tuple[float, int]] = {}  # socket -> when it was opened, bytes written
    while p.clock.now - began < seconds + 1.0 and p.front.watch.generation != 5:
        p.turn(STEP_S)
        if party.sock is not None and "\r\n\r\n" in party.text:
            written.setdefault(party.sock, (p.clock.now, 0))
        for sock, (opened_at, sent) in list(written.items()):
            end = int(len(data) * min(1.0, (p.clock.now - opened_at) / seconds))
            with contextlib.suppress(OSError):
                sent += sock.send(data[sent:end]) if end > sent else 0
            written[sock] = (opened_at, sent)
    assert p.front.watch.generation == 5
