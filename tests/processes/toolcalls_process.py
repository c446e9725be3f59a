"""A router process with the tool-calls front, and workers that a test plays on plain sockets."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from settings import ENV

from yewhook.config import Address
from yewhook.dnssd import ServiceInstance, master_file
from yewlab.processes.addresses import free_address
from yewlab.processes.http_connections import HOST
from yewlab.processes.instances import ROOT, Process

DOMAIN = "x.example."
KINDS = {"reader": "prefill", "writer": "decode"}
READY_TIMEOUT_S = 10.0
RECEIVE_TIMEOUT_S = 5.0


@contextmanager
def listening_workers() -> Iterator[dict[str, socket.socket]]:
    """A listening socket for each worker."""
    listeners = {name: socket.create_server((HOST, 0)) for name in KINDS}
    for listener in listeners.values():
        listener.settimeout(RECEIVE_TIMEOUT_S)
    yield listeners
    for listener in listeners.values():
        listener.close()


@contextmanager
def router_process(
    folder: Path,
    workers: dict[str, socket.socket],
    limits: dict[str, int],
    worker_silence_s: float = 30.0,
) -> Iterator[tuple[Process, Address]]:
    """A process with both fronts, and the address of its tool-calls front; it is killed at the end."""
    address = free_address(HOST)
    instances = [
        ServiceInstance(
            name,
            listener.getsockname(),
            texts={"id": name, "kind": KINDS[name], "zone": "hall-a", "cell": "1"},
        )
        for name, listener in workers.items()
    ]
    (folder / "settings.json").write_text(json.dumps(ENV))
    (folder / "fleet.zone").write_text(master_file(DOMAIN, "_worker._tcp", instances))
    (folder / "toolcalls.toml").write_text(
        f'listen = "{HOST}:{address[1]}"\nrecords = "fleet.zone"\ndomain = "{DOMAIN}"\n'
        'worker_service = "_worker._tcp"\ntool_service = "_tool._tcp"\nsettings = "settings.json"\n'
        f"worker_silence_s = {worker_silence_s}\n"
    )
    config = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "limits": limits}
    (folder / "config.json").write_text(json.dumps(config | {"settings": ENV}))
    command = [sys.executable, "-m", "yewhook", "serve", "--toolcalls", str(folder / "toolcalls.toml")]
    env = os.environ | {"PROXY_CONFIG": str(folder / "config.json"), "PROXY_NAME": "n1"}
    with (folder / "log").open("wb") as out:
        popen = subprocess.Popen(command, cwd=ROOT, env=env, stderr=out)
    process = Process(popen, address, folder / "log", time.monotonic())
    end = time.monotonic() + READY_TIMEOUT_S
    while not process.count_log_lines("state: starting to ready"):
        assert time.monotonic() < end and process.running
        time.sleep(0.05)
    yield process, address
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
    """The id of the first message that has been received."""
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
