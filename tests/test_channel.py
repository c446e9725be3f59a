"""Tests of a channel whose system calls fail: which errors end the connection and which do not."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable, Iterator

import pytest

from yewhook.channel import MAX_READ_ERRORS, Channel
from yewhook.log import Log
from yewhook.loop import Loop

TIMEOUT_S = 5.0
ENDLESS = 10_000  # errors; more than occur within the timeout


class Owner:
    """Records what a channel reports."""

    def __init__(self) -> None:
        self.data, self.ends = b"", list[OSError | None]()

    def connected(self) -> None:
        """Not recorded."""

    def drained(self) -> None:
        """Not recorded."""

    def received(self, data: bytes) -> None:
        """Append the bytes."""
        self.data += data

    def lost(self, error: OSError | None) -> None:
        """Append the cause of the end."""
        self.ends.append(error)


class Flaky(socket.socket):
    """A socket whose next calls fail."""

    failures: list[int]
    sending: list[int]  # failures of `send` only

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Fail, or receive bytes."""
        self._fail()
        return super().recv(size, flags)

    def send(self, data: bytes, flags: int = 0) -> int:  # type: ignore[override]
        """Fail, or send bytes."""
        self._fail()
        if self.sending:
            raise OSError(self.sending.pop(), "injected")
        return super().send(data, flags)

    def _fail(self) -> None:
        if self.failures:
            raise OSError(self.failures.pop(), "injected")


class Pair:
    """An accepted connection with injected failures, and its peer's end."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.peer = socket.create_connection(listener.getsockname())
            accepted = listener.accept()[0]
        self.sock = Flaky(fileno=accepted.detach())
        self.sock.failures, self.sock.sending = [], []
        self.loop, self.owner = Loop(Log("test")), Owner()
        self.channel = Channel(self.loop, self.sock, self.owner)

    def until(self, true: Callable[[], bool]) -> None:
        """Run turns until a condition holds; fails after the timeout."""
        end = time.monotonic() + TIMEOUT_S
        while not true():
            assert time.monotonic() < end
            self.loop.run_turn(0.01)

    def close(self) -> None:
        """Close both ends."""
        self.channel.abort()
        self.peer.close()


@pytest.fixture
def pair() -> Iterator[Pair]:
    """A new connection, closed after the test."""
    made = Pair()
    yield made
    made.close()


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS])
def test_a_send_error_that_does_not_end_the_connection_is_retried(pair: Pair, error: int) -> None:
    # The answer was never sent on a connection that was still good, and the client waited for ever.
    pair.sock.failures = [error]
    pair.channel.send(b"answer")
    pair.until(lambda: pair.channel.written)
    assert pair.peer.recv(100) == b"answer" and not pair.owner.ends


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH])
def test_a_read_error_that_does_not_end_the_connection_is_ignored(pair: Pair, error: int) -> None:
    pair.peer.sendall(b"request")
    pair.sock.failures = [error]
    pair.until(lambda: pair.owner.data == b"request")
    assert not pair.owner.ends


@pytest.mark.parametrize("errors", [2, MAX_READ_ERRORS - 1])
def test_consecutive_read_errors_are_ignored(pair: Pair, errors: int) -> None:
    # A second consecutive error was taken for the end, so the connection was closed without an answer.
    pair.peer.sendall(b"request")
    pair.sock.failures = [errno.ECONNRESET] * errors
    pair.until(lambda: pair.owner.data == b"request")
    pair.sock.failures = [errno.ETIMEDOUT] * errors
    pair.channel.catch_up()
    assert not pair.owner.ends and not pair.channel.closed


@pytest.mark.parametrize("errors", [1, MAX_READ_ERRORS - 1])
def test_read_errors_do_not_make_the_peer_count_as_gone(pair: Pair, errors: int) -> None:
    pair.sock.failures = [errno.ETIMEDOUT] * errors
    assert not pair.channel.ended
    pair.sock.failures = [errno.ETIMEDOUT] * errors
    assert not pair.channel.unread
    pair.peer.close()
    pair.until(lambda: pair.channel.ended)


def test_a_reset_is_reported_with_its_cause(pair: Pair) -> None:
    pair.channel.send(b"unread")
    pair.until(lambda: pair.channel.written)
    time.sleep(0.01)
    pair.peer.close()  # with unread bytes, which resets the connection
    pair.until(lambda: bool(pair.owner.ends))
    (error,) = pair.owner.ends
    assert error is not None and error.errno == errno.ECONNRESET


def test_a_connection_is_lost_when_sending_keeps_failing(pair: Pair) -> None:
    pair.sock.sending = [errno.ETIMEDOUT] * ENDLESS
    pair.channel.send(b"answer")
    pair.until(lambda: bool(pair.owner.ends))
    assert pair.channel.closed and len(pair.owner.ends) == 1


@pytest.mark.parametrize("errors", [3, 10])
def test_consecutive_send_errors_are_retried(pair: Pair, errors: int) -> None:
    pair.sock.sending = [errno.ENOBUFS] * errors
    pair.channel.send(b"an ")
    pair.channel.send(b"answer")
    pair.until(lambda: pair.channel.written)
    assert pair.peer.recv(100) == b"an answer" and not pair.owner.ends


def test_received_bytes_are_read_while_sending_fails(pair: Pair) -> None:
    pair.sock.sending = [errno.EHOSTUNREACH] * ENDLESS
    pair.channel.send(b"answer")
    pair.peer.sendall(b"request")
    pair.until(lambda: pair.owner.data == b"request")
    assert not pair.owner.ends


def test_a_connection_that_is_finished_while_sending_fails_is_closed_in_time(pair: Pair) -> None:
    pair.sock.sending = [errno.ENOBUFS] * 3
    pair.channel.send(b"answer")
    pair.channel.finish()
    pair.until(lambda: pair.channel.written)
    assert pair.peer.recv(100) == b"answer" and pair.peer.recv(100) == b""
    pair.peer.close()
    pair.until(lambda: pair.channel.closed)
