"""A connection whose system calls fail: errors that are its end are told from those that are not."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable, Iterator

import pytest

from yewhook.channel import READ_ERRORS, Channel
from yewhook.log import Log
from yewhook.loop import Loop

MOST = 5.0  # s for something to happen
ENDLESS = 10_000  # errors; more than are met within it


class Owner:
    def __init__(self) -> None:
        self.data, self.ends = b"", list[OSError | None]()

    def connected(self) -> None: ...

    def drained(self) -> None: ...

    def received(self, data: bytes) -> None:
        self.data += data

    def lost(self, error: OSError | None) -> None:
        self.ends.append(error)


class Flaky(socket.socket):
    """A socket whose next calls fail."""

    failures: list[int]
    sending: list[int]  # failures of sending alone

    def recv(self, size: int, flags: int = 0) -> bytes:
        self._fail()
        return super().recv(size, flags)

    def send(self, data: bytes, flags: int = 0) -> int:  # type: ignore[override]
        self._fail()
        if self.sending:
            raise OSError(self.sending.pop(), "injected")
        return super().send(data, flags)

    def _fail(self) -> None:
        if self.failures:
            raise OSError(self.failures.pop(), "injected")


class Pair:
    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.peer = socket.create_connection(listener.getsockname())
            accepted = listener.accept()[0]
        self.sock = Flaky(fileno=accepted.detach())
        self.sock.failures, self.sock.sending = [], []
        self.loop, self.owner = Loop(Log("test")), Owner()
        self.channel = Channel(self.loop, self.sock, self.owner)

    def until(self, true: Callable[[], bool]) -> None:
        end = time.monotonic() + MOST
        while not true():
            assert time.monotonic() < end
            self.loop.run_turn(0.01)

    def close(self) -> None:
        self.channel.abort()
        self.peer.close()


@pytest.fixture
def pair() -> Iterator[Pair]:
    made = Pair()
    yield made
    made.close()


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS])
def test_an_error_of_sending_that_is_no_end_is_got_over(pair: Pair, error: int) -> None:
    # The answer stayed unsent on a good connection, and its client waited for ever.
    pair.sock.failures = [error]
    pair.channel.send(b"answer")
    pair.until(lambda: pair.channel.written)
    assert pair.peer.recv(100) == b"answer" and not pair.owner.ends


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH])
def test_an_error_of_reading_that_is_no_end_is_got_over(pair: Pair, error: int) -> None:
    pair.peer.sendall(b"request")
    pair.sock.failures = [error]
    pair.until(lambda: pair.owner.data == b"request")
    assert not pair.owner.ends


@pytest.mark.parametrize("errors", [2, READ_ERRORS - 1])
def test_errors_of_reading_in_a_row_are_got_over(pair: Pair, errors: int) -> None:
    # A second error in a row was taken for the end: the request's connection was closed with no answer.
    pair.peer.sendall(b"request")
    pair.sock.failures = [errno.ECONNRESET] * errors
    pair.until(lambda: pair.owner.data == b"request")
    pair.sock.failures = [errno.ETIMEDOUT] * errors
    pair.channel.catch_up()
    assert not pair.owner.ends and not pair.channel.closed


@pytest.mark.parametrize("errors", [1, READ_ERRORS - 1])
def test_a_peer_is_not_taken_for_gone_over_errors(pair: Pair, errors: int) -> None:
    pair.sock.failures = [errno.ETIMEDOUT] * errors
    assert not pair.channel.ended
    pair.sock.failures = [errno.ETIMEDOUT] * errors
    assert not pair.channel.unread
    pair.peer.close()
    pair.until(lambda: pair.channel.ended)


def test_a_reset_is_told_with_its_cause(pair: Pair) -> None:
    pair.channel.send(b"unread")
    pair.until(lambda: pair.channel.written)
    time.sleep(0.01)
    pair.peer.close()  # over unread bytes: a reset
    pair.until(lambda: bool(pair.owner.ends))
    (error,) = pair.owner.ends
    assert error is not None and error.errno == errno.ECONNRESET


def test_a_connection_on_which_nothing_can_be_sent_is_lost(pair: Pair) -> None:
    pair.sock.sending = [errno.ETIMEDOUT] * ENDLESS
    pair.channel.send(b"answer")
    pair.until(lambda: bool(pair.owner.ends))
    assert pair.channel.closed and len(pair.owner.ends) == 1


@pytest.mark.parametrize("errors", [3, 10])
def test_errors_of_sending_in_a_row_are_got_over(pair: Pair, errors: int) -> None:
    pair.sock.sending = [errno.ENOBUFS] * errors
    pair.channel.send(b"an ")
    pair.channel.send(b"answer")
    pair.until(lambda: pair.channel.written)
    assert pair.peer.recv(100) == b"an answer" and not pair.owner.ends


def test_what_comes_is_heard_while_sending_fails(pair: Pair) -> None:
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
