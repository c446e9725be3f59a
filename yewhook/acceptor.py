"""Listening sockets, and the acceptance of connections from them."""

from __future__ import annotations

import math
import selectors
import socket
from collections.abc import Callable

from .config import Address, ConfigError
from .loop import Loop, Timer
from .sockets import bind
from .transient_errors import retry_transient

LISTEN_BACKLOG = 4096  # connections; a client that finds the queue full retries after 1 s at the earliest
MAX_ACCEPTS_PER_TURN = 64
ACCEPT_BUDGET_S = 0.005  # after which no further connection is accepted in a turn
ACCEPT_RETRY_S = 0.05  # until accepting is tried again for lack of room or after an error


def adopt_listener(descriptor: int) -> socket.socket:
    """Returns the inherited listening socket, which other processes may share. Raises ConfigError."""
    try:
        listener = socket.socket(fileno=descriptor)
        listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError as error:
        raise ConfigError(f"PROXY_ACCEPT_FD: descriptor {descriptor} is not a socket: {error}") from error
    if not listens:
        raise ConfigError(f"PROXY_ACCEPT_FD: the socket of descriptor {descriptor} does not listen")
    listener.setblocking(False)
    return listener


def listen(address: Address) -> socket.socket:
    """Open a socket that listens at `address`; may block for retries. Raises OSError."""
    listener = retry_transient(lambda: socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind(listener, address)
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


class Acceptor:
    """Accepts connections from a listening socket while there is room for them."""

    def __init__(
        self,
        loop: Loop,
        listener: socket.socket,
        can_accept: Callable[[], bool],
        free_connections: Callable[[], None],
        accepted: Callable[[socket.socket], None],
    ) -> None:
        """`can_accept` says whether one more is allowed; `free_connections` closes idle ones to make room."""
        self._loop, self._listener = loop, listener
        self._can_accept, self._free_connections, self._accepted = can_accept, free_connections, accepted
        self._resume_timer = Timer(loop)
        self._paused = self._closed = False
        # When the kernel's queue was last seen empty, and whether connections were left in it since.
        self._queue_empty_at, self._queue_left = loop.now, False
        loop.prefer(listener, math.inf)  # accepting is limited by itself
        loop.watch(listener, selectors.EVENT_READ, self._accept)

    @property
    def waiting_since(self) -> float:
        """The loop's time since which a connection accepted now may have waited in the kernel's queue.

        Its request may have arrived as early.
        """
        return (
            self._queue_empty_at
            if self._queue_left
            else max(self._queue_empty_at, self._loop.previous_poll_at)
        )

    def _note_queue_left(self) -> None:
        self._queue_empty_at, self._queue_left = self.waiting_since, True

    def _accept(self, mask: int) -> None:
        self._accept_batch()

    def _accept_batch(self) -> bool:
        """Accept some connections within the limits for one turn; returns whether more may be waiting."""
        end = self._loop.clock() + ACCEPT_BUDGET_S
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._loop.clock() > end:
                break
            if not self._make_room():
                sockets = f"{self._loop.sockets} open, {self._loop.accepted} of clients"
                used = f"{self._loop.memory.charged >> 10} KiB in use"
                self._loop.log("too many sockets", f"{sockets}; {used}; accepting later")
                return self._retry_later()
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                self._queue_empty_at, self._queue_left = self._loop.now, False
                return False
            except OSError as error:
                self._loop.log("accept failed", str(error))
                return self._retry_later()
            self._accepted(sock)
        self._note_queue_left()
        return True

    def _make_room(self) -> bool:
        """Whether a connection may be accepted, where need be after others were closed."""
        if not self._can_accept():
            self._loop.lingering.close_some(self._loop.now)
        if not self._can_accept():
            self._free_connections()
        return self._can_accept()

    def _retry_later(self) -> bool:
        """Stop accepting for ACCEPT_RETRY_S, since trying again at once would keep the loop busy."""
        self._note_queue_left()
        self._loop.watch(self._listener, 0, self._accept)
        self._resume_timer.set(ACCEPT_RETRY_S, self._resume)
        return False

    def _resume(self) -> None:
        self._loop.watch(self._listener, selectors.EVENT_READ, self._accept)

    def pause(self, paused: bool) -> None:
        """Leave new connections in the kernel's queue, or accept them again."""
        if paused != self._paused and not self._closed:
            self._paused = paused
            self._note_queue_left()
            self._resume_timer.cancel()
            self._loop.watch(self._listener, 0 if paused else selectors.EVENT_READ, self._accept)

    def stop(self) -> None:
        """Accept the connections in the kernel's queue, then close the socket.

        New connections are refused from then on unless another process shares the socket.
        """
        if not self._closed:
            more = not self._paused
            while more:  # connections left in the kernel's queue would be reset
                more = self._accept_batch()
            self.pause(True)
            self._closed = True
            self._loop.forget(self._listener)
            self._listener.close()
