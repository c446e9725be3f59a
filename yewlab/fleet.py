"""A fleet of stand-in servers, the register that tells of them, and each router's way to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from hopshed import interface as i
from hopshed.interface import ListKind, Role, ServerState
from yewhook.core.ending import Ending
from yewhook.core.ports import AttemptListener

from .costs import Costs, whole_work
from .engines import Engine, Job, Server
from .rules import Rules
from .simulation import Simulation

WIRE = 0.001  # s one way
CONNECT_TIMEOUT = 0.25  # s
Listed = Callable[[ListKind, tuple[i.Server, ...]], None]


class Asked(Protocol):
    """What a client asks, as far as servers care."""

    cls: int
    session: str
    prefix: str | None
    prefix_tokens: float
    prompt: float
    answer: float


@dataclass(slots=True)
class Box:
    """One place of the fleet, with the process that runs there now."""

    info: i.Server
    server: Server
    silent: bool = False
    dead: bool = False  # no process listens
    off: bool = False  # the machine has no power: connects to it get no answer
    jobs: dict[tuple[str, int], Out] = field(default_factory=dict)


@dataclass(slots=True)
class Out:
    """One attempt on its way to or at a server."""

    router: RouterWorkers
    number: int
    box: Box
    job: Job
    cls: int
    reads: bool
    arrived: bool = False
    over: bool = False


class Fleet:
    def __init__(self, sim: Simulation, settings: i.Settings, rules: Rules) -> None:
        self.sim, self.settings, self.rules = sim, settings, rules
        self.boxes: dict[int, Box] = {}
        self.states: dict[str, Box] = {}  # request -> where its read state waits
        self.register_delay = 1.0  # s
        self._routers: dict[int, tuple[float, Listed]] = {}  # s by which each hears later, and how
        self._numbers = 0
        self.costs = Costs()
        self._look()

    def add(self, engine: Engine, cell: int = 0, cold: bool = False, zone: int = 0) -> int:
        """A new box; its number."""
        self._numbers += 1
        kind = self.settings.roles.index(engine.role)
        started = self.sim.now if cold else None
        info = i.Server(self._numbers, kind, zone, cell, ServerState.RUNNING, started)
        self.boxes[info.id] = Box(info, Server(self.sim, engine))
        if cold:
            self._cold(self.boxes[info.id].server)
        self._tell(info)
        return info.id

    def of(self, role: Role) -> list[int]:
        return [n for n, box in self.boxes.items() if box.server.engine.role is role]

    def join(self, router: int, listed: Listed, lag: float = 0.0) -> None:
        """A router hears the whole list now and each change from then on, so many s after the first one."""
        infos = tuple(box.info for box in self.boxes.values())
        for info in infos:
            self._hear(router, listed, info)
        listed(ListKind.FULL, infos)
        self._routers[router] = (lag, listed)

    def leave(self, router: int) -> None:
        """It hears nothing any more, nor what is on its way to it."""
        del self._routers[router]

    def _tell(self, info: i.Server) -> None:
        def arrive(router: int, listed: Listed) -> None:
            if self._routers.get(router, (0.0, None))[1] is listed:
                self._hear(router, listed, info)
                listed(ListKind.CHANGES, (info,))

        for router, (lag, listed) in self._routers.items():
            self.sim.after(self.register_delay + lag, partial(arrive, router, listed))

    def _hear(self, router: int, listed: Listed, info: i.Server) -> None:
        self.rules.told(router, info.id, info.state is ServerState.RUNNING, self.sim.now)
        self.rules.started(router, info.id, info.started)

    # ---- what a script does ----

    def slow(self, number: int, speed: float) -> None:
        """Its pace from now on, as a part of what its engine gives."""
        self.boxes[number].server.set_speed(speed)

    def drain(self, number: int, gone_after: float) -> None:
        box = self.boxes[number]
        box.info = box.info._replace(state=ServerState.DRAINING)
        self._tell(box.info)
        self.sim.after(gone_after, lambda: self.stop(number))

    def stop(self, number: int) -> None:
        """The process ends: what it had is reset, and the register hears of it."""
        box = self.boxes[number]
        box.dead = True
        box.info = box.info._replace(state=ServerState.GONE)
        self._tell(box.info)
        self._lose(box)

    def silence(self, number: int) -> None:
        """Cut off, without a word from the register."""
        self.boxes[number].silent = True

    def cut_power(self, number: int) -> None:
        """The machine is off at once: what it had is not even reset, and nobody is told."""
        box = self.boxes[number]
        box.off = box.silent = True
        for out in box.jobs.values():
            box.server.drop(out.job)
        box.jobs.clear()

    def back(self, number: int) -> None:
        """The machine comes back with a new and cold process."""
        box = self.boxes[number]
        box.silent = box.dead = box.off = False
        self._lose(box)
        box.server = Server(self.sim, box.server.engine)
        box.info = box.info._replace(state=ServerState.RUNNING, started=self.sim.now)
        self._cold(box.server)
        self._tell(box.info)

    def _cold(self, server: Server) -> None:
        server.started = self.sim.now
        server.cold_from, server.cold_time = self.settings.cold_from, self.settings.cold_time

    def _lose(self, box: Box) -> None:
        for out in list(box.jobs.values()):
            box.server.drop(out.job)
            out.router.tell(out, Ending.BROKEN)
        box.jobs.clear()
        self.states = {request: where for request, where in self.states.items() if where is not box}

    def _look(self) -> None:
        """Warming changes paces bit by bit; states that are held are looked at."""
        for box in self.boxes.values():
            if self.sim.now - box.server.started < box.server.cold_time + 1.0:
                box.server.replan()
        for request in [request for request, box in self.states.items() if not box.silent]:
            self.rules.held(request, self.sim.now)
        self.rules.sweep(self.sim.now)
        self.sim.after(0.25, self._look)


class RouterWorkers:
    """One router's way to the fleet: the core's `Workers`."""

    told: AttemptListener

    def __init__(self, fleet: Fleet, router: int) -> None:
        self.fleet, self.router = fleet, router
        self._out: dict[tuple[str, int], Out] = {}

    def send(
        self, request_id: str, attempt: int, server: int, call: object, timeout: float, begins: float
    ) -> None:
        ask: Asked = call  # type: ignore[assignment]
        box = self.fleet.boxes[server]
        reads = box.server.engine.role is Role.READER

        def done(job: Job, what: str) -> None:
            self._done(out, what)

        job = Job(request_id, ask.session, ask.prefix, ask.prefix_tokens, ask.prompt, ask.answer, done)
        out: Out = Out(self, attempt, box, job, ask.cls, reads)
        self._out[request_id, attempt] = out
        self.fleet.rules.sent(self.router, request_id, server, reads, self.fleet.sim.now)
        self.fleet.sim.after(WIRE, lambda: self._arrive(out))

    def _arrive(self, out: Out) -> None:
        box, fleet = out.box, self.fleet
        if box.off and not out.over:
            fleet.sim.after(CONNECT_TIMEOUT, lambda: self.tell(out, Ending.CONNECT_SILENT))
            return None
        if out.over or box.silent:
            return None
        if box.dead:
            return self.tell(out, Ending.CONNECT_REFUSED)
        out.arrived = True
        request = out.job.request_id
        engine = box.server.engine
        work, mean = fleet.costs.mean(out.cls, engine.role, whole_work(engine, out.job))
        if box.server.cold_time and fleet.sim.now - box.server.started < box.server.cold_time:
            can = box.server.capacity
            fleet.rules.cold(self.router, box.info.id, box.server.started, work, mean, can, fleet.sim.now)
        if box.server.engine.role is Role.WRITER and request not in fleet.states:
            return self.tell(out, Ending.STATE_GONE)
        box.jobs[request, out.number] = out
        # A mixed server reads whatever it gets itself: the module hands it no state while there is a writer.
        if not box.server.take(out.job, box.server.engine.role is not Role.WRITER):
            box.jobs.pop((request, out.number), None)
            return self.tell(out, Ending.TURNED_AWAY)
        return None

    def _done(self, out: Out, what: str) -> None:
        if out.over:
            return
        request, box = out.job.request_id, out.box
        if what == "read":
            self.fleet.states[request] = box
        if what == "first":
            self.fleet.states.pop(request, None)
        if what != "first":
            box.jobs.pop((request, out.number), None)
        if box.silent:
            return  # what it says reaches nobody
        if what == "first":
            self.fleet.sim.after(WIRE, lambda: self._first(out))
        else:
            self.tell(out, Ending.READ if what == "read" else Ending.SERVED)

    def _first(self, out: Out) -> None:
        if not out.over:
            self.told.stream_event(out.job.request_id, out.number, "first")

    def tell(self, out: Out, ending: Ending) -> None:
        def arrive() -> None:
            if out.over:
                return
            self._over(out, ending in NEVER_RAN)
            note = 0
            if ending is Ending.READ:
                note = int(out.job.prompt - out.job.fresh)
            load = out.box.server.load() if ending in HEARD else None
            self.told.attempt_ended(out.job.request_id, out.number, ending, note, load)

        self.fleet.sim.after(WIRE, arrive)

    def _over(self, out: Out, never_ran: bool) -> None:
        out.over = True
        self._out.pop((out.job.request_id, out.number), None)
        # Whatever comes of a read has no effect, so only another attempt can take back that it may have run.
        self.fleet.rules.ended(out.job.request_id, never_ran and not out.reads, self.fleet.sim.now)

    def abort(self, request_id: str, attempt: int) -> bool:
        out = self._out.get((request_id, attempt))
        if out is None:
            return False
        self._over(out, False)
        if out.arrived and not out.box.silent:
            out.box.jobs.pop((request_id, attempt), None)
            out.box.server.drop(out.job)
        return True  # its last byte had been written at once

    def catch_up(self, request_id: str, attempt: int) -> None:
        """What a worker says is heard in the moment in which it arrives."""

    def withdraw(self, request_id: str, attempt: int) -> bool:
        """Connections here are up at once, so all that is sent is on its way."""
        return False

    def release(self, request_id: str, begin_at: float, due: float, done: Callable[[], None]) -> None:
        def arrive() -> None:
            box = self.fleet.states.get(request_id)
            if box is not None and not box.silent:
                del self.fleet.states[request_id]
            done()

        self.fleet.sim.after(WIRE, arrive)

    def pause(self, request_id: str, attempt: int, paused: bool) -> None:
        """Clients here read all they are sent."""

    def forget(self, server: int) -> None:
        """Its address is not needed any more."""


NEVER_RAN = frozenset({Ending.CONNECT_REFUSED, Ending.CONNECT_SILENT, Ending.TURNED_AWAY, Ending.STATE_GONE})
HEARD = frozenset({Ending.READ, Ending.SERVED, Ending.TURNED_AWAY, Ending.STATE_GONE})
