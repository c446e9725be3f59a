"""The platform's call that lets go of what is held for a request."""

from __future__ import annotations

from collections.abc import Callable

from ..config import Address
from ..core.ending import Ending
from ..releases import DoneCallback
from . import http
from .workers import WorkerPool


class _Delete:
    """The exchange of one DELETE."""

    unfinished = False
    told = 0

    def __init__(self, done: DoneCallback) -> None:
        self._done, self._status = done, 0

    def begun(self, status: int, headers: dict[str, str]) -> None:
        self._status = status

    def body(self, data: bytes) -> None:
        """Nothing is expected here."""

    def whole(self) -> None:
        self._done(200 <= self._status < 300)

    def broken(self, ending: Ending) -> None:
        self._done(False)


def delete(pool: WorkerPool, address: Address, request_id: str, done: DoneCallback) -> Callable[[], None]:
    request = http.head(
        f"DELETE /internal/reservations/{request_id} HTTP/1.1",
        {"Host": f"{address[0]}:{address[1]}", "Content-Length": "0"},
    )
    return pool.ask(address, _Delete(done), lambda: request).close
