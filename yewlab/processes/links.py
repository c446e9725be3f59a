"""Relays between the parties of a test bed, with faults that a script can switch on."""

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

MAX_DATAGRAM_BYTES = 2048
# A server that resumes first learns which of its connections have ended meanwhile; this is the time for it.
RESUME_DELAY_S = 0.02


@dataclass(slots=True)
class LinkState:
    """What happens to data on a link: towards the server (forward) and towards the client (backward)."""

    forward: bool = True
    backward: bool = True
    delay_s: float = 0.0  # in each direction
    hung: bool = False  # the server reads and writes nothing; its connections stay open


class TcpLink:
    """A TCP relay in front of a server.

    While the server hangs, new connections are established, but get no answer.
    """

    def __init__(self, loop: Loop, target: Callable[[], Address]) -> None:
        self.state = LinkState()
        self._loop, self._target = loop, target
        self._connections: list[RelayedConnection] = []
        self._listener: Listener | None = Listener(loop, self._on_accepted)
        self.address = self._listener.address

    def power_off(self) -> None:
        """Simulate that the server has lost power: open connections break, and new ones are refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.reset_connections()

    def isolate(self) -> None:
        """Simulate an isolated machine: open connections break, and new ones are not established."""
        if self._listener is not None:
            self._listener.block()
        self.reset_connections()

    def hang(self) -> None:
        """Simulate a server that hangs: it reads, writes and accepts nothing; open connections stay open."""
        self.state.hung = True
        if self._listener is not None:
            self._listener.pause_accepting()
        for connection in self._connections:
            connection.hang()

    def resume(self) -> None:
        """End the hang; data that arrived meanwhile is relayed on the connections that are still open."""
        self.state.hung = False
        for connection in self._connections:
            connection.resume()
        if self._listener is not None:
            self._listener.resume_accepting()

    def reconnect(self) -> None:
        """End the isolation: new connections are established again."""
        if self._listener is not None:
            self._listener.unblock()

    def power_on(self) -> None:
        """End the loss of power: the server can be reached again at the same address."""
        if self._listener is None:
            self._listener = Listener(self._loop, self._on_accepted, self.address)

    def _on_accepted(self, sock: socket.socket) -> None:
        self._connections = [connection for connection in self._connections if not connection.closed]
        connection = RelayedConnection(self._loop, self.state, sock, self._target())
        self._connections.append(connection)
        connection.resume()  # it may have waited in the accept queue, and its client may have closed it there

    def reset_connections(self) -> None:
        """Break all open connections; later ones are relayed."""
        for connection in self._connections:
            connection.reset()
        self._connections.clear()

    def close(self) -> None:
        """Stop listening and break all connections."""
        self.power_off()


class RelayedConnection:
    """One connection through a link, with a channel to the client and one to the server."""

    def __init__(self, loop: Loop, state: LinkState, sock: socket.socket, target: Address) -> None:
        self._loop, self._state, self._sock = loop, state, sock
        self.closed = False
        # While the server hangs, and until it has resumed: data for it.
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
        # An attempt that its router gives up is over although the server hangs, and a server that resumes and
        # finds the connection closed starts no work for it.
        if error is not None or self._buffered is not None:
            return self.reset()
        self.closed = True
        for channel in (self._client_channel, self._server_channel):
            self._loop.after(self._state.delay_s, channel.finish)
        return None

    def hang(self) -> None:
        """Stop relaying both ways, except data that the server wrote before, which its kernel sends."""
        self._buffered = self._buffered or bytearray()
        if hasattr(self, "_server_channel"):
            self._server_channel.catch_up()
            self._server_channel.pause(True)

    def resume(self) -> None:
        """Relay again; buffered data is delivered if the client still has the connection open."""
        self._buffered = self._buffered or bytearray()
        if hasattr(self, "_server_channel"):
            self._server_channel.pause(False)
        self._loop.after(RESUME_DELAY_S, self._flush_buffered)

    def _flush_buffered(self) -> None:
        if self._state.hung:  # hung again since
            return
        buffered, self._buffered = self._buffered, None
        if buffered and not self.closed:
            self._relay(bytes(buffered), True)

    def reset(self) -> None:
        """Break the connection on both sides."""
        if not self.closed:
            self.closed = True
            reset_connection(self._sock, self._client_channel)
            if hasattr(self, "_server_channel"):
                self._server_channel.abort()


@dataclass(slots=True)
class ChannelCallbacks:
    """The callbacks of one channel of a relayed connection."""

    received: Callable[[bytes], None]
    lost: Callable[[OSError | None], None]

    def connected(self) -> None:
        """Nothing to do: the channel sends what it has buffered."""

    def drained(self) -> None:
        """Nothing to do: there is too little data to need flow control."""


class PeerNetwork:
    """Relays datagrams between router instances.

    Each instance has one address for every other instance and one broadcast address. Every direction between
    two instances can be blocked by itself.
    """

    def __init__(self, loop: Loop, count: int) -> None:
        self._loop = loop
        self.blocked: set[tuple[int, int]] = set()  # pairs of sender and receiver
        self._unicast_sockets = {(i, j): self._socket(i, j) for i in range(count) for j in range(count)}
        self._broadcast_sockets = [self._socket(i, None) for i in range(count)]
        # Where each instance has to listen; chosen last, so that no socket above gets the same port.
        self.listen_addresses = _free_addresses(count)

    def _socket(self, sender: int, receiver: int | None) -> socket.socket:
        """Make the socket at which `sender` reaches `receiver`, or all others if that is None.

        Datagrams from `receiver` to `sender` come from this socket, too.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((HOST, 0))
        sock.setblocking(False)
        self._loop.watch(sock, selectors.EVENT_READ, lambda _: self._relay(sock, sender, receiver))
        return sock

    def peers(self, instance: int) -> list[Address]:
        """Return the addresses of all instances as seen by one instance."""
        return [self._unicast_sockets[instance, j].getsockname() for j in range(len(self._broadcast_sockets))]

    def broadcast_address(self, instance: int) -> Address:
        """Return the address at which an instance reaches all others."""
        address: Address = self._broadcast_sockets[instance].getsockname()
        return address

    def _relay(self, sock: socket.socket, sender: int, receiver: int | None) -> None:
        while True:
            try:
                data, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            if source != self.listen_addresses[sender]:
                continue
            others = [j for j in range(len(self.listen_addresses)) if j != sender]
            for other in others if receiver is None else [receiver]:
                if (sender, other) not in self.blocked:
                    self._unicast_sockets[other, sender].sendto(data, self.listen_addresses[other])

    def close(self) -> None:
        """Close all sockets."""
        for sock in (*self._unicast_sockets.values(), *self._broadcast_sockets):
            self._loop.watch(sock, 0, lambda _: None)
            sock.close()


def _free_addresses(count: int) -> list[Address]:
    """Return UDP addresses that are free now."""
    with ExitStack() as stack:
        socks = [stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)]
        for sock in socks:
            sock.bind((HOST, 0))
        return [sock.getsockname() for sock in socks]
