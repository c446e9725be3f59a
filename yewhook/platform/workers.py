"""The workers' side: a pool of connections, and one HTTP exchange at a time on each."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

import httptools

from hopshed import interface as i
from hopshed import wire

from ..channel import Channel
from ..config import Address
from ..core.ending import Ending
from ..front import AttemptsOut
from ..loop import Loop
from ..pool import Pool
from . import http
from .clients import Call

ANSWER_LIMIT = 64 * 1024  # bytes of an answer that is not a stream
PASSED_ON = ("x-lane", "x-org", "x-entity", "x-labels", "x-resent")
REPORT = "X-Pressure"
REPORT_COMMENT = b": X-Pressure:"
# Names under which a report may hold what the settings' columns name
SAME = {"avg_ms": "latency_ms", "active": "inflight", "waiting": "queue", "cpu": "util", "rps": "qps",
        "err_rps": "eps"}  # fmt: skip


def report(text: str | bytes, columns: tuple[str, ...]) -> i.Load | None:
    """A load report; None where it is missing or not understood, for a report is only advice."""
    try:
        raw = json.loads(text)
        row = [raw.get(name, raw.get(SAME.get(name, name))) for name in columns]
        return wire.load(row, list(columns))
    except (ValueError, AttributeError, TypeError):
        return None


class Exchange(Protocol):
    """What is asked of a worker on one connection."""

    def begun(self, status: int, headers: dict[str, str]) -> None: ...

    def body(self, data: bytes) -> None: ...

    def whole(self) -> None: ...

    def broken(self, ending: Ending) -> None: ...


class WorkerConnection:
    def __init__(self, pool: WorkerPool, address: Address) -> None:
        self.pool, self.address = pool, address
        self.exchange: Exchange | None = None
        self.up = False
        self.idle_since = 0.0
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._complete = self._reusable = False
        self.channel = Channel.connect(pool.loop, address, self)
        pool.loop.after(pool.connect_timeout, self._too_late)

    @property
    def written(self) -> bool:
        """Whether the last byte of what is asked has been handed over."""
        return self.up and not self.channel.unsent

    def ask(self, exchange: Exchange, request: bytes) -> None:
        self.exchange = exchange
        self._parser = httptools.HttpResponseParser(self)
        self._headers, self._complete, self._reusable = {}, False, False
        self.channel.send(request)

    def close(self) -> None:
        self.exchange = None
        self.channel.abort()
        self.pool.forget(self)

    # ---- the channel ----

    def connected(self) -> None:
        self.up = True

    def _too_late(self) -> None:
        if not self.up and not self.channel.closed:
            self._broken(Ending.CONNECT_SILENT)

    def drained(self) -> None:
        """What is asked has been written whole."""

    def received(self, data: bytes) -> None:
        if self.exchange is None:
            return self.close()  # bytes that nobody asked for
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.pool.log("worker answer not understood", f"{self.address[0]}:{self.address[1]} {error}")
            return self._broken(Ending.GARBLED)
        if self._complete:
            exchange, self.exchange = self.exchange, None
            if self._reusable and self.written:
                self.pool.keep(self)
            else:
                self.close()
            if exchange is not None:
                exchange.whole()
        return None

    def lost(self, error: OSError | None) -> None:
        if not self.up:
            return self._broken(Ending.CONNECT_REFUSED)
        if not self.written:
            return self._broken(Ending.BROKEN_UNSENT)
        return self._broken(Ending.CLOSED if error is None else Ending.BROKEN)

    def _broken(self, ending: Ending) -> None:
        exchange = self.exchange
        self.close()
        if exchange is not None:
            exchange.broken(ending)

    # ---- the parser ----

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.exchange is not None:
            self.exchange.begun(self._parser.get_status_code(), self._headers)

    def on_body(self, body: bytes) -> None:
        if self.exchange is not None:
            self.exchange.body(body)

    def on_message_complete(self) -> None:
        self._complete = True
        self._reusable = self._parser.should_keep_alive()  # known only here: the parser starts anew after


class WorkerPool(Pool[WorkerConnection]):
    """The connections to workers, those in use and those kept for the next exchange."""

    def __init__(
        self, loop: Loop, room: Callable[[], bool], connect_timeout: float, idle_limit: float
    ) -> None:
        super().__init__(loop, room, idle_limit, lambda address: WorkerConnection(self, address))
        self.log, self.connect_timeout = loop.log, connect_timeout

    def ask(self, address: Address, exchange: Exchange, request: bytes) -> WorkerConnection:
        """Ask on a kept or a new connection. Raises OSError where none can be opened."""
        connection = self.take(address)
        connection.ask(exchange, request)
        return connection


class AttemptExchange:
    """One attempt at one worker, from its answer's head to its end."""

    def __init__(self, workers: HttpWorkers, request_id: str, attempt: int) -> None:
        self.workers, self.request_id, self.number = workers, request_id, attempt
        self.connection: WorkerConnection | None = None
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = b""
        self._events = http.EventSplitter()
        self._found = 0
        self._load: i.Load | None = None

    def begin(self, address: Address, request: bytes) -> None:
        self.connection = self.workers.pool.ask(address, self, request)

    def give_up(self) -> bool:
        if self.connection is None:
            return False
        written = self.connection.written
        self.connection.close()
        return written

    def pause(self, paused: bool) -> None:
        if self.connection is not None:
            self.connection.channel.pause(paused)

    def begun(self, status: int, headers: dict[str, str]) -> None:
        self._status, self._headers = status, headers
        if REPORT.lower() in headers:
            self._load = report(headers[REPORT.lower()], self.workers.columns)

    def body(self, data: bytes) -> None:
        if self._status != 200:
            self._body = (self._body + data)[:ANSWER_LIMIT]
            return
        for event in self._events.feed(data):
            self._event(event)

    def _event(self, event: bytes) -> None:
        """Pass an event on unchanged; the report, which is for routers, stays here."""
        while event.startswith(REPORT_COMMENT):
            line, _, event = event.partition(b"\n")
            self._load = report(line[len(REPORT_COMMENT) :], self.workers.columns) or self._load
            event = event.lstrip(b"\r\n")
        if not event:
            return
        if b'"usage"' in event:
            self._found = cached(event) or self._found
        self.workers.told.event(self.request_id, self.number, event)

    def whole(self) -> None:
        if rest := self._events.rest():
            self._event(rest)
        status, turned_away = self._status, self._headers.get("x-turned-away") == "1"
        if status == 200:
            ending = Ending.SERVED
        elif status == 202:
            ending = Ending.READ
            self._found = found(self._body)
        elif status == 410:
            ending = Ending.STATE_GONE
        elif status in (503, 504) and turned_away:
            ending = Ending.TURNED_AWAY
        else:
            ending = Ending.ERROR
        self.workers.end(self, ending, self._found, self._load)

    def broken(self, ending: Ending) -> None:
        self.workers.end(self, ending, self._found, self._load)


def found(body: bytes) -> int:
    try:
        return int(json.loads(body)["cached_tokens"])
    except (ValueError, KeyError, TypeError):
        return 0


def cached(event: bytes) -> int:
    """The kept tokens that a stream's usage event states; 0 where it states none."""
    try:
        usage: Any = json.loads(event.partition(b"data:")[2])["usage"]
        return int(usage["prompt_tokens_details"]["cached_tokens"])
    except (ValueError, KeyError, TypeError):
        return 0


class HttpWorkers(AttemptsOut[AttemptExchange]):
    """The core's `Workers` over HTTP."""

    def __init__(
        self,
        pool: WorkerPool,
        columns: tuple[str, ...],
        addresses: dict[int, Address],
        release: Callable[[str], None],
    ) -> None:
        super().__init__(pool.loop, addresses, release)
        self.pool, self.columns = pool, columns

    def send(self, request_id: str, attempt: int, server: int, call: object, timeout: float) -> None:
        assert isinstance(call, Call)
        fields = {
            "Host": call.headers.get("host", "worker"),
            "X-Txn": request_id,
            "X-Remaining": f"{max(1, round(timeout * 1e6))}u",
            "Content-Type": call.headers.get("content-type", "application/json"),
            "Content-Length": str(len(call.body)),
        }
        fields |= {name: call.headers[name] for name in PASSED_ON if name in call.headers}
        start = f"{call.method.decode('latin-1')} {call.target.decode('latin-1')} HTTP/1.1"
        request = http.head(start, fields) + call.body
        exchange = AttemptExchange(self, request_id, attempt)
        self.begin(exchange, server, lambda address: exchange.begin(address, request))
