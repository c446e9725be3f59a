"""What both router fronts share: their router, their client connections and an orderly shutdown."""

from __future__ import annotations

import math
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

from hopshed import interface

from .acceptor import Acceptor, listen
from .config import Address, Names
from .core.ending import Ending
from .core.ports import AttemptListener, Workers
from .core.release_call import Candidate, Ranking
from .core.router import Router
from .levels.level import ProcessHealth
from .levels.settings import Mode, ServiceLevelSettings
from .liveness import Liveness
from .loop import Loop, Timer
from .operations.instance import FrontMode
from .releases import Releases, ReleaseSender
from .resource_budget import ResourceBudget
from .worker_list import WorkerList

if TYPE_CHECKING:
    from .levels.governor import Governor
    from .levels.level_state import Change
    from .recovery.recovery import Recovery

MAX_GRACE_S = 3.0  # the platform grants a process the longest patience of a class, but no more than this
# Time after SIGTERM in which a router still accepts requests, where streams can be resumed elsewhere. It is
# divided by the number of other routers: the fewer there are, the likelier that none of them is serving. The
# rest of the grace is enough for a response to begin and for its stream to be moved.
MAX_ACCEPT_AFTER_TERM_S = 1.5  # and at most half of the grace
MAX_CLOSED_AT_ONCE = 32  # idle connections closed at a time when sockets run out
MIN_IDLE_S = 2.0  # for which an idle connection is kept even when sockets run out
RANKING_TTL_PER_WORKER_S = 5e-5  # for which a ranking of the workers is reused; about 40 times its cost
CLOSING_SWEEP_INTERVAL_S = 0.1  # between two sweeps while all idle connections are being closed
CLOSING_IDLE_S = 0.1  # after which a connection counts as idle then


class ClientConnection(Protocol):
    """A client's connection, as far as closing idle connections needs to know it."""

    @property
    def idle_since(self) -> float:
        """When it became idle, by the loop's clock in seconds."""

    @property
    def idle(self) -> bool:
        """Whether no request is being received or served on it."""

    @property
    def unread(self) -> bool:
        """Whether the kernel holds received bytes that have not been read."""

    def close_gracefully(self) -> None:
        """Write pending bytes, then close."""


ConnectionT = TypeVar("ConnectionT", bound=ClientConnection)


class ClientConnections(Generic[ConnectionT]):
    """A front's client connections; closes those that are idle."""

    def __init__(self, loop: Loop, idle_timeout_s: float) -> None:
        self.loop, self._idle_timeout_s = loop, idle_timeout_s
        self.connections: set[ConnectionT] = set()
        self.mode = FrontMode(healthy=True, accepting=True, keep_alive=True, close_idle=False)
        self.ending = False  # requests that arrive now could not be finished any more and are refused
        # The earliest time at which a connection that is accepted now may have been opened
        self.waiting_since: Callable[[], float] = lambda: loop.previous_poll_at
        self._sweep_timer = Timer(loop)
        loop.connection_freers.append(self.free_connections)
        self._sweep()

    def accepted(self, sock: socket.socket) -> None:
        """Serve a connection that has been accepted."""
        raise NotImplementedError

    def free_connections(self) -> None:
        """Close connections when sockets run out; by default those that have been idle for longest."""
        idle = sorted(self._idle(MIN_IDLE_S), key=lambda connection: connection.idle_since)
        for connection in idle[:MAX_CLOSED_AT_ONCE]:
            connection.close_gracefully()

    def set_mode(self, mode: FrontMode) -> None:
        """Apply a mode."""
        self.mode = mode
        self._sweep()

    def _idle(self, min_idle_s: float) -> list[ConnectionT]:
        """Returns the connections that have been idle for so long, except those with unread bytes."""
        idle = [c for c in self.connections if c.idle and self.loop.now - c.idle_since >= min_idle_s]
        return [c for c in idle if not c.unread]

    def end(self) -> None:
        """Refuse requests from now on, since the process exits once the accepted ones are answered."""
        self.ending = True
        for connection in self._idle(0.0):
            connection.close_gracefully()

    def _sweep(self) -> None:
        """Close idle connections; while all are closed, a new one still has a moment to send its request."""
        closing = self.mode.close_idle
        min_idle_s = CLOSING_IDLE_S if closing else self._idle_timeout_s
        for connection in self._idle(0.0 if self.ending else min_idle_s):
            connection.close_gracefully()
        self._sweep_timer.set(CLOSING_SWEEP_INTERVAL_S if closing else 1.0, self._sweep)


class PendingAttempt(Protocol):
    """One attempt that has been sent, or is being sent, to a worker."""

    request_id: str
    number: int

    def give_up(self) -> bool:
        """Abandon it; returns whether its last byte had been written."""

    def pause(self, paused: bool) -> None:
        """Stop or resume reading the response."""

    def catch_up(self) -> None:
        """Read what has arrived so far."""

    @property
    def on_its_way(self) -> bool:
        """Whether a byte of it may have been sent."""


AttemptT = TypeVar("AttemptT", bound=PendingAttempt)
# Releases what is held for a request. Takes the request id, the earliest time to begin and the time by which
# it is due (both in seconds of the loop's clock), and a function to call when it has ended
ReleaseFunction = Callable[[str, float, float, Callable[[], None]], None]


class PendingAttempts(Generic[AttemptT]):
    """The attempts in progress; implements the part of the core's `Workers` that all fronts share."""

    listener: AttemptListener

    def __init__(self, loop: Loop, worker_list: WorkerList, release: ReleaseFunction) -> None:
        self.loop, self._worker_list = loop, worker_list
        self._release = release
        self._pending: dict[tuple[str, int], AttemptT] = {}

    def begin(self, attempt: AttemptT, server: int, begin: Callable[[Address], None]) -> None:
        """Begin an attempt at a server's address; without a connection it ends with `NO_SOCKET`."""
        self._pending[attempt.request_id, attempt.number] = attempt
        try:
            begin(self._worker_list.addresses[server])
        except (OSError, KeyError) as error:
            self.loop.log("no connection to a worker", f"{server}: {error}")
            self.end(attempt, Ending.NO_SOCKET)

    def end(
        self, attempt: AttemptT, ending: Ending, note: int = 0, load: interface.Load | None = None
    ) -> None:
        """Report an attempt's end to the core, unless it has been abandoned.

        `note` is that of `interface.AttemptEnded`, and `load` the worker's latest load report.
        """
        if self._pending.pop((attempt.request_id, attempt.number), None) is not None:
            self.listener.attempt_ended(attempt.request_id, attempt.number, ending, note, load)

    def abort(self, request_id: str, attempt: int) -> bool:
        """Abandon an attempt; returns whether its last byte had been written."""
        pending = self._pending.pop((request_id, attempt), None)
        return pending is not None and pending.give_up()

    def catch_up(self, request_id: str, attempt: int) -> None:
        """Read what has arrived of an attempt's response."""
        if (pending := self._pending.get((request_id, attempt))) is not None:
            pending.catch_up()

    def withdraw(self, request_id: str, attempt: int) -> bool:
        """Abandon an attempt of which nothing can have been sent; returns whether that was so."""
        pending = self._pending.get((request_id, attempt))
        if pending is None or pending.on_its_way:
            return False
        self.abort(request_id, attempt)
        return True

    def release(self, request_id: str, begin_at: float, due: float, done: Callable[[], None]) -> None:
        """Release what is held for a request, from `begin_at` on and by `due` (the loop's clock)."""
        self._release(request_id, begin_at, due, done)

    def forget(self, server: int) -> None:
        """Forget a server that has been gone for long."""
        self._worker_list.forget(server)

    def pause(self, request_id: str, attempt: int, paused: bool) -> None:
        """Stop or resume reading an attempt's response."""
        if (pending := self._pending.get((request_id, attempt))) is not None:
            pending.pause(paused)


class ReportingWorkers(Workers, Protocol):
    """Workers that report their attempts to a listener."""

    listener: AttemptListener


class RouterFront:
    """Base of the fronts: connects a core router with clients and workers, and controls their lifecycle."""

    front_name = ""  # the kind of front

    def __init__(
        self,
        loop: Loop,
        settings: interface.Settings,
        names: Names,
        send_release: ReleaseSender,
        liveness: Liveness,
    ) -> None:
        self.loop, self._settings, self._liveness = loop, settings, liveness
        self.grace = min(MAX_GRACE_S, max(c.patience for c in settings.classes))
        others = max(1, settings.instances - 1)
        self.accept_after_term = (
            min(MAX_ACCEPT_AFTER_TERM_S, self.grace / 2) / others if settings.may_resume else 0.0
        )
        self.worker_list = WorkerList(names, time.monotonic() - time.time(), loop.log)
        self.releases = Releases(loop, send_release, self._ranked_workers)
        self._ranking, self._ranking_valid_until = Ranking(()), loop.now
        self._governor: Governor | None = None
        self._late_from = -math.inf  # accepted from then on, requests may not go on to the kill (loop clock)
        self.recovery: Recovery | None = None  # set where recovery is configured

    def _ranked_workers(self) -> Ranking:
        """Returns the workers that a release may call.

        A large fleet's ranking is reused for a short time, since many releases begin at once.
        """
        if self.loop.now >= self._ranking_valid_until:
            self._ranking = Ranking(self._release_candidates())
            self._ranking_valid_until = self.loop.now + RANKING_TTL_PER_WORKER_S * len(
                self._ranking.candidates
            )
        return self._ranking

    def _release_candidates(self) -> list[Candidate]:
        """Returns the running and draining workers; any of them accepts a release."""
        addresses, servers, liveness = self.worker_list.addresses, self.router.servers, self._liveness
        candidates = []
        for number, state in self.worker_list.states.items():
            address, server = addresses.get(number), servers.get(number)
            if address is None or state is interface.ServerState.GONE:
                continue
            group = (server.kind, server.zone) if server is not None else None
            draining = state is interface.ServerState.DRAINING
            heard, missed = liveness.heard(address), liveness.missed(address)
            candidates.append(Candidate(address, group, heard, missed, draining))
        return candidates

    def create_router(self, workers: ReportingWorkers, seed: int) -> None:
        """Create the front's router and run it on the loop."""
        self._seed = seed
        self.router = Router(
            self._settings, seed, self.loop.deadlines, lambda: self.loop.now, workers, self.loop.log
        )
        workers.listener = self.router
        self.loop.deciders.append(self.router)

    def open(
        self,
        clients: ClientConnections[Any],
        address: Address,
        budget: ResourceBudget,
        label: str,
        listener: socket.socket | None = None,
    ) -> None:
        """Accept clients, on `listener` if it is given, else on a new socket. Raises OSError.

        `label` names the kind of clients in the log.
        """
        self._clients = clients
        listener = listener or listen(address)
        self.port: int = listener.getsockname()[1]
        self._acceptor = Acceptor(
            self.loop, listener, budget.can_open_client, clients.free_connections, clients.accepted
        )
        clients.waiting_since = lambda: self._acceptor.waiting_since
        self.loop.log("serving", f"{label} clients on {address[0]}:{self.port}")

    @property
    def has_workers(self) -> bool:
        """Whether a running worker is known."""
        return bool(self.worker_list.running_addresses())

    @property
    def busy(self) -> bool:
        """Whether a request, a release or a client connection is open."""
        return self.router.busy or self.releases.busy or bool(self._clients.connections)

    def reload(self) -> Callable[[], str]:
        """Read the configuration again; returns a function that applies it and describes changes."""
        raise NotImplementedError

    @property
    def discovery_age(self) -> float:
        """Seconds since the source of the worker list last sent anything."""
        raise NotImplementedError

    @property
    def levels(self) -> Governor | None:
        """The governor of the level of service; None where levels are off or the router has dropped it."""
        return self._governor if self._governor is self.router.governor else None

    def set_levels(
        self,
        settings: ServiceLevelSettings,
        read_health: Callable[[], ProcessHealth],
        changed: Callable[[Change], None],
    ) -> None:
        """Apply settings of the levels of service, at the start or later.

        `read_health` returns the resource use of the process; `changed` is called with each change of level.
        """
        levels = self.levels
        if settings.mode is Mode.OFF:
            if levels is not None:
                self.router.set_governor(None)
        elif levels is None:
            from .levels.governor import Governor  # imported only where levels are on, for its cost

            def process_health() -> ProcessHealth:
                return read_health()._replace(discovery_age=self.discovery_age)

            self._governor = Governor(
                self._settings, settings, self._seed, self.loop.now, process_health, changed, self.recovery
            )
            self.router.set_governor(self._governor)
        else:
            levels.configure(settings, self.loop.now)

    def set_mode(self, mode: FrontMode) -> None:
        """Apply a mode to the listener and the client connections."""
        if mode.shutting_down:
            self._acceptor.stop()
        self._acceptor.pause(not mode.accepting)
        self._clients.set_mode(mode)

    def move_streams(self, part: float) -> None:
        """Move this part of the running streams elsewhere, if clients can resume them there."""
        self.router.move_streams(part)

    def limit_requests(self) -> None:
        """Refuse requests from now on, unless their streams can be moved before the process is killed."""
        self._late_from = self.loop.now
        if not self._settings.may_resume:
            self._clients.end()

    def end_all(self) -> None:
        """Refuse new requests, and end those that may not go on until the process is killed."""
        self._clients.end()
        self.router.end_all(self._late_from)
        if self.router.busy:
            streams = self.router.stream_count
            others = len(self.router.requests) - streams
            self.loop.log("requests go on", f"{streams} streams and {others} others after the grace period")

    def close(self) -> None:
        """Close what the front has open besides its clients and workers; here, nothing."""
