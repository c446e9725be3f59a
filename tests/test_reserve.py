"""Descriptors kept back for discovery and workers, in a real process under its real limit."""

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

ROOT = Path(__file__).parent.parent
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PATIENCE = 20.0  # s of real time after which something counts as missed
TOLD = 6.0  # s


def accept(listener: socket.socket, within: float, wanted: bytes) -> socket.socket:
    """The next connection on which this is asked."""
    listener.settimeout(within)
    while True:
        sock = listener.accept()[0]
        sock.settimeout(PATIENCE)
        data = b""
        while wanted not in data and (more := sock.recv(65536)):
            data += more
        if wanted in data:
            return sock


@pytest.mark.parametrize("sockets", [64, 256])
def test_idle_clients_fill_the_descriptors_and_discovery_and_workers_are_reached(
    tmp_path: Path, sockets: int
) -> None:
    discovery, worker = (socket.create_server(("127.0.0.1", 0)) for _ in range(2))
    place, at = (listener.getsockname() for listener in (discovery, worker))
    entry = {
        "instanceId": "s-1", "hostPort": f"{at[0]}:{at[1]}", "zone": "hall-a", "cell": 1, "weight": 1.0,
        "machineType": "mixed", "lifecycle": "up", "startedAtMs": 0,
    }  # fmt: skip
    path = tmp_path / "config.json"
    listen = socket.create_server(("127.0.0.1", 0))
    clients = listen.getsockname()
    listen.close()
    path.write_text(json.dumps({
        "name": "n1", "listen": f"127.0.0.1:{clients[1]}", "discovery": f"127.0.0.1:{place[1]}", "seed": "1",
        "settings": ENV, "limits": {"sockets": sockets, "memory_mb": 32},
        "known": {"generation": 1, "reset": True, "instances": [entry]},
    }))  # fmt: skip
    log = (tmp_path / "log").open("w+")
    process = subprocess.Popen(
        [sys.executable, "-m", "yewhook", "serve"], cwd=ROOT, env=os.environ | {"PROXY_CONFIG": str(path)},
        stderr=log, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
    )  # fmt: skip
    opened: list[socket.socket] = []
    try:
        watch = accept(discovery, PATIENCE, b"\r\n\r\n")
        opened.append(watch)
        watch.sendall(HEAD + chunk("\n"))
        discovery.close()
        watch.close()  # discovery is down
        for _ in range(2 * sockets):  # as many idle clients as come, and a crowd behind them
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(clients)
            opened.append(sock)
        client = socket.create_connection(clients, timeout=PATIENCE)
        opened.append(client)
        client.sendall(ask())
        opened.append(accept(worker, PATIENCE, b"POST /v1/chat/completions"))
        again = socket.socket()
        again.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        again.bind(place)
        again.listen()
        opened += [again, accept(again, TOLD, b"GET /v1/servers?watch=1")]
        files = list(Path(f"/proc/{process.pid}/fd").iterdir())
        assert len(files) <= sockets and process.poll() is None
    finally:
        for sock in opened:
            sock.close()
        worker.close()
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=PATIENCE)
    log.seek(0)
    said = log.read()
    log.close()
    assert "too many sockets" in said  # the room was used up
    assert "Errno 24" not in said and "no connection to a worker" not in said
