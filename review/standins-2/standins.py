"""Stand-ins for the platform, discovery, workers and clients, by the pages; the standard library only.

Everything runs in threads of the script's process, on loopback addresses and the real clock. `Record` writes
what was sent, answered and run, one line each, with the seconds since the script began.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a script
LIMIT_S = 115.0  # for which a script may run
PROCESSES: list[subprocess.Popen[bytes]] = []  # all that were started


class Record:
    """The file in which a script notes what happened."""

    def __init__(self, path: Path) -> None:
        self._file, self._lock, self._began = path.open("w"), threading.Lock(), time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the script began."""
        return time.monotonic() - self._began

    def note(self, text: str) -> float:
        """Write one line; returns its time."""
        with self._lock:
            now = self.now
            self._file.write(f"{now:9.3f} {text}\n")
            self._file.flush()
        return now


def free_port() -> int:
    """A loopback port at which nobody listens now."""
    with socket.create_server((HOST, 0)) as sock:
        return int(sock.getsockname()[1])


def listen() -> socket.socket:
    """A listening socket on a free loopback port."""
    return socket.create_server((HOST, 0), backlog=256)


def serve(listener: socket.socket, handle: Callable[[socket.socket], None]) -> None:
    """Accept connections for good; each is handled in a thread of its own."""

    def one(sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(sock)
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=one, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


class HttpRequest:
    """One request as a server reads it; None of `read` is the end of the connection."""

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.path, self.headers, self.body = method, path, headers, body

    @staticmethod
    def read(reader: Any) -> HttpRequest | None:
        """Read one request from a file of the connection."""
        start = reader.readline()
        if not start:
            return None
        method, path, _ = start.decode("latin-1").split(" ", 2)
        headers = {}
        while line := reader.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length") or 0)
        body = reader.read(size)
        return HttpRequest(method, path, headers, body) if len(body) == size else None


def answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """A whole answer."""
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body; no data is the last one."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Discovery:
    """The list of workers, as the agent on a router's machine tells it."""

    def __init__(self, record: Record) -> None:
        self.record, self.generation = record, 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed = threading.Condition()
        self._history: list[tuple[int, dict[str, Any]]] = []
        self._listener = listen()
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        serve(self._listener, self._handle)

    def put(self, name: str, **entry: Any) -> None:
        """Add or change one entry; `lifecycle` removed takes it from the list."""
        with self._changed:
            self.generation += 1
            entry = {**self.entries.get(name, {}), "instanceId": name, **entry}
            self._history.append((self.generation, entry))
            self.entries[name] = entry
            if entry["lifecycle"] == "removed":
                del self.entries[name]
            self._changed.notify_all()

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def _handle(self, sock: socket.socket) -> None:
        request = HttpRequest.read(sock.makefile("rb"))
        if request is None or not request.path.startswith("/v1/servers"):
            return
        if "watch=1" not in request.path:
            sock.sendall(answer(200, json.dumps(self.whole()).encode()))
            return
        after = int(request.path.partition("after=")[2] or 0)
        sock.sendall(STREAM_HEAD)
        with self._changed:
            first = self.whole()
            told = self.generation
        sock.sendall(chunk(json.dumps(first).encode() + b"\n"))
        self.record.note(f"discovery: watch after {after}, whole list of generation {told}")
        while True:
            with self._changed:
                self._changed.wait_for(lambda told=told: self.generation > told, timeout=2.0)
                entries = {e["instanceId"]: e for number, e in self._history if number > told}
                message = {"generation": self.generation, "reset": False, "instances": list(entries.values())}
                changed, told = self.generation > told, self.generation
            sock.sendall(chunk(json.dumps(message).encode() + b"\n" if changed else b"\n"))


class Worker:
    """A reader or a writer: reads for `read_s`, streams `tokens` tokens, one event every few of them."""

    def __init__(self, fleet: Fleet, name: str, kind: str, tokens: int = 120, token_s: float = 0.06) -> None:
        self.fleet, self.name, self.kind = fleet, name, kind
        self.tokens, self.token_s, self.read_s, self.first_s = tokens, token_s, 0.1, 0.1
        self._listener = listen()
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        serve(self._listener, self._handle)

    def _handle(self, sock: socket.socket) -> None:
        reader = sock.makefile("rb")
        while (request := HttpRequest.read(reader)) is not None:
            if request.path.startswith("/internal/reservations/"):
                self.fleet.release(request.path.rpartition("/")[2], self.name)
                sock.sendall(answer(204))
                continue
            request_id = request.headers["x-txn"]
            note = self.fleet.record.note
            note(f"{self.name}: got {request_id}, X-Remaining {request.headers.get('x-remaining')}")
            if self.kind == "prefill":
                time.sleep(self.read_s)
                self.fleet.hold(request_id, self.name)
                sock.sendall(answer(202, b'{"cached_tokens":0}'))
            else:
                self._stream(sock, request_id)

    def _stream(self, sock: socket.socket, request_id: str) -> None:
        note, run = self.fleet.record.note, self.fleet.runs
        run[request_id] = run.get(request_id, 0) + 1
        time.sleep(self.first_s)
        self.fleet.take(request_id)
        try:
            self.send_events(sock, request_id)
        except OSError:
            note(f"{self.name}: {request_id} its connection ended while events were still being written")
            self.fleet.cut.add(request_id)
            raise
        note(f"{self.name}: {request_id} whole stream written")
        self.fleet.written.add(request_id)

    def send_events(self, sock: socket.socket, request_id: str) -> None:
        """Write the whole stream."""
        sock.sendall(STREAM_HEAD)
        step = 4
        for number in range(0, self.tokens, step):
            self.write_event(sock, event(f"{self.name} {request_id} {number}"))
            self.fleet.last_event[request_id] = self.fleet.record.now
            time.sleep(step * self.token_s)
        self.write_event(sock, event("", "stop"))
        usage = {"prompt_tokens": 500, "completion_tokens": self.tokens}
        tail = {"choices": [], "usage": usage | {"prompt_tokens_details": {"cached_tokens": 0}}}
        sock.sendall(chunk(b"data: " + json.dumps(tail).encode() + b"\n\ndata: [DONE]\n\n") + chunk(b""))

    def write_event(self, sock: socket.socket, data: bytes) -> None:
        """Write one event as one chunk."""
        sock.sendall(chunk(data))

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()


def event(content: str, finish: str | None = None) -> bytes:
    """One event of a stream."""
    choice = {"index": 0, "delta": {"content": content}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


class Fleet:
    """The workers with what they hold and what they have run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.held: dict[str, tuple[str, float]] = {}  # request -> its reader, since when
        self.runs: dict[str, int] = {}
        self.cut: set[str] = set()  # streams whose connection ended under their worker's events
        self.written: set[str] = set()  # streams that their worker wrote to the end
        self.last_event: dict[str, float] = {}

    def hold(self, request_id: str, reader: str) -> None:
        """A read has ended."""
        self.held[request_id] = reader, self.record.note(f"{reader}: {request_id} read, its state is held")

    def take(self, request_id: str) -> None:
        """A writer fetches the state."""
        if self.held.pop(request_id, None) is not None:
            self.record.note(f"{request_id} state fetched")

    def release(self, request_id: str, by: str) -> None:
        """A worker was told to let go."""
        self.held.pop(request_id, None)
        self.record.note(f"{by}: {request_id} let go")


class Answer:
    """What a client saw of one request."""

    def __init__(self) -> None:
        self.status = 0  # 0: no answer
        self.events = 0
        self.whole = False  # the last chunk or the whole body arrived
        self.ended_at = 0.0
        self.error = ""


class Client:
    """A client; each request goes over a connection of its own unless `sock` is given."""

    def __init__(self, record: Record, port: int, lane: str, org: str, patience_ms: int) -> None:
        self.record, self.port, self.lane, self.org, self.patience_ms = record, port, lane, org, patience_ms

    def ask(self, prompt: int = 500) -> tuple[str, Answer]:
        """Send one request and read its answer to its end."""
        request_id, result = secrets.token_hex(8), Answer()
        body = json.dumps({"model": "chat", "stream": True, "max_tokens": 500, "messages": [
            {"role": "user", "content": "word " * (prompt * 4 // 5)}]}).encode()  # fmt: skip
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {request_id}\r\n"
            f"X-Lane: {self.lane}\r\nX-Org: {self.org}\r\nX-Entity: {secrets.token_hex(8)}\r\n"
            f"X-Remaining: {self.patience_ms}m\r\n"
            f"X-Labels: prompt_len={prompt},max_out=500\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            with socket.create_connection((HOST, self.port), timeout=5.0) as sock:
                sock.settimeout(60.0)
                sock.sendall(head.encode() + body)
                self.record.note(f"client: sent {request_id} {self.lane} to port {self.port}")
                self._read(sock.makefile("rb"), result)
        except OSError as error:
            result.error = str(error)
        result.ended_at = self.record.note(
            f"client: {request_id} status {result.status}, {result.events} events, "
            f"{'whole' if result.whole else 'NOT WHOLE'} {result.error}"
        )
        return request_id, result

    def _read(self, reader: Any, result: Answer) -> None:
        start = reader.readline().split()
        if len(start) < 2:
            return
        result.status, headers = int(start[1]), {}
        while line := reader.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() != "chunked":
            size = int(headers.get("content-length") or 0)
            result.whole = len(reader.read(size)) == size
            return
        while line := reader.readline().strip():
            size = int(line, 16)
            data = reader.read(size + 2)
            if len(data) < size + 2:
                return
            if size == 0:
                result.whole = True
                return
            result.events += data.count(b"data:")


def spawn(
    command: list[str], env: dict[str, str], out: Any, pass_fds: tuple[int, ...] = ()
) -> subprocess.Popen[bytes]:
    """Start a process, in a session of its own so that all that it starts can be ended with it."""
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        env=env,
        stdin=subprocess.DEVNULL,
        stdout=out,
        stderr=out,
        pass_fds=pass_fds,
        start_new_session=True,
    )
    PROCESSES.append(process)
    return process


def end_processes() -> None:
    """End all processes that were started, and those that they started."""
    for process in PROCESSES:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        process.wait()


class Router:
    """One router process, started as the platform does by a command of the deploy file."""

    def __init__(
        self, record: Record, folder: Path, config: dict[str, Any], environ: dict[str, str] | None = None,
        number: int = 0, pass_fds: tuple[int, ...] = (), arguments: str = "",
    ) -> None:  # fmt: skip
        self.record, self.name = record, str(config["name"])
        path = folder / f"{self.name}-{number}.json"
        path.write_text(json.dumps(config))
        self.tmp = folder / f"{self.name}-tmp"
        self.tmp.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        env |= {
            "PROXY_NAME": self.name, "PROXY_CONFIG": str(path), "PROXY_LISTEN": config["listen"],
            "PROXY_DISCOVERY": config["discovery"], "TMPDIR": str(self.tmp),
        }  # fmt: skip
        self.log = folder / f"{self.name}-{number}.log"
        with self.log.open("wb") as out:
            self.process = spawn(
                ["/bin/sh", "-c", f"{run} {arguments}"], env | (environ or {}), out, pass_fds
            )
        self.port = int(config["listen"].rpartition(":")[2])
        record.note(f"platform: started {self.name}, pid {self.process.pid}")

    def signal(self, number: int) -> None:
        """Send a signal to the program."""
        self.record.note(f"platform: {signal.Signals(number).name} to {self.name}, pid {self.process.pid}")
        if self.process.poll() is None:
            self.process.send_signal(number)


def call(port: int, method: str, path: str, timeout: float = 1.0) -> int:
    """The status of a call without a body; 0 if there was no answer."""
    try:
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
        try:
            connection.request(method, path)
            return connection.getresponse().status
        finally:
            connection.close()
    except (OSError, http.client.HTTPException):
        return 0


def wait_for(condition: Callable[[], object], seconds: float, poll: float = 0.05) -> bool:
    """Whether a condition comes true in time."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(poll)
    return True


def in_thread(run: Callable[[], Any]) -> threading.Thread:
    """Run a function in a thread."""
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def lj_davki(instances: int) -> dict[str, Any]:
    """Settings of a small deployment like lj-davki: clients don't ask for the rest of a broken stream."""
    return {
        "caps": {
            "conn-idle-ms": 30000.0, "connect-timeout-ms": 250.0, "max-retry-after-ms": 2000.0,
            "may-cancel": True, "may-tell": False, "probes": False, "retry-after": True,
            "second-copies": True, "send-cap": 5,
        },
        "classes": [
            {"name": "vprasanje", "effect": "repeatable", "group": "all", "promise-ms": 1000.0,
             "give-up-ms": 4000.0, "worth": 2.0, "late-worth": 0.1, "dedup-window-ms": 5000.0,
             "streamed": True},
            {"name": "vnos-listin", "effect": "once", "group": "all", "promise-ms": 2500.0,
             "give-up-ms": 10000.0, "worth": 5.0, "late-worth": 0.1, "dedup-window-ms": 5000.0,
             "streamed": True},
        ],
        "clients": {"marks-retry": True},
        "contract": {
            "answer-slack-ms": 16.0, "ask-within-ms": 10000.0, "cold-from": 0.32, "cold-ms": 14000.0,
            "fall-ms": 1000.0, "fall-multiple": 3.0, "stop-sending-within-ms": 1000.0,
        },
        "customers": [
            {"name": "racunovodstvo-brezar", "quota-per-s": 60.0, "share": 0.41},
            {"name": "biro-kovacic", "quota-per-s": 60.0, "share": 0.26},
        ],
        "extra": {
            "aim-us-per-1000-prompt-tokens": [40000.0, 120000.0], "kind-role": ["read", "write"],
            "let-go-by-ms": 500.0, "may-reserve": True, "memory-tokens": [220000, 150000],
            "read-in-place": True, "report-x0": "share of memory that is held", "resume": False,
            "token-aim-ms": [60.0, 80.0],
        },
        "instances": instances, "membership-mode": "automatic", "over-share-worth": 0.1,
        "report": {"columns": ["cpu", "waiting", "x0"], "how": "answers"},
        "self-index": 0, "shapes": ["prefill", "decode"], "tick-ms": 2.0, "tier": 0,
        "tiers": ["model-fleet"], "weight-kind": "rough", "worth-by": "work", "zone": 0,
        "zones": ["lj-dc1"],
    }  # fmt: skip


class Stage:
    """A small deployment: discovery, workers and routers, with a temporary folder."""

    def __init__(self, folder: str, settings: dict[str, Any]) -> None:
        self.record = Record(Path(folder) / "record.txt")
        self.record.note(f"TROUBLE={int(TROUBLE)}")
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.settings = settings
        self.discovery, self.fleet = Discovery(self.record), Fleet(self.record)
        self.workers: dict[str, Worker] = {}
        self.routers: list[Router] = []

    def add_worker(self, worker: Worker) -> None:
        """Add a worker that has been running for long."""
        self.workers[worker.name] = worker
        self.discovery.put(
            worker.name, hostPort=worker.address, zone=self.settings["zones"][0],
            machineType=worker.kind, cell=1, lifecycle="up", weight=1.0, startedAtMs=0,
        )  # fmt: skip

    def config(self, name: str, **more: Any) -> dict[str, Any]:
        """The configuration of a router."""
        return {
            "name": name, "listen": f"{HOST}:{free_port()}", "discovery": self.discovery.address,
            "seed": secrets.token_hex(8), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.whole(), "settings": self.settings, **more,
        }  # fmt: skip

    def start(self, config: dict[str, Any], **more: Any) -> Router:
        """Start a router."""
        self.routers.append(Router(self.record, self.folder, config, **more))
        return self.routers[-1]

    def close(self, code: int, verdict: str) -> int:
        """End all processes, keep the routers' logs in the record, and return the exit code."""
        end_processes()
        self.record.note(f"verdict: {verdict} (exit {code})")
        for log in sorted(self.folder.rglob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[-80:]:
                self.record.note(f"log of {log.stem}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)
        print(verdict)
        return code


def main(run: Callable[[str], int]) -> None:
    """Run a script's case; what goes wrong in the script itself is exit code 2."""

    def end(code: int) -> None:
        end_processes()
        sys.stdout.flush()
        os._exit(code)

    def out_of_time() -> None:
        print("the case could not run: out of time")
        end(NOT_RUN)

    limit = threading.Timer(LIMIT_S, out_of_time)
    limit.daemon = True
    limit.start()
    signal.signal(signal.SIGTERM, lambda *_: end(NOT_RUN))
    try:
        code = run(sys.argv[1])
    except Exception as error:
        print(f"the case could not run: {type(error).__name__} {error}")
        code = NOT_RUN
    end(code)
