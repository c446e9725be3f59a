"""Workers of the tool-calls front whose notifications bring no event, at a real router process."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from settings import ENV
from toolcalls_scenario import MESSAGES, chat_request, message

from yewhook.dnssd import ServiceInstance, master_file
from yewlab.processes.addresses import free_address
from yewlab.processes.http_connections import HOST
from yewlab.processes.instances import ROOT, Process

DOMAIN = "x.example."
KINDS = {"reader": "prefill", "writer": "decode"}
WORKER_SILENCE_S = 1.0
PATIENCE_S = (1.0, 9.0)  # of a client whose stream does not begin, and of one whose stream does
LEFT_OPEN_S = 3.0  # in which either is answered
INTERVAL_S = 0.24
READY_TIMEOUT_S = 10.0
RECEIVE_TIMEOUT_S = 5.0
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
    listeners = {name: socket.create_server((HOST, 0)) for name in KINDS}
    for listener in listeners.values():
        listener.settimeout(RECEIVE_TIMEOUT_S)
    yield listeners
    for listener in listeners.values():
        listener.close()


@pytest.fixture
def router(tmp_path: Path, workers: dict[str, socket.socket]) -> Iterator[tuple[str, int]]:
    """The address of the tool-calls front of a router process."""
    address = free_address(HOST)
    instances = [
        ServiceInstance(
            name,
            listener.getsockname(),
            texts={"id": name, "kind": KINDS[name], "zone": "hall-a", "cell": "1"},
        )
        for name, listener in workers.items()
    ]
    (tmp_path / "settings.json").write_text(json.dumps(ENV))
    (tmp_path / "fleet.zone").write_text(master_file(DOMAIN, "_worker._tcp", instances))
    (tmp_path / "toolcalls.toml").write_text(
        f'listen = "{HOST}:{address[1]}"\nrecords = "fleet.zone"\ndomain = "{DOMAIN}"\n'
        'worker_service = "_worker._tcp"\ntool_service = "_tool._tcp"\nsettings = "settings.json"\n'
        f"worker_silence_s = {WORKER_SILENCE_S}\n"
    )
    config = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}
    limits = {"memory_mb": 64, "sockets": 256}
    (tmp_path / "config.json").write_text(json.dumps(config | {"limits": limits, "settings": ENV}))
    command = [sys.executable, "-m", "yewhook", "serve", "--toolcalls", str(tmp_path / "toolcalls.toml")]
    env = os.environ | {"PROXY_CONFIG": str(tmp_path / "config.json"), "PROXY_NAME": "n1"}
    with (tmp_path / "log").open("wb") as out:
        popen = subprocess.Popen(command, cwd=ROOT, env=env, stderr=out)
    process = Process(popen, address, tmp_path / "log", time.monotonic())
    end = time.monotonic() + READY_TIMEOUT_S
    while not process.count_log_lines("state: starting to ready"):
        assert time.monotonic() < end and process.running
        time.sleep(0.05)
    yield address
    process.send_signal(signal.SIGKILL)
    popen.wait()


def receive(sock: socket.socket, text: bytes) -> bytes:
    """Read until a text has been received; returns all of it."""
    received = b""
    while text not in received:
        data = sock.recv(65536)
        assert data, received
        received += data
    return received


def rpc_id(request: bytes) -> int:
    return int(json.loads(request.splitlines()[0])["id"])


def accept_attempt(listener: socket.socket) -> tuple[socket.socket, bytes]:
    """Accept the connection of an attempt, and close those of releases before it; returns its request too."""
    while True:
        sock = listener.accept()[0]
        sock.settimeout(RECEIVE_TIMEOUT_S)
        request = receive(sock, b"\n")
        if b"chat/completions" in request:
            return sock, request
        sock.close()


def answered_after(
    router: tuple[str, int], workers: dict[str, socket.socket], data: bytes, events_before: int
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
    router: tuple[str, int], workers: dict[str, socket.socket]
) -> None:
    for kind, data in EMPTY_NOTIFICATIONS.items():
        for events_before in (0, 1):
            waited_s, received = answered_after(router, workers, data, events_before)
            assert waited_s < LEFT_OPEN_S and b'"error"' in received, (kind, events_before, received)
            assert received.count(b"notifications/event") == events_before, (kind, received)
