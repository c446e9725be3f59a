"""What both fronts have in common: a router of the core, its clients, and how they end in good order."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

from hopshed import interface as i

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
from .service import Acceptor, ResourceBudget, listen
from .worker_list import WorkerList

if TYPE_CHECKING:
    from .levels.governor import Governor
    from .levels.level_state import Change
    from .recovery.recovery import Recovery

GRACE_MOST = 3.0  # s; the platform grants the longest patience of a class, and no more than this
# s after the order to end in which a router still takes what comes, where streams can go on elsewhere: the
# fewer others there are, the likelier that just now none of them serves. What is left of the grace is enough
# for an answer to begin and for its stream to be moved.
LAST_TAKEN = 1.5  # and never over half of the grace
MAX_CLOSED_AT_ONCE = 32  # idle connections closed at a time when sockets run out
IDLE_LEAST = 2.0  # s that a connection is left open on which nothing is asked, however short room is
RANKING_KEPT = 5e-5  # s for each worker, for which a ranking of them is kept: some 40 times what it costs
CLOSING_EVERY, CLOSING_IDLE = 0.1, 0.1  # s between looks while idle connections are closed; s of idleness


class ClientConnection(Protocol):
    @property
    def idle_since(self) -> float: ...

    @property
    def idle(self) -> bool:
        """Whether nothing is asked on it, and nothing is on its way."""

    @property
    def unread(self) -> bool:
        """Whether something has come on it that has not been read."""

    def close_gracefully(self) -> None: ...


K = TypeVar("K", bound=ClientConnection)


class ClientConnections(Generic[K]):
    """The clients' connections of a front, and how those are closed on which nothing is asked."""

    def __init__(self, loop: Loop, idle_most: float) -> None:
        self.loop, self._idle_most = loop, idle_most
        self.connections: set[K] = set()
        self.mode = FrontMode(healthy=True, accepting=True, keep_alive=True, close_idle=False)
        self.ending = False  # nothing that comes now could be finished any more: it is refused
        # Since when a connection that is accepted now may have waited to be.
        self.waiting_since: Callable[[], float] = lambda: loop.previous_poll_at
        self._sweeping = Timer(loop)
        self._sweep()

    def accepted(self, sock: socket.socket) -> None:
        raise NotImplementedError

    def free_connections(self) -> None:
        """Close connections that are needed least: here, those that have been idle for longest."""
        idle = sorted(self._idle(IDLE_LEAST), key=lambda connection: connection.idle_since)
        for connection in idle[:MAX_CLOSED_AT_ONCE]:
            connection.close_gracefully()

    def set_mode(self, mode: FrontMode) -> None:
        self.mode = mode
        self._sweep()

    def _idle(self, least: float) -> list[K]:
        """Those on which nothing has been asked for so long; a request that has just come is read first."""
        resting = [c for c in self.connections if c.idle and self.loop.now - c.idle_since >= least]
        return [c for c in resting if not c.unread]

    def end(self) -> None:
        """Refuse what still comes: the process is about to go."""
        self.ending = True
        for connection in self._idle(0.0):
            connection.close_gracefully()

    def _sweep(self) -> None:
        """While they are closed, one that has just been opened has a moment for its request to come."""
        closing = self.mode.close_idle
        for connection in self._idle(CLOSING_IDLE if closing else self._idle_most):
            connection.close_gracefully()
        self._sweeping.set(CLOSING_EVERY if closing else 1.0, self._sweep)


class PendingAttempt(Protocol):
    """One attempt that is out at a worker."""

    request_id: str
    number: int

    def give_up(self) -> bool:
        """Abandon it; whether its last byte had been written."""

    def pause(self, paused: bool) -> None: ...

    def catch_up(self) -> None:
        """Hear what has come of it so far."""

    @property
    def on_its_way(self) -> bool:
        """Whether a byte of it may be on its way."""


O = TypeVar("O", bound=PendingAttempt)  # noqa: E741
ReleaseFunction = Callable[
    [str, float, float, Callable[[], None]], None
]  # of a request, from a time on, by another


class PendingAttempts(Generic[O]):
    """The attempts that are out, and what the core asks of them on any front."""

    listener: AttemptListener

    def __init__(self, loop: Loop, worker_list: WorkerList, release: ReleaseFunction) -> None:
        self.loop, self._worker_list = loop, worker_list
        self._release = release
        self._out: dict[tuple[str, int], O] = {}

    def begin(self, out: O, server: int, begin: Callable[[Address], None]) -> None:
        """Begin an attempt at a server's address; where there is no connection, that is its end."""
        self._out[out.request_id, out.number] = out
        try:
            begin(self._worker_list.addresses[server])
        except (OSError, KeyError) as error:
            self.loop.log("no connection to a worker", f"{server}: {error}")
            self.end(out, Ending.NO_SOCKET)

    def end(self, out: O, ending: Ending, note: int = 0, load: i.Load | None = None) -> None:
        if self._out.pop((out.request_id, out.number), None) is not None:
            self.listener.attempt_ended(out.request_id, out.number, ending, note, load)

    def abort(self, request_id: str, attempt: int) -> bool:
        out = self._out.pop((request_id, attempt), None)
        return out is not None and out.give_up()

    def catch_up(self, request_id: str, attempt: int) -> None:
        if (out := self._out.get((request_id, attempt))) is not None:
            out.catch_up()

    def withdraw(self, request_id: str, attempt: int) -> bool:
        out = self._out.get((request_id, attempt))
        if out is None or out.on_its_way:
            return False
        self.abort(request_id, attempt)
        return True

    def release(self, request_id: str, begin_at: float, due: float, done: Callable[[], None]) -> None:
        self._release(request_id, begin_at, due, done)

    def forget(self, server: int) -> None:
        self._worker_list.forget(server)

    def pause(self, request_id: str, attempt: int, paused: bool) -> None:
        if (out := self._out.get((request_id, attempt))) is not None:
            out.pause(paused)


class ListenedWorkers(Workers, Protocol):
    listener: AttemptListener


class RouterFront:
    front_name = ""  # clients, in a word

    def __init__(
        self, loop: Loop, settings: i.Settings, names: Names, ask: ReleaseSender, liveness: Liveness
    ) -> None:
        self.loop, self._settings, self._liveness = loop, settings, liveness
        self.grace = min(GRACE_MOST, max(c.patience for c in settings.classes))
        others = max(1, settings.instances - 1)
        self.accept_after_term = min(LAST_TAKEN, self.grace / 2) / others if settings.may_resume else 0.0
        self.worker_list = WorkerList(names, time.monotonic() - time.time(), loop.log)
        self.releases = Releases(loop, ask, self._ranked_workers)
        self._ranking, self._ranked_until = Ranking(()), loop.now
        self._governor: Governor | None = None
        self.recovery: Recovery | None = None  # where operators want one, and levels judge

    def _ranked_workers(self) -> Ranking:
        """Whom a release may ask. A large fleet's ranking is kept for a moment: many releases ask at once."""
        if self.loop.now >= self._ranked_until:
            self._ranking = Ranking(self._release_candidates())
            self._ranked_until = self.loop.now + RANKING_KEPT * len(self._ranking.candidates)
        return self._ranking

    def _release_candidates(self) -> list[Candidate]:
        """The workers that run, those told to drain among them: any of them takes a release."""
        addresses, servers, liveness = self.worker_list.addresses, self.router.servers, self._liveness
        candidates = []
        for number, state in self.worker_list.states.items():
            address, server = addresses.get(number), servers.get(number)
            if address is None or state is i.ServerState.GONE:
                continue
            group = (server.kind, server.zone) if server is not None else None
            draining = state is i.ServerState.DRAINING
            heard, missed = liveness.heard(address), liveness.missed(address)
            candidates.append(Candidate(address, group, heard, missed, draining))
        return candidates

    def create_router(self, workers: ListenedWorkers, seed: int) -> None:
        """Give the front its router."""
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
        room: ResourceBudget,
        whose: str,
        listener: socket.socket | None = None,
    ) -> None:
        """Begin to take clients, on the socket that listens already where there is one."""
        self._clients = clients
        listener = listener or listen(address)
        self.port: int = listener.getsockname()[1]
        self._acceptor = Acceptor(
            self.loop, listener, room.can_open_client, clients.free_connections, clients.accepted
        )
        clients.waiting_since = lambda: self._acceptor.waiting_since
        self.loop.log("serving", f"{whose} clients on {address[0]}:{self.port}")

    @property
    def has_workers(self) -> bool:
        return bool(self.worker_list.running_addresses())

    @property
    def busy(self) -> bool:
        return self.router.busy or self.releases.busy or bool(self._clients.connections)

    def reload(self) -> Callable[[], str]:
        raise NotImplementedError

    @property
    def discovery_age(self) -> float:
        """s since the last word of whoever lists the workers."""
        raise NotImplementedError

    @property
    def levels(self) -> Governor | None:
        """Who judges the level of service; nobody where levels are off, or where the router gave it up."""
        return self._governor if self._governor is self.router.governor else None

    def set_levels(
        self,
        settings: ServiceLevelSettings,
        vitals: Callable[[], ProcessHealth],
        changed: Callable[[Change], None],
    ) -> None:
        """Put settings of the levels of service in force, at the start or while it runs."""
        levels = self.levels
        if settings.mode is Mode.OFF:
            if levels is not None:
                self.router.set_governor(None)
        elif levels is None:
            from .levels.governor import Governor  # where they are off, nothing is paid for them

            def seen() -> ProcessHealth:
                return vitals()._replace(discovery_age=self.discovery_age)

            self._governor = Governor(
                self._settings, settings, self._seed, self.loop.now, seen, changed, self.recovery
            )
            self.router.set_governor(self._governor)
        else:
            levels.configure(settings, self.loop.now)

    def set_mode(self, mode: FrontMode) -> None:
        if mode.shutting_down:
            self._acceptor.stop()
        self._acceptor.pause(not mode.accepting)
        self._clients.set_mode(mode)

    def move_streams(self, part: float) -> None:
        self.router.move_streams(part)

    def end_all(self) -> None:
        self._clients.end()
        self.router.end_all()

    def close(self) -> None:
        """Nothing else is left open."""
