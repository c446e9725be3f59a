"""Workers of the tool-calls front whose notifications bring no event, at a real router process."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from toolcalls_process import RECEIVE_TIMEOUT_S, accept_attempt, listening_workers, router_process, rpc_id
from toolcalls_scenario import MESSAGES, chat_request, message

from yewhook.config import Address

WORKER_SILENCE_S = 1.0
PATIENCE_S = (1.0, 9.0)  # of a client whose stream does not begin, and of one whose stream does
LEFT_OPEN_S = 3.0  # in which either is answered
INTERVAL_S = 0.24
EMPTY_NOTIFICATIONS = {
    "no event": message(method="notifications/event", params={}),
    "null": message(method="notifications/event", params={"event": None}),
    "empty text": message(method="notifications/event", params={"event": ""}),
    "blank lines": b"\n\n",
    "other notification": message(method="notifications/progress", params={"event": "x"}),
    "message without end": b" ",
}


@pytest.fixture
def workers() -> Iterator[dict[str, socket.socket]]:
    """A listening socket for each worker."""
    with listening_workers() as listeners:
        yield listeners


@pytest.fixture
def router(tmp_path: Path, workers: dict[str, socket.socket]) -> Iterator[Address]:
    """The address of the tool-calls front of a router process."""
    limits = {"memory_mb": 64, "sockets": 256}
    with router_process(tmp_path, workers, limits, WORKER_SILENCE_S) as (_, address):
        yield address


def answered_after(
    router: Address, workers: dict[str, socket.socket], data: bytes, events_before: int
) -> tuple[float, bytes]:
    """How long a client waits for its answer, and all that it receives, while a writer repeats `data`."""
    with socket.create_connection(router, RECEIVE_TIMEOUT_S) as client:
        client.sendall(chat_request(left=str(round(PATIENCE_S[events_before] * 1000))))
        reader, request = accept_attempt(workers["reader"])
        reader.sendall(message(id=rpc_id(request), result={"read": True, "cachedTokens": 0}))
        writer, _ = accept_attempt(workers["writer"])
        writer.sendall(MESSAGES["event"](text="first") * events_before)
        began, received = time.monotonic(), b""
        client.settimeout(INTERVAL_S)
        while b'"error"' not in received and time.monotonic() - began < LEFT_OPEN_S:
            with contextlib.suppress(OSError):
                writer.sendall(data)
            with contextlib.suppress(TimeoutError):
                received += client.recv(65536)
        reader.close()
        writer.close()
    return time.monotonic() - began, received


# Guards against clients left waiting on a stream that brings no event, though messages keep arriving.
def test_a_stream_of_notifications_without_an_event_ends_in_time(
    router: Address, workers: dict[str, socket.socket]
) -> None:
    for kind, data in EMPTY_NOTIFICATIONS.items():
        for events_before in (0, 1):
            waited_s, received = answered_after(router, workers, data, events_before)
            assert waited_s < LEFT_OPEN_S and b'"error"' in received, (kind, events_before, received)
            assert received.count(b"notifications/event") == events_before, (kind, received)
