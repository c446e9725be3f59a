"""A non-blocking stream connection on the event loop, mostly TCP; both fronts use it."""

from __future__ import annotations

import errno
import selectors
import socket
from typing import Protocol

from .loop import Loop, Timer
from .memory_budget import CONNECTION_BYTES, data_cost

READ_SIZE_BYTES = 4096  # small, since data that is costly to parse takes 0.1 ms for each kilobyte
# Reads per turn of an accepted connection: enough for the largest request and one more that finds the end of
# the stream, so that a client that disconnects after its request is noticed before the request is handled.
MAX_ACCEPTED_READS = 128
MAX_CONNECTED_READS = 16  # reads per turn of a connection that was opened here
READ_BUDGET_S = 0.0005  # after which no further read is begun in a turn
# Consecutive read errors after which a connection counts as lost. When a connection has ended, the kernel
# reports the cause once and then the end of the stream; after any other error the connection is still good.
MAX_READ_ERRORS = 8
SEND_RETRY_S = 0.02  # from a send error until the next attempt
SEND_GIVE_UP_S = 1.0  # for which sending may fail; a connection's end is found by reading, and sooner
FLUSH_TIMEOUT_S = 10.0  # to write what is left of a connection that is being finished
LINGER_TIMEOUT_S = 1.0  # after that, for the peer to close its end
# States of a TCP connection (linux/tcp_states.h) whose other end has closed: reset, or closed in order
TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING = 7, 8, 9, 11
CLOSED_BY_PEER = frozenset({TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK, TCP_CLOSING})


class Owner(Protocol):
    """What a channel calls as its connection changes."""

    def connected(self) -> None:
        """The connection is up."""

    def received(self, data: bytes) -> None:
        """Bytes have arrived."""

    def drained(self) -> None:
        """Everything handed to `send` has been written."""

    def lost(self, error: OSError | None) -> None:
        """The connection is gone: an error, or None where the peer has closed it."""


class Channel:
    """One connection with its send buffer; reading can be paused, and closing can wait for pending bytes."""

    __slots__ = (
        "_accepted", "_charged_bytes", "_closed_with_unsent", "_connecting", "_finish_timer", "_finishing",
        "_first", "_flushing", "_send_fails_since", "_send_retry_timer", "_sock", "_unsent", "closed",
        "is_costly", "loop", "owner", "paused", "sent_bytes",
    )  # fmt: skip

    def __init__(
        self, loop: Loop, sock: socket.socket, owner: Owner, connecting: bool = False, first: bool = False
    ) -> None:
        """Watch a socket; with `first`, it is handled before the other connections in each turn."""
        self.loop, self.owner, self._first = loop, owner, first
        self.closed = False
        self._sock, self._connecting = sock, connecting
        self._unsent = bytearray()
        self._charged_bytes = CONNECTION_BYTES
        loop.memory.charge(CONNECTION_BYTES)
        self._closed_with_unsent = False
        self.sent_bytes = 0  # that the kernel has taken since the beginning
        self.paused = self._finishing = self._flushing = False
        self.is_costly = False  # whether more had arrived than could be read in its last turn
        self._accepted = not connecting
        self._send_fails_since: float | None = None  # the loop's clock, where the last attempt failed
        self._send_retry_timer = Timer(loop)
        self._finish_timer = Timer(loop)
        loop.sockets += 1
        loop.accepted += self._accepted
        sock.setblocking(False)
        if sock.family == socket.AF_INET:  # the connection to the agent is a socket pair and not TCP
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if connecting:
            loop.prefer(sock)
        self._watch()

    @classmethod
    def connect(cls, loop: Loop, address: tuple[str, int], owner: Owner) -> Channel:
        """Begin to connect; the owner's `connected` or `lost` is called in a later turn. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, "connect")
        return cls(loop, sock, owner, connecting=True)

    @property
    def unsent(self) -> int:
        """The number of bytes that the kernel has not taken yet."""
        return len(self._unsent)

    @property
    def written(self) -> bool:
        """Whether all bytes have been handed to the kernel; after a close, as it was then."""
        return not self._unsent and not self._closed_with_unsent

    @property
    def is_open(self) -> bool:
        """Whether bytes can still be sent: it is neither closed nor being finished."""
        return not self.closed and not self._finishing

    @property
    def unread(self) -> bool:
        """Whether bytes, or the end of the stream, wait to be read; an idle connection is unusable then."""
        try:
            self._read(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        return True

    @property
    def ended(self) -> bool:
        """Whether the peer is known to have closed or reset the connection; bytes may be left to read."""
        if self.closed:
            return True
        try:
            data, _ = self._read(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        return not data or self._tcp_state in CLOSED_BY_PEER

    @property
    def _tcp_state(self) -> int | None:
        """The state of the TCP connection; None where it is not known."""
        try:
            return self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (OSError, IndexError):
            return None

    def send(self, data: bytes) -> None:
        """Send bytes, or buffer them; ignored once the channel is closed or being finished."""
        if not self.is_open:
            return
        self._unsent += data
        if not self._connecting:
            self._flush()
        self._charge_unsent()

    def _charge_unsent(self) -> None:
        """Charge what is unsent now."""
        charged = 0 if self.closed else CONNECTION_BYTES + data_cost(len(self._unsent))
        self.loop.memory.charge(charged - self._charged_bytes)
        self._charged_bytes = charged

    def pause(self, paused: bool) -> None:
        """Stop or resume reading."""
        if self.paused != paused:
            self.paused = paused
            self._watch()

    def finish(self) -> None:
        """Close once all is written and the peer has closed too, or after the timeouts.

        Where the loop is short of room it is closed sooner, see `LingeringConnections`.
        """
        if not self.is_open:
            return
        self._finishing, self._flushing, self.paused = True, True, False
        self.loop.finishing += 1
        self.loop.flushing += 1
        self._finish_timer.set(FLUSH_TIMEOUT_S, self.abort)
        self._watch()  # to read what the peer still sends: closing with unread bytes resets the connection
        if not self._unsent:
            self._end_sending()

    def abort(self) -> None:
        """Close at once; the owner is not called any more."""
        if not self.closed:
            self.closed = True
            self._finish_timer.cancel()
            self._send_retry_timer.cancel()
            self.loop.lingering.discard(self)
            self.loop.forget(self._sock)
            self._sock.close()
            self._closed_with_unsent = bool(self._unsent)
            self._unsent.clear()
            self._charge_unsent()
            self.loop.sockets -= 1
            self.loop.accepted -= self._accepted
            self.loop.finishing -= self._finishing
            self._flushed()

    def __str__(self) -> str:
        return f"{type(self.owner).__name__} {self._sock.fileno()}"

    def _watch(self) -> None:
        if self.closed:
            return
        read = 0 if self.paused or self._connecting else selectors.EVENT_READ
        waits = self._connecting or (self._unsent and not self._send_retry_timer.running)
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
            self._receive_some()
        if mask & selectors.EVENT_WRITE and not self.closed and self._unsent:
            self._flush()
        return None

    def catch_up(self) -> None:
        """Read what has arrived so far, without waiting for the next turn."""
        if not (self.closed or self.paused or self._connecting or self._finishing):
            self._receive_some()

    def _receive_some(self) -> None:
        """Read what has arrived, but no more than the limits for one turn."""
        reads = MAX_ACCEPTED_READS if self._accepted else MAX_CONNECTED_READS
        end = self.loop.clock() + READ_BUDGET_S
        self.is_costly = False
        while not self.paused and self._receive():
            reads -= 1
            if not reads or self.loop.clock() >= end:
                self.is_costly = self.unread
                return self.loop.leave_unread(self._sock) if self.is_costly else None

    def _receive(self) -> bool:
        """Read once; returns whether there may be more to read."""
        try:
            data, error = self._read(READ_SIZE_BYTES)
        except BlockingIOError:
            return False
        if not data:
            self._lost(error)
            return False
        return self._received(data)

    def _read(self, size: int, flags: int = 0) -> tuple[bytes, OSError | None]:
        """Read, ignoring errors after which the connection is still good.

        Returns no bytes at the end of the stream, with its cause if there was an error. Raises
        BlockingIOError where nothing has arrived.
        """
        cause: OSError | None = None
        for _ in range(MAX_READ_ERRORS):
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
        return not self.closed and (self._accepted or len(data) == READ_SIZE_BYTES)

    def _flush(self) -> None:
        if not self._unsent or self._send_retry_timer.running:
            return
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            return self._send_failed(error)
        self._send_fails_since = None
        self.sent_bytes += sent
        del self._unsent[:sent]
        self._charge_unsent()
        self._watch()
        if self._unsent:
            return None
        if self._finishing:
            return self._end_sending()
        return self.owner.drained()

    def _send_failed(self, error: OSError) -> None:
        """Retry for a while; meanwhile what the peer sent before a failure is still read."""
        now = self.loop.now
        self._send_fails_since = now if self._send_fails_since is None else self._send_fails_since
        if now - self._send_fails_since >= SEND_GIVE_UP_S:
            return self._lost(error)
        self._send_retry_timer.set(SEND_RETRY_S, self._flush)
        return self._watch()

    def _flushed(self) -> None:
        self.loop.flushing -= self._flushing
        self._flushing = False

    def _end_sending(self) -> None:
        self._flushed()
        self._finish_timer.set(LINGER_TIMEOUT_S, self.abort)
        self.loop.lingering.add(self, self.loop.now)
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def _lost(self, error: OSError | None) -> None:
        finishing = self._finishing
        self.abort()
        if not finishing:
            self.owner.lost(error)
