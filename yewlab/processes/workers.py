"""Workers on the platform's protocol: the model of `yewlab.engines`, in real time and on sockets."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from random import Random
from typing import Any

from hopshed.interface import Role
from yewhook.loop import Loop
from yewhook.worker_list import server_id
from yewlab.costs import Costs, whole_work
from yewlab.engines import Engine, Job, Server
from yewlab.rules import Rules
from yewlab.workload import Traffic

from .http_connections import Listener, LoopClock, Request, ServerConnection

EVENT_INTERVAL_S = 0.3  # s between events of a running stream
HUNG_POLL_S = 0.02  # s between looks whether a server that hangs goes on
CHAT_PATH, RESERVATIONS_PATH = "/v1/chat/completions", "/internal/reservations/"
TOKEN_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"word"},"finish_reason":null}]}\n\n'
STOP_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":""},"finish_reason":"stop"}]}\n\n'


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt in a worker's hands."""

    connection: ServerConnection
    instance: int
    request_id: str
    is_read: bool
    job: Job = field(init=False)
    streaming: bool = False
    ended: bool = False


class Workers:
    """All workers of a stage, with the states that wait at readers."""

    def __init__(self, loop: Loop, rules: Rules, traffic: dict[str, Traffic]) -> None:
        """`traffic` = by lane, from which the length of each answer is drawn by the request's id."""
        self.loop, self.rules, self.traffic = loop, rules, traffic
        self.clock = LoopClock(loop)
        self.by_name: dict[str, Worker] = {}
        self.held_states: dict[str, Worker] = {}  # request -> the reader where its read state waits
        self.costs = Costs()
        self._check_periodically()

    def add(self, name: str, engine: Engine, instances: int) -> Worker:
        self.by_name[name] = Worker(self, name, engine, instances)
        return self.by_name[name]

    def _check_periodically(self) -> None:
        for request in self.held_states:
            self.rules.held(request, self.loop.now)
        for worker in self.by_name.values():
            worker.update_warm_up()
        self.rules.sweep(self.loop.now)
        self.loop.after(0.25, self._check_periodically)

    def close(self) -> None:
        for worker in self.by_name.values():
            worker.close()


class Worker:
    """One worker; it listens once for each instance, so that it knows who asks."""

    def __init__(self, fleet: Workers, name: str, engine: Engine, instances: int) -> None:
        self.workers, self.name, self.server_id = fleet, name, server_id(name)
        self.server = Server(fleet.clock, engine)
        self.attempts_received = 0  # attempts that have come
        self.hung = False  # it brings nothing to an end; that it reads nothing is up to the links to it
        # What it writes is lost on the way: a read is out until its router gives it up, as the wire has it.
        self.answers_lost = False
        self._attempts: dict[ServerConnection, Attempt] = {}
        self._listeners = [self._listen(instance) for instance in range(instances)]

    def _listen(self, instance: int) -> Listener:
        def asked(side: ServerConnection, request: Request) -> None:
            self._on_request(instance, side, request)

        return Listener(
            self.workers.loop, lambda sock: ServerConnection(self.workers.loop, sock, asked, self._on_closed)
        )

    def address(self, instance: int) -> tuple[str, int]:
        return self._listeners[instance].address

    # ---- what is asked ----

    def _on_request(self, instance: int, side: ServerConnection, request: Request) -> None:
        if request.path.startswith(RESERVATIONS_PATH):
            self.workers.held_states.pop(request.path.removeprefix(RESERVATIONS_PATH), None)
            return side.answer(204)
        turn = Attempt(side, instance, request.headers["x-txn"], self.server.engine.role is Role.READER)
        turn.job = self._make_job(turn, request)
        rules, now = self.workers.rules, self.workers.loop.now
        rules.sent(instance, turn.request_id, self.server_id, turn.is_read, now)
        self.attempts_received += 1
        self._check_cold_load(instance, request.headers["x-lane"], turn.job)
        if self.server.engine.role is Role.WRITER and turn.request_id not in self.workers.held_states:
            rules.ended(turn.request_id, True, now)
            return side.answer(410, headers={"X-Turned-Away": "1"})
        if not self.server.take(turn.job, self.server.engine.role is not Role.WRITER):
            rules.ended(turn.request_id, not turn.is_read, now)
            return side.answer(503, headers={"X-Turned-Away": "1"})
        self._attempts[side] = turn
        return None

    def _check_cold_load(self, instance: int, lane: str, job: Job) -> None:
        """By the rule on cold workers."""
        fleet, server = self.workers, self.server
        cls = list(fleet.traffic).index(lane)
        work, mean = fleet.costs.mean(cls, server.engine.role, whole_work(server.engine, job))
        if server.cold_time and fleet.loop.now - server.started < server.cold_time:
            can = server.capacity
            fleet.rules.cold(instance, self.server_id, server.started, work, mean, can, fleet.loop.now)

    def _make_job(self, turn: Attempt, request: Request) -> Job:
        labels = dict(part.split("=") for part in request.headers["x-labels"].split(","))
        answer = Random(turn.request_id).uniform(*self.workers.traffic[request.headers["x-lane"]].answer)
        prompt, prefix = float(labels["prompt_len"]), labels.get("prefix")
        shared = float(labels.get("prefix_len", 0.0))
        session = request.headers["x-entity"]

        def done(job: Job, what: str) -> None:
            self._on_job_event(turn, what)

        return Job(turn.request_id, session, prefix, shared, prompt, answer, done)

    # ---- what becomes of it ----

    def _on_job_event(self, turn: Attempt, what: str) -> None:
        if turn.ended:
            return
        if self.hung:
            self.workers.loop.after(HUNG_POLL_S, lambda: self._on_job_event(turn, what))
            return
        if what == "read":
            self.workers.held_states[turn.request_id] = self
            if not self.answers_lost:
                self._end_attempt(turn)
            kept = json.dumps({"cached_tokens": int(turn.job.prompt - turn.job.fresh)}).encode()
            turn.connection.answer(202, kept, {"X-Pressure": self._load_report()})
        elif what == "first":
            self.workers.held_states.pop(turn.request_id, None)
            turn.streaming = True
            turn.connection.begin_stream()
            self._send_events(turn)
        else:
            self._end_attempt(turn)
            told = {"prompt_tokens": int(turn.job.prompt), "completion_tokens": int(turn.job.answer)}
            cached = {"prompt_tokens_details": {"cached_tokens": int(turn.job.prompt - turn.job.fresh)}}
            usage = json.dumps({"choices": [], "usage": told | cached}).encode()
            report = f": X-Pressure: {self._load_report()}\n\n".encode()
            turn.connection.send_event(STOP_EVENT + b"data: " + usage + b"\n\ndata: [DONE]\n\n" + report)
            turn.connection.end_stream()

    def _send_events(self, turn: Attempt) -> None:
        if not turn.ended:
            if not self.hung:
                turn.connection.send_event(TOKEN_EVENT)
            self.workers.loop.after(EVENT_INTERVAL_S, lambda: self._send_events(turn))

    def _load_report(self) -> str:
        load = self.server.load()
        held, tokens = load.memory_share or 0.0, load.backlog_tokens or 0.0
        report: dict[str, Any] = {"latency_ms": 100.0, "x0": round(held, 3), "x1": round(tokens / 1000.0, 3)}
        return json.dumps(report)

    def _end_attempt(self, turn: Attempt, never_ran: bool = False) -> None:
        turn.ended = True
        self._attempts.pop(turn.connection, None)
        self.workers.rules.ended(turn.request_id, never_ran, self.workers.loop.now)

    def _on_closed(self, side: ServerConnection) -> None:
        """The router has closed the connection: what is out there is abandoned."""
        if (turn := self._attempts.get(side)) is not None:
            self._end_attempt(turn)
            self.server.drop(turn.job)

    # ---- what a script does ----

    def restart(self) -> None:
        """The process ends: what it had is reset, and it forgets what it kept. A new one is there at once."""
        for turn in list(self._attempts.values()):
            self._end_attempt(turn)
            self.server.drop(turn.job)
            turn.connection.reset()
        self.workers.held_states = {
            r: where for r, where in self.workers.held_states.items() if where is not self
        }
        self.server = Server(self.workers.clock, self.server.engine)

    def begin_slow_start(self) -> None:
        """Its process has only now begun."""
        settings, server = self.workers.rules.settings, self.server
        server.started = self.workers.loop.now
        server.cold_from, server.cold_time = settings.cold_from, settings.cold_time

    def update_warm_up(self) -> None:
        """Warming changes its pace bit by bit."""
        server = self.server
        if self.workers.loop.now - server.started < server.cold_time + 1.0:
            server.replan()

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()
        for side in list(self._attempts):
            side.channel.abort()
