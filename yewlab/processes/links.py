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

from .net import HOST, Listener, reset

LONGEST = 2048  # bytes of a datagram
WAKES_FOR = 0.02  # s in which a party that comes back finds out which of its connections have ended meanwhile


@dataclass(slots=True)
class Ways:
    """What becomes of what travels: towards the far end, and back."""

    there: bool = True
    back: bool = True
    delay: float = 0.0  # s, both ways
    silent: bool = False  # the far end reads and writes nothing; its connections stay open


class TcpLink:
    """A relay that listens in a party's place. Silenced, it takes bytes and passes nothing on; new
    connections come up and stay silent."""

    def __init__(self, loop: Loop, target: Callable[[], Address]) -> None:
        self.ways = Ways()
        self._loop, self._target = loop, target
        self._pipes: list[Pipe] = []
        self._listener: Listener | None = Listener(loop, self._accepted)
        self.address = self._listener.address

    def cut_power(self) -> None:
        """Nobody is there any more: what is open breaks, and connects are refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.reset()

    def cut_off(self) -> None:
        """The far end's machine is cut off: what is open breaks, and new connections do not come up."""
        if self._listener is not None:
            self._listener.block()
        self.reset()

    def fall_silent(self) -> None:
        """The far end hangs: it reads, writes and accepts nothing, and what is open stays open."""
        self.ways.silent = True
        if self._listener is not None:
            self._listener.ignore()
        for pipe in self._pipes:
            pipe.fall_silent()

    def wake(self) -> None:
        """The far end goes on, with what has come meanwhile on connections that are still open."""
        self.ways.silent = False
        for pipe in self._pipes:
            pipe.wake()
        if self._listener is not None:
            self._listener.heed()

    def reconnect(self) -> None:
        """The far end can be reached again."""
        if self._listener is not None:
            self._listener.unblock()

    def restore(self) -> None:
        """The far end is there again, at the same address."""
        if self._listener is None:
            self._listener = Listener(self._loop, self._accepted, self.address)

    def _accepted(self, sock: socket.socket) -> None:
        self._pipes = [pipe for pipe in self._pipes if not pipe.over]
        pipe = Pipe(self._loop, self.ways, sock, self._target())
        self._pipes.append(pipe)
        pipe.wake()  # it may have waited in the kernel's queue, and have ended there

    def reset(self) -> None:
        """Break all that is open now; what comes later is passed on."""
        for pipe in self._pipes:
            pipe.reset()
        self._pipes.clear()

    def close(self) -> None:
        self.cut_power()


class Pipe:
    """One connection through a link."""

    def __init__(self, loop: Loop, ways: Ways, sock: socket.socket, target: Address) -> None:
        self._loop, self._ways, self._sock = loop, ways, sock
        self.over = False
        # While the far end hangs, and when it wakes: what has come for it.
        self._kept: bytearray | None = None
        self._near = Channel(loop, sock, End(lambda data: self._pass(data, True), self._ended))
        try:
            self._far = Channel.connect(loop, target, End(lambda data: self._pass(data, False), self._ended))
        except OSError:
            self.reset()

    def _pass(self, data: bytes, there: bool) -> None:
        if not (self._ways.there if there else self._ways.back):
            return
        if there and self._kept is not None:
            self._kept += data
            return
        to = self._far if there else self._near
        if self._ways.delay:
            self._loop.after(self._ways.delay, lambda: to.send(data))
        else:
            to.send(data)

    def _ended(self, error: OSError | None) -> None:
        if self.over:
            return
        # An attempt that is given up is out no longer, though its server hangs, and a server that wakes to a
        # closed connection begins nothing for it.
        if error is not None or self._kept is not None:
            return self.reset()
        self.over = True
        for channel in (self._near, self._far):
            self._loop.after(self._ways.delay, channel.finish)
        return None

    def fall_silent(self) -> None:
        """Pass nothing on, either way, but what the far end wrote before: its kernel sends that."""
        self._kept = self._kept or bytearray()
        if hasattr(self, "_far"):
            self._far.catch_up()
            self._far.pause(True)

    def wake(self) -> None:
        """Go on; what has come for the far end is passed on where its sender is still there."""
        self._kept = self._kept or bytearray()
        if hasattr(self, "_far"):
            self._far.pause(False)
        self._loop.after(WAKES_FOR, self._awake)

    def _awake(self) -> None:
        if self._ways.silent:  # again
            return
        kept, self._kept = self._kept, None
        if kept and not self.over:
            self._pass(bytes(kept), True)

    def reset(self) -> None:
        if not self.over:
            self.over = True
            reset(self._sock, self._near)
            if hasattr(self, "_far"):
                self._far.abort()


@dataclass(slots=True)
class End:
    """One end's owner."""

    received: Callable[[bytes], None]
    lost: Callable[[OSError | None], None]

    def connected(self) -> None:
        """What has come meanwhile goes out."""

    def drained(self) -> None:
        """Bytes are few here."""


class Between:
    """Datagrams among a tier's instances. Each instance sees every other one at an address of its own, and
    one address for all; which of them hears which can be cut, one way too."""

    def __init__(self, loop: Loop, count: int) -> None:
        self._loop = loop
        self.cut: set[tuple[int, int]] = set()  # sender, receiver
        self._faces = {(i, j): self._socket(i, j) for i in range(count) for j in range(count)}
        self._all = [self._socket(i, None) for i in range(count)]
        self.listens = _free(count)  # where each instance is to listen; drawn last, or one of ours takes it

    def _socket(self, sender: int, receiver: int | None) -> socket.socket:
        """Where an instance finds another one, or all of them; that one's datagrams come from here, too."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((HOST, 0))
        sock.setblocking(False)
        self._loop.watch(sock, selectors.EVENT_READ, lambda _: self._pass(sock, sender, receiver))
        return sock

    def peers(self, instance: int) -> list[Address]:
        """The addresses of all, as one instance sees them."""
        return [self._faces[instance, j].getsockname() for j in range(len(self._all))]

    def everyone(self, instance: int) -> Address:
        address: Address = self._all[instance].getsockname()
        return address

    def _pass(self, sock: socket.socket, sender: int, receiver: int | None) -> None:
        while True:
            try:
                data, came_from = sock.recvfrom(LONGEST)
            except OSError:
                return
            if came_from != self.listens[sender]:
                continue
            others = [j for j in range(len(self.listens)) if j != sender]
            for other in others if receiver is None else [receiver]:
                if (sender, other) not in self.cut:
                    self._faces[other, sender].sendto(data, self.listens[other])

    def close(self) -> None:
        for sock in (*self._faces.values(), *self._all):
            self._loop.watch(sock, 0, lambda _: None)
            sock.close()


def _free(count: int) -> list[Address]:
    """So many addresses that nobody has now."""
    with ExitStack() as held:
        socks = [held.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)]
        for sock in socks:
            sock.bind((HOST, 0))
        return [sock.getsockname() for sock in socks]
