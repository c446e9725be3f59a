"""Messages between routers: encoding, their effect on the module's decisions, and the datagram socket."""

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
from hopshed.gossip import FAILURE_INTERVAL_S, MAX_SERVERS, SUSPECT_FOR_S, WAIT_INTERVAL_S, Gossip
from hopshed.interface import Effect, Log, Outcome, PeerSaid, Send, Tell
from yewhook.loop import Loop
from yewhook.platform.peers import Peers


def gossip(**changes: Any) -> Gossip:
    """The gossip of one of 40 routers, where the settings do not say otherwise."""
    return Gossip(settings(**(dict[str, Any](may_tell=True, instances=40) | changes)))


def test_a_server_that_failed_at_another_router_is_suspect_for_a_while() -> None:
    message = gossip().failure_message(7, 100.0)
    assert message is not None
    other = gossip()
    other.receive(message, 100.0)
    assert other.is_suspect(7, 100.0 + SUSPECT_FOR_S - 0.1) and not other.is_suspect(
        7, 100.0 + SUSPECT_FOR_S + 0.1
    )
    assert not other.is_suspect(8, 100.0)


def test_a_failure_that_was_just_reported_is_not_reported_again() -> None:
    one, other = gossip(), gossip()
    message = one.failure_message(7, 100.0)
    assert (
        message
        and one.failure_message(7, 100.0 + FAILURE_INTERVAL_S - 0.1) is None
        and one.failure_message(7, 100.0 + FAILURE_INTERVAL_S + 0.1)
    )
    other.receive(message, 100.1)
    assert other.failure_message(7, 100.2) is None and other.failure_message(8, 100.2)


@pytest.mark.parametrize("changes", [{"may_tell": False}, {"instances": 1}])
def test_no_message_is_due_without_permission_or_without_other_routers(changes: dict[str, object]) -> None:
    assert gossip(**changes).failure_message(7, 100.0) is None


@given(
    st.binary(max_size=300)
    | st.binary(min_size=8, max_size=9).map(lambda data: b"F" + data)
    | st.binary(min_size=9, max_size=9).map(lambda data: b"S" + data)
)
def test_a_message_is_decoded_completely_or_rejected(data: bytes) -> None:
    receiver = gossip()
    try:
        decoded = receiver.receive(data, 100.0)
    except ValueError:
        assert (len(data), data[:1]) not in [(9, b"F"), (10, b"S")]
    else:
        assert decoded or receiver.is_suspect(int.from_bytes(data[1:], "big"), 100.0)


@given(st.integers(0, 2**64 - 1), st.floats(0.0, 100.0))
def test_a_wait_is_decoded_as_sent_and_reported_by_one_router_at_a_time(server: int, wait: float) -> None:
    one, other = gossip(), gossip()
    message = one.slow_message(server, wait, 100.0)
    assert message and one.slow_message(server, wait, 100.0 + WAIT_INTERVAL_S / 2) is None
    received = other.receive(message, 100.1)
    assert received and received[0] == server and received[1] == pytest.approx(min(wait, 25.5), abs=0.051)
    assert other.slow_message(server, wait, 100.2) is None and other.slow_message(
        server, wait, 100.2 + WAIT_INTERVAL_S
    )
    assert not other.is_suspect(server, 100.2)


def test_entries_for_unknown_servers_are_bounded() -> None:
    receiver = gossip()
    for n in range(4 * MAX_SERVERS):
        receiver.receive(
            (b"F" if n % 2 else b"S") + n.to_bytes(8, "big") + (b"" if n % 2 else b"\x0a"), n / 10
        )
    assert len(receiver._failure_received_at) + len(receiver._wait_reported_at) <= MAX_SERVERS + 1


def chosen_writers(reported: bool, requests: int = 24) -> list[int]:
    """Writers that unsafe requests are sent to, where a failure at server 11 has or has not been reported."""
    bench = Bench(effect=Effect.UNSAFE, may_tell=True, instances=40)
    if reported:
        message = gossip().failure_message(11, bench.now)
        assert message is not None
        bench.do(PeerSaid(3, message))
    for n in range(requests):
        bench.arrive(f"r{n}")
        bench.read(f"r{n}")
        bench.end(f"r{n}", Outcome.OK, after=0.1, closed=True)
    return [bench.attempts[f"r{n}"][1] for n in range(requests)]


def test_unsafe_requests_avoid_a_server_that_failed_at_another_router() -> None:
    assert 11 in chosen_writers(reported=False)
    assert set(chosen_writers(reported=True)) == {12, 13}


def test_a_failure_is_reported_and_a_suspect_that_is_the_only_server_is_used() -> None:
    bench = Bench(fleet=(server(1, 0), server(11, 1)), effect=Effect.UNSAFE, may_tell=True, instances=40)
    bench.arrive("r1")
    bench.read("r1")
    (tell,) = only(bench.end("r1", Outcome.FAILED), Tell)
    bench = Bench(fleet=(server(1, 0), server(11, 1)), effect=Effect.UNSAFE, may_tell=True, instances=40)
    bench.do(PeerSaid(0, tell.data))
    bench.arrive("r2")
    assert [a.server for a in only(bench.read("r2"), Send)] == [11]


def test_a_long_wait_is_known_to_other_routers_before_they_wait() -> None:
    """Without the message each of 40 routers let its reads time out at an overloaded reader."""
    one = Bench(may_tell=True, instances=40)
    one.arrive("a", session="s")
    home = one.attempts["a"][0]
    (tell,) = only(one.end("a", Outcome.TIMED_OUT, after=1.5), Tell)
    for informed in (False, True):
        bench = Bench(may_tell=True, instances=40, seed=2)
        if informed:
            bench.do(PeerSaid(0, tell.data))
        bench.arrive("b", session="s")  # the same session has the same home at both
        assert (bench.attempts["b"][0] == home) is not informed


def test_an_unknown_message_is_ignored_and_logged() -> None:
    bench = Bench(may_tell=True)
    (entry,) = only(bench.do(PeerSaid(5, b"?!")), Log)
    assert entry.text.startswith("router 5 sent a message of 2 bytes")
    assert only(bench.arrive("r1"), Send)


def test_messages_on_the_simulator_wire() -> None:
    message = gossip().failure_message(2**40, 1.0)
    assert message is not None
    row = wire.encode_action("router/1", Tell(message))
    assert row.startswith('["share","router/1","all","')
    payload = row.split('"')[-2]
    assert wire.event(["peer-data", "router/2", 1, payload], []) == PeerSaid(1, message)


@pytest.fixture
def peer_socket() -> Iterator[tuple[Loop, Peers, socket.socket, list[tuple[int, bytes]]]]:
    """A router's loop and message socket, the socket of another router, and the messages received."""
    received: list[tuple[int, bytes]] = []
    other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    other.bind(("127.0.0.1", 0))
    other.settimeout(5.0)
    loop = Loop(RecordingLog())
    peers = Peers(
        loop, ("127.0.0.1", 0), (("127.0.0.1", 1), other.getsockname()), other.getsockname(),
        lambda number, data: received.append((number, data)),
    )  # fmt: skip
    yield loop, peers, other, received
    peers.close()
    other.close()
    assert loop.sockets == 0


def test_each_turn_reads_the_messages_that_have_arrived(
    peer_socket: tuple[Loop, Peers, socket.socket, list[tuple[int, bytes]]],
) -> None:
    # Messages used to wait for up to 20 ms although turns took place.
    loop, peers, other, received = peer_socket
    peers.tell(b"Fabcdefgh")
    _, listening = other.recvfrom(300)
    for number in range(1, 6):
        other.sendto(b"Fabcdefgh", listening)
        loop.run_turn(0.0)
        assert len(received) == number


def test_messages_go_to_all_routers_and_arrive_with_the_senders_number(
    peer_socket: tuple[Loop, Peers, socket.socket, list[tuple[int, bytes]]],
) -> None:
    loop, peers, other, received = peer_socket
    peers.tell(b"F12345678")
    data, listening = other.recvfrom(300)
    assert data == b"F12345678"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(b"F87654321", listening)  # not a router's address: ignored
    other.sendto(b"Fabcdefgh", listening)
    deadline = time.monotonic() + 5.0
    while not received and time.monotonic() < deadline:
        loop.run_turn(0.05)
    assert received == [(1, b"Fabcdefgh")]


def test_a_message_over_the_permitted_length_is_rejected(
    peer_socket: tuple[Loop, Peers, socket.socket, list[tuple[int, bytes]]],
) -> None:
    with pytest.raises(ValueError, match="at most 256"):
        peer_socket[1].tell(b"x" * 257)
