"""What routers tell one another of failing servers: the words, what the module makes of them, their way."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest
from helpers import Bench, only, server, settings
from hypothesis import given
from hypothesis import strategies as st
from scenario import RecordingLog

from hopshed import wire
from hopshed.gossip import DOUBTED_FOR, KEPT, SAID_FOR, WAIT_FOR, Gossip
from hopshed.interface import Effect, Log, Outcome, PeerSaid, Send, Tell
from yewhook.loop import Loop
from yewhook.platform.peers import Peers


def gossip(**kw: Any) -> Gossip:
    return Gossip(settings(**(dict[str, Any](may_tell=True, instances=40) | kw)))


def test_a_failure_that_one_has_seen_is_doubted_by_the_others_for_a_while() -> None:
    word = gossip().failure_message(7, 100.0)
    assert word is not None
    other = gossip()
    other.receive(word, 100.0)
    assert other.is_suspect(7, 100.0 + DOUBTED_FOR - 0.1) and not other.is_suspect(
        7, 100.0 + DOUBTED_FOR + 0.1
    )
    assert not other.is_suspect(8, 100.0)


def test_nobody_repeats_what_has_just_been_said() -> None:
    one, other = gossip(), gossip()
    word = one.failure_message(7, 100.0)
    assert (
        word
        and one.failure_message(7, 100.0 + SAID_FOR - 0.1) is None
        and one.failure_message(7, 100.0 + SAID_FOR + 0.1)
    )
    other.receive(word, 100.1)
    assert other.failure_message(7, 100.2) is None and other.failure_message(8, 100.2)


@pytest.mark.parametrize("kw", [{"may_tell": False}, {"instances": 1}])
def test_nothing_is_said_where_it_is_not_permitted_or_nobody_listens(kw: dict[str, object]) -> None:
    assert gossip(**kw).failure_message(7, 100.0) is None


@given(
    st.binary(max_size=300)
    | st.binary(min_size=8, max_size=9).map(lambda data: b"F" + data)
    | st.binary(min_size=9, max_size=9).map(lambda data: b"S" + data)
)
def test_a_message_is_understood_whole_or_refused(data: bytes) -> None:
    table = gossip()
    try:
        slow = table.receive(data, 100.0)
    except ValueError:
        assert (len(data), data[:1]) not in [(9, b"F"), (10, b"S")]
    else:
        assert slow or table.is_suspect(int.from_bytes(data[1:], "big"), 100.0)


@given(st.integers(0, 2**64 - 1), st.floats(0.0, 100.0))
def test_a_wait_comes_as_it_was_told_and_is_told_by_one_router_at_a_time(server: int, wait: float) -> None:
    one, other = gossip(), gossip()
    word = one.slow_message(server, wait, 100.0)
    assert word and one.slow_message(server, wait, 100.0 + WAIT_FOR / 2) is None
    said = other.receive(word, 100.1)
    assert said and said[0] == server and said[1] == pytest.approx(min(wait, 25.5), abs=0.051)
    assert other.slow_message(server, wait, 100.2) is None and other.slow_message(
        server, wait, 100.2 + WAIT_FOR
    )
    assert not other.is_suspect(server, 100.2)


def test_words_of_servers_that_nobody_knows_do_not_pile_up() -> None:
    table = gossip()
    for n in range(4 * KEPT):
        table.receive((b"F" if n % 2 else b"S") + n.to_bytes(8, "big") + (b"" if n % 2 else b"\x0a"), n / 10)
    assert len(table._heard) + len(table._waits) <= KEPT + 1


def routed(told: bool, turns: int = 24) -> list[int]:
    """The writers that unsafe turns go to, after another router has, or has not, told of a failure at 11."""
    b = Bench(effect=Effect.UNSAFE, may_tell=True, instances=40)
    if told:
        word = gossip().failure_message(11, b.now)
        assert word is not None
        b.do(PeerSaid(3, word))
    for n in range(turns):
        b.arrive(f"r{n}")
        b.read(f"r{n}")
        b.end(f"r{n}", Outcome.OK, after=0.1, closed=True)
    return [b.attempts[f"r{n}"][1] for n in range(turns)]


def test_turns_that_cannot_be_repeated_keep_off_a_server_that_another_router_saw_failing() -> None:
    assert 11 in routed(told=False)
    assert set(routed(told=True)) == {12, 13}


def test_a_failure_is_told_and_one_server_alone_still_gets_turns() -> None:
    b = Bench(fleet=(server(1, 0), server(11, 1)), effect=Effect.UNSAFE, may_tell=True, instances=40)
    b.arrive("r1")
    b.read("r1")
    (tell,) = only(b.end("r1", Outcome.FAILED), Tell)
    b = Bench(fleet=(server(1, 0), server(11, 1)), effect=Effect.UNSAFE, may_tell=True, instances=40)
    b.do(PeerSaid(0, tell.data))
    b.arrive("r2")
    assert [a.server for a in only(b.read("r2"), Send)] == [11]


def test_a_wait_that_one_router_had_is_known_to_the_others_before_they_wait() -> None:
    """A hot reader let every read of 40 routers time out, for each had to find out by itself (join+vast)."""
    one = Bench(may_tell=True, instances=40)
    one.arrive("a", session="s")
    home = one.attempts["a"][0]
    (tell,) = only(one.end("a", Outcome.TIMED_OUT, after=1.5), Tell)
    for heard in (False, True):
        b = Bench(may_tell=True, instances=40, seed=2)
        if heard:
            b.do(PeerSaid(0, tell.data))
        b.arrive("b", session="s")  # the same hash, the same home
        assert (b.attempts["b"][0] == home) is not heard


def test_a_message_that_is_not_understood_is_passed_over_and_said() -> None:
    b = Bench(may_tell=True)
    (line,) = only(b.do(PeerSaid(5, b"?!")), Log)
    assert line.text.startswith("router 5 sent a message of 2 bytes")
    assert only(b.arrive("r1"), Send)


def test_on_the_simulators_wire() -> None:
    word = gossip().failure_message(2**40, 1.0)
    assert word is not None
    row = wire.encode_action("router/1", Tell(word))
    assert row.startswith('["share","router/1","all","')
    said = row.split('"')[-2]
    assert wire.event(["peer-data", "router/2", 1, said], []) == PeerSaid(1, word)


@pytest.fixture
def line() -> Iterator[tuple[Loop, Peers, socket.socket, list[tuple[int, bytes]]]]:
    heard: list[tuple[int, bytes]] = []
    other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    other.bind(("127.0.0.1", 0))
    other.settimeout(5.0)
    loop = Loop(RecordingLog())
    peers = Peers(
        loop, ("127.0.0.1", 0), (("127.0.0.1", 1), other.getsockname()), other.getsockname(),
        lambda number, data: heard.append((number, data)),
    )  # fmt: skip
    yield loop, peers, other, heard
    peers.close()
    other.close()
    assert loop.sockets == 0


def test_messages_go_to_all_and_come_with_the_senders_number(
    line: tuple[Loop, Peers, socket.socket, list[tuple[int, bytes]]],
) -> None:
    loop, peers, other, heard = line
    peers.tell(b"F12345678")
    data, ours = other.recvfrom(300)
    assert data == b"F12345678"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(b"F87654321", ours)  # from no router's address: it is not heard
    other.sendto(b"Fabcdefgh", ours)
    until = time.monotonic() + 5.0
    while not heard and time.monotonic() < until:
        loop.run_turn(0.05)
    assert heard == [(1, b"Fabcdefgh")]


def test_a_message_longer_than_permitted_is_never_sent(
    line: tuple[Loop, Peers, socket.socket, list[tuple[int, bytes]]],
) -> None:
    with pytest.raises(ValueError, match="at most 256"):
        line[1].tell(b"x" * 257)
