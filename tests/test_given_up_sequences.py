"""Random faults at workers of the tool-calls front, while requests that may run once are given up."""

from __future__ import annotations

import contextlib
import json
import random
import socket
from collections import Counter
from pathlib import Path

import pytest
from congested_peer import CONNECT_REPEAT_S, LARGE_PROMPT, MARGIN_S, CongestedPeer, watch
from toolcalls_scenario import MESSAGES, ToolCalls, message

from yewhook.jsonrpc import Code

SEEDS = range(12)
STEPS = 40
READ_SIZE_BYTES = 1 << 20
FINISH_S = 3.0  # of the router's clock, longer than any patience below
FAULTS = ("hold", "stop reading", "turn away", "say nothing", "reset")


class FaultyWorker(CongestedPeer):
    """A worker with any number of connections; a request begins there when its last byte has been read."""

    def __init__(self, reads_prompts: bool) -> None:
        super().__init__(small_buffers=not reads_prompts)
        self.reads_prompts = reads_prompts
        self.fault = ""
        self.begun: Counter[str] = Counter()  # by the order that the request names
        self._buffers: dict[socket.socket, bytes] = {}

    def set_fault(self, fault: str) -> None:
        """Behave as one of FAULTS from now on; an empty text = answer all requests."""
        if self.holds_connections:
            self.let_connections_up()
        self.fault = fault
        if fault == "hold":
            self.hold_connections()

    def poll(self) -> None:
        """Accept all connections, and read and answer what has arrived."""
        if self.listener is None or self.fault == "hold":
            return
        with contextlib.suppress(BlockingIOError):
            while True:
                sock = self.listener.accept()[0]
                sock.setblocking(False)
                self._buffers[sock] = b""
        if self.fault != "stop reading":
            for sock in list(self._buffers):
                self._read(sock)

    def _read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._buffers.pop(sock)
            return sock.close()
        *lines, self._buffers[sock] = (self._buffers[sock] + data).split(b"\n")
        for line in lines:
            if sock in self._buffers:
                self._answer(sock, json.loads(line))
        return None

    def _answer(self, sock: socket.socket, request: dict[str, object]) -> None:
        method, number = request["method"], request.get("id")
        if method == "reservations/release":
            return self._send(sock, message(id=number, result={}))
        if method != "chat/completions":
            return None
        if self.reads_prompts:
            return self._send(sock, message(id=number, result={"read": True}))
        if self.fault == "turn away":
            return self._send(sock, message(id=number, error={"code": Code.TURNED_AWAY, "message": "no"}))
        params = request["params"]
        assert isinstance(params, dict)
        self.begun[params["order"]] += 1
        if self.fault == "reset":
            self._buffers.pop(sock)
            return sock.close()
        if self.fault != "say nothing":
            self._send(sock, MESSAGES["event"]("x") + message(id=number, result={}))
        return None

    def _send(self, sock: socket.socket, data: bytes) -> None:
        with contextlib.suppress(OSError):  # the router has closed the connection
            sock.send(data)

    def close_all(self) -> None:
        """Close everything, at the end of a test."""
        for sock in self._buffers:
            sock.close()
        super().close_all()


class FaultyFleet(ToolCalls):
    """A front with a reader and two writers, at which faults happen in a random sequence."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.writers = {name: FaultyWorker(reads_prompts=False) for name in ("writer", "writer2")}
        super().__init__(folder, reader=FaultyWorker(reads_prompts=True), **self.writers)
        self.random = random.Random(seed)
        self.asked: list[int] = []
        self.cancelled: set[int] = set()
        self.publish_writers(("writer", "writer2"))

    def publish_writers(self, names: tuple[str, ...]) -> None:
        """Write the records of the reader and of these writers."""
        self.publish("reader", *names)
        self.front.reload()()

    def step(self) -> None:
        """One event, after a random time."""
        choice = self.random.random()
        if choice < 0.45:
            self._ask()
        elif choice < 0.75:
            writer = self.random.choice(sorted(self.writers))
            self.writers[writer].set_fault(self.random.choice(("", *FAULTS)))
        elif choice < 0.85:
            self.publish_writers(self.random.choice((("writer",), ("writer2",), ("writer", "writer2"))))
        elif self.asked:
            number = self.random.choice(self.asked)
            self.cancelled.add(number)
            self.parties["client"].send(MESSAGES["cancel"](id=number))
        self.wait(self.random.choice((0.01, 0.05, 0.2)))

    def _ask(self) -> None:
        number = len(self.asked) + 1
        self.asked.append(number)
        prompt = self.random.choice(("", LARGE_PROMPT))
        patience_ms = self.random.choice(("150", "400", "2000"))
        self.parties["client"].send(
            MESSAGES["ask"](id=str(number), left=patience_ms, order=str(number), messages=prompt)
        )

    def finish(self) -> None:
        """End all faults, and let everything arrive that is still on its way."""
        for writer in self.writers.values():
            writer.set_fault("")
        watch(self, CONNECT_REPEAT_S + MARGIN_S)
        self.wait(FINISH_S)

    def answers(self) -> dict[int, list[dict[str, object]]]:
        """The final answers of each request."""
        found: dict[int, list[dict[str, object]]] = {number: [] for number in self.asked}
        for line in self.parties["client"].heard.splitlines():
            answer = json.loads(line)
            if "id" in answer:
                found[answer["id"]].append(answer)
        return found


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_runs_twice_or_after_its_refusal(tmp_path: Path, seed: int) -> None:
    # Rule `duplicate`: calls that had been given up arrived later, in any order of faults.
    fleet = FaultyFleet(tmp_path, seed)
    try:
        for _ in range(STEPS):
            fleet.step()
        fleet.finish()
        begun = sum((writer.begun for writer in fleet.writers.values()), Counter[str]())
        assert not {order: count for order, count in begun.items() if count > 1}
        for number, answers in fleet.answers().items():
            assert len(answers) == 1 or (number in fleet.cancelled and not answers), (number, answers)
            error = answers[0].get("error") if answers else None
            if isinstance(error, dict) and error["code"] == Code.REFUSED:
                assert begun[str(number)] == 0, number
    finally:
        fleet.end()
