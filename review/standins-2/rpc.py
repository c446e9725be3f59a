"""Stand-ins for the tool-calls front: workers, clients and records, in JSON-RPC 2.0 by docs/TOOL-CALLS.md."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import threading
import time
from pathlib import Path
from typing import Any

import standins
from standins import HOST, ROOT, Record, listen, serve

SHIPPED_SETTINGS = ROOT / "deploy" / "settings.json"


class RpcWorker:
    """A worker; subclasses say what it does with a request. Each connection is handled in a thread."""

    def __init__(self, record: Record, name: str, kind: str) -> None:
        self.record, self.name, self.kind = record, name, kind
        self._listener = listen()
        self.port = int(self._listener.getsockname()[1])
        serve(self._listener, self._handle)

    def _handle(self, sock: socket.socket) -> None:
        for line in sock.makefile("rb"):
            message = json.loads(line)
            if message.get("method") == "reservations/release":
                self.record.note(f"{self.name}: let go of {message['params']['requestId']}")
                send(sock, id=message["id"], result={})
            elif message.get("method") == "chat/completions":
                self.record.note(f"{self.name}: got {message['params']['requestId']}")
                self.chat(sock, message["id"], message["params"])

    def chat(self, sock: socket.socket, rpc_id: int, params: dict[str, Any]) -> None:
        """Answer one request."""
        raise NotImplementedError

    def records(self, number: int, **texts: object) -> str:
        """Its DNS-SD records."""
        service, host = "_yewhook-worker._tcp", f"host-{number}"
        keys = {"id": self.name, "kind": self.kind, **texts}
        text = " ".join(f'"{key}={value}"' for key, value in keys.items())
        return (
            f"{service} IN PTR {self.name}.{service}\n{self.name}.{service} IN SRV 0 0 {self.port} {host}\n"
            f"{self.name}.{service} IN TXT {text}\n{host} IN A {HOST}\n"
        )


def send(sock: socket.socket, **message: Any) -> None:
    """Send one message."""
    sock.sendall(json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n")


class RpcReader(RpcWorker):
    """Reads each prompt in a moment."""

    def chat(self, sock: socket.socket, rpc_id: int, params: dict[str, Any]) -> None:
        """Say that the prompt has been read."""
        time.sleep(0.02)
        send(sock, id=rpc_id, result={"read": True, "cachedTokens": 0})


def zone(records: list[str]) -> str:
    """A master file."""
    return "$ORIGIN fleet.example.\n$TTL 10\n" + "".join(records)


def start_router(
    stage: standins.Stage, zone_text: str, settings: dict[str, Any]
) -> tuple[subprocess.Popen[bytes], int]:
    """Start a router with the tool-calls front; returns its process and its port."""
    port, folder = standins.free_port(), stage.folder
    (folder / "fleet.zone").write_text(zone_text)
    (folder / "settings.json").write_text(json.dumps(settings))
    (folder / "toolcalls.toml").write_text(
        f'listen = "{HOST}:{port}"\nrecords = "fleet.zone"\ndomain = "fleet.example."\n'
        'worker_service = "_yewhook-worker._tcp"\ntool_service = "_yewhook-tool._tcp"\n'
        'settings = "settings.json"\ntool_deadline_s = 10\nworker_silence_s = 30\n'
        "connect_timeout_s = 0.25\nidle_limit_s = 30\n"
    )
    with (folder / "router.log").open("wb") as log:
        command = [".venv/bin/python", "-m", "yewhook", "serve", "--no-platform"]
        command += ["--toolcalls", str(folder / "toolcalls.toml")]
        process = standins.spawn(command, os.environ | {"PROXY_NAME": "n1", "TMPDIR": str(folder)}, log)
    stage.record.note(f"router started, pid {process.pid}, port {port}")
    return process, port


def shipped_settings() -> dict[str, Any]:
    """The settings that the project ships, with quotas that nobody exceeds."""
    settings = json.loads(Path(SHIPPED_SETTINGS).read_text())
    settings["customers"] = [one | {"quota-per-s": 1e6} for one in settings["customers"]]
    return settings


class RpcClient:
    """A client with one connection, on which it asks one request after the other."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self._ids = record, 0
        self._sock = socket.create_connection((HOST, port), timeout=5.0)
        self._sock.settimeout(30.0)
        self._reader = self._sock.makefile("rb")

    def ask(
        self, marker: str, lane: str = "fault-lookup", patience_ms: int = 8000
    ) -> tuple[list[Any], dict[str, Any]]:
        """Ask one request, whose marker its worker repeats in each event; returns events and final answer."""
        self._ids += 1
        params = {
            "class": lane, "tenant": "plateau-towers", "session": marker, "patienceMs": patience_ms,
            "promptTokens": 500, "maxTokens": 200, "marker": marker,
        }  # fmt: skip
        send(self._sock, id=self._ids, method="chat/completions", params=params)
        self.record.note(f"client: asked {marker}")
        events = []
        for line in self._reader:
            message = json.loads(line)
            if message.get("id") == self._ids and "method" not in message:
                return events, message
            if message.get("method") == "notifications/event" and message["params"]["requestId"] == self._ids:
                events.append(message["params"]["event"])
        return events, {}

    def close(self) -> None:
        """Hang up."""
        self._sock.close()


def in_parallel(count: int, run: Any) -> list[threading.Thread]:
    """Run a function in so many threads, each with its number."""
    return [standins.in_thread(lambda number=number: run(number)) for number in range(count)]


def ready(port: int) -> bool:
    """Whether a ping is answered."""
    try:
        with socket.create_connection((HOST, port), timeout=1.0) as sock:
            sock.settimeout(1.0)
            send(sock, id=1, method="ping", params={})
            return "result" in json.loads(sock.makefile("rb").readline())
    except (OSError, ValueError):
        return False
