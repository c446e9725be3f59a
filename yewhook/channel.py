"""One non-blocking TCP connection on the loop: what both fronts stand on."""

from __future__ import annotations

import errno
import selectors
import socket
from typing import Protocol

from .loop import Loop, Timer

READ_SIZE = 65536
READ_OFF = 16  # reads a turn of what a peer still sends after our last word, which nobody needs
# Reads a turn of an accepted connection: as many as the largest request takes, and one that finds its end.
# Whoever has asked and gone is known to be gone before anything is done for the request.
READ_ACCEPTED = 8
# Errors of reading in a row after which a connection counts as lost. The kernel tells the cause of an end
# once, and after that the end itself; an error that is no end leaves the connection good.
READ_ERRORS = 8
SEND_AGAIN = 0.02  # s after an error of sending until the next try
SEND_GIVEN_UP = 1.0  # s for which sending may fail; the end of a connection is found by reading, and sooner
FLUSH, LINGER = 10.0, 1.0  # s to write what is left, and then for the peer to close too


class Owner(Protocol):
    def connected(self) -> None: ...

    def received(self, data: bytes) -> None: ...

    def drained(self) -> None:
        """Everything handed to `send` has been written."""

    def lost(self, error: OSError | None) -> None:
        """The connection is gone: an error, or None where the peer ended it in good order."""


class Channel:
    def __init__(
        self, loop: Loop, sock: socket.socket, owner: Owner, connecting: bool = False, first: bool = False
    ) -> None:
        """`first` = heard before the other connections in each turn of the loop."""
        self.loop, self.owner, self._first = loop, owner, first
        self.closed = False
        self._sock, self._connecting = sock, connecting
        self._out = bytearray()
        self._cut_short = False  # closed before all was written
        self.paused = self._finishing = False
        self._accepted = not connecting
        self._send_fails_since: float | None = None  # the loop's clock, where the last try failed
        self._send_again = Timer(loop)  # runs from a failed try to the next one
        self._timer = Timer(loop)  # for the end of a connection that is being finished
        loop.sockets += 1
        loop.accepted += self._accepted
        sock.setblocking(False)
        if sock.family == socket.AF_INET:  # a pair of sockets to the agent is no TCP
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watch()

    @classmethod
    def connect(cls, loop: Loop, address: tuple[str, int], owner: Owner) -> Channel:
        """Begin to connect; the owner hears `connected`, or `lost` in a later turn. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, "connect")
        return cls(loop, sock, owner, connecting=True)

    @property
    def unsent(self) -> int:
        return len(self._out)

    @property
    def written(self) -> bool:
        """Whether all that was to be sent has been handed to the kernel, also where it was closed since."""
        return not self._out and not self._cut_short

    @property
    def unread(self) -> bool:
        """Whether bytes, or the peer's end, wait to be read; an idle connection is no good then."""
        try:
            self._read(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        return True

    @property
    def ended(self) -> bool:
        """Whether it can be seen now that the peer has closed or broken it, with nothing left to read."""
        if self.closed:
            return True
        try:
            data, _ = self._read(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        return not data

    def send(self, data: bytes) -> None:
        if self.closed or self._finishing:
            return
        self._out += data
        if not self._connecting:
            self._flush()

    def pause(self, paused: bool) -> None:
        if self.paused != paused:
            self.paused = paused
            self._watch()

    def finish(self) -> None:
        """Close once all is written and the peer has closed too, or after a while."""
        if self.closed or self._finishing:
            return
        self._finishing, self.paused = True, False
        self.loop.finishing += 1
        self._timer.set(FLUSH, self.abort)
        self._watch()  # what the peer still sends is read: closing over it would take our last word along
        if not self._out:
            self._end_sending()

    def abort(self) -> None:
        """Close now; the owner hears nothing more."""
        if not self.closed:
            self.closed = True
            self._timer.cancel()
            self._send_again.cancel()
            self.loop.watch(self._sock, 0, self._ready)
            self._sock.close()
            self._cut_short = bool(self._out)
            self._out.clear()
            self.loop.sockets -= 1
            self.loop.accepted -= self._accepted
            self.loop.finishing -= self._finishing

    def _watch(self) -> None:
        if self.closed:
            return
        read = 0 if self.paused or self._connecting else selectors.EVENT_READ
        waits = self._connecting or (self._out and not self._send_again.running)
        write = selectors.EVENT_WRITE if waits else 0
        self.loop.watch(self._sock, read | write, self._ready, self._first)

    def _ready(self, mask: int) -> None:
        if self._connecting:
            self._connecting = False
            if code := self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return self._lost(OSError(code, "connect"))
            self.owner.connected()
            if not self.closed:
                self._flush()
                self._watch()
            return None
        if mask & selectors.EVENT_READ:
            reads = READ_OFF if self._finishing else READ_ACCEPTED if self._accepted else 1
            while reads and not self.paused and self._receive():
                reads -= 1
        if mask & selectors.EVENT_WRITE and not self.closed and self._out:
            self._flush()
        return None

    def catch_up(self) -> None:
        """Hear what has come so far, though its turn is not yet."""
        if not (self.closed or self.paused or self._connecting or self._finishing):
            self._receive()

    def _receive(self) -> bool:
        """Read once; whether there may be more."""
        try:
            data, error = self._read(READ_SIZE)
        except BlockingIOError:
            return False
        if not data:
            self._lost(error)
            return False
        return self._received(data)

    def _read(self, size: int, flags: int = 0) -> tuple[bytes, OSError | None]:
        """What can be read now, past errors that are no end; nothing at the connection's end, with its cause.

        Raises BlockingIOError where nothing has come.
        """
        cause: OSError | None = None
        for _ in range(READ_ERRORS):
            try:
                return self._sock.recv(size, flags), cause
            except BlockingIOError:
                raise
            except OSError as error:
                cause = cause or error
        return b"", cause

    def _received(self, data: bytes) -> bool:
        if not self._finishing:
            self.owner.received(data)
        return not self.closed and (self._accepted or len(data) == READ_SIZE)

    def _flush(self) -> None:
        if not self._out or self._send_again.running:
            return
        try:
            sent = self._sock.send(self._out)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            return self._not_sent(error)
        self._send_fails_since = None
        del self._out[:sent]
        self._watch()
        if self._out:
            return None
        if self._finishing:
            return self._end_sending()
        return self.owner.drained()

    def _not_sent(self, error: OSError) -> None:
        """Try again in a moment, for a while. What the peer sent before a break still counts and is read."""
        now = self.loop.now
        self._send_fails_since = now if self._send_fails_since is None else self._send_fails_since
        if now - self._send_fails_since >= SEND_GIVEN_UP:
            return self._lost(error)
        self._send_again.set(SEND_AGAIN, self._flush)
        return self._watch()

    def _end_sending(self) -> None:
        self._timer.set(LINGER, self.abort)
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def _lost(self, error: OSError | None) -> None:
        finishing = self._finishing
        self.abort()
        if not finishing:
            self.owner.lost(error)
