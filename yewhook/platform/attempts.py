"""Attempts at workers over HTTP: what is sent for a request, and what its answer tells the core."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hopshed import interface

from .. import load_reports
from ..config import Address
from ..core.ending import Ending
from ..core.ports import OutgoingAttempt
from ..front import PendingAttempts, ReleaseFunction
from ..worker_list import WorkerList
from . import http
from .client_request import HttpRequest
from .workers import WorkerConnection, WorkerPool

MAX_UNSTREAMED_BODY_BYTES = 64 * 1024  # of a response that is not a stream; the rest is ignored
LOAD_REPORT_HEADER = "x-pressure"
LOAD_REPORT_COMMENT = b": X-Pressure:"


class AttemptExchange:
    """One attempt of a request at one worker; passes its events and its end to the core."""

    def __init__(self, workers: HttpWorkers, request_id: str, attempt: int) -> None:
        self.workers, self.request_id, self.number = workers, request_id, attempt
        self.connection: WorkerConnection | None = None
        self.event_count = 0  # of those with content, up to the last one
        self._last_event_received = False
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._events = http.EventSplitter()
        self._cached_tokens = 0
        self._load: interface.Load | None = None

    @property
    def label(self) -> str:
        """The request's id and the attempt's number."""
        return f"{self.request_id} attempt {self.number}"

    def begin(self, address: Address, compose: Callable[[], bytes], connect_timeout: float) -> None:
        """Send the request; the connection must be up within `connect_timeout` seconds."""
        self.connection = self.workers.pool.request(address, self, compose)
        self.connection.limit_connect_time(connect_timeout)

    def give_up(self) -> bool:
        """Abandon the attempt; returns whether the request had been written whole."""
        if self.connection is None:
            return False
        written = self.connection.written
        self.connection.close()
        return written

    @property
    def on_its_way(self) -> bool:
        """Whether a byte of the request may have been sent."""
        return self.connection is not None and self.connection.is_connected

    def pause(self, paused: bool) -> None:
        """Stop or resume reading the response."""
        if self.connection is not None:
            self.connection.pause(paused)

    def catch_up(self) -> None:
        """Read what has arrived so far."""
        if self.connection is not None:
            self.connection.channel.catch_up()

    @property
    def unfinished(self) -> bool:
        """Whether an event has been received incompletely."""
        return self._events.unfinished

    @property
    def buffered_bytes(self) -> int:
        """The size of an incomplete event, or of the body of a response that is not a stream."""
        return self._events.buffered_bytes + len(self._body)

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Keep status and headers, and read the load report among them."""
        self._status, self._headers = status, headers
        if LOAD_REPORT_HEADER in headers:
            self._read_load_report(headers[LOAD_REPORT_HEADER])

    def _read_load_report(self, text: str | bytes) -> None:
        self._load = (
            load_reports.parse_load(load_reports.parse_json(text), self.workers.columns) or self._load
        )

    def body_received(self, data: bytes) -> None:
        """Pass on the events of a stream; keep the body of any other response."""
        if self._status != 200:
            if len(self._body) < MAX_UNSTREAMED_BODY_BYTES:
                self._body += data
            return
        for event in self._events.feed(data):
            self._pass_on(event)

    def _pass_on(self, event: bytes) -> None:
        """Pass on an event unchanged, except for load reports, which are meant for routers only.

        What has no content does not begin the response: before it, another worker may be asked.
        """
        while event.startswith(LOAD_REPORT_COMMENT):
            line, _, event = event.partition(b"\n")
            self._read_load_report(line[len(LOAD_REPORT_COMMENT) :])
            event = event.lstrip(b"\r\n")
        has_content = http.has_content(event)
        if not (has_content or (self.event_count and event.strip())):
            return
        self.event_count += has_content and not self._last_event_received
        self._last_event_received = self._last_event_received or event.startswith(http.LAST_EVENTS)
        if b'"usage"' in event:
            self._cached_tokens = cached_tokens(event) or self._cached_tokens
        self.workers.listener.stream_event(self.request_id, self.number, event)

    def completed(self) -> None:
        """Report the end of the attempt, as its status tells it."""
        if rest := self._events.rest():
            self._pass_on(rest)
        status, turned_away = self._status, self._headers.get("x-turned-away") == "1"
        if status == 200:
            ending = Ending.SERVED
        elif status == 202:
            ending = Ending.READ
            self._cached_tokens = token_count_at(load_reports.parse_json(bytes(self._body)), "cached_tokens")
        elif status == 410:
            ending = Ending.STATE_GONE
        elif status in (503, 504) and turned_away:
            ending = Ending.TURNED_AWAY
        else:
            ending = Ending.ERROR
        self.workers.end(self, ending, self._cached_tokens, self._load)

    def failed(self, ending: Ending) -> None:
        """Report the end of the attempt without a complete response."""
        self.workers.end(self, ending, self._cached_tokens, self._load)


def token_count_at(value: Any, *path: str) -> int:
    """Returns the number of tokens at a path of keys in decoded JSON; 0 where there is none."""
    for name in path:
        value = value.get(name) if isinstance(value, dict) else None
    return load_reports.token_count(value)


def cached_tokens(event: bytes) -> int:
    """Returns the number of cached prompt tokens in a stream's usage event; 0 where it has none."""
    usage = load_reports.parse_json(event.partition(b"data:")[2])
    return token_count_at(usage, "usage", "prompt_tokens_details", "cached_tokens")


class HttpWorkers(PendingAttempts[AttemptExchange]):
    """Implements the core's `Workers` over HTTP."""

    def __init__(
        self,
        pool: WorkerPool,
        columns: tuple[str, ...],
        worker_list: WorkerList,
        release: ReleaseFunction,
    ) -> None:
        """`columns` are the fields of a load report, as the settings name them."""
        super().__init__(pool.loop, worker_list, release)
        self.pool, self.columns = pool, columns

    def send(self, attempt: OutgoingAttempt) -> None:
        """Send one attempt, whose payload is the client's `HttpRequest`."""
        request = attempt.payload
        assert isinstance(request, HttpRequest)
        fields = {"host": "worker", "content-type": "application/json"} | http.end_to_end(request.headers)
        fields |= {"X-Txn": attempt.request_id, "Content-Length": str(len(request.body))}
        start = f"{request.method.decode('latin-1')} {request.target.decode('latin-1')} HTTP/1.1"
        expires = self.loop.now + attempt.timeout

        def compose() -> bytes:
            remaining = max(1, round((expires - self.loop.now) * 1e6))
            return http.head(start, fields | {"X-Remaining": f"{remaining}u"}) + request.body.joined()

        exchange = AttemptExchange(self, attempt.request_id, attempt.number)
        self.begin(
            exchange,
            attempt.server,
            lambda address: exchange.begin(address, compose, attempt.connect_timeout),
        )
