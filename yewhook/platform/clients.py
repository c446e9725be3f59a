"""Client side of the platform front: accepts connections, receives requests and answers each one once."""

from __future__ import annotations

import math
import socket
from functools import partial

import httptools

from ..arrival_time import ArrivalTime
from ..channel import Channel
from ..config import Names
from ..connection_limiter import ConnectionActivity, ConnectionStatus, connections_to_close
from ..core.ending import Ending
from ..core.router import Router
from ..front import MAX_CLOSED_AT_ONCE, ClientConnections
from ..loop import Loop, Timer
from ..memory_budget import FIELD_BYTES, REQUEST_BYTES, ShedOrder
from ..operations.instance import FrontMode
from ..slow_reader import SlowReader
from . import http
from .client_request import BadRequest, HttpRequest, bad_request, parse_request
from .framing import FramedReader, FramingError

CHAT_COMPLETIONS_PATH = b"/v1/chat/completions"
# Waiting to be sent to a client, above which its stream is not read; the lesser where memory is scarce
SLOW_CLIENT_BYTES, SCARCE_SLOW_CLIENT_BYTES = 65536, 4096
CAUGHT_UP_DIVISOR = 4  # below this part of it the stream is read again
MAX_UNSENT_ANSWERS_BYTES = 16384  # above which no further request of the connection is served
SMALL_REQUEST_BYTES = 8192  # complete requests that are larger are refused where memory is short
MAX_PIPELINED_REQUESTS = 4  # requests that may wait on one connection behind the one being served
REQUEST_TIMEOUT_S = 2.2  # for a request to arrive whole; on a new connection, counted from its acceptance
UNREAD_GRACE_S = 0.02  # added to that timeout where the kernel holds unread bytes at that moment
MAX_UNREAD_GRACE_S = 0.5  # that is added in all: the client may send faster than its share of the loop allows
IDLE_TIMEOUT_S = 10.0  # after which a connection without a request is closed
# Time in state DRAINED, in which clients open no new connections, for requests to arrive whole
DRAIN_REQUEST_TIMEOUT_S = 1.4
# For which a request waits until what follows it is read, since the client may have closed after that
MAX_FOLLOWING_READ_S = 0.2
BAD_REQUEST_PAUSE_S = 0.5  # for which a connection is not read after an invalid request
# HTTP status of a failed request, by how its last attempt ended (None = no attempt); 502 for all others
STATUS_BY_ENDING = {Ending.TIMED_OUT: 504, Ending.UNSENT_IN_TIME: 504, None: 500}

# Header fields that decide how a request is parsed or handled; a request that repeats one is rejected.
SINGLE_VALUE_HEADERS = {"content-length", "transfer-encoding", "x-remaining", *http.WORKER_HEADERS, "x-txn"}


class ClientConnection:
    """One client's connection; for the request being served it is the `Client` that the core talks to."""

    __slots__ = (
        "_arrival_time", "_field_count", "_following_timer", "_has_answered", "_in_head",
        "_last_received_at", "_no_more_requests", "_parser", "_reader", "_stream_started", "_timer",
        "_unparsed_head_bytes", "channel", "front", "idle_since", "receiving", "request_id", "serving",
        "slow_reader", "waiting",
    )  # fmt: skip

    def __init__(self, front: ClientFront, sock: socket.socket) -> None:
        self.front = front
        self.receiving: HttpRequest | None = None
        self.waiting: list[HttpRequest] = []
        self.serving: HttpRequest | None = None
        self.request_id = ""  # of the request that the core is handling
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._reader: FramedReader | None = FramedReader(self._parser, http.REQUEST_LIMITS)
        self._unparsed_head_bytes = 0  # received, perhaps still unparsed
        self._field_count = 0  # of the request being received, trailers included
        self._in_head = self._stream_started = self._no_more_requests = False
        self.idle_since = self._last_received_at = front.loop.now
        self._has_answered = False
        self.channel = Channel(front.loop, sock, self)
        self._arrival_time = ArrivalTime(front.loop, front.waiting_since())
        self.slow_reader = SlowReader(
            front.loop, lambda: self.channel.unsent, self._stalled, 0, self._caught_up
        )
        self._timer = Timer(front.loop)  # for the request being received, or the first one to begin
        self._following_timer = Timer(front.loop)  # for what follows a whole request to be read
        self._start_request_timer()

    @property
    def idle(self) -> bool:
        """Whether no request is being received, waiting or being served."""
        return self.receiving is None and self.serving is None and not self.waiting

    @property
    def unread(self) -> bool:
        """Whether the kernel holds received bytes that have not been read."""
        return self.channel.unread

    @property
    def disconnected(self) -> bool:
        """Whether the client has closed its end."""
        return self.channel.ended

    @property
    def status(self) -> ConnectionStatus:
        """What the connection is doing and since when, for choosing which ones to close."""
        if self.serving is not None or self.waiting:
            return ConnectionStatus(ConnectionActivity.SERVING, self._last_received_at)
        if self.receiving is not None and self.channel.is_costly:
            return ConnectionStatus(ConnectionActivity.COSTLY_REQUEST, self.receiving.began)
        if self.receiving is not None:
            return ConnectionStatus(ConnectionActivity.READING_REQUEST, self._last_received_at)
        return ConnectionStatus(
            ConnectionActivity.ANSWERED if self._has_answered else ConnectionActivity.NOTHING_RECEIVED,
            self.idle_since,
        )

    def close_to_free_socket(self) -> None:
        """Close at once, unless a request has just arrived that is not costly.

        A graceful close would keep the socket open until the client closes its end.
        """
        if not self.unread or self.channel.is_costly:
            self.front.log("client connection closed", "to free a socket for new connections")
            self._detach()
            self.channel.abort()

    # ---- reading ----

    def received(self, data: bytes) -> None:
        """Parse bytes from the client; called by the channel."""
        self._last_received_at = self.front.loop.now
        if self._no_more_requests or self._reader is None:
            return self._serve_next()  # bytes after the last request of the connection are ignored
        try:
            self._reader.feed(data)
            self._unparsed_head_bytes = self._unparsed_head_bytes + len(data) if self._in_head else 0
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, FramingError) as error:
            self._reject(bad_request(error))
        self._account_unfinished()
        self._serve_next()

    def _account_unfinished(self) -> None:
        """Charge what the request being received takes now."""
        receiving = self.receiving
        cost = receiving.cost + self._unparsed_head_bytes if receiving is not None else 0
        self.front.loop.memory.hold(self, cost)

    @property
    def shed_order(self) -> ShedOrder:
        """A request that has not arrived whole may be refused."""
        return ShedOrder.FIRST

    @property
    def progressed_at(self) -> float:
        """When the last byte arrived, in seconds of the loop's clock."""
        return self._last_received_at

    def shed(self) -> None:
        """Refuse the request being received, since memory is short; it was not forwarded."""
        self._reject(BadRequest(503, "too large for the memory that is left; trying again is harmless"))
        self._serve_next()

    def _start_request_timer(self) -> None:
        """Allow `REQUEST_TIMEOUT_S` from now for a request to arrive whole."""
        self._timer.set(REQUEST_TIMEOUT_S, self._request_timed_out)

    def refuse_incomplete_request(self) -> None:
        """Refuse a request that has not arrived whole; it was not forwarded, so a retry is safe."""
        if self.receiving is not None:
            self._reject(BadRequest(503, "ending; trying again is harmless"))
            self._serve_next()

    def _request_timed_out(self, grace_s: float = 0.0) -> None:
        if self.unread and grace_s < MAX_UNREAD_GRACE_S:
            # Its end may have arrived in this turn of the loop.
            return self._timer.set(UNREAD_GRACE_S, partial(self._request_timed_out, grace_s + UNREAD_GRACE_S))
        if self.receiving is None:
            return self.close_gracefully()  # no request has begun on it
        self._reject(BadRequest(408, "the request took too long to arrive"))
        return self._serve_next()

    def on_message_begin(self) -> None:
        """Parser callback: a request begins."""
        self.receiving = HttpRequest(began=self._arrival_time.earliest, head_cost=REQUEST_BYTES)
        self._field_count, self._in_head = 0, True
        if not self._timer.running:
            self._start_request_timer()

    def on_url(self, url: bytes) -> None:
        """Parser callback: a part of the request target."""
        if self.receiving is not None:
            self.receiving.target += url
            self.receiving.head_cost += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header or trailer field."""
        if self.receiving is None:
            return
        self._field_count += 1
        if self._field_count > http.MAX_FIELDS:
            raise BadRequest(431, "the head has too many fields")
        if not self._in_head:
            return  # a trailer field after a chunked body: it must not change how the request is handled
        header_name = name.decode("latin-1").lower()
        if header_name in self.receiving.headers and header_name in SINGLE_VALUE_HEADERS:
            raise BadRequest(400, f"{header_name}: more than once")
        self.receiving.headers[header_name] = http.decode_header(value)
        self.receiving.head_cost += FIELD_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        self._in_head = False
        if self.receiving is None or self._parser is None or self._reader is None:
            return
        # The parser rejects a Content-Length that is not a number, repeated, or beside a Transfer-Encoding.
        version, coding = self._parser.get_http_version(), self.receiving.headers.get("transfer-encoding")
        if version not in ("1.0", "1.1") or (coding and (version, coding.lower()) != ("1.1", "chunked")):
            raise BadRequest(400, "not HTTP/1.1, or a Transfer-Encoding other than chunked")
        self._reader.head_complete(self.receiving.headers, is_response=False)
        waits = version == "1.1" and self.receiving.headers.get("expect", "").lower() == "100-continue"
        if waits and self.serving is None and not self.waiting:  # else it would fall inside another response
            self.channel.send(http.CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Parser callback: a part of the body."""
        if self.receiving is None:
            return
        self.receiving.body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        if (request := self.receiving) is None or self._parser is None or self._reader is None:
            return
        self.receiving = None
        self._reader.message_complete()
        self._timer.cancel()
        request.method, request.keep_alive = self._parser.get_method(), self._parser.should_keep_alive()
        self.waiting.append(request)
        self.front.loop.memory.charge(request.cost)
        if len(self.waiting) > MAX_PIPELINED_REQUESTS + (self.serving is None):
            raise BadRequest(400, "too many requests at once on one connection")

    def _reject(self, error: BadRequest) -> None:
        """Answer an invalid request and close the connection.

        The requests before it on the connection that are not being answered yet are refused, so that they do
        not delay the error response.
        """
        self._timer.cancel()
        self.front.log("bad request", str(error))
        for request in self.waiting:
            request.rejected = BadRequest(
                503, "not served, for what follows on the connection makes no sense"
            )
        self.receiving = None
        self.front.loop.memory.hold(self, 0)
        self.waiting.append(HttpRequest(rejected=error))
        self._no_more_requests = True
        if not self._stream_started:
            self.front.router.give_up(self.request_id)

    def _serve_next(self) -> None:
        """Serve the requests of the connection one at a time, in order."""
        while self.serving is None and self.waiting and not self.channel.closed:
            if self.channel.unsent > MAX_UNSENT_ANSWERS_BYTES:
                return self._watch_slow_client(MAX_UNSENT_ANSWERS_BYTES)  # it does not read its answers
            if self._must_read_on(self.waiting[0]):
                return None
            request = self.serving = self.waiting.pop(0)
            self._no_more_requests = self._no_more_requests or not request.keep_alive
            if request.rejected is not None:
                self._respond(request.rejected.status, str(request.rejected))
            elif request.target.partition(b"?")[0] == b"/healthz":
                healthy = self.front.mode.healthy
                self._respond(200 if healthy else 503, "ok" if healthy else "not serving")
            elif request.target.partition(b"?")[0] != CHAT_COMPLETIONS_PATH:
                self._respond(404, "no such path")
            elif request.method != b"POST":
                self._respond(405, "POST only", {"Allow": "POST"})
            elif self.front.ending:
                self._respond(503, "ending; trying again is harmless")
            elif request.cost > SMALL_REQUEST_BYTES and self._memory_exceeded():
                self._respond(503, "too large for the memory that is left; trying again is harmless")
            else:
                self._forward(request)
        return None

    def _memory_exceeded(self) -> bool:
        """Whether memory is short even without the requests that have not arrived whole."""
        self.front.loop.relieve_memory()
        return self.front.loop.memory.exceeded

    def _must_read_on(self, request: HttpRequest) -> bool:
        """Whether data waits behind a request, which is served once that is read or some time has passed."""
        now = self.front.loop.now
        if request.serve_by is None:
            request.serve_by = now + MAX_FOLLOWING_READ_S
        if request.rejected is not None or now >= request.serve_by or not self.unread:
            return False
        if not self._following_timer.running:
            self._following_timer.set(request.serve_by - now, self._serve_next)
        return True

    def _forward(self, request: HttpRequest) -> None:
        """Hand a request to the router."""
        try:
            arrived = parse_request(request, self.front.names, self.front.loop.now)
        except BadRequest as error:
            return self._refuse_and_pause(error)
        self.request_id, self._stream_started = arrived.id, False
        if not self.front.router.accept(arrived, self, request):
            self.request_id = ""
            return self._refuse_and_pause(
                BadRequest(400, "X-Txn: a request with this id is open, or may have run")
            )
        return None

    def _refuse_and_pause(self, error: BadRequest) -> None:
        """Answer an invalid request and pause reading: clients that retry at once would delay all others."""
        self.front.log("bad request", str(error))
        self._respond(error.status, str(error))
        if not self.channel.closed and not self._no_more_requests:
            self.channel.pause(True)
            self._arrival_time.reading_paused()
            self._timer.set(BAD_REQUEST_PAUSE_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.receiving is not None:
            self._start_request_timer()
        self._arrival_time.reading_resumed()
        self.channel.pause(False)

    # ---- responding ----

    def send_event(self, event: object) -> None:
        """Send one event of the stream, after the response head if it is the first."""
        assert isinstance(event, bytes)
        if not self._stream_started:
            self._stream_started = True
            fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
            self.channel.send(http.head("HTTP/1.1 200 OK", fields | self._connection_header()))
        self.channel.send(http.chunk(event))
        most = self.front.loop.memory.allowance(SLOW_CLIENT_BYTES, SCARCE_SLOW_CLIENT_BYTES)
        if self.channel.unsent > most and not self.slow_reader.watching:
            self._watch_slow_client(most)
            self.front.router.client_slow(self.request_id, True)

    def _watch_slow_client(self, unsent_bytes: int) -> None:
        """Wait until the client has taken most of its answers, but not without end."""
        if not self.slow_reader.watching:
            self.slow_reader.caught_up_at = unsent_bytes // CAUGHT_UP_DIVISOR
            self.slow_reader.start()

    def _stalled(self) -> None:
        """Treat a client that reads nothing for long as gone, since its stream occupies a worker."""
        self.front.log("client stalled", self.request_id)
        self.front.router.client_left(self.request_id, Ending.CLIENT_STALLED)
        self._detach()
        self.channel.abort()

    def _caught_up(self) -> None:
        self.front.router.client_slow(self.request_id, False)
        self._serve_next()

    def drained(self) -> None:
        """All bytes have been written; called by the channel."""
        if self.slow_reader.watching:
            self.slow_reader.stop()
            self._caught_up()

    def finish(self) -> None:
        """End a complete stream."""
        self.channel.send(http.LAST_CHUNK)
        self._response_ended()

    def abort_stream(self, ending: Ending) -> None:
        """Close without the last chunk, which tells the client that the stream is incomplete."""
        self.front.log("stream broken off", f"{self.request_id} {ending.name.lower()}")
        self.request_id = ""
        self.close_gracefully()

    def refuse(self, retry_after: float) -> None:
        """Answer 503; `retry_after` is in seconds, 0 sends no Retry-After field."""
        advice = {"Retry-After": f"{retry_after:.3f}"} if retry_after > 0 else {}
        self._respond(503, "not served; trying again is harmless", advice)

    def fail(self, ending: Ending | None) -> None:
        """Answer 500, 502 or 504, depending on how the last attempt ended."""
        self._respond(
            STATUS_BY_ENDING.get(ending, 502), f"failed: {ending.name.lower() if ending else 'not served'}"
        )

    def _connection_header(self) -> dict[str, str]:
        self._no_more_requests = self._no_more_requests or not self.front.mode.keep_alive
        return {"Connection": "close"} if self._no_more_requests and not self.waiting else {}

    def _respond(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        self.channel.send(
            http.answer(status, f"{text}\n".encode(), (headers or {}) | self._connection_header())
        )
        self._response_ended()

    def _response_ended(self) -> None:
        if self.serving is not None:
            self.front.loop.memory.charge(-self.serving.cost)
        self.request_id, self.serving, self._has_answered = "", None, True
        self.slow_reader.stop()
        self.idle_since = self.front.loop.now
        if self.waiting:
            self.front.loop.after(0.0, self._serve_next)
        elif self._no_more_requests or not self.front.mode.keep_alive:  # changed since the head
            self.close_gracefully()

    # ---- the connection ----

    def connected(self) -> None:
        """Accepted connections are up from the start."""

    def lost(self, error: OSError | None) -> None:
        """The client has closed or reset the connection; called by the channel."""
        self._detach()
        if self.request_id:
            self.front.router.client_left(self.request_id)

    def close_gracefully(self) -> None:
        """Write pending bytes, then close."""
        if self.front.log.detailed:
            self.front.log("client connection closed", self._why_closed())
        self._detach()
        self.channel.finish()

    def _why_closed(self) -> str:
        if self._no_more_requests:
            return "its last request is answered"
        if not self.front.mode.keep_alive:
            return "the process ends"
        idle = self.front.loop.now - self.idle_since
        return f"idle for {idle:.1f} s" if self.idle else "its stream is broken off"

    def _detach(self) -> None:
        self._timer.cancel()
        self._following_timer.cancel()
        self.slow_reader.stop()
        self.front.connections.discard(self)
        memory = self.front.loop.memory
        memory.hold(self, 0)
        for request in filter(None, [self.serving, *self.waiting]):
            memory.charge(-request.cost)
        # The parser refers back to this object
        self.receiving = self.serving = self._parser = self._reader = None
        self.waiting.clear()


class ClientFront(ClientConnections[ClientConnection]):
    """All client connections of the platform front."""

    def __init__(self, loop: Loop, router: Router, names: Names) -> None:
        self._drained_since = math.inf
        super().__init__(loop, IDLE_TIMEOUT_S)
        self.router, self.names, self.log = router, names, loop.log

    def accepted(self, sock: socket.socket) -> None:
        """Serve a connection that has been accepted."""
        self.connections.add(ClientConnection(self, sock))

    def free_connections(self) -> None:
        """Close the connections whose clients lose least by it."""
        statuses = ((connection.status, connection) for connection in self.connections)
        for connection in connections_to_close(statuses, self.loop.now, MAX_CLOSED_AT_ONCE):
            connection.close_to_free_socket()

    def set_mode(self, mode: FrontMode) -> None:
        """Apply a mode; only state DRAINED accepts connections and closes idle ones."""
        self._drained_since = self.loop.now if mode.accepting and mode.close_idle else math.inf
        super().set_mode(mode)

    def _sweep(self) -> None:
        super()._sweep()
        if self.loop.now - self._drained_since >= DRAIN_REQUEST_TIMEOUT_S:
            self._refuse_incomplete_requests()

    def end(self) -> None:
        """Refuse requests from now on, those that have not arrived whole among them."""
        super().end()
        self._refuse_incomplete_requests()

    def _refuse_incomplete_requests(self) -> None:
        for connection in list(self.connections):
            connection.refuse_incomplete_request()
