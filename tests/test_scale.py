"""1,024 routers and 1,024 workers: nothing is cut off, and what it costs."""

from __future__ import annotations

import json
import socket
import time
import tracemalloc
from collections.abc import Iterator

import pytest
from settings import ENV
from test_platform import Platform, chunk

from hopshed import Controller, interface, wire
from hopshed.gossip import Gossip
from hopshed.handover import export_state
from yewhook.core.release_call import Candidate, Ranking, ReleaseCall, Result
from yewhook.log import Log
from yewhook.loop import Loop
from yewhook.operations import handover_encoding
from yewhook.platform.peers import Peers
from yewhook.worker_list import server_id

COUNT = 1024
KINDS = ("prefill", "decode", "mixed")
LONGEST_STOP = 1.0  # s; some 0.1 s on a quiet machine
MOST_MEMORY = 16 << 20  # bytes over that of a router with two workers
CHANGES = 200  # of a list, one after another
MEAN_CHANGE = (
    0.002  # s of the processor's time; some 0.0004 s, and 0.005 s when each was a pass over the list
)
RELEASES = 200  # that begin in one turn
MESSAGES_AT_A_TIME = 64  # fewer than the kernel keeps for a socket


def entries(address: str) -> list[dict[str, object]]:
    return [
        {
            "instanceId": f"many-{n}", "hostPort": address, "zone": "hall-a", "cell": n // 6,
            "machineType": KINDS[n % 3], "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
        }
        for n in range(COUNT)
    ]  # fmt: skip


LISTED = entries("127.0.0.1:1")


def take_list(p: Platform) -> float:
    """Have a router of 1,024 take a list of as many workers; its loop's longest stop in s."""
    p.play("discovery send watch")
    message = {"generation": 2, "reset": False, "instances": entries(p.parties["reader"].place)}
    p.parties["discovery"].send(chunk(json.dumps(message) + "\n"))
    longest = 0.0
    while len(p.front.router._module.workers) < COUNT + 2:
        began = time.perf_counter()
        p.service.loop.run_turn(0.01)
        longest = max(longest, time.perf_counter() - began)
    return longest


@pytest.fixture
def p() -> Iterator[Platform]:
    played = Platform({"reader": "prefill", "writer": "decode"}, routers=COUNT)
    yield played
    played.end()


def test_a_list_of_1024_workers_is_taken_whole_in_one_message(p: Platform) -> None:
    longest = take_list(p)
    print(f"longest stop {longest:.3f} s")
    assert len(p.front.worker_list.running_addresses()) == COUNT + 2
    assert len(p.front._release_candidates()) == COUNT + 2
    assert longest < LONGEST_STOP
    p.play("client send ask\nreader expect POST")  # all listen at the same address


def test_a_list_of_1024_workers_costs_memory_by_need(p: Platform) -> None:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    take_list(p)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"memory {used / 2**20:.1f} MB")
    assert used < MOST_MEMORY


def test_a_hand_over_holds_1024_workers_and_what_was_learnt_of_each() -> None:
    settings = wire.settings(ENV | {"instances": COUNT})
    module = Controller(settings, 1)
    servers = tuple(
        interface.Server(n, n % 3, 0, n // 6, interface.ServerState.RUNNING) for n in range(1, COUNT + 1)
    )
    module.handle(1.0, [interface.ServersListed(interface.ListKind.FULL, servers)])
    listed = handover_encoding.to_listed((server, ("127.0.0.1", 1)) for server in servers)
    handed = handover_encoding.HandOver(1.0, False, 1, listed, {}, export_state(module))
    read = handover_encoding.unpack(handover_encoding.pack(handed), 2.0)
    assert len(read.servers) == len(read.module.servers) == COUNT


def test_words_of_1024_servers_are_kept_and_told() -> None:
    words = Gossip(wire.settings(ENV | {"instances": COUNT, "caps": {"may-tell": True}}))
    words.listed(range(1, COUNT + 1))
    for server in range(1, COUNT + 1):
        told = words.failed(server, 10.0)
        assert told is not None and len(told) <= 256
        words.hear(told, 10.0)
    assert all(words.doubted(server, 10.1) for server in range(1, COUNT + 1))


def test_messages_of_1024_routers_are_known_by_their_sender() -> None:
    loop, heard = Loop(Log("test")), list[tuple[int, bytes]]()
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(COUNT)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            listen = free.getsockname()
        peers = tuple(sock.getsockname() for sock in socks)
        mine = Peers(loop, listen, peers, listen, lambda number, data: heard.append((number, data)))
        for first in range(0, COUNT, MESSAGES_AT_A_TIME):
            for number in range(first, first + MESSAGES_AT_A_TIME):
                socks[number].sendto(number.to_bytes(2, "big"), listen)
            end = time.monotonic() + 5.0
            while len(heard) < first + MESSAGES_AT_A_TIME and time.monotonic() < end:
                loop.run_turn(0.01)
        mine.close()
        assert heard == [(number, number.to_bytes(2, "big")) for number in range(COUNT)]
    finally:
        for sock in socks:
            sock.close()


def test_a_release_among_1024_workers_ends_with_the_first_that_lives() -> None:
    call = ReleaseCall(0.0, 1.0)
    fleet = [Candidate(("127.0.0.1", n), group=n % 9, heard=-float(n)) for n in range(COUNT)]
    asked = list(call.advance(Ranking(fleet), 0.0).ask) + list(call.advance(Ranking(fleet), 0.15).ask)
    end = call.answered(asked[1], True, 0.16)
    assert len(asked) == 2 and end is not None and end.result is Result.CONFIRMED


def test_hundreds_of_releases_at_once_among_thousands_of_workers_stop_no_router(p: Platform) -> None:
    # Each release, at each of its steps, listed and weighed all workers anew.
    take_list(p)
    front, began = p.front, time.process_time()
    for number in range(RELEASES):
        now = p.clock.now
        front.releases.release(f"r{number}", now, now + 0.2, lambda: None)
    taken = time.process_time() - began
    print(f"{RELEASES} releases among {COUNT} workers: {taken:.3f} s")
    assert taken < LONGEST_STOP / 2


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_a_list_of_3200_workers_over_many_lines_is_taken_as_one_on_one_line(
    p: Platform, indent: int | None
) -> None:
    # Each line of an indented list was put to all those before it, by a copy of them.
    p.play("discovery send watch")
    many = [entry | {"instanceId": f"l-{n}-{k}"} for n in range(4) for k, entry in enumerate(LISTED)][:3200]
    message = {"generation": 2, "reset": False, "instances": many}
    data = chunk(json.dumps(message, indent=indent) + "\n")
    taken = 0.0
    for first in range(0, len(data), 60_000):
        p.parties["discovery"].send(data[first : first + 60_000])
        began = time.process_time()
        p.turn(0.0, 0.01)
        taken += time.process_time() - began
    p.until(lambda: len(p.front.worker_list.running_addresses()) == 3202, "the list has been taken")
    print(f"indent {indent}: {taken:.3f} s for {len(data)} bytes")
    assert taken < LONGEST_STOP / 2


def test_changes_to_a_list_of_1024_workers_cost_their_number(p: Platform) -> None:
    # Each one made a pass over all workers in the list's translation, the pool and the module.
    take_list(p)
    taken = 0.0
    for number, old in enumerate(entries(p.parties["reader"].place)[:CHANGES]):
        gone, came = old | {"lifecycle": "removed"}, old | {"instanceId": f"new-{number}"}
        message = {"generation": 3 + number, "reset": False, "instances": [gone, came]}
        p.parties["discovery"].send(chunk(json.dumps(message) + "\n"))
        began = time.process_time()
        p.turn(0.0, 0.004)
        taken += time.process_time() - began
    last = server_id(f"new-{CHANGES - 1}")
    p.until(lambda: last in p.front.router.servers, "the last change has been taken")
    print(f"a change: {taken / CHANGES * 1000:.2f} ms")
    assert taken < CHANGES * MEAN_CHANGE
    assert len(p.front.worker_list.running_addresses()) == COUNT + 2
