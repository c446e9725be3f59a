"""Worker side of the platform front: pooled connections that carry one HTTP exchange at a time."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

import httptools

from ..channel import Channel
from ..config import Address
from ..connection_pool import ConnectionPool
from ..core.ending import Ending
from ..loop import Loop, Timer
from ..memory_budget import FIELD_BYTES, ShedOrder, data_cost
from ..progress import AnswerProgress
from . import http
from .framing import FramedReader, FramingError

# Silence after which a running stream is broken off. Clients that can resume it elsewhere are better off
# then. For the others the limit is higher, but no client may be kept waiting for 5 s, even where the bytes of
# an event arrive one by one.
STREAM_SILENCE_S = 2.5
STREAM_SILENCE_NO_RESUME_S = MAX_EVENT_TIME_S = 4.5
UNREAD_GRACE_S = 0.02  # added to these limits where the kernel holds unread bytes at that moment
MAX_UNREAD_GRACE_S = 0.1  # that is added in all, since bytes may arrive without end
REUSE_DELAY_S = 0.03  # for which a kept connection rests before its next exchange
PARTIAL_TIMEOUT_S = 1.0  # without a byte within a head, a chunk or an event


class Exchange(Protocol):
    """The receiver of one response on a worker connection."""

    event_count: int  # events of the stream so far

    @property
    def label(self) -> str:
        """The request's id and what is exchanged, for the log."""

    @property
    def unfinished(self) -> bool:
        """Whether a part of the response, such as an event, has been received incompletely."""

    @property
    def buffered_bytes(self) -> int:
        """The size of what has been received and is neither passed on nor dropped."""

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """The final status and its headers have arrived."""

    def body_received(self, data: bytes) -> None:
        """A part of the body has arrived."""

    def completed(self) -> None:
        """The response is complete."""

    def failed(self, ending: Ending) -> None:
        """The exchange has ended before its response was complete."""


class WorkerConnection:
    """A connection to a worker, its response parser and its timeouts."""

    def __init__(self, pool: WorkerPool, address: Address) -> None:
        self.pool, self.address = pool, address
        self.exchange: Exchange | None = None
        self.is_connected = False
        self.idle_since = 0.0
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: dict[str, str] = {}
        self._reader: FramedReader | None = None
        self._field_count = 0
        self._in_head = self._head_begun = self._in_chunk = self._complete = self._reusable = False
        self.channel = Channel.connect(pool.loop, address, self)
        self._timer = Timer(pool.loop)  # for connecting, then for a partial head, chunk or event
        self._compose_request: Callable[[], bytes] | None = None  # set until the connection is up
        self._requested_at = pool.loop.now
        self._progress = AnswerProgress(pool.loop.now)
        self._silence_timer = Timer(pool.loop)
        self._timer.set(pool.connect_timeout, self._connect_timed_out)

    @property
    def written(self) -> bool:
        """Whether the last byte of the request has been handed to the kernel."""
        return self.is_connected and self.channel.written

    def request(self, exchange: Exchange, compose: Callable[[], bytes]) -> None:
        """Send a request; `compose` is called as it is sent, so that the remaining time in it is exact."""
        self.exchange, self._requested_at = exchange, self.pool.loop.now
        self._parser = httptools.HttpResponseParser(self)
        self._reader = FramedReader(self._parser, http.ANSWER_LIMITS)
        self._headers, self._field_count = {}, 0
        self._progress.restart(self._requested_at)
        self._in_head = True
        self._head_begun = self._in_chunk = self._complete = self._reusable = False
        if self.is_connected:
            self.channel.send(compose())
        else:
            self._compose_request = compose

    def close(self, reason: str = "given up by the router") -> None:
        """Close at once, without calling the exchange; `reason` is for the log."""
        address, liveness = self.address, self.pool.liveness
        if self.exchange is not None and liveness.heard(address) < self._requested_at:
            liveness.record_missed(address, self.pool.loop.now)  # nothing has arrived since the request
        if self.exchange is not None and self._reader is not None and self._reader.received_bytes:
            self._log_unfinished(self.exchange, reason)
        self.exchange = self._parser = self._reader = None  # the parser refers back to this object
        self._timer.cancel()
        self._silence_timer.cancel()
        self.pool.loop.memory.hold(self, 0)
        self.channel.abort()
        self.pool.discard(self)

    def _log_unfinished(self, exchange: Exchange, reason: str) -> None:
        """Log an answer that has begun and is not whole."""
        assert self._reader is not None
        received_bytes, stated_bytes = self._reader.received_bytes, self._reader.stated_bytes
        now, server = self.pool.loop.now, f"{self.address[0]}:{self.address[1]}"
        silent_s, stalled_s = now - self._progress.last_byte_at, now - self._progress.last_unit_at
        self.pool.log(
            "worker answer unfinished",
            f"{exchange.label} at {server}: {reason}; {received_bytes} bytes, last stated {stated_bytes}, "
            f"{exchange.event_count} events, last byte {silent_s:.3f} s and event {stalled_s:.3f} s ago",
            exchange=exchange.label,
            server=server,
            reason=reason,
            received_bytes=received_bytes,
            stated_bytes=stated_bytes,
            events=exchange.event_count,
            silent_s=round(silent_s, 3),
            stalled_s=round(stalled_s, 3),
        )

    # ---- the channel ----

    def connected(self) -> None:
        """The connection is up; send the request that waits for it. Called by the channel."""
        self.is_connected = True
        self._timer.cancel()
        if (compose := self._compose_request) is not None:
            self._compose_request = None
            self.channel.send(compose())

    def limit_connect_time(self, limit_s: float) -> None:
        """Shorten the connect timeout to `limit_s` where that is less than the pool's."""
        if not self.is_connected and limit_s < self.pool.connect_timeout:
            self._timer.set(limit_s, self._connect_timed_out)

    def _connect_timed_out(self) -> None:
        self._fail(Ending.CONNECT_SILENT)

    def drained(self) -> None:
        """The request has been written whole; called by the channel."""

    def received(self, data: bytes) -> None:
        """Parse bytes from the worker; called by the channel."""
        self.pool.liveness.record_heard(self.address, self.pool.loop.now)
        self._progress.byte_received(self.pool.loop.now)
        if self.exchange is None or self._reader is None:
            return self.close()  # bytes without a request
        try:
            self._reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, FramingError) as error:
            self._reusable = False
            if not self._complete:  # bytes after a complete response make only the connection unusable
                return self._fail_malformed(str(error.__context__ or error))
        if self._complete:
            return self._end_exchange()
        if self.exchange is not None:
            size = self.exchange.buffered_bytes + FIELD_BYTES * len(self._headers)
            self.pool.loop.memory.hold(self, data_cost(size))
        return self._limit_partial()

    @property
    def shed_order(self) -> ShedOrder:
        """An answer is given up only where it waits for its client."""
        return ShedOrder.LAST if self.channel.paused else ShedOrder.NEVER

    @property
    def progressed_at(self) -> float:
        """When the last byte arrived, in seconds of the loop's clock."""
        return self._progress.last_byte_at

    def shed(self) -> None:
        """Give up an answer that waits for its client, since memory is short."""
        self._fail(Ending.CLIENT_STALLED, "waits for its client, and memory is short")

    def _end_exchange(self) -> None:
        exchange, self.exchange = self.exchange, None
        self._timer.cancel()
        self._silence_timer.cancel()
        self.pool.loop.memory.hold(self, 0)
        if self._reusable and self.written:
            self.pool.put_back(self)
        else:
            self.close()
        if exchange is not None:
            exchange.completed()

    def _limit_partial(self) -> None:
        """Limit the time without a byte within a head, chunk or event: its stated size may never arrive.

        A server that writes slowly makes progress. A request's deadline limits the whole head, and
        `_watch_stream` the whole event.
        """
        if self.exchange is None:
            return
        if self._head_begun and self._in_head:
            self._timer.set(PARTIAL_TIMEOUT_S, self._partial_timed_out)
        elif self._in_chunk or self.exchange.unfinished:
            self._timer.set(self.pool.partial_timeout_s, self._partial_timed_out)
        else:
            self._timer.cancel()

    def pause(self, paused: bool) -> None:
        """Stop or resume reading; what the worker sent meanwhile has not been late."""
        if self.channel.paused and not paused:
            self._progress.restart(self.pool.loop.now)
        self.channel.pause(paused)

    def _watch_stream(self, grace_s: float = 0.0) -> None:
        """Break off a stream that is silent or brings no event: it has no deadline, and may never end."""
        now = self.pool.loop.now
        if self.channel.paused:  # by the router, since the client is slow
            self._progress.restart(now)
        left = self._progress.ends_at(self.pool.stream_silence_s, MAX_EVENT_TIME_S) - now
        if left > 0:
            self._silence_timer.set(left, self._watch_stream)
        elif self.channel.unread and grace_s < MAX_UNREAD_GRACE_S:  # it arrived in this turn of the loop
            grace = partial(self._watch_stream, grace_s + UNREAD_GRACE_S)
            self._silence_timer.set(UNREAD_GRACE_S, grace)
        else:
            self.pool.log("stream stands still", f"{self.address[0]}:{self.address[1]}")
            self._fail(Ending.WORKER_STALLED, "the stream stands still")

    def _partial_timed_out(self) -> None:
        if self.channel.paused:  # by the router, since the client is slow
            return self._limit_partial()
        return self._fail_malformed("a head, chunk or event was begun and not continued in time")

    def _fail_malformed(self, why: str) -> None:
        self.pool.log("worker answer not understood", f"{self.address[0]}:{self.address[1]} {why}")
        self._fail(Ending.GARBLED, why)

    def lost(self, error: OSError | None) -> None:
        """The connection was refused, closed or reset; called by the channel."""
        if not self.is_connected:
            return self._fail(Ending.CONNECT_REFUSED)
        if not self.written:
            return self._fail(Ending.BROKEN_UNSENT)
        return self._fail(Ending.CLOSED if error is None else Ending.BROKEN)

    def _fail(self, ending: Ending, reason: str = "") -> None:
        exchange = self.exchange
        self.close(reason or ending.name.lower())
        if exchange is not None:
            exchange.failed(ending)

    # ---- the parser ----

    # Informational responses (1xx) may precede a response; anything after it belongs to no request.

    def on_message_begin(self) -> None:
        """Parser callback: a response begins."""
        self._head_begun = True
        if self._complete:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header field, or a trailer field, which is ignored. Raises ValueError."""
        self._field_count += 1
        if self._field_count > http.MAX_FIELDS:
            raise ValueError("the head has too many fields")
        if self._in_head:
            self._headers[name.decode("latin-1").lower()] = http.decode_header(value)

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        if not self._in_head or self._parser is None:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._headers = {}
            return
        self._in_head = False
        if self._reader is not None:
            self._reader.head_complete(self._headers, is_response=True)
        if self.exchange is not None:
            self.exchange.head_received(status, self._headers)
            if status == 200:
                self._progress.restart(self.pool.loop.now)
                self._watch_stream()

    def on_body(self, body: bytes) -> None:
        """Parser callback: a part of the body."""
        if (exchange := self.exchange) is not None and not self._complete:
            event_count = exchange.event_count
            exchange.body_received(body)
            if exchange.event_count > event_count:  # bytes without an event do not show that it progresses
                self._progress.unit_received(self.pool.loop.now)

    def on_chunk_header(self) -> None:
        """Parser callback: a chunk begins."""
        self._in_chunk = True

    def on_chunk_complete(self) -> None:
        """Parser callback: a chunk ends."""
        self._in_chunk = False
        self._timer.cancel()  # an event spread over many chunks is limited by its size instead

    def on_message_complete(self) -> None:
        """Parser callback: a response ends."""
        if self._in_head:  # an informational one
            self._head_begun = False
            return
        if self._reader is not None:
            self._reader.message_complete()
        if not self._complete and self._parser is not None:
            self._complete = True
            self._reusable = self._parser.should_keep_alive()  # the parser forgets it after this callback


class WorkerPool(ConnectionPool[WorkerConnection]):
    """The connections to workers: those in use and those kept for later exchanges."""

    def __init__(
        self,
        loop: Loop,
        can_open: Callable[[], bool],
        connect_timeout: float,
        idle_limit: float,
        clients_resume: bool = True,
    ) -> None:
        """Create an empty pool.

        `can_open` says whether another socket may be opened; the timeouts are in seconds. `clients_resume`
        says that clients request the rest of a broken stream from another router.
        """
        super().__init__(
            loop, can_open, idle_limit, lambda address: WorkerConnection(self, address), REUSE_DELAY_S
        )
        self.log, self.connect_timeout = loop.log, connect_timeout
        self.stream_silence_s = STREAM_SILENCE_S if clients_resume else STREAM_SILENCE_NO_RESUME_S
        self.partial_timeout_s = PARTIAL_TIMEOUT_S if clients_resume else STREAM_SILENCE_NO_RESUME_S

    def request(self, address: Address, exchange: Exchange, compose: Callable[[], bytes]) -> WorkerConnection:
        """Send a request on a kept or a new connection. Raises OSError where none can be opened."""
        connection = self.acquire(address)
        connection.request(exchange, compose)
        return connection
