"""Tests of connections that linger: they are closed where there is no room, but not before 0.3 s."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator

import pytest

from yewhook.acceptor import Acceptor, listen
from yewhook.channel import LINGER_TIMEOUT_S, Channel
from yewhook.lingering import MIN_LINGER_S
from yewhook.log import Log
from yewhook.loop import Loop
from yewhook.memory_budget import CONNECTION_BYTES

TIMEOUT_S = 5.0
TURN_S = 0.01  # waited for in a turn at most


class Refuser:
    """A server that answers each connection and finishes it, with room for two at a time."""

    def __init__(self) -> None:
        self.loop = Loop(Log("test"))
        listener = listen(("127.0.0.1", 0))
        self.address = listener.getsockname()
        self.channels: list[Channel] = []
        Acceptor(self.loop, listener, lambda: self.loop.accepted < 2, lambda: None, self._accepted)

    def _accepted(self, sock: socket.socket) -> None:
        channel = Channel(self.loop, sock, self)
        self.channels.append(channel)
        channel.send(b"refused")
        channel.finish()

    def connected(self) -> None:
        """Not recorded."""

    def drained(self) -> None:
        """Not recorded."""

    def received(self, data: bytes) -> None:
        """Not recorded."""

    def lost(self, error: OSError | None) -> None:
        """Not recorded."""

    def until(self, true: Callable[[], bool]) -> float:
        """Run turns until a condition holds; returns how long that took, in seconds."""
        began = time.monotonic()
        while not true():
            assert time.monotonic() - began < TIMEOUT_S
            self.loop.run_turn(TURN_S)
        return time.monotonic() - began


@pytest.fixture
def server() -> Iterator[Refuser]:
    """A server that is closed after the test."""
    made = Refuser()
    yield made
    for channel in made.channels:
        channel.abort()


def closed_by_shortage(server: Refuser) -> bool:
    """Whether the first connection is closed after room was made."""
    server.loop.relieve_memory()
    return server.channels[0].closed


def test_a_new_connection_takes_the_place_of_one_that_lingers(server: Refuser) -> None:
    clients = [socket.create_connection(server.address) for _ in range(2)]
    server.until(lambda: len(server.channels) == 2)
    clients.append(socket.create_connection(server.address))
    waited_s = server.until(lambda: len(server.channels) == 3)
    assert MIN_LINGER_S - TURN_S <= waited_s < LINGER_TIMEOUT_S * 2 / 3
    assert [client.recv(100) for client in clients] == [b"refused"] * 3
    for client in clients:
        client.close()


def test_connections_linger_while_there_is_room(server: Refuser) -> None:
    client = socket.create_connection(server.address)
    server.until(lambda: len(server.channels) == 1)
    began_at = server.loop.now
    server.until(lambda: server.loop.now - began_at >= 2 * MIN_LINGER_S)
    server.loop.relieve_memory()
    assert not server.channels[0].closed
    client.close()
    server.until(lambda: server.channels[0].closed)
    assert not len(server.loop.lingering)


def test_memory_is_taken_from_connections_that_linger(server: Refuser) -> None:
    client = socket.create_connection(server.address)
    server.until(lambda: len(server.channels) == 1)
    server.loop.memory.limit = CONNECTION_BYTES // 2
    server.loop.relieve_memory()
    assert not server.channels[0].closed
    closed_after_s = server.until(lambda: closed_by_shortage(server))
    assert MIN_LINGER_S - TURN_S <= closed_after_s < LINGER_TIMEOUT_S * 2 / 3
    client.close()
