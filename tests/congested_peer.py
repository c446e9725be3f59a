"""A party whose connections come up late or take little, for tests of calls that are given up.

The kernel holds the connections up: a full accept queue, whose connections come up only when the connection
request is repeated, and a receive buffer that is too small for a prompt.
"""

from __future__ import annotations

import contextlib
import socket
import time

from scenario import FakePeer, Play

CONNECT_REPEAT_S = 1.0  # after which the kernel repeats a connection request; real time
MARGIN_S = 0.4  # real time without a byte, after which nothing more is on its way
FILLING_CONNECTIONS = 3  # more than an accept queue of length 0 holds
SMALL_RECEIVE_BUFFER_BYTES = 2048
SMALL_SEGMENT_BYTES = 536  # the sender's buffer grows with the size of a segment
LARGE_PROMPT = "x" * 200_000  # more than the buffers of such a connection hold


class CongestedPeer(FakePeer):
    """A party that can hold up connections, or what arrives on them."""

    def __init__(self, small_buffers: bool = False) -> None:
        super().__init__()
        self._fillers: list[socket.socket] = []
        assert self.listener is not None
        self.listener.setblocking(False)
        if small_buffers:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
            self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT_BYTES)

    def hold_connections(self) -> None:
        """Fill the accept queue: no further connection comes up."""
        assert self.listener is not None
        self.listener.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self._fillers.append(sock)

    @property
    def holds_connections(self) -> bool:
        """Whether the accept queue is full."""
        return bool(self._fillers)

    def let_connections_up(self) -> None:
        """Empty the accept queue and accept connections again."""
        assert self.listener is not None
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()
        with contextlib.suppress(BlockingIOError):
            while True:
                self.listener.accept()[0].close()
        self.listener.listen(16)

    def poll(self) -> None:
        """Accept and read, unless connections are held."""
        if not self.holds_connections:
            super().poll()

    def close_all(self) -> None:
        """Close everything, at the end of a test."""
        for sock in self._fillers:
            sock.close()
        super().close_all()


def watch(play: Play, seconds: float) -> None:
    """Run turns for so long in real time, with the router's clock standing still."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        play.turn(0.0, 0.01)


def let_arrive(play: Play, party: CongestedPeer) -> None:
    """Let everything arrive that the router still sends to a party."""
    party.unread = False
    if party.holds_connections:
        party.let_connections_up()
        watch(play, CONNECT_REPEAT_S)
    heard = -1
    while len(party.heard) > heard:
        heard = len(party.heard)
        watch(play, MARGIN_S)
