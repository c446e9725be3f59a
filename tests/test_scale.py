"""A tier of 1,024 routers and 1,024 workers: nothing is truncated, and time and memory are bounded."""

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
MAX_PAUSE_S = 1.0  # of the event loop; about 0.1 s on an idle machine
MAX_MEMORY_BYTES = 16 << 20  # on top of a router with two workers
CHANGES = 200  # to a list, one after another
# Of CPU time; about 0.0004 s, and 0.005 s while each change made a pass over the whole list.
MEAN_CHANGE_S = 0.002
RELEASES = 200  # begun in one turn
MESSAGES_AT_A_TIME = 64  # fewer than fit into the receive buffer of a socket


def entries(address: str) -> list[dict[str, object]]:
    """The discovery entries of `COUNT` workers, all at one address."""
    return [
        {
            "instanceId": f"many-{n}", "hostPort": address, "zone": "hall-a", "cell": n // 6,
            "machineType": KINDS[n % 3], "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
        }
        for n in range(COUNT)
    ]  # fmt: skip


LISTED = entries("127.0.0.1:1")


def take_list(p: Platform) -> float:
    """Send one of 1,024 routers a list of as many workers; returns its loop's longest pause in seconds."""
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
    """One of `COUNT` routers, with a reader and a writer."""
    played = Platform({"reader": "prefill", "writer": "decode"}, routers=COUNT)
    yield played
    played.end()


def test_a_list_of_1024_workers_is_taken_in_one_message(p: Platform) -> None:
    longest = take_list(p)
    print(f"longest pause {longest:.3f} s")
    assert len(p.front.worker_list.running_addresses()) == COUNT + 2
    assert len(p.front._release_candidates()) == COUNT + 2
    assert longest < MAX_PAUSE_S
    p.play("client send ask\nreader expect POST")  # all workers have the same address


def test_a_list_of_1024_workers_takes_a_bounded_amount_of_memory(p: Platform) -> None:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    take_list(p)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"memory {used / 2**20:.1f} MB")
    assert used < MAX_MEMORY_BYTES


def test_a_hand_over_holds_1024_workers_and_what_was_learned_of_each() -> None:
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


def test_gossip_about_1024_servers_is_kept_and_sent() -> None:
    gossip = Gossip(wire.settings(ENV | {"instances": COUNT, "caps": {"may-tell": True}}))
    gossip.set_servers(range(1, COUNT + 1))
    for server in range(1, COUNT + 1):
        message = gossip.failure_message(server, 10.0)
        assert message is not None and len(message) <= 256
        gossip.receive(message, 10.0)
    assert all(gossip.is_suspect(server, 10.1) for server in range(1, COUNT + 1))


def test_messages_of_1024_routers_are_attributed_to_their_senders() -> None:
    loop, received = Loop(Log("test")), list[tuple[int, bytes]]()
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(COUNT)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            listen = free.getsockname()
        addresses = tuple(sock.getsockname() for sock in socks)
        peers = Peers(loop, listen, addresses, listen, lambda number, data: received.append((number, data)))
        for first in range(0, COUNT, MESSAGES_AT_A_TIME):
            for number in range(first, first + MESSAGES_AT_A_TIME):
                socks[number].sendto(number.to_bytes(2, "big"), listen)
            end = time.monotonic() + 5.0
            while len(received) < first + MESSAGES_AT_A_TIME and time.monotonic() < end:
                loop.run_turn(0.01)
        peers.close()
        assert received == [(number, number.to_bytes(2, "big")) for number in range(COUNT)]
    finally:
        for sock in socks:
            sock.close()


def test_a_release_among_1024_workers_ends_with_the_first_confirmation() -> None:
    call = ReleaseCall(0.0, 1.0)
    fleet = [Candidate(("127.0.0.1", n), group=n % 9, last_heard=-float(n)) for n in range(COUNT)]
    called = list(call.advance(Ranking(fleet), 0.0).call) + list(call.advance(Ranking(fleet), 0.15).call)
    end = call.call_ended(called[1], True, 0.16)
    assert len(called) == 2 and end is not None and end.result is Result.CONFIRMED


def test_200_releases_at_once_among_1024_workers_do_not_block_the_loop(p: Platform) -> None:
    # Each step of each release used to rank all workers anew.
    take_list(p)
    front, began = p.front, time.process_time()
    for number in range(RELEASES):
        now = p.clock.now
        front.releases.release(f"r{number}", now, now + 0.2, lambda: None)
    taken = time.process_time() - began
    print(f"{RELEASES} releases among {COUNT} workers: {taken:.3f} s")
    assert taken < MAX_PAUSE_S / 2


@pytest.mark.parametrize("indent", [None, 1, 4])
def test_an_indented_list_of_3200_workers_is_parsed_in_bounded_time(p: Platform, indent: int | None) -> None:
    # Each line of an indented list used to be appended by copying all lines before it.
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
    assert taken < MAX_PAUSE_S / 2


def test_the_cost_of_a_change_does_not_grow_with_the_list_of_1024_workers(p: Platform) -> None:
    # Each change used to make a pass over all workers in the worker list, the connection pool and `hopshed`.
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
    assert taken < CHANGES * MEAN_CHANGE_S
    assert len(p.front.worker_list.running_addresses()) == COUNT + 2
