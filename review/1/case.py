"""An attempt that was given up is sent all the same, and runs: see claim.txt.

Two plays, each with a router of its own. Exit status: 1 = the rule was broken, 0 = it held, 2 = the case could not
run. TROUBLE=0: the same without the disruption.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins import HOST, TROUBLE, Record, built, deploy_settings, free_port, run_command, start  # noqa: E402

REFUSED = -32001
READ_S = 0.6  # the reader's time for a prompt, in the play of the refusal
PATIENCE_MS = 800  # of the first try there
WATCH_S = 4.0  # after the last answer, for what still arrives at workers
record = Record(FOLDER)


def encode(message: dict) -> bytes:
    """A JSON-RPC message as one line."""
    return json.dumps({"jsonrpc": "2.0"} | message).encode() + b"\n"


class Worker:
    """A worker of docs/TOOL-CALLS.md. It begins a request when the request's last byte has arrived."""

    def __init__(self, name: str, reads: bool, read_s: float = 0.0) -> None:
        self.name, self.reads, self._read_s = name, reads, read_s
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        self._held: list[socket.socket] = []  # connections that fill its accept queue
        self.begun: list[dict] = []  # params of the requests that it has begun

    def at_its_limit(self) -> None:
        """Take no connection: with the accept queue full, new ones come up late."""
        self._listener.listen(0)
        for _ in range(3):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((HOST, self.port))
            self._held.append(sock)
        record(self.name, "is at its connection limit: no connection comes up")

    async def open(self) -> None:
        """Take connections (again)."""
        self._listener.listen(128)
        for sock in self._held:
            sock.close()
        self._server = await asyncio.start_server(self._connection, sock=self._listener)
        record(self.name, "takes connections")

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                message = json.loads(line)
                method, params = message.get("method"), message.get("params", {})
                if method == "chat/completions":
                    await self._chat(message["id"], params, writer)
                elif method == "notifications/cancelled":
                    record(self.name, f"is told that request {params.get('requestId')} is withdrawn")
                elif method == "reservations/release":
                    writer.write(encode({"id": message["id"], "result": {}}))
                await writer.drain()
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _chat(self, rpc_id: int, params: dict, writer: asyncio.StreamWriter) -> None:
        what = f"{params['order']} try {params['try']}, the router's id {params['requestId']}"
        if self.reads:
            record(self.name, f"reads {what}")
            await asyncio.sleep(self._read_s)
            writer.write(encode({"id": rpc_id, "result": {"read": True, "cachedTokens": 0}}))
            return
        self.begun.append(params)
        record(self.name, f"BEGINS {what}: the work order is closed")
        event = {"method": "notifications/event", "params": {"event": f"closed {params['order']}"}}
        writer.write(encode(event))
        await writer.drain()
        await asyncio.sleep(0.2)
        writer.write(encode({"id": rpc_id, "result": {"cachedTokens": 0}}))


async def ask(port: int, order: str, number: int, patience_ms: int) -> dict:
    """Send a request as the client's try `number`; returns the final answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    params = {
        "class": "service-log", "tenant": "plateau-towers", "session": order, "patienceMs": patience_ms,
        "promptTokens": 3000, "maxTokens": 100, "order": order, "try": number, "messages": [],
    }  # fmt: skip
    if number > 1:
        params["repeat"] = True
    record("client", f"sends {order} try {number}, waits {patience_ms} ms")
    writer.write(encode({"id": number, "method": "chat/completions", "params": params}))
    while line := await reader.readline():
        message = json.loads(line)
        if message.get("id") == number:
            record("client", f"{order} try {number} is answered {line.decode().strip()}")
            writer.close()
            return message
    raise ConnectionError("no final answer")


def write_zone(path: Path, workers: list[tuple[Worker, str]]) -> None:
    """Write the DNS-SD records of workers with their states."""
    lines = ["$ORIGIN fleet.example.", "$TTL 10", "host IN A 127.0.0.1"]
    for worker, state in workers:
        owner, kind = f"{worker.name}._w._tcp", "prefill" if worker.reads else "decode"
        lines += [
            f"_w._tcp IN PTR {owner}", f"{owner} IN SRV 0 0 {worker.port} host",
            f'{owner} IN TXT "id={worker.name}" "kind={kind}" "zone=hall-a" "cell=1" "state={state}"',
        ]  # fmt: skip
    path.with_suffix(".new").write_text("\n".join(lines) + "\n")
    path.with_suffix(".new").replace(path)


class Router:
    """A router with the tool-calls front alone."""

    def __init__(self, folder: Path) -> None:
        self.port, self.zone = free_port(), folder / "fleet.zone"
        (folder / "settings.json").write_text(json.dumps(deploy_settings()))
        (folder / "toolcalls.toml").write_text(
            f'listen = "{HOST}:{self.port}"\nrecords = "fleet.zone"\ndomain = "fleet.example."\n'
            'worker_service = "_w._tcp"\ntool_service = "_t._tcp"\nsettings = "settings.json"\n'
            "tool_deadline_s = 10\nworker_silence_s = 30\nconnect_timeout_s = 0.25\nidle_limit_s = 30\n"
        )
        self._log = folder / "router.log"
        command = f"{run_command()} --no-platform --toolcalls {folder / 'toolcalls.toml'}"
        environ = {"TMPDIR": str(folder), "PROXY_REQUEST_LOG": "all"}
        self._process = start(command, environ, self._log)

    async def wait(self) -> None:
        """Wait until it answers."""
        for _ in range(150):
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode({"id": 1, "method": "ping", "params": {}}))
                if await reader.readline():
                    return writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise TimeoutError("the router does not answer")

    def end(self) -> None:
        """End it, and keep its log."""
        self._process.kill()
        self._process.wait()
        record.add_log(self._log)


async def play_withdrawn(folder: Path) -> bool:
    """Connections to a writer come up late, and it is told to drain meanwhile; another writer is there."""
    record("play", "1: a record is withdrawn while attempts are connecting")
    reader, first, second = Worker("reader", True), Worker("writer-1", False), Worker("writer-2", False)
    for worker in (reader, second):
        await worker.open()
    if not TROUBLE:
        await first.open()
    router = Router(folder)
    write_zone(router.zone, [(reader, "up"), (first, "up")])
    try:
        await router.wait()
        if TROUBLE:
            first.at_its_limit()
        write_zone(router.zone, [(reader, "up"), (first, "draining"), (second, "up")])
        record("records", "writer-1 drains, and writer-2 is up; the router reads the file every 0.5 s")
        asks = []
        for number in range(6):
            asks.append(asyncio.create_task(ask(router.port, f"order-{number}", 1, 9000)))
            await asyncio.sleep(0.1)
        if TROUBLE:
            await asyncio.sleep(0.1)
            await first.open()
        answers = await asyncio.gather(*asks)
        await asyncio.sleep(WATCH_S)
    finally:
        router.end()
    ran = [params["requestId"] for worker in (first, second) for params in worker.begun]
    twice = sorted({params["order"] for params in first.begun + second.begun if ran.count(params["requestId"]) > 1})
    record("check", f"{sum('result' in answer for answer in answers)} of {len(answers)} served; begun twice: {twice}")
    return not twice


async def play_refused(folder: Path) -> bool:
    """The client's time ends while the connection to the writer is coming up."""
    record("play", "2: the client's time ends while the attempt is connecting")
    reader, writer = Worker("reader", True, READ_S), Worker("writer", False)
    await reader.open()
    if not TROUBLE:
        await writer.open()
    router = Router(folder)
    write_zone(router.zone, [(reader, "up"), (writer, "up")])
    try:
        await router.wait()
        if TROUBLE:
            writer.at_its_limit()
        answer = await ask(router.port, "order-1", 1, PATIENCE_MS)
        if TROUBLE:
            await writer.open()
        refused = "error" in answer and answer["error"]["code"] == REFUSED
        if refused:
            await asyncio.sleep(answer["error"].get("data", {}).get("retry_after", 0.2))
            record("client", "was told that trying again is harmless, and does")
            await ask(router.port, "order-1", 2, 9000)
        await asyncio.sleep(WATCH_S)
    finally:
        router.end()
    tries = [params["try"] for params in writer.begun]
    record("check", f"try 1 was {'refused' if refused else 'not refused'}; the writer began tries {tries}")
    return not (refused and 1 in tries) and len(tries) <= 1


async def play() -> int:
    """Both plays."""
    held = []
    for one in (play_withdrawn, play_refused):
        with tempfile.TemporaryDirectory() as folder:
            held.append(await one(Path(folder)))
    record("check", "held" if all(held) else "BROKEN: a `once` request ran more than once, or after its refusal")
    return 0 if all(held) else 1


def main() -> int:
    """Run the case."""
    if not built():
        record("case", "could not run: there is no .venv; build first")
        return 2
    try:
        return asyncio.run(asyncio.wait_for(play(), 100.0))
    except Exception as error:
        record("case", f"could not run: {type(error).__name__} {error}")
        return 2


sys.exit(main())
