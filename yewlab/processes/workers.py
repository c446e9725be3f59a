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

from .net import Listener, RealTime, Request, ServerSide

EVENT_EVERY = 0.3  # s between events of a running stream
HUNG_LOOK = 0.02  # s between looks whether a server that hangs goes on
CHAT, HELD = "/v1/chat/completions", "/internal/reservations/"
WORD = b'data: {"choices":[{"index":0,"delta":{"content":"word"},"finish_reason":null}]}\n\n'
STOP = b'data: {"choices":[{"index":0,"delta":{"content":""},"finish_reason":"stop"}]}\n\n'


@dataclass(eq=False, slots=True)
class Turn:
    """One attempt in a worker's hands."""

    side: ServerSide
    instance: int
    request_id: str
    reads: bool
    job: Job = field(init=False)
    streaming: bool = False
    over: bool = False


class Workers:
    """All workers of a stage, with the states that wait at readers."""

    def __init__(self, loop: Loop, rules: Rules, traffic: dict[str, Traffic]) -> None:
        """`traffic` = by lane, from which the length of each answer is drawn by the request's id."""
        self.loop, self.rules, self.traffic = loop, rules, traffic
        self.time = RealTime(loop)
        self.boxes: dict[str, Worker] = {}
        self.states: dict[str, Worker] = {}  # request -> the reader where its read state waits
        self.costs = Costs()
        self._look()

    def add(self, name: str, engine: Engine, instances: int) -> Worker:
        self.boxes[name] = Worker(self, name, engine, instances)
        return self.boxes[name]

    def _look(self) -> None:
        for request in self.states:
            self.rules.held(request, self.loop.now)
        for worker in self.boxes.values():
            worker.warm_up()
        self.rules.sweep(self.loop.now)
        self.loop.after(0.25, self._look)

    def close(self) -> None:
        for worker in self.boxes.values():
            worker.close()


class Worker:
    """One worker; it listens once for each instance, so that it knows who asks."""

    def __init__(self, fleet: Workers, name: str, engine: Engine, instances: int) -> None:
        self.fleet, self.name, self.number = fleet, name, server_id(name)
        self.server = Server(fleet.time, engine)
        self.asked = 0  # attempts that have come
        self.hung = False  # it brings nothing to an end; that it reads nothing is up to the links to it
        # What it writes is lost on the way: a read is out until its router gives it up, as the wire has it.
        self.unheard = False
        self._turns: dict[ServerSide, Turn] = {}
        self._listeners = [self._listen(instance) for instance in range(instances)]

    def _listen(self, instance: int) -> Listener:
        def asked(side: ServerSide, request: Request) -> None:
            self._asked(instance, side, request)

        return Listener(self.fleet.loop, lambda sock: ServerSide(self.fleet.loop, sock, asked, self._gone))

    def address(self, instance: int) -> tuple[str, int]:
        return self._listeners[instance].address

    # ---- what is asked ----

    def _asked(self, instance: int, side: ServerSide, request: Request) -> None:
        if request.path.startswith(HELD):
            self.fleet.states.pop(request.path.removeprefix(HELD), None)
            return side.answer(204)
        turn = Turn(side, instance, request.headers["x-txn"], self.server.engine.role is Role.READER)
        turn.job = self._job(turn, request)
        rules, now = self.fleet.rules, self.fleet.loop.now
        rules.sent(instance, turn.request_id, self.number, turn.reads, now)
        self.asked += 1
        self._weigh(instance, request.headers["x-lane"], turn.job)
        if self.server.engine.role is Role.WRITER and turn.request_id not in self.fleet.states:
            rules.ended(turn.request_id, True, now)
            return side.answer(410, headers={"X-Turned-Away": "1"})
        if not self.server.take(turn.job, self.server.engine.role is not Role.WRITER):
            rules.ended(turn.request_id, not turn.reads, now)
            return side.answer(503, headers={"X-Turned-Away": "1"})
        self._turns[side] = turn
        return None

    def _weigh(self, instance: int, lane: str, job: Job) -> None:
        """By the rule on cold workers."""
        fleet, server = self.fleet, self.server
        cls = list(fleet.traffic).index(lane)
        work, mean = fleet.costs.mean(cls, server.engine.role, whole_work(server.engine, job))
        if server.cold_time and fleet.loop.now - server.started < server.cold_time:
            can = server.capacity
            fleet.rules.cold(instance, self.number, server.started, work, mean, can, fleet.loop.now)

    def _job(self, turn: Turn, request: Request) -> Job:
        labels = dict(part.split("=") for part in request.headers["x-labels"].split(","))
        answer = Random(turn.request_id).uniform(*self.fleet.traffic[request.headers["x-lane"]].answer)
        prompt, prefix = float(labels["prompt_len"]), labels.get("prefix")
        shared = float(labels.get("prefix_len", 0.0))
        session = request.headers["x-entity"]

        def done(job: Job, what: str) -> None:
            self._done(turn, what)

        return Job(turn.request_id, session, prefix, shared, prompt, answer, done)

    # ---- what becomes of it ----

    def _done(self, turn: Turn, what: str) -> None:
        if turn.over:
            return
        if self.hung:
            self.fleet.loop.after(HUNG_LOOK, lambda: self._done(turn, what))
            return
        if what == "read":
            self.fleet.states[turn.request_id] = self
            if not self.unheard:
                self._end(turn)
            kept = json.dumps({"cached_tokens": int(turn.job.prompt - turn.job.fresh)}).encode()
            turn.side.answer(202, kept, {"X-Pressure": self._load()})
        elif what == "first":
            self.fleet.states.pop(turn.request_id, None)
            turn.streaming = True
            turn.side.begin()
            self._event(turn)
        else:
            self._end(turn)
            told = {"prompt_tokens": int(turn.job.prompt), "completion_tokens": int(turn.job.answer)}
            cached = {"prompt_tokens_details": {"cached_tokens": int(turn.job.prompt - turn.job.fresh)}}
            usage = json.dumps({"choices": [], "usage": told | cached}).encode()
            report = f": X-Pressure: {self._load()}\n\n".encode()
            turn.side.event(STOP + b"data: " + usage + b"\n\ndata: [DONE]\n\n" + report)
            turn.side.end()

    def _event(self, turn: Turn) -> None:
        if not turn.over:
            if not self.hung:
                turn.side.event(WORD)
            self.fleet.loop.after(EVENT_EVERY, lambda: self._event(turn))

    def _load(self) -> str:
        load = self.server.load()
        held, tokens = load.memory_share or 0.0, load.backlog_tokens or 0.0
        report: dict[str, Any] = {"latency_ms": 100.0, "x0": round(held, 3), "x1": round(tokens / 1000.0, 3)}
        return json.dumps(report)

    def _end(self, turn: Turn, never_ran: bool = False) -> None:
        turn.over = True
        self._turns.pop(turn.side, None)
        self.fleet.rules.ended(turn.request_id, never_ran, self.fleet.loop.now)

    def _gone(self, side: ServerSide) -> None:
        """The router has closed the connection: what is out there is abandoned."""
        if (turn := self._turns.get(side)) is not None:
            self._end(turn)
            self.server.drop(turn.job)

    # ---- what a script does ----

    def die(self) -> None:
        """The process ends: what it had is reset, and it forgets what it kept. A new one is there at once."""
        for turn in list(self._turns.values()):
            self._end(turn)
            self.server.drop(turn.job)
            turn.side.reset()
        self.fleet.states = {r: where for r, where in self.fleet.states.items() if where is not self}
        self.server = Server(self.fleet.time, self.server.engine)

    def cool(self) -> None:
        """Its process has only now begun."""
        settings, server = self.fleet.rules.settings, self.server
        server.started = self.fleet.loop.now
        server.cold_from, server.cold_time = settings.cold_from, settings.cold_time

    def warm_up(self) -> None:
        """Warming changes its pace bit by bit."""
        server = self.server
        if self.fleet.loop.now - server.started < server.cold_time + 1.0:
            server.replan()

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()
        for side in list(self._turns):
            side.channel.abort()
