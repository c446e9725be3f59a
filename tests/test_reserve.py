"""Tests that file descriptors are reserved for discovery and workers, in a process with a low limit."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from settings import ENV
from test_platform import ask, chunk

from yewlab.processes.addresses import free_address

ROOT = Path(__file__).parent.parent
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STEP_TIMEOUT_S = 20.0  # of real time, for each step of the test
LIST_KNOWN_AFTER_S = 6.0  # within which the router must call a discovery that is up restarted


def accept(listener: socket.socket, within: float, wanted: bytes) -> socket.socket:
    """Accept connections until one sends a request that contains `wanted`; returns it."""
    listener.settimeout(within)
    while True:
        sock = listener.accept()[0]
        sock.settimeout(STEP_TIMEOUT_S)
        data = b""
        while wanted not in data and (more := sock.recv(65536)):
            data += more
        if wanted in data:
            return sock


@pytest.mark.parametrize("sockets", [64, 256])
def test_discovery_and_workers_are_reached_while_idle_clients_use_up_descriptors(
    tmp_path: Path, sockets: int
) -> None:
    discovery, worker = (socket.create_server(("127.0.0.1", 0)) for _ in range(2))
    discovery_at, worker_at = (listener.getsockname() for listener in (discovery, worker))
    entry = {
        "instanceId": "s-1", "hostPort": f"{worker_at[0]}:{worker_at[1]}", "zone": "hall-a", "cell": 1,
        "weight": 1.0, "machineType": "mixed", "lifecycle": "up", "startedAtMs": 0,
    }  # fmt: skip
    path = tmp_path / "config.json"
    clients = free_address("127.0.0.1")
    path.write_text(json.dumps({
        "name": "n1", "listen": f"127.0.0.1:{clients[1]}", "discovery": f"127.0.0.1:{discovery_at[1]}",
        "seed": "1", "settings": ENV, "limits": {"sockets": sockets, "memory_mb": 32},
        "known": {"generation": 1, "reset": True, "instances": [entry]},
    }))  # fmt: skip
    log = (tmp_path / "log").open("w+")
    process = subprocess.Popen(
        [sys.executable, "-m", "yewhook", "serve"], cwd=ROOT, env=os.environ | {"PROXY_CONFIG": str(path)},
        stderr=log, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
    )  # fmt: skip
    opened: list[socket.socket] = []
    try:
        watch = accept(discovery, STEP_TIMEOUT_S, b"\r\n\r\n")
        opened.append(watch)
        watch.sendall(HEAD + chunk("\n"))
        discovery.close()
        watch.close()  # discovery is down
        for _ in range(2 * sockets):  # idle clients: as many as the router accepts, and more that wait
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(clients)
            opened.append(sock)
        client = socket.create_connection(clients, timeout=STEP_TIMEOUT_S)
        opened.append(client)
        client.sendall(ask())
        opened.append(accept(worker, STEP_TIMEOUT_S, b"POST /v1/chat/completions"))
        restarted = socket.socket()
        restarted.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        restarted.bind(discovery_at)
        restarted.listen()
        opened += [restarted, accept(restarted, LIST_KNOWN_AFTER_S, b"GET /v1/servers?watch=1")]
        files = list(Path(f"/proc/{process.pid}/fd").iterdir())
        assert len(files) <= sockets and process.poll() is None
    finally:
        for sock in opened:
            sock.close()
        worker.close()
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=STEP_TIMEOUT_S)
    log.seek(0)
    log_text = log.read()
    log.close()
    assert "too many sockets" in log_text  # the limit was reached
    assert "Errno 24" not in log_text and "no connection to a worker" not in log_text
