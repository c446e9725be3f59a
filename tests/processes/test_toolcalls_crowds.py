"""Hundreds of connections with large messages, at a tool-calls front with the least memory."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from toolcalls_process import router_process

from yewhook.config import Address
from yewhook.jsonrpc import MAX_MESSAGE_BYTES
from yewlab.processes.instances import Process

LEAST_MEMORY_MB = 32
SOCKETS = 1024
CONNECTIONS = 400
PING_TIMEOUT_S = 1.0  # of the agent's probes
PINGS = 40
PING_INTERVAL_S = 0.1
SEND_SIZE_BYTES = 65536
LONGEST_TURN_S = 0.15
PING = b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n'
MESSAGE_START = b'{"jsonrpc":"2.0","id":1,"method":"chat/completions","params":{"text":"'
UNFINISHED_MESSAGE = MESSAGE_START + b"x" * (MAX_MESSAGE_BYTES - 10_000)
SMALL_OBJECTS = b'{"jsonrpc":"2.0","id":1,"method":"ping","params":{"all":[' + b"{}," * 165_000 + b"{}]}}\n"


@pytest.fixture
def router(tmp_path: Path) -> Iterator[tuple[Process, Address]]:
    """A process with both fronts, and the address of its tool-calls front."""
    limits = {"memory_mb": LEAST_MEMORY_MB, "sockets": SOCKETS}
    with router_process(tmp_path, {}, limits) as process_and_address:
        yield process_and_address


def ping_s(address: Address) -> float:
    """How long a ping on a new connection takes; raises OSError after the timeout."""
    began = time.monotonic()
    with socket.create_connection(address, PING_TIMEOUT_S) as sock:
        sock.sendall(PING)
        assert b'"result"' in sock.recv(4096)
    return time.monotonic() - began


def send_some(sock: socket.socket, unsent: memoryview) -> memoryview:
    """Send what the router takes now; returns the rest, nothing where it has closed the connection."""
    try:
        return unsent[sock.send(unsent[:SEND_SIZE_BYTES]) :]
    except BlockingIOError:
        return unsent
    except OSError:
        return unsent[:0]


# Guards against memory that only one connection's messages are limited by, and against turns that parse them.
@pytest.mark.parametrize("message", [UNFINISHED_MESSAGE, SMALL_OBJECTS], ids=["unfinished", "small objects"])
def test_large_messages_of_hundreds_of_clients_neither_exceed_the_memory_nor_keep_others_waiting(
    router: tuple[Process, Address], message: bytes
) -> None:
    process, address = router
    clients = [socket.create_connection(address) for _ in range(CONNECTIONS)]
    unsent = [memoryview(message)] * CONNECTIONS
    for sock in clients:
        sock.setblocking(False)
    slowest_s = 0.0
    for _ in range(PINGS):
        began = time.monotonic()
        while time.monotonic() - began < PING_INTERVAL_S:
            unsent = [send_some(sock, rest) for sock, rest in zip(clients, unsent, strict=True)]
        slowest_s = max(slowest_s, ping_s(address))
    peak = process.peak_resident_bytes
    for sock in clients:
        sock.close()
    assert process.running and peak < LEAST_MEMORY_MB << 20
    assert slowest_s < PING_TIMEOUT_S and process.longest_turn_s < LONGEST_TURN_S
