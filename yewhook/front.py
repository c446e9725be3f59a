"""What both fronts have in common: a router of the core, its clients, and how they end in good order."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

from hopshed import interface as i

from .config import Address, Names
from .core.ending import Ending
from .core.ports import Told, Workers
from .core.router import Router
from .loop import Loop
from .registry import Registry
from .releases import Ask, Releases
from .service import Acceptor, Room, listen


class Clients(Protocol):
    """The clients' connections of a front."""

    connections: set[Any]

    def accepted(self, sock: socket.socket) -> None: ...

    def make_room(self) -> None:
        """Close connections on which nothing is asked, those that have been so for longest first."""

    def stop_accepting(self) -> None:
        """Close the connections on which nothing is asked; the others follow with their last answer."""


class Out(Protocol):
    """One attempt that is out at a worker."""

    request_id: str
    number: int

    def give_up(self) -> bool:
        """Abandon it; whether its last byte had been written."""

    def pause(self, paused: bool) -> None: ...


O = TypeVar("O", bound=Out)  # noqa: E741


class AttemptsOut(Generic[O]):
    """The attempts that are out, and what the core asks of them on any front."""

    told: Told

    def __init__(self, loop: Loop, addresses: dict[int, Address], release: Callable[[str], None]) -> None:
        self.loop, self.addresses = loop, addresses
        self._release = release
        self._out: dict[tuple[str, int], O] = {}

    def begin(self, out: O, server: int, begin: Callable[[Address], None]) -> None:
        """Begin an attempt at a server's address; where there is no connection, that is its end."""
        self._out[out.request_id, out.number] = out
        try:
            begin(self.addresses[server])
        except (OSError, KeyError) as error:
            self.loop.log("no connection to a worker", f"{server}: {error}")
            self.end(out, Ending.NO_SOCKET)

    def end(self, out: O, ending: Ending, note: int = 0, load: i.Load | None = None) -> None:
        if self._out.pop((out.request_id, out.number), None) is not None:
            self.told.ended(out.request_id, out.number, ending, note, load)

    def abort(self, request_id: str, attempt: int) -> bool:
        out = self._out.pop((request_id, attempt), None)
        return out is not None and out.give_up()

    def release(self, request_id: str) -> None:
        self._release(request_id)

    def pause(self, request_id: str, attempt: int, paused: bool) -> None:
        if (out := self._out.get((request_id, attempt))) is not None:
            out.pause(paused)


class TellingWorkers(Workers, Protocol):
    told: Told


class RouterFront:
    def __init__(
        self, loop: Loop, settings: i.Settings, names: Names, ask: Ask, latest: Callable[[], list[Address]]
    ) -> None:
        self.loop, self._settings = loop, settings
        self.grace = max(c.patience for c in settings.classes)
        self.registry = Registry(names, time.monotonic() - time.time(), loop.log)
        self.releases = Releases(loop, ask, latest, self.registry.running)

    def route(self, workers: TellingWorkers, seed: int) -> None:
        """Give the front its router."""
        self.router = Router(
            self._settings, seed, self.loop.deadlines, lambda: self.loop.now, workers, self.loop.log
        )
        workers.told = self.router
        self.loop.deciders.append(self.router)

    def open(self, clients: Clients, address: Address, room: Room, whose: str) -> None:
        """Begin to take clients."""
        self._clients = clients
        listener = listen(address)
        self.port: int = listener.getsockname()[1]
        self._acceptor = Acceptor(self.loop, listener, room.for_clients, clients.make_room, clients.accepted)
        self.loop.log("serving", f"{whose} clients on {address[0]}:{self.port}")

    @property
    def busy(self) -> bool:
        return self.router.busy or self.releases.busy or bool(self._clients.connections)

    def reload(self) -> Callable[[], str]:
        raise NotImplementedError

    def drain(self) -> None:
        """Clients that are not told beforehand connect elsewhere when this end hangs up."""

    def stop_accepting(self) -> None:
        self._acceptor.stop()
        self._clients.stop_accepting()

    def break_off(self) -> None:
        self.router.break_off_streams()

    def close(self) -> None:
        """Nothing else is left open."""
