"""The workers' side: a pool of connections, and one HTTP exchange at a time on each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import httptools

from hopshed import interface as i

from .. import load_reports
from ..channel import Channel
from ..config import Address
from ..connection_pool import ConnectionPool
from ..core.ending import Ending
from ..front import PendingAttempts, ReleaseFunction
from ..loop import Loop, Timer
from ..worker_list import WorkerList
from . import http
from .clients import Call

STILL = 2.5  # s in which a running stream says nothing, until its client is better off elsewhere
STILL_ALONE = 4.5  # the same where clients cannot go on elsewhere; none may be kept waiting for 5 s
STILL_MOMENT = 0.02  # s more where something waits to be read just then
ANSWER_LIMIT = 64 * 1024  # bytes of an answer that is not a stream
REST = 0.03  # s that a kept connection stands before its next exchange
UNFINISHED = 1.0  # s in which a head, a chunk or an event that has begun must go on to its end
REPORT = "x-pressure"
REPORT_COMMENT = b": X-Pressure:"


class Exchange(Protocol):
    """What is asked of a worker on one connection."""

    told: int  # events of a running stream so far

    @property
    def unfinished(self) -> bool:
        """Whether a part of the answer has come that makes no sense without what is still to come."""

    def begun(self, status: int, headers: dict[str, str]) -> None: ...

    def body(self, data: bytes) -> None: ...

    def whole(self) -> None: ...

    def broken(self, ending: Ending) -> None: ...


class WorkerConnection:
    def __init__(self, pool: WorkerPool, address: Address) -> None:
        self.pool, self.address = pool, address
        self.exchange: Exchange | None = None
        self.is_connected = False
        self.idle_since = 0.0
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: dict[str, str] = {}
        self._head_size = 0
        self._in_head = self._begun = self._in_chunk = self._complete = self._reusable = False
        self.channel = Channel.connect(pool.loop, address, self)
        self._timer = Timer(pool.loop)  # to come up, and for what has begun to end
        self._compose: Callable[[], bytes] | None = None  # the request, until the connection is up
        self._asked = pool.loop.now
        self._heard = 0.0
        self._still = Timer(pool.loop)  # for a running stream to say something
        self._timer.set(pool.connect_timeout, self._too_late)

    @property
    def written(self) -> bool:
        """Whether the last byte of what is asked has been handed over."""
        return self.is_connected and self.channel.written

    def ask(self, exchange: Exchange, compose: Callable[[], bytes]) -> None:
        """Send a request, composed as its bytes leave: what it says of the time left is right then."""
        self.exchange, self._asked = exchange, self.pool.loop.now
        self._parser = httptools.HttpResponseParser(self)
        self._headers, self._head_size = {}, 0
        self._in_head = True
        self._begun = self._in_chunk = self._complete = self._reusable = False
        if self.is_connected:
            self.channel.send(compose())
        else:
            self._compose = compose

    def close(self) -> None:
        address, liveness = self.address, self.pool.liveness
        if self.exchange is not None and liveness.heard(address) < self._asked:  # nothing since it was asked
            liveness.record_missed(address, self.pool.loop.now)
        self.exchange = self._parser = None  # the parser knows this object, too
        self._timer.cancel()
        self._still.cancel()
        self.channel.abort()
        self.pool.discard(self)

    # ---- the channel ----

    def connected(self) -> None:
        self.is_connected = True
        self._timer.cancel()
        if (compose := self._compose) is not None:
            self._compose = None
            self.channel.send(compose())

    def limit_connect_time(self, within: float) -> None:
        """Give up a connection that is not up in so many s, though it may take longer otherwise."""
        if not self.is_connected and within < self.pool.connect_timeout:
            self._timer.set(within, self._too_late)

    def _too_late(self) -> None:
        self._broken(Ending.CONNECT_SILENT)

    def drained(self) -> None:
        """What is asked has been written whole."""

    def received(self, data: bytes) -> None:
        self.pool.liveness.record_heard(self.address, self.pool.loop.now)
        if self.exchange is None or self._parser is None:
            return self.close()  # bytes that nobody asked for
        if self._in_head:
            self._heard = self.pool.loop.now
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
            if self._in_head and self._head_size > http.HEAD_LIMIT:
                raise httptools.HttpParserError("a head without end")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reusable = False
            if not self._complete:  # what follows a whole answer spoils the connection, not the answer
                return self._garbled(str(error.__context__ or error))
        if self._complete:
            return self._whole()
        return self._watch_progress()

    def _whole(self) -> None:
        exchange, self.exchange = self.exchange, None
        self._timer.cancel()
        self._still.cancel()
        if self._reusable and self.written:
            self.pool.put_back(self)
        else:
            self.close()
        if exchange is not None:
            exchange.whole()

    def _watch_progress(self) -> None:
        """What has begun must end: a head or a chunk may be said to go on for ever."""
        if self.exchange is None:
            return
        if (self._begun and self._in_head) or self._in_chunk or self.exchange.unfinished:
            if not self._timer.running:
                self._timer.set(UNFINISHED, self._stuck)
        else:
            self._timer.cancel()

    def _watch_stream(self) -> None:
        """A running stream has no deadline, and a machine that has fallen silent never ends one."""
        if self.channel.paused:  # by us, since the client is slow
            self._heard = self.pool.loop.now
        left = self._heard + self.pool.still - self.pool.loop.now
        if left > 0:
            self._still.set(left, self._watch_stream)
        elif self.channel.unread:  # it has come in this very turn
            self._still.set(STILL_MOMENT, self._watch_stream)
        else:
            self.pool.log("stream stands still", f"{self.address[0]}:{self.address[1]}")
            self._broken(Ending.WORKER_STALLED)

    def _stuck(self) -> None:
        if self.channel.paused:  # by us, since the client is slow
            return self._watch_progress()
        return self._garbled("it began and did not go on to its end")

    def _garbled(self, why: str) -> None:
        self.pool.log("worker answer not understood", f"{self.address[0]}:{self.address[1]} {why}")
        self._broken(Ending.GARBLED)

    def lost(self, error: OSError | None) -> None:
        if not self.is_connected:
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

    # An answer may be preceded by informational ones (1xx); whatever follows it belongs to nobody.

    def on_message_begin(self) -> None:
        self._begun = True
        if self._complete:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:
            self._headers[name.decode("latin-1").lower()] = http.decode_header(value)

    def on_headers_complete(self) -> None:
        if not self._in_head or self._parser is None:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._headers = {}
            return
        self._in_head = False
        if self.exchange is not None:
            self.exchange.begun(status, self._headers)
            if status == 200:
                self._watch_stream()

    def on_body(self, body: bytes) -> None:
        if (exchange := self.exchange) is not None and not self._complete:
            told = exchange.told
            exchange.body(body)
            if exchange.told > told:  # bytes alone are no sign of life: some answers go on and say nothing
                self._heard = self.pool.loop.now

    def on_chunk_header(self) -> None:
        self._in_chunk = True

    def on_chunk_complete(self) -> None:
        self._in_chunk = False
        self._timer.cancel()  # it goes on; an event over many chunks is bounded by its size

    def on_message_complete(self) -> None:
        if self._in_head:  # the end of an informational one
            self._begun = False
        elif not self._complete and self._parser is not None:
            self._complete = True
            self._reusable = self._parser.should_keep_alive()  # known only here: the parser starts anew


class WorkerPool(ConnectionPool[WorkerConnection]):
    """The connections to workers, those in use and those kept for the next exchange."""

    def __init__(
        self,
        loop: Loop,
        room: Callable[[], bool],
        connect_timeout: float,
        idle_limit: float,
        streams_move: bool = True,
    ) -> None:
        """`streams_move` = clients ask for the rest of a stream that is broken off, and get it elsewhere."""
        super().__init__(loop, room, idle_limit, lambda address: WorkerConnection(self, address), REST)
        self.log, self.connect_timeout = loop.log, connect_timeout
        self.still = STILL if streams_move else STILL_ALONE  # s that a running stream may say nothing

    def ask(self, address: Address, exchange: Exchange, compose: Callable[[], bytes]) -> WorkerConnection:
        """Ask on a kept or a new connection. Raises OSError where none can be opened."""
        connection = self.acquire(address)
        connection.ask(exchange, compose)
        return connection


class AttemptExchange:
    """One attempt at one worker, from its answer's head to its end."""

    def __init__(self, workers: HttpWorkers, request_id: str, attempt: int) -> None:
        self.workers, self.request_id, self.number = workers, request_id, attempt
        self.connection: WorkerConnection | None = None
        self.told = 0
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._events = http.EventSplitter()
        self._found = 0
        self._load: i.Load | None = None

    def begin(self, address: Address, compose: Callable[[], bytes], within: float) -> None:
        self.connection = self.workers.pool.ask(address, self, compose)
        self.connection.limit_connect_time(within)

    def give_up(self) -> bool:
        if self.connection is None:
            return False
        written = self.connection.written
        self.connection.close()
        return written

    @property
    def on_its_way(self) -> bool:
        return self.connection is not None and self.connection.is_connected

    def pause(self, paused: bool) -> None:
        if self.connection is not None:
            self.connection.channel.pause(paused)

    def catch_up(self) -> None:
        if self.connection is not None:
            self.connection.channel.catch_up()

    @property
    def unfinished(self) -> bool:
        return self._events.unfinished

    def begun(self, status: int, headers: dict[str, str]) -> None:
        self._status, self._headers = status, headers
        if REPORT in headers:
            self._hear(headers[REPORT])

    def _hear(self, text: str | bytes) -> None:
        self._load = (
            load_reports.parse_load(load_reports.parse_json(text), self.workers.columns) or self._load
        )

    def body(self, data: bytes) -> None:
        if self._status != 200:
            if len(self._body) < ANSWER_LIMIT:
                self._body += data
            return
        for event in self._events.feed(data):
            self._event(event)

    def _event(self, event: bytes) -> None:
        """Pass an event on unchanged; the report, which is for routers, stays here."""
        while event.startswith(REPORT_COMMENT):
            line, _, event = event.partition(b"\n")
            self._hear(line[len(REPORT_COMMENT) :])
            event = event.lstrip(b"\r\n")
        if not event:
            return
        self.told += not event.startswith(b":")
        if b'"usage"' in event:
            self._found = cached(event) or self._found
        self.workers.listener.stream_event(self.request_id, self.number, event)

    def whole(self) -> None:
        if rest := self._events.rest():
            self._event(rest)
        status, turned_away = self._status, self._headers.get("x-turned-away") == "1"
        if status == 200:
            ending = Ending.SERVED
        elif status == 202:
            ending = Ending.READ
            self._found = stated(load_reports.parse_json(bytes(self._body)), "cached_tokens")
        elif status == 410:
            ending = Ending.STATE_GONE
        elif status in (503, 504) and turned_away:
            ending = Ending.TURNED_AWAY
        else:
            ending = Ending.ERROR
        self.workers.end(self, ending, self._found, self._load)

    def broken(self, ending: Ending) -> None:
        self.workers.end(self, ending, self._found, self._load)


def stated(value: Any, *path: str) -> int:
    """A number of tokens within an answer; 0 where none is stated there."""
    for name in path:
        value = value.get(name) if isinstance(value, dict) else None
    return load_reports.token_count(value)


def cached(event: bytes) -> int:
    """The kept tokens that a stream's usage event states."""
    said = load_reports.parse_json(event.partition(b"data:")[2])
    return stated(said, "usage", "prompt_tokens_details", "cached_tokens")


class HttpWorkers(PendingAttempts[AttemptExchange]):
    """The core's `Workers` over HTTP."""

    def __init__(
        self,
        pool: WorkerPool,
        columns: tuple[str, ...],
        worker_list: WorkerList,
        release: ReleaseFunction,
    ) -> None:
        super().__init__(pool.loop, worker_list, release)
        self.pool, self.columns = pool, columns

    def send(
        self, request_id: str, attempt: int, server: int, call: object, timeout: float, begins: float
    ) -> None:
        assert isinstance(call, Call)
        fields = {"host": "worker", "content-type": "application/json"} | http.end_to_end(call.headers)
        fields |= {"X-Txn": request_id, "Content-Length": str(len(call.body))}
        start = f"{call.method.decode('latin-1')} {call.target.decode('latin-1')} HTTP/1.1"
        expires = self.loop.now + timeout

        def compose() -> bytes:
            remaining = max(1, round((expires - self.loop.now) * 1e6))
            return http.head(start, fields | {"X-Remaining": f"{remaining}u"}) + call.body

        exchange = AttemptExchange(self, request_id, attempt)
        self.begin(exchange, server, lambda address: exchange.begin(address, compose, begins))
