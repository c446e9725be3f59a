"""One bad message on a connection whose other requests are running, at a real router process."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from toolcalls_process import accept_attempt, listening_workers, router_process, rpc_id
from toolcalls_scenario import MESSAGES, chat_request, message

from yewhook.config import Address
from yewhook.jsonrpc import MAX_MESSAGE_BYTES
from yewlab.processes.instances import Process

STREAMS = 3  # on the connection
BAD_CLIENT_TIMEOUT_S = 3.0  # in which a bad message has its error
HALF_QUIET_S = 2.8
DRIP_INTERVAL_S = 0.3
RECEIVE_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_S = 2.0  # after the last answer
HALF = chat_request("90")[:60]
REST = chat_request("90")[60:]
LIMITS = {"memory_mb": 64, "sockets": 256}
# A router process, the address of its tool-calls front, and its workers' listening sockets
Router = tuple[Process, Address, dict[str, socket.socket]]


class Client:
    """A connection; a thread keeps the messages that arrive and when they do."""

    def __init__(self, address: Address) -> None:
        self.sock = socket.create_connection(address, RECEIVE_TIMEOUT_S)
        self.sock.settimeout(None)
        self.messages: list[tuple[float, dict[str, Any]]] = []
        self.closed_at: float | None = None
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        try:
            for line in self.sock.makefile("rb"):
                self.messages.append((time.monotonic(), json.loads(line)))
        except OSError:
            pass  # the socket was closed here, or the router reset the connection
        self.closed_at = time.monotonic()

    def finals(self, rpc_id: int | None) -> list[tuple[float, dict[str, Any]]]:
        """When responses with an id arrived, and the responses."""
        return [entry for entry in self.messages if "method" not in entry[1] and entry[1]["id"] == rpc_id]

    def events(self) -> int:
        """How many events have arrived."""
        return sum(m.get("method") == "notifications/event" for _, m in self.messages)

    def send_until_closed(self, data: bytes, interval_s: float = 0.0) -> None:
        """Send bytes again and again in a thread until the connection ends."""

        def send() -> None:
            try:
                while self.closed_at is None:
                    self.sock.sendall(data)
                    time.sleep(interval_s)
            except OSError:
                pass  # the router has closed the connection

        threading.Thread(target=send, daemon=True).start()


def until(condition: Callable[[], object], what: str, timeout_s: float = RECEIVE_TIMEOUT_S) -> float:
    """Wait for a condition; returns when it held."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, what
        time.sleep(0.01)
    return time.monotonic()


class Streams:
    """A client with several running streams, and the connections of their writers."""

    def __init__(self, address: Address, workers: dict[str, socket.socket]) -> None:
        self.client, self.writers = Client(address), list[tuple[socket.socket, int]]()
        for number in range(1, STREAMS + 1):
            self.client.sock.sendall(chat_request(str(number)))
            reader, request = accept_attempt(workers["reader"])
            reader.sendall(message(id=rpc_id(request), result={"read": True, "cachedTokens": 0}))
            reader.close()  # otherwise the next attempt comes on this connection
            writer, request = accept_attempt(workers["writer"])
            self.writers.append((writer, rpc_id(request)))
            writer.sendall(MESSAGES["event"](text="first"))
        until(lambda: self.client.events() == STREAMS, "the streams begin")

    def finish(self) -> None:
        """Have the writers send another event and end; checks that the client gets all of it."""
        for writer, number in self.writers:
            writer.sendall(MESSAGES["event"](text="last") + message(id=number, result={"cachedTokens": 0}))
        ids = range(1, STREAMS + 1)
        until(lambda: all(self.client.finals(number) for number in ids), f"answers; {self.client.messages}")
        for number in ids:
            assert [m["result"]["status"] for _, m in self.client.finals(number)] == ["served"]
        assert self.client.events() == 2 * STREAMS


@pytest.fixture
def router(tmp_path: Path) -> Iterator[Router]:
    """A router process with its workers' sockets; it is killed after the test."""
    with (
        listening_workers() as workers,
        router_process(tmp_path, workers, LIMITS) as (process, address),
    ):
        yield process, address, workers


def send_half(client: Client) -> None:
    client.sock.sendall(HALF)


def send_half_and_rest(client: Client) -> None:
    client.sock.sendall(HALF)
    time.sleep(HALF_QUIET_S)
    client.sock.sendall(REST)


def send_without_end(client: Client) -> None:
    client.send_until_closed(b"x" * 65536)


def drip(client: Client) -> None:
    client.send_until_closed(b"x", DRIP_INTERVAL_S)


def send_too_long(client: Client) -> None:
    client.sock.sendall(b'{"x":"' + b"y" * (2 * MAX_MESSAGE_BYTES) + b'"}\n')


# Guards against running requests that get no final answer since another message on their connection is bad.
@pytest.mark.parametrize("send_bad", [send_half, send_half_and_rest, send_without_end, drip, send_too_long])
def test_a_bad_message_gets_its_error_and_running_requests_their_answers(
    router: Router, send_bad: Callable[[Client], None]
) -> None:
    process, address, workers = router
    streams = Streams(address, workers)
    client, began = streams.client, time.monotonic()
    send_bad(client)
    until(lambda: client.finals(None), "the error", HALF_QUIET_S + RECEIVE_TIMEOUT_S)
    assert client.finals(None)[0][0] - began < BAD_CLIENT_TIMEOUT_S
    streams.finish()
    answered_at = time.monotonic()
    until(lambda: client.closed_at, "the connection is kept", CLOSE_TIMEOUT_S)
    assert client.closed_at is not None and client.closed_at - answered_at < CLOSE_TIMEOUT_S
    assert len(client.finals(None)) == 1 and process.peak_resident_bytes < LIMITS["memory_mb"] << 20


# Guards against a request that is read after a bad message and never answered.
def test_a_sound_request_after_a_bad_message_is_answered(router: Router) -> None:
    _, address, workers = router
    streams = Streams(address, workers)
    send_half_and_rest(streams.client)
    streams.client.sock.sendall(chat_request("91"))
    until(lambda: streams.client.finals(91), "an answer to the sound request")
    streams.finish()


# Guards against streams that run on for a client that has sent a bad message and left.
@pytest.mark.parametrize("send_bad", [send_half, send_without_end, drip])
def test_the_close_of_a_client_after_its_bad_message_withdraws_its_streams(
    router: Router, send_bad: Callable[[Client], None]
) -> None:
    _, address, workers = router
    streams = Streams(address, workers)
    send_bad(streams.client)
    until(lambda: streams.client.finals(None), "the error")
    streams.client.sock.shutdown(socket.SHUT_RDWR)
    for writer, _ in streams.writers:
        while data := writer.recv(65536):
            assert b"notifications/cancelled" in data


# Guards against messages without end that keep other clients waiting while they are read and dropped.
def test_messages_without_end_beside_streams_keep_no_other_client_waiting(router: Router) -> None:
    process, address, workers = router
    flooding = [Streams(address, workers) for _ in range(3)]
    for streams in flooding:
        send_without_end(streams.client)
    other, slowest_s = Client(address), 0.0
    for number in range(20):
        began = time.monotonic()
        other.sock.sendall(MESSAGES["method"](name="ping", id=str(number)))
        slowest_s = max(slowest_s, until(lambda n=number: other.finals(n), "a ping") - began)  # type: ignore[misc]
        time.sleep(0.05)
    assert slowest_s < 0.5 and process.longest_turn_s < 0.15
    for streams in flooding:
        streams.finish()
