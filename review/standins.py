"""Stand-ins for the platform round a router: discovery, workers, clients and the front, on loopback addresses.

They follow the protocol page and do nothing else; the cases add the disruption.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that a case that is stopped ends what it has started


class Record:
    """Writes `record.txt`: what was sent, answered and run, in seconds from the start."""

    def __init__(self, folder: Path) -> None:
        self._file, self._began = (folder / "record.txt").open("w"), time.monotonic()

    def __call__(self, who: str, what: str) -> None:
        line = f"{time.monotonic() - self._began:8.3f} {who:10} {what}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)

    def add_log(self, path: Path) -> None:
        """Add the log of a program at the end."""
        if path.exists():
            print(f"\n-- {path.name}", file=self._file)
            print(path.read_text(errors="replace"), file=self._file, flush=True)


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the fields of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in head[1:] if line)
    return head[0], {name.strip().lower(): value.strip() for name, _, value in fields}


class Server:
    """An HTTP/1.1 server at a free port."""

    def __init__(self, name: str) -> None:
        self.name, self._listener = name, socket.create_server((HOST, 0), backlog=512)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"

    async def open(self) -> None:
        """Take connections from now on."""
        self._server = await asyncio.start_server(self._connection, sock=self._listener)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                start, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("content-length", 0)))
                method, path, _ = start.split(" ")
                await self.handle(method, path, headers, reader, writer)
                await writer.drain()
        writer.close()

    async def handle(
        self, method: str, path: str, headers: dict[str, str], reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:  # fmt: skip
        """Answer one request."""
        raise NotImplementedError


class Discovery(Server):
    """A list of workers that never changes, on a watch with an empty line every 2 s."""

    def __init__(self, workers: list[Worker]) -> None:
        super().__init__("discovery")
        self.list = {
            "generation": 1, "reset": True,
            "instances": [
                {"instanceId": one.name, "hostPort": one.address, "zone": "hall-a", "machineType": one.kind,
                 "cell": 1, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0}
                for one in workers
            ],
        }  # fmt: skip

    async def handle(self, method, path, headers, reader, writer) -> None:
        writer.write(SSE_HEAD.replace(b"text/event-stream", b"application/json"))
        writer.write(chunk(json.dumps(self.list).encode() + b"\n"))
        while True:
            await writer.drain()
            await asyncio.sleep(2.0)
            writer.write(chunk(b"\n"))


class Worker(Server):
    """A reader (`prefill`) or a writer (`decode`)."""

    def __init__(
        self, name: str, kind: str, record: Record, read_s: float = 0.0, event_s: float = 0.2,
        stream_s: Callable[[str], float] = lambda request: 1.0,
    ) -> None:  # fmt: skip
        """`read_s` = the time for a prompt; `stream_s` = how long a request's stream takes, `event_s` an event."""
        super().__init__(name)
        self.kind, self._record, self._read_s = kind, record, read_s
        self._event_s, self._stream_s = event_s, stream_s
        self.cut: list[str] = []  # requests whose stream the router ended before the worker
        self.whole: list[str] = []  # requests whose stream was written to the last chunk

    async def handle(self, method, path, headers, reader, writer) -> None:
        if method == "DELETE":
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        elif self.kind == "prefill":
            await asyncio.sleep(self._read_s)
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n" + b'{"cached_tokens":0}')
        else:
            await self._stream(headers["x-txn"], reader, writer)

    async def _stream(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._record(self.name, f"begins {name}")
        writer.write(SSE_HEAD)
        ends, number = time.monotonic() + self._stream_s(name), 0
        while time.monotonic() < ends:
            number += 1
            event = {"choices": [{"index": 0, "delta": {"content": f"w{number:03d}"}, "finish_reason": None}]}
            writer.write(chunk(b"data: " + json.dumps(event).encode() + b"\n\n"))
            await writer.drain()
            await asyncio.sleep(min(self._event_s, max(0.0, ends - time.monotonic())))
            if reader.at_eof() or writer.is_closing():
                self.cut.append(name)
                self._record(self.name, f"the router ended its connection for {name} after event {number}")
                raise ConnectionError
        usage = {"prompt_tokens": 1000, "completion_tokens": 4 * number}
        for event in (
            {"choices": [{"index": 0, "delta": {"content": ""}, "finish_reason": "stop"}]},
            {"choices": [], "usage": usage},
        ):
            writer.write(chunk(b"data: " + json.dumps(event).encode() + b"\n\n"))
        writer.write(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        self.whole.append(name)
        self._record(self.name, f"has written {name} whole, {number} events")


class Client:
    """One request on a new connection, and what comes back."""

    def __init__(
        self, name: str, record: Record, lane: str = "fault-lookup", patience_ms: int = 8000, who: str = "client"
    ) -> None:
        """`name` is the request's id; `who` stands in the record."""
        self.name, self._record, self._lane, self._patience_ms = name, record, lane, patience_ms
        self._who = who
        self.sent = False  # written to the last byte, on a connection that came up
        self.sent_at = self.ended_at = 0.0
        self.status = 0  # of the answer; 0 = none
        self.events = 0
        self.whole = False  # a 200 with its last chunk

    async def ask(self, port: int) -> None:
        """Send the request and read the answer to its end."""
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError as error:
            self._record(self._who, f"{self.name}: no connection, {error.strerror or error}")
            return
        body = json.dumps({"model": "chat", "stream": True, "max_tokens": 200, "messages": []}).encode()
        writer.write(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {self.name}\r\n"
            f"X-Lane: {self._lane}\r\nX-Org: plateau-towers\r\nX-Entity: session-{self.name}\r\n"
            f"X-Remaining: {self._patience_ms}m\r\nX-Labels: prompt_len=1000,prefix_len=0,max_out=200\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        self.sent, self.sent_at = True, time.monotonic()
        self._record(self._who, f"sends {self.name}")
        try:
            start, headers = await read_head(reader)
            self.status = int(start.split(" ")[1])
            if self.status != 200:
                await reader.readexactly(int(headers.get("content-length", 0)))
                self._record(self._who, f"{self.name} is answered {self.status}")
            else:
                await self._read_stream(reader)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            got = f"after {self.events} events" if self.status else "WITHOUT ANY ANSWER"
            self._record(self._who, f"{self.name}: the connection ended {got} ({type(error).__name__})")
        self.ended_at = time.monotonic()
        writer.close()

    async def _read_stream(self, reader: asyncio.StreamReader) -> None:
        while size := int((await reader.readline()).strip() or b"-", 16):
            self.events += (await reader.readexactly(size + 2)).count(b'"finish_reason": null')
        self.whole = True
        self._record(self._who, f"has {self.name} whole, {self.events} events")


async def call(port: int, method: str, path: str, timeout: float = 1.0) -> int:
    """The status of one call on a connection of its own; 0 = no answer."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            start, _ = await read_head(reader)
            writer.close()
            return int(start.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0


async def wait_for(port: int, path: str, status: int = 200, timeout: float = 15.0) -> None:
    """Wait until a call is answered with this status. Raises TimeoutError."""
    until = time.monotonic() + timeout
    while await call(port, "GET", path) != status:
        if time.monotonic() > until:
            raise TimeoutError(f"{path} at {port} does not answer {status}")
        await asyncio.sleep(0.02)


def free_port() -> int:
    """A port that is free now."""
    with socket.create_server((HOST, 0)) as sock:
        return sock.getsockname()[1]


def deploy_settings() -> dict:
    """The settings of deploy/settings.json."""
    return json.loads((ROOT / "deploy" / "settings.json").read_text())


def make_config(folder: Path, name: str, port: int, discovery: Discovery, settings: dict) -> Path:
    """Write a router's configuration file."""
    config = {
        "name": name, "listen": f"{HOST}:{port}", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "known": discovery.list,
        "settings": settings,
    }  # fmt: skip
    path = folder / f"{name}.json"
    path.write_text(json.dumps(config))
    return path


def run_command() -> str:
    """The `run` command of the deploy file."""
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


def start(
    command: str, environ: dict[str, str], log: Path, listener: socket.socket | None = None
) -> subprocess.Popen:
    """Start a program of the project with `/bin/sh -c` from the root; it inherits `listener` as descriptor 4."""
    inherited = {}
    if listener is not None:
        number = listener.fileno()
        inherited = {"pass_fds": (4,), "preexec_fn": lambda: os.dup2(number, 4, inheritable=True)}
    base = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
    with log.open("a") as output:
        return subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output, stderr=output,
            env=base | {"PYTHONDONTWRITEBYTECODE": "1"} | environ, **inherited,
        )  # fmt: skip


def built() -> bool:
    """Whether the `build` command of the deploy file has been run."""
    return (ROOT / ".venv" / "bin" / "python").exists()
