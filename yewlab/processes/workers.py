"""Stand-in workers with the platform's protocol: the model of `yewlab.engines` in real time on sockets."""

from __future__ import annotations

import json
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from hopshed.interface import Role
from yewhook.loop import Loop
from yewhook.platform import http
from yewhook.worker_list import server_id
from yewlab.costs import Costs, whole_work
from yewlab.engines import Engine, Job, Server
from yewlab.rules import Rules
from yewlab.workload import Traffic

from .endless_answers import EndlessAnswer, write_events
from .http_connections import Listener, LoopClock, Request, ServerConnection

EVENT_INTERVAL_S = 0.3  # between the events of a stream
WRITING_STEPS = 20  # in which an event is written slowly
HUNG_POLL_S = 0.02  # between checks whether a hung worker has resumed
CHAT_PATH = "/v1/chat/completions"
RESERVATIONS_PATH = "/internal/reservations/"
TOKEN_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"word"},"finish_reason":null}]}\n\n'
STOP_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":""},"finish_reason":"stop"}]}\n\n'


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt that a worker has accepted."""

    connection: ServerConnection
    instance: int
    request_id: str
    is_read: bool
    job: Job = field(init=False)
    streaming: bool = False
    ended: bool = False
    ended_by_router_only: bool = False  # its answer never ends
    unwritten: bytes = b""  # the rest of an event that is being written


class Workers:
    """All workers of a test bed, with the states held at readers."""

    def __init__(self, loop: Loop, rules: Rules, traffic: dict[str, Traffic]) -> None:
        """`traffic` is by lane; the length of an answer is drawn from it, with the request id as the seed."""
        self.loop, self.rules, self.traffic = loop, rules, traffic
        self.clock = LoopClock(loop)
        self.by_name: dict[str, Worker] = {}
        self.held_states: dict[str, Worker] = {}  # request id -> the reader that holds its state
        self.token_event = TOKEN_EVENT  # sent every EVENT_INTERVAL_S in a stream
        self.event_writing_s = 0.0  # from the first byte of an event to its last
        # Answers that never end, by the role of their server; each is given once, in place of a sound one
        self.endless_answers: dict[Role, deque[EndlessAnswer]] = {role: deque() for role in Role}
        self.costs = Costs()
        self._check_periodically()

    def add(self, name: str, engine: Engine, instances: int) -> Worker:
        """Add a worker that listens for so many router instances."""
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
        """Close all workers."""
        for worker in self.by_name.values():
            worker.close()


class Worker:
    """One worker, with a listener for each router instance, so that it knows the sender of a request."""

    def __init__(self, workers: Workers, name: str, engine: Engine, instances: int) -> None:
        self.workers, self.name, self.server_id = workers, name, server_id(name)
        self.server = Server(workers.clock, engine)
        self.attempts_received = 0
        self.hung = False  # it completes no job; that it reads and writes nothing is up to its links
        # Its answers are lost on the way: a read counts as out until its router closes the connection.
        self.answers_lost = False
        self._attempts: dict[ServerConnection, Attempt] = {}
        self._listeners = [self._listen(instance) for instance in range(instances)]

    def _listen(self, instance: int) -> Listener:
        def on_request(connection: ServerConnection, request: Request) -> None:
            self._on_request(instance, connection, request)

        return Listener(
            self.workers.loop,
            lambda sock: ServerConnection(self.workers.loop, sock, on_request, self._on_closed),
        )

    def address(self, instance: int) -> tuple[str, int]:
        """Return the address at which an instance reaches this worker."""
        return self._listeners[instance].address

    # ---- requests ----

    def _on_request(self, instance: int, connection: ServerConnection, request: Request) -> None:
        if request.path.startswith(RESERVATIONS_PATH):
            self.workers.held_states.pop(request.path.removeprefix(RESERVATIONS_PATH), None)
            return connection.answer(204)
        attempt = Attempt(
            connection, instance, request.headers["x-txn"], self.server.engine.role is Role.READER
        )
        attempt.job = self._make_job(attempt, request)
        rules, now = self.workers.rules, self.workers.loop.now
        rules.sent(instance, attempt.request_id, self.server_id, attempt.is_read, now)
        self.attempts_received += 1
        self._check_cold_load(instance, request.headers["x-lane"], attempt.job)
        if self.server.engine.role is Role.WRITER and attempt.request_id not in self.workers.held_states:
            rules.ended(attempt.request_id, True, now)
            return connection.answer(410, headers={"X-Turned-Away": "1"})
        if not self.server.take(attempt.job, self.server.engine.role is not Role.WRITER):
            rules.ended(attempt.request_id, not attempt.is_read, now)
            return connection.answer(503, headers={"X-Turned-Away": "1"})
        self._attempts[connection] = attempt
        return None

    def _check_cold_load(self, instance: int, lane: str, job: Job) -> None:
        """Report the work to the rule on the load of cold workers, if this worker is cold."""
        workers, server = self.workers, self.server
        cls = list(workers.traffic).index(lane)
        work, mean = workers.costs.mean(cls, server.engine.role, whole_work(server.engine, job))
        if server.cold_time and workers.loop.now - server.started < server.cold_time:
            capacity = server.capacity
            workers.rules.cold(
                instance, self.server_id, server.started, work, mean, capacity, workers.loop.now
            )

    def _make_job(self, attempt: Attempt, request: Request) -> Job:
        labels = dict(part.split("=") for part in request.headers["x-labels"].split(","))
        answer = Random(attempt.request_id).uniform(*self.workers.traffic[request.headers["x-lane"]].answer)
        prompt, prefix = float(labels["prompt_len"]), labels.get("prefix")
        shared = float(labels.get("prefix_len", 0.0))
        session = request.headers["x-entity"]

        def done(job: Job, what: str) -> None:
            self._on_job_event(attempt, what)

        return Job(attempt.request_id, session, prefix, shared, prompt, answer, done)

    # ---- progress ----

    def _on_job_event(self, attempt: Attempt, what: str) -> None:
        if attempt.ended or attempt.ended_by_router_only:
            return
        if self.hung:
            self.workers.loop.after(HUNG_POLL_S, lambda: self._on_job_event(attempt, what))
            return
        if what != "served" and (answers := self.workers.endless_answers[self.server.engine.role]):
            return self._answer_endlessly(attempt, answers.popleft(), is_read=what == "read")
        if what == "read":
            self.workers.held_states[attempt.request_id] = self
            if not self.answers_lost:
                self._end_attempt(attempt)
            read_result = json.dumps({"cached_tokens": int(attempt.job.prompt - attempt.job.fresh)}).encode()
            attempt.connection.answer(202, read_result, {"X-Pressure": self._load_report()})
        elif what == "first":
            self.workers.held_states.pop(attempt.request_id, None)
            attempt.streaming = True
            attempt.connection.begin_stream()
            self._send_events(attempt)
        else:
            self._end_attempt(attempt)
            attempt.connection.channel.send(attempt.unwritten)
            attempt.unwritten = b""
            usage_fields = {
                "prompt_tokens": int(attempt.job.prompt),
                "completion_tokens": int(attempt.job.answer),
            }
            cached = {"prompt_tokens_details": {"cached_tokens": int(attempt.job.prompt - attempt.job.fresh)}}
            usage = json.dumps({"choices": [], "usage": usage_fields | cached}).encode()
            report = f": X-Pressure: {self._load_report()}\n\n".encode()
            attempt.connection.send_event(STOP_EVENT + b"data: " + usage + b"\n\ndata: [DONE]\n\n" + report)
            attempt.connection.end_stream()

    def _answer_endlessly(self, attempt: Attempt, answer: EndlessAnswer, is_read: bool) -> None:
        """Answer without end; the attempt counts as out until its router closes the connection."""
        workers = self.workers
        if is_read:
            workers.held_states[attempt.request_id] = self
        else:
            workers.held_states.pop(attempt.request_id, None)
        attempt.ended_by_router_only = True

        def event_written() -> None:
            workers.rules.last_event(attempt.request_id, workers.loop.now)

        write_events(workers.loop, attempt.connection, answer, event_written, lambda: not self.hung)

    def _send_events(self, attempt: Attempt) -> None:
        if not attempt.ended:
            writing_s = 0.0
            if not self.hung:
                writing_s = self._write_event(attempt)
            self.workers.loop.after(writing_s + EVENT_INTERVAL_S, lambda: self._send_events(attempt))

    def _write_event(self, attempt: Attempt) -> float:
        """Write an event, byte by byte if events are written slowly; returns the seconds that it takes."""
        writing_s, data = self.workers.event_writing_s, http.chunk(self.workers.token_event)
        if not writing_s:
            attempt.connection.channel.send(data)
            return 0.0
        attempt.unwritten = data

        def write(end: int) -> None:
            if attempt.unwritten:
                rest = len(data) - end
                part, attempt.unwritten = attempt.unwritten[: len(attempt.unwritten) - rest], data[end:]
                attempt.connection.channel.send(part)

        for step in range(1, WRITING_STEPS + 1):
            end = len(data) * step // WRITING_STEPS
            self.workers.loop.after(writing_s * step / WRITING_STEPS, partial(write, end))
        return writing_s

    def _load_report(self) -> str:
        load = self.server.load()
        held, tokens = load.memory_share or 0.0, load.backlog_tokens or 0.0
        report: dict[str, Any] = {"latency_ms": 100.0, "x0": round(held, 3), "x1": round(tokens / 1000.0, 3)}
        return json.dumps(report)

    def _end_attempt(self, attempt: Attempt, never_ran: bool = False) -> None:
        attempt.ended = True
        self._attempts.pop(attempt.connection, None)
        self.workers.rules.ended(attempt.request_id, never_ran, self.workers.loop.now)

    def _on_closed(self, connection: ServerConnection) -> None:
        """Drop the attempt of a connection that the router has closed."""
        if (attempt := self._attempts.get(connection)) is not None:
            self._end_attempt(attempt)
            self.server.drop(attempt.job)

    # ---- faults ----

    def restart(self) -> None:
        """Replace its process at once: connections are reset, and held states and caches are lost."""
        for attempt in list(self._attempts.values()):
            self._end_attempt(attempt)
            self.server.drop(attempt.job)
            attempt.connection.reset()
        self.workers.held_states = {
            r: where for r, where in self.workers.held_states.items() if where is not self
        }
        self.server = Server(self.workers.clock, self.server.engine)

    def begin_slow_start(self) -> None:
        """Make the worker cold, as if its process had just started."""
        settings, server = self.workers.rules.settings, self.server
        server.started = self.workers.loop.now
        server.cold_from, server.cold_time = settings.cold_from, settings.cold_time

    def update_warm_up(self) -> None:
        """Apply the present pace of a worker that warms up to its running jobs."""
        server = self.server
        if self.workers.loop.now - server.started < server.cold_time + 1.0:
            server.replan()

    def close(self) -> None:
        """Stop listening and break all connections with attempts."""
        for listener in self._listeners:
            listener.close()
        for connection in list(self._attempts):
            connection.channel.abort()
