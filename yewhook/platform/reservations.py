"""Letting go of what workers hold: a DELETE that any running worker accepts, until one has."""

from __future__ import annotations

from collections.abc import Callable

from ..config import Address
from ..core.ending import Ending
from ..loop import Loop
from . import http
from .workers import WorkerConnection, WorkerPool

PATIENCE = 0.15  # s for one worker's answer
TRIES = 6


class Release:
    """One request's DELETE, tried at one worker after the other."""

    def __init__(self, reservations: Reservations, request_id: str) -> None:
        self._all, self._id = reservations, request_id
        self._tried: list[Address] = []
        self._connection: WorkerConnection | None = None
        self._status = 0

    def next(self) -> None:
        address = self._all.choose(self._tried)
        if address is None or len(self._tried) >= TRIES:
            self._all.loop.log("release not confirmed", f"{self._id} after {len(self._tried)} workers")
            return self._all.done(self)
        self._tried.append(address)
        self._status, tries = 0, len(self._tried)
        request = http.head(
            f"DELETE /internal/reservations/{self._id} HTTP/1.1",
            {"Host": f"{address[0]}:{address[1]}", "Content-Length": "0"},
        )
        try:
            self._connection = self._all.pool.ask(address, self, request)
        except OSError:
            self._connection = None
            return self._all.loop.after(0.01, self.next)
        return self._all.loop.after(PATIENCE, lambda: self._silent(tries))

    def _silent(self, tries: int) -> None:
        if self._connection is not None and len(self._tried) == tries:
            self._connection.close()
            self._connection = None
            self.next()

    def begun(self, status: int, headers: dict[str, str]) -> None:
        self._status = status

    def body(self, data: bytes) -> None:
        """Nothing is expected here."""

    def whole(self) -> None:
        self._connection = None
        if 200 <= self._status < 300:
            return self._all.done(self)
        return self.next()

    def broken(self, ending: Ending) -> None:
        self._connection = None
        self.next()


class Reservations:
    def __init__(self, loop: Loop, pool: WorkerPool, running: Callable[[], list[Address]]) -> None:
        self.loop, self.pool, self._running = loop, pool, running
        self._open: set[Release] = set()

    @property
    def busy(self) -> bool:
        return bool(self._open)

    def release(self, request_id: str) -> None:
        release = Release(self, request_id)
        self._open.add(release)
        release.next()

    def choose(self, tried: list[Address]) -> Address | None:
        """A worker that lives, by its latest answer; else the next that discovery calls running."""
        running = self._running()
        order = [a for a in self.pool.latest() if a in running] + running
        return next((a for a in order if a not in tried), None)

    def done(self, release: Release) -> None:
        self._open.discard(release)
