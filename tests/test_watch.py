"""The watch on the list of workers: each way in which a call can end, and what crosses what.

What discovery has counts as told 6 s later, whatever became of the call that should have brought it."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

import pytest
from scenario import STEP, FakePeer
from test_platform import FLEET, Platform, chunk

from yewhook.backoff import Backoff
from yewhook.platform.front import FIRST_LIST_TIMEOUT_S

TOLD = 6.0  # s after which a change counts as told
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture(params=[4, 40, 200])
def tier(request: pytest.FixtureRequest) -> Iterator[Platform]:
    platform = Platform(FLEET, routers=request.param)
    yield platform
    platform.end()


def watched(p: Platform) -> None:
    """Let the first call be answered."""
    p.play("discovery expect GET /v1/servers?watch=1&after=1\ndiscovery send watch\ndiscovery send empty")
    p.wait(0.1)
    assert p.front.watch.answered


def drain(p: Platform, generation: str = "2") -> bytes:
    return p.listed("reader", "draining", generation)


def calls(p: Platform, seconds: float, answer: Callable[[int], bool]) -> float | None:
    """Go on; each further call of discovery is shown to `answer`, by its number. When one was answered."""
    party, began = p.parties["discovery"], p.clock.now
    seen = party.connections
    while p.clock.now - began < seconds:
        p.turn(STEP)
        if party.connections > seen and "\r\n\r\n" in party.text:
            seen = party.connections
            if answer(seen - 1):
                return p.clock.now - began
    return None


def reset(p: Platform) -> None:
    p.play("discovery reset")


def closed(p: Platform) -> None:
    p.play("discovery close")


def silent(p: Platform) -> None:
    """Nothing comes any more on a connection that stays open."""


def garbled(p: Platform) -> None:
    p.parties["discovery"].send(chunk('{"generation": 2, "instances": [}\n'))


def no_object(p: Platform) -> None:
    p.parties["discovery"].send(chunk("[]\n"))


def bad_chunk(p: Platform) -> None:
    p.parties["discovery"].send(b"zz\r\n")


def ended(p: Platform) -> None:
    p.parties["discovery"].send(b"0\r\n\r\n")


def half(p: Platform) -> None:
    """A message breaks off after its first line, and words that nothing changed follow."""
    p.parties["discovery"].send(chunk('{"generation": 2,\n') + chunk("\n"))


ENDINGS = [reset, closed, silent, garbled, no_object, bad_chunk, ended, half]


@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("second", ["answered", "refused", "silent", "reset"])
def test_however_a_call_and_the_next_one_end_a_drain_is_known_in_time(
    tier: Platform, ending: Callable[[Platform], None], second: str
) -> None:
    # One of 200 routers waited for up to 27 s after a reset, and sent to workers that were told to leave.
    p = tier
    watched(p)
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
    assert calls(p, TOLD - 0.1, answer) is not None
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503")
    assert "POST" not in p.parties["reader"].heard


def test_a_call_that_says_nothing_is_waited_for_beside_the_next_one() -> None:
    # Who hangs up and asks again waits again; who waits for one call alone hears nothing if it is lost.
    p = Platform(FLEET, routers=200)
    watched(p)
    party = p.parties["discovery"]
    assert calls(p, 4.0, lambda number: True) is not None
    first = party.sock
    assert calls(p, 4.0, lambda number: True) is not None
    assert first is not None and party.earlier[-1] is first
    first.sendall(HEAD + drain(p))
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503")
    p.play("discovery expect closed")
    p.end()


def test_a_watch_that_speaks_is_not_asked_for_again(p: Platform) -> None:
    watched(p)
    for _ in range(5):
        p.play("wait 2\ndiscovery send empty\nwait 0.01")
    assert p.parties["discovery"].connections == 1


@pytest.mark.parametrize("indent", [None, 1, 4, "\t"])
@pytest.mark.parametrize("cut", [1, 50, 100_000])
def test_lists_may_be_indented_and_arrive_cut_anywhere(p: Platform, indent: int | None, cut: int) -> None:
    watched(p)
    entries = [p.entry("reader", "draining"), p.entry("writer", "up") | {"weight": 2.5}]
    message = {"generation": 7, "reset": True, "instances": entries}
    text = chunk(json.dumps(message, indent=indent) + "\n") + chunk("\n")
    for begin in range(0, len(text), cut):
        p.parties["discovery"].send(text[begin : begin + cut])
        p.turn(0.0, 0.0)
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503")
    assert p.front.watch.generation == 7 and p.parties["discovery"].connections == 1


def test_at_sighup_the_old_watch_tells_until_the_new_one_has_answered(p: Platform) -> None:
    # It was let go before: what the old address told until the new one had answered was never heard.
    watched(p)
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


def test_at_sighup_a_new_address_that_refuses_is_asked_again_and_the_old_one_is_kept(p: Platform) -> None:
    watched(p)
    p.parties["other"] = FakePeer()
    p.config = replace(p.config, discovery=p.parties["other"].address)
    p.service.reload()
    for _ in range(2):
        p.play("other expect GET /v1/servers?watch=1&after=0\nother send status status=503\nwait 0.5")
    assert not p.parties["discovery"].ended
    p.play("other expect after=0\nother send watch\nother send list name=reader state=draining\nwait 0.1")
    p.play("discovery expect closed\nclient send ask\nclient expect HTTP/1.1 503")


def test_an_answer_that_crossed_a_later_word_of_the_call_before_does_not_undo_it(p: Platform) -> None:
    watched(p)
    party = p.parties["discovery"]
    old = party.sock
    assert old is not None and calls(p, 4.0, lambda number: True) is not None
    old.sendall(drain(p, generation="3"))  # it was only late
    p.wait(0.1)
    party.send(HEAD + p.listed("reader", "up", "2"))  # said before
    p.play("wait 0.1\nclient send ask\nclient expect HTTP/1.1 503")
    assert p.front.watch.generation == 3
    # A list that begins to number anew, in which the worker is up, is another matter: nothing is held back.
    party.send(p.listed("reader", "up", "4"))
    p.play("wait 0.1\nlate send ask id=r2\nreader expect POST")


def test_a_process_that_starts_is_ready_with_discoverys_word_and_not_with_an_old_list() -> None:
    # What discovery has counts as told from a process's first moment; the list it was started with is older.
    p = Platform(FLEET, heard=False)
    assert not p.front.clients.mode.healthy
    p.play("discovery expect GET\ndiscovery send watch")
    p.parties["discovery"].send(drain(p))
    p.play("wait 0.05\nclient send get path=/healthz\nclient expect 200\nclient send ask\nclient expect 503")
    assert "POST" not in p.parties["reader"].heard
    p.end()


def test_a_process_that_discovery_does_not_answer_is_ready_soon() -> None:
    p = Platform(FLEET, heard=False)
    p.play(f"wait {FIRST_LIST_TIMEOUT_S + 0.05}\nclient send get path=/healthz\nclient expect 200")
    p.end()


@pytest.mark.parametrize("routers", [1, 4, 40, 200, 10_000])
def test_no_wait_lets_a_list_be_late(routers: int) -> None:
    for seed in range(50):
        backoff = Backoff(routers, Random(seed))
        waits = [backoff.next_delay() for _ in range(12)]
        assert max(waits) < TOLD - 1.0
        assert waits[0] + waits[1] < TOLD - 0.5  # so one failure more is in time, too
