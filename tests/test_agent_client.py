"""Tests of the command line's client of the agent, with answers that arrive slowly or never end."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable

import pytest

from yewhook.agent.client import ask
from yewhook.jsonrpc import MAX_UNSENT_BYTES, encode_message

TIMEOUT_S = 0.5
INTERVAL_S = 0.05
SLACK_S = 1.0  # for a busy machine
ANSWER = encode_message({"id": 1, "result": {"state": "ready"}})


def ask_server(answer: Callable[[socket.socket], None], timeout: float = TIMEOUT_S) -> object:
    """Ask a server that answers by a function, in a thread of its own."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            with listener.accept()[0] as sock:
                sock.recv(65536)
                try:
                    answer(sock)
                except OSError:
                    return

        server = threading.Thread(target=serve, daemon=True)
        server.start()
        try:
            return ask(listener.getsockname(), "status", {}, timeout)
        finally:
            server.join(TIMEOUT_S + SLACK_S)


def test_an_answer_that_arrives_slowly_is_read_whole() -> None:
    def write_slowly(sock: socket.socket) -> None:
        for begin in range(0, len(ANSWER), 8):
            sock.sendall(ANSWER[begin : begin + 8])
            time.sleep(0.01)

    assert ask_server(write_slowly, timeout=5.0) == {"state": "ready"}


# Guards against a command line that waits for an answer of the agent that never ends.
def test_an_answer_that_never_ends_is_given_up_in_time() -> None:
    def write_endlessly(sock: socket.socket) -> None:
        end = time.monotonic() + 2 * TIMEOUT_S + SLACK_S
        while time.monotonic() < end:
            sock.sendall(b" ")
            time.sleep(INTERVAL_S)

    began = time.monotonic()
    with pytest.raises(TimeoutError):
        ask_server(write_endlessly)
    assert time.monotonic() - began < 2 * TIMEOUT_S + SLACK_S


def test_an_answer_that_is_too_long_is_an_error() -> None:
    with pytest.raises(OSError, match="longer than"):
        ask_server(lambda sock: sock.sendall(b" " * (MAX_UNSENT_BYTES + 1)), timeout=5.0)


def test_a_connection_that_is_closed_without_an_answer_is_an_error() -> None:
    with pytest.raises(OSError, match="without an answer"):
        ask_server(lambda sock: None)
