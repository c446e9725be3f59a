"""A fleet of simulated servers, the register that lists them, and each router's connections to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from hopshed import interface
from hopshed.interface import ListKind, Role, ServerState
from yewhook.core.ending import Ending
from yewhook.core.ports import AttemptListener, OutgoingAttempt

from .costs import Costs, whole_work
from .engines import Engine, Job, Server
from .rules import Rules
from .simulation import Simulation

ONE_WAY_DELAY_S = 0.001
CONNECT_TIMEOUT_S = 0.25
ListCallback = Callable[[ListKind, tuple[interface.Server, ...]], None]


class Payload(Protocol):
    """What a server needs to know of a request; lengths are in tokens."""

    cls: int
    session: str
    prefix: str | None
    prefix_tokens: float
    prompt: float
    answer: float


@dataclass(slots=True)
class Machine:
    """One machine of the fleet, with the server process that runs on it now."""

    info: interface.Server  # as the register lists it
    server: Server
    silent: bool = False  # disconnected: nothing reaches it and nothing it sends arrives
    dead: bool = False  # no process listens, so that connects are refused
    powered_off: bool = False  # connects get no answer
    attempts: dict[tuple[str, int], SentAttempt] = field(default_factory=dict)


@dataclass(slots=True)
class SentAttempt:
    """One attempt on its way to a server or in progress there."""

    router: RouterWorkers
    number: int
    machine: Machine
    job: Job
    cls: int
    reads: bool
    arrived: bool = False
    ended: bool = False


class Fleet:
    """All machines, the register that announces changes to routers, and the checks that need to see both."""

    def __init__(self, sim: Simulation, settings: interface.Settings, rules: Rules) -> None:
        self.sim, self.settings, self.rules = sim, settings, rules
        self.machines: dict[int, Machine] = {}
        self.held_states: dict[str, Machine] = {}  # request -> reader that holds its state
        self.register_delay = 1.0  # seconds from a change until routers without a lag learn of it
        self._routers: dict[int, tuple[float, ListCallback]] = {}  # additional delay in seconds, callback
        self._last_number = 0
        self.costs = Costs()
        self._check()

    def add(self, engine: Engine, cell: int = 0, cold: bool = False, zone: int = 0) -> int:
        """Add a machine with a server of this kind; returns its number."""
        self._last_number += 1
        kind = self.settings.roles.index(engine.role)
        started = self.sim.now if cold else None
        info = interface.Server(self._last_number, kind, zone, cell, ServerState.RUNNING, started)
        self.machines[info.id] = Machine(info, Server(self.sim, engine))
        if cold:
            self._start_cold(self.machines[info.id].server)
        self._announce(info)
        return info.id

    def with_role(self, role: Role) -> list[int]:
        """The numbers of all machines with this role."""
        return [n for n, machine in self.machines.items() if machine.server.engine.role is role]

    def subscribe(self, router: int, listed: ListCallback, lag: float = 0.0) -> None:
        """Pass a router the full list now and each change from then on.

        Changes arrive `lag` seconds later than at a router without a lag.
        """
        infos = tuple(machine.info for machine in self.machines.values())
        for info in infos:
            self._record_announcement(router, listed, info)
        listed(ListKind.FULL, infos)
        self._routers[router] = (lag, listed)

    def unsubscribe(self, router: int) -> None:
        """Pass a router no more changes, including those already on their way."""
        del self._routers[router]

    def _announce(self, info: interface.Server) -> None:
        def arrive(router: int, listed: ListCallback) -> None:
            if self._routers.get(router, (0.0, None))[1] is listed:
                self._record_announcement(router, listed, info)
                listed(ListKind.CHANGES, (info,))

        for router, (lag, listed) in self._routers.items():
            self.sim.after(self.register_delay + lag, partial(arrive, router, listed))

    def _record_announcement(self, router: int, listed: ListCallback, info: interface.Server) -> None:
        self.rules.told(router, info.id, info.state is ServerState.RUNNING, self.sim.now)
        self.rules.started(router, info.id, info.started)

    # ---- faults and changes that experiments cause ----

    def slow(self, number: int, speed: float) -> None:
        """Set the pace of a server, as a fraction of its engine's."""
        self.machines[number].server.set_speed(speed)

    def drain(self, number: int, gone_after: float) -> None:
        """Announce a server as draining, and stop it after so many seconds."""
        machine = self.machines[number]
        machine.info = machine.info._replace(state=ServerState.DRAINING)
        self._announce(machine.info)
        self.sim.after(gone_after, lambda: self.stop(number))

    def stop(self, number: int) -> None:
        """End a server's process: its connections are reset and the register announces it as gone."""
        machine = self.machines[number]
        machine.dead = True
        machine.info = machine.info._replace(state=ServerState.GONE)
        self._announce(machine.info)
        self._reset_attempts(machine)

    def silence(self, number: int) -> None:
        """Disconnect a machine without a change in the register."""
        self.machines[number].silent = True

    def cut_power(self, number: int) -> None:
        """Switch a machine off: its connections are not even reset, and the register announces nothing."""
        machine = self.machines[number]
        machine.powered_off = machine.silent = True
        for sent in machine.attempts.values():
            machine.server.drop(sent.job)
        machine.attempts.clear()

    def restart(self, number: int) -> None:
        """Connect the machine, if it was not, and start a new, cold process on it."""
        machine = self.machines[number]
        machine.silent = machine.dead = machine.powered_off = False
        self._reset_attempts(machine)
        machine.server = Server(self.sim, machine.server.engine)
        machine.info = machine.info._replace(state=ServerState.RUNNING, started=self.sim.now)
        self._start_cold(machine.server)
        self._announce(machine.info)

    def _start_cold(self, server: Server) -> None:
        server.started = self.sim.now
        server.cold_from, server.cold_time = self.settings.cold_from, self.settings.cold_time

    def _reset_attempts(self, machine: Machine) -> None:
        for sent in list(machine.attempts.values()):
            machine.server.drop(sent.job)
            sent.router.report_end(sent, Ending.BROKEN)
        machine.attempts.clear()
        self.held_states = {
            request: where for request, where in self.held_states.items() if where is not machine
        }

    def _check(self) -> None:
        """Update the pace of warming servers, and check held state and open requests; every 0.25 seconds."""
        for machine in self.machines.values():
            if self.sim.now - machine.server.started < machine.server.cold_time + 1.0:
                machine.server.replan()
        for request in [request for request, machine in self.held_states.items() if not machine.silent]:
            self.rules.held(request, self.sim.now)
        self.rules.sweep(self.sim.now)
        self.sim.after(0.25, self._check)


class RouterWorkers:
    """One router's connections to the fleet; implements `yewhook.core.ports.Workers`."""

    listener: AttemptListener

    def __init__(self, fleet: Fleet, router: int) -> None:
        self.fleet, self.router = fleet, router
        self._attempts: dict[tuple[str, int], SentAttempt] = {}

    def send(self, attempt: OutgoingAttempt) -> None:
        """Send one attempt, which arrives after ONE_WAY_DELAY_S; the timeouts are not simulated."""
        request: Payload = attempt.payload  # type: ignore[assignment]
        machine = self.fleet.machines[attempt.server]
        reads = machine.server.engine.role is Role.READER

        def done(job: Job, what: str) -> None:
            self._job_progressed(sent, what)

        job = Job(
            attempt.request_id,
            request.session,
            request.prefix,
            request.prefix_tokens,
            request.prompt,
            request.answer,
            done,
        )
        sent: SentAttempt = SentAttempt(self, attempt.number, machine, job, request.cls, reads)
        self._attempts[attempt.request_id, attempt.number] = sent
        self.fleet.rules.sent(self.router, attempt.request_id, attempt.server, reads, self.fleet.sim.now)
        self.fleet.sim.after(ONE_WAY_DELAY_S, lambda: self._arrive(sent))

    def _arrive(self, sent: SentAttempt) -> None:
        machine, fleet = sent.machine, self.fleet
        if machine.powered_off and not sent.ended:
            fleet.sim.after(CONNECT_TIMEOUT_S, lambda: self.report_end(sent, Ending.CONNECT_SILENT))
            return None
        if sent.ended or machine.silent:
            return None
        if machine.dead:
            return self.report_end(sent, Ending.CONNECT_REFUSED)
        sent.arrived = True
        request = sent.job.request_id
        engine = machine.server.engine
        work, mean = fleet.costs.mean(sent.cls, engine.role, whole_work(engine, sent.job))
        if machine.server.cold_time and fleet.sim.now - machine.server.started < machine.server.cold_time:
            capacity = machine.server.capacity
            fleet.rules.cold(
                self.router, machine.info.id, machine.server.started, work, mean, capacity, fleet.sim.now
            )
        if machine.server.engine.role is Role.WRITER and request not in fleet.held_states:
            return self.report_end(sent, Ending.STATE_GONE)
        machine.attempts[request, sent.number] = sent
        # A mixed server reads every prompt itself: while there is a writer, `hopshed` gives it no held state.
        if not machine.server.take(sent.job, machine.server.engine.role is not Role.WRITER):
            machine.attempts.pop((request, sent.number), None)
            return self.report_end(sent, Ending.TURNED_AWAY)
        return None

    def _job_progressed(self, sent: SentAttempt, what: str) -> None:
        if sent.ended:
            return
        request, machine = sent.job.request_id, sent.machine
        if what == "read":
            self.fleet.held_states[request] = machine
        if what == "first":
            self.fleet.held_states.pop(request, None)
        if what != "first":
            machine.attempts.pop((request, sent.number), None)
        if machine.silent:
            return  # nothing it sends arrives
        if what == "first":
            self.fleet.sim.after(ONE_WAY_DELAY_S, lambda: self._report_first_event(sent))
        else:
            self.report_end(sent, Ending.READ if what == "read" else Ending.SERVED)

    def _report_first_event(self, sent: SentAttempt) -> None:
        if not sent.ended:
            self.listener.stream_event(sent.job.request_id, sent.number, "first")

    def report_end(self, sent: SentAttempt, ending: Ending) -> None:
        """Report the end of an attempt to the router after ONE_WAY_DELAY_S, unless it has ended by then."""

        def arrive() -> None:
            if sent.ended:
                return
            self._end(sent, ending in DID_NOT_RUN)
            note = 0
            if ending is Ending.READ:
                note = int(sent.job.prompt - sent.job.fresh)
            load = sent.machine.server.load() if ending in ENDINGS_WITH_LOAD else None
            self.listener.attempt_ended(sent.job.request_id, sent.number, ending, note, load)

        self.fleet.sim.after(ONE_WAY_DELAY_S, arrive)

    def _end(self, sent: SentAttempt, never_ran: bool) -> None:
        sent.ended = True
        self._attempts.pop((sent.job.request_id, sent.number), None)
        # A read has no effect, so its end says nothing of whether an earlier attempt ran: only the end of an
        # attempt elsewhere can prove that the request did not run.
        self.fleet.rules.ended(sent.job.request_id, never_ran and not sent.reads, self.fleet.sim.now)

    def abort(self, request_id: str, attempt: int) -> bool:
        """Abort an attempt; returns whether its last byte was written, which is so for every known one."""
        sent = self._attempts.get((request_id, attempt))
        if sent is None:
            return False
        self._end(sent, False)
        if sent.arrived and not sent.machine.silent:
            sent.machine.attempts.pop((request_id, attempt), None)
            sent.machine.server.drop(sent.job)
        return True  # here all bytes are written at once

    def catch_up(self, request_id: str, attempt: int) -> None:
        """Do nothing: everything that arrives from a worker is reported at once."""

    def withdraw(self, request_id: str, attempt: int) -> bool:
        """Always False: connections are established at once, so that an attempt is written immediately."""
        return False

    def release(self, request_id: str, begin_at: float, due: float, done: Callable[[], None]) -> None:
        """Release the state that a reader holds for the request; a silent reader keeps it."""

        def arrive() -> None:
            machine = self.fleet.held_states.get(request_id)
            if machine is not None and not machine.silent:
                del self.fleet.held_states[request_id]
            done()

        self.fleet.sim.after(ONE_WAY_DELAY_S, arrive)

    def pause(self, request_id: str, attempt: int, paused: bool) -> None:
        """Do nothing: no simulated client reads slowly."""

    def forget(self, server: int) -> None:
        """Do nothing: nothing is kept for a server."""


DID_NOT_RUN = frozenset(
    {Ending.CONNECT_REFUSED, Ending.CONNECT_SILENT, Ending.TURNED_AWAY, Ending.STATE_GONE}
)
ENDINGS_WITH_LOAD = frozenset({Ending.READ, Ending.SERVED, Ending.TURNED_AWAY, Ending.STATE_GONE})
