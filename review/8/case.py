"""A client of the tool-calls front falls quiet in the middle of a message while its other requests stream."""

from __future__ import annotations

import json
import socket
import threading
import time
from typing import Any

import rpc
import standins
from standins import BROKEN, HELD, HOST, NOT_RUN, Stage, wait_for

CLIENTS, STREAMS = 3, 3  # streams open on each client's connection
QUIET_S = 2.8  # within the 3 s in which a client that stops in the middle of a request gets its error
EVENTS = 30  # of an answer, one each 0.25 s: 7.5 s


class Writer(rpc.RpcWorker):
    """Streams events that repeat the request's marker."""

    def chat(self, sock: Any, rpc_id: int, params: dict[str, Any]) -> None:
        """Answer; what the router sends meanwhile is not read."""
        for number in range(EVENTS):
            event = {"of": params["marker"], "n": number}
            rpc.send(sock, method="notifications/event", params={"event": event})
            time.sleep(0.25)
        rpc.send(sock, id=rpc_id, result={"cachedTokens": 0})
        self.record.note(f"{self.name}: {params['marker']} ran to its end")


class Client:
    """One connection with several requests open at once."""

    def __init__(self, stage: Stage, port: int, number: int) -> None:
        self.stage, self.number = stage, number
        self.sock = socket.create_connection((HOST, port), timeout=5.0)
        self.sock.settimeout(30.0)
        self.finals: dict[int, dict[str, Any]] = {}
        self.events: dict[int, int] = {}
        self.closed = threading.Event()
        standins.in_thread(self._read)

    def message(self, rpc_id: int) -> bytes:
        """A request."""
        params = {
            "class": "service-log" if rpc_id % 2 else "fault-lookup", "tenant": "plateau-towers",
            "session": f"s{self.number}-{rpc_id}", "patienceMs": 8000, "promptTokens": 500, "maxTokens": 200,
            "marker": f"c{self.number}-{rpc_id}",
        }  # fmt: skip
        call = {"jsonrpc": "2.0", "id": rpc_id, "method": "chat/completions", "params": params}
        self.stage.record.note(f"client {self.number}: asks {rpc_id}")
        return json.dumps(call).encode() + b"\n"

    def _read(self) -> None:
        try:
            for line in self.sock.makefile("rb"):
                message = json.loads(line)
                if "method" in message:
                    asked = message["params"]["requestId"]
                    self.events[asked] = self.events.get(asked, 0) + 1
                else:
                    self.finals[message["id"]] = message
                    self.stage.record.note(f"client {self.number}: {line.decode().strip()}")
        except OSError as error:
            self.stage.record.note(f"client {self.number}: {error}")
        self.closed.set()
        self.stage.record.note(f"client {self.number}: connection closed by the router")


def run(folder: str) -> int:
    """Play the case."""
    settings = rpc.shipped_settings()
    settings["extra"]["resume"] = False  # as at lj-davki: clients don't ask for the rest of a stream
    stage = Stage(folder, settings)
    workers = [rpc.RpcReader(stage.record, "reader-1", "prefill"), Writer(stage.record, "writer-1", "decode"),
               Writer(stage.record, "writer-2", "decode")]  # fmt: skip
    text = rpc.zone([worker.records(number, zone="hall-a", cell=1) for number, worker in enumerate(workers)])
    process, port = rpc.start_router(stage, text, settings)
    try:
        if not wait_for(lambda: rpc.ready(port), 15.0):
            return stage.close(NOT_RUN, "the router did not become ready")
        clients = [Client(stage, port, number) for number in range(CLIENTS)]
        for client in clients:
            for rpc_id in range(1, STREAMS + 1):
                client.sock.sendall(client.message(rpc_id))
        if not wait_for(lambda: all(len(client.events) == STREAMS for client in clients), 5.0):
            return stage.close(NOT_RUN, "not every stream began")
        time.sleep(0.5)

        def ask_another(client: Client) -> None:
            data = client.message(STREAMS + 1)
            try:
                client.sock.sendall(data[: len(data) // 2])
                if standins.TROUBLE:
                    stage.record.note(f"client {client.number}: its connection is quiet for {QUIET_S} s")
                    time.sleep(QUIET_S)
                client.sock.sendall(data[len(data) // 2 :])
            except OSError as error:
                stage.record.note(f"client {client.number}: {error}")

        threads = [standins.in_thread(lambda client=client: ask_another(client)) for client in clients]
        for thread in threads:
            thread.join(10.0)
        wait_for(lambda: all(len(c.finals) > STREAMS or c.closed.is_set() for c in clients), 25.0)
        time.sleep(1.0)
    finally:
        process.terminate()
        if not wait_for(lambda: process.poll() is not None, 5.0):
            process.kill()
    # The request that was half sent may get an error. Those that the router had taken need an answer.
    lost = [f"c{c.number}-{n}" for c in clients for n in range(1, STREAMS + 1) if n not in c.finals]
    if lost:
        return stage.close(
            BROKEN,
            f"rule broken: {len(lost)} of {CLIENTS * STREAMS} running requests had no final answer: {lost}",
        )
    return stage.close(HELD, f"rule held: all {CLIENTS * STREAMS} running requests had their final answer")


standins.main(run)
