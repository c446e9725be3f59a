"""The platform's call that releases the state held for a request."""

from __future__ import annotations

from collections.abc import Callable

from ..config import Address
from ..core.ending import Ending
from ..releases import DoneCallback
from . import http
from .workers import WorkerPool


class _DeleteExchange:
    """The exchange of one DELETE; any 2xx status confirms the release."""

    unfinished = False
    event_count = 0
    buffered_bytes = 0

    def __init__(self, request_id: str, done: DoneCallback) -> None:
        self.label = f"{request_id} release"
        self._done, self._status = done, 0

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        self._status = status

    def body_received(self, data: bytes) -> None:
        """A body is not expected, and is ignored."""

    def completed(self) -> None:
        self._done(200 <= self._status < 300)

    def failed(self, ending: Ending) -> None:
        self._done(False)


def delete_reservation(
    pool: WorkerPool, address: Address, request_id: str, done: DoneCallback
) -> Callable[[], None]:
    """Ask a worker to release what is held for a request; `done` receives whether it confirmed.

    Returns a function that gives the call up. Raises OSError where no connection can be opened.
    """
    request = http.head(
        f"DELETE /internal/reservations/{request_id} HTTP/1.1",
        {"Host": f"{address[0]}:{address[1]}", "Content-Length": "0"},
    )
    return pool.request(address, _DeleteExchange(request_id, done), lambda: request).close
