"""Links between any two of a stage's parties, and what a script may do to them."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass

from yewhook.channel import Channel
from yewhook.config import Address
from yewhook.loop import Loop

from .http_connections import HOST, Listener, reset_connection

MAX_DATAGRAM_BYTES = 2048  # bytes of a datagram
RESUME_DELAY_S = (
    0.02  # s in which a party that comes back finds out which of its connections have ended meanwhile
)


@dataclass(slots=True)
class LinkState:
    """What becomes of what travels: towards the far end, and back."""

    forward: bool = True
    backward: bool = True
    delay_s: float = 0.0  # s, both ways
    hung: bool = False  # the far end reads and writes nothing; its connections stay open


class TcpLink:
    """A relay that listens in a party's place. Silenced, it takes bytes and passes nothing on; new
    connections come up and stay silent."""

    def __init__(self, loop: Loop, target: Callable[[], Address]) -> None:
        self.state = LinkState()
        self._loop, self._target = loop, target
        self._connections: list[RelayedConnection] = []
        self._listener: Listener | None = Listener(loop, self._on_accepted)
        self.address = self._listener.address

    def power_off(self) -> None:
        """Nobody is there any more: what is open breaks, and connects are refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.reset_connections()

    def isolate(self) -> None:
        """The far end's machine is cut off: what is open breaks, and new connections do not come up."""
        if self._listener is not None:
            self._listener.block()
        self.reset_connections()

    def hang(self) -> None:
        """The far end hangs: it reads, writes and accepts nothing, and what is open stays open."""
        self.state.hung = True
        if self._listener is not None:
            self._listener.pause_accepting()
        for connection in self._connections:
            connection.hang()

    def resume(self) -> None:
        """The far end goes on, with what has come meanwhile on connections that are still open."""
        self.state.hung = False
        for connection in self._connections:
            connection.resume()
        if self._listener is not None:
            self._listener.resume_accepting()

    def reconnect(self) -> None:
        """The far end can be reached again."""
        if self._listener is not None:
            self._listener.unblock()

    def power_on(self) -> None:
        """The far end is there again, at the same address."""
        if self._listener is None:
            self._listener = Listener(self._loop, self._on_accepted, self.address)

    def _on_accepted(self, sock: socket.socket) -> None:
        self._connections = [connection for connection in self._connections if not connection.closed]
        connection = RelayedConnection(self._loop, self.state, sock, self._target())
        self._connections.append(connection)
        connection.resume()  # it may have waited in the kernel's queue, and have ended there

    def reset_connections(self) -> None:
        """Break all that is open now; what comes later is passed on."""
        for connection in self._connections:
            connection.reset()
        self._connections.clear()

    def close(self) -> None:
        self.power_off()


class RelayedConnection:
    """One connection through a link."""

    def __init__(self, loop: Loop, state: LinkState, sock: socket.socket, target: Address) -> None:
        self._loop, self._state, self._sock = loop, state, sock
        self.closed = False
        # While the far end hangs, and when it wakes: what has come for it.
        self._buffered: bytearray | None = None
        self._client_channel = Channel(
            loop, sock, ChannelCallbacks(lambda data: self._relay(data, True), self._on_lost)
        )
        try:
            self._server_channel = Channel.connect(
                loop, target, ChannelCallbacks(lambda data: self._relay(data, False), self._on_lost)
            )
        except OSError:
            self.reset()

    def _relay(self, data: bytes, forward: bool) -> None:
        if not (self._state.forward if forward else self._state.backward):
            return
        if forward and self._buffered is not None:
            self._buffered += data
            return
        to = self._server_channel if forward else self._client_channel
        if self._state.delay_s:
            self._loop.after(self._state.delay_s, lambda: to.send(data))
        else:
            to.send(data)

    def _on_lost(self, error: OSError | None) -> None:
        if self.closed:
            return
        # An attempt that is given up is out no longer, though its server hangs, and a server that wakes to a
        # closed connection begins nothing for it.
        if error is not None or self._buffered is not None:
            return self.reset()
        self.closed = True
        for channel in (self._client_channel, self._server_channel):
            self._loop.after(self._state.delay_s, channel.finish)
        return None

    def hang(self) -> None:
        """Pass nothing on, either way, but what the far end wrote before: its kernel sends that."""
        self._buffered = self._buffered or bytearray()
        if hasattr(self, "_server_channel"):
            self._server_channel.catch_up()
            self._server_channel.pause(True)

    def resume(self) -> None:
        """Go on; what has come for the far end is passed on where its sender is still there."""
        self._buffered = self._buffered or bytearray()
        if hasattr(self, "_server_channel"):
            self._server_channel.pause(False)
        self._loop.after(RESUME_DELAY_S, self._flush_buffered)

    def _flush_buffered(self) -> None:
        if self._state.hung:  # again
            return
        kept, self._buffered = self._buffered, None
        if kept and not self.closed:
            self._relay(bytes(kept), True)

    def reset(self) -> None:
        if not self.closed:
            self.closed = True
            reset_connection(self._sock, self._client_channel)
            if hasattr(self, "_server_channel"):
                self._server_channel.abort()


@dataclass(slots=True)
class ChannelCallbacks:
    """One end's owner."""

    received: Callable[[bytes], None]
    lost: Callable[[OSError | None], None]

    def connected(self) -> None:
        """What has come meanwhile goes out."""

    def drained(self) -> None:
        """Bytes are few here."""


class PeerNetwork:
    """Datagrams among a tier's instances. Each instance sees every other one at an address of its own, and
    one address for all; which of them hears which can be cut, one way too."""

    def __init__(self, loop: Loop, count: int) -> None:
        self._loop = loop
        self.blocked: set[tuple[int, int]] = set()  # sender, receiver
        self._unicast_sockets = {(i, j): self._socket(i, j) for i in range(count) for j in range(count)}
        self._broadcast_sockets = [self._socket(i, None) for i in range(count)]
        self.listen_addresses = _free_addresses(
            count
        )  # where each instance is to listen; drawn last, or one of ours takes it

    def _socket(self, sender: int, receiver: int | None) -> socket.socket:
        """Where an instance finds another one, or all of them; that one's datagrams come from here, too."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((HOST, 0))
        sock.setblocking(False)
        self._loop.watch(sock, selectors.EVENT_READ, lambda _: self._relay(sock, sender, receiver))
        return sock

    def peers(self, instance: int) -> list[Address]:
        """The addresses of all, as one instance sees them."""
        return [self._unicast_sockets[instance, j].getsockname() for j in range(len(self._broadcast_sockets))]

    def broadcast_address(self, instance: int) -> Address:
        address: Address = self._broadcast_sockets[instance].getsockname()
        return address

    def _relay(self, sock: socket.socket, sender: int, receiver: int | None) -> None:
        while True:
            try:
                data, came_from = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            if came_from != self.listen_addresses[sender]:
                continue
            others = [j for j in range(len(self.listen_addresses)) if j != sender]
            for other in others if receiver is None else [receiver]:
                if (sender, other) not in self.blocked:
                    self._unicast_sockets[other, sender].sendto(data, self.listen_addresses[other])

    def close(self) -> None:
        for sock in (*self._unicast_sockets.values(), *self._broadcast_sockets):
            self._loop.watch(sock, 0, lambda _: None)
            sock.close()


def _free_addresses(count: int) -> list[Address]:
    """So many addresses that nobody has now."""
    with ExitStack() as held:
        socks = [held.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)]
        for sock in socks:
            sock.bind((HOST, 0))
        return [sock.getsockname() for sock in socks]
