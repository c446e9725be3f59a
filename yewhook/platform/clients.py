"""The clients' side: listen, read requests, and give each its one answer."""

from __future__ import annotations

import math
import re
import socket
from collections import deque
from dataclasses import dataclass, field

import httptools

from hopshed.interface import RequestArrived

from ..arrival_time import ArrivalTime
from ..channel import Channel
from ..config import Names
from ..connection_limiter import ConnectionActivity, ConnectionStatus, connections_to_close
from ..core.ending import Ending
from ..core.router import Router
from ..front import MAX_CLOSED_AT_ONCE, ClientConnections
from ..loop import Loop, Timer
from ..operations.instance import FrontMode
from ..slow_reader import SlowReader
from . import http

CHAT = b"/v1/chat/completions"
SLOW, CAUGHT_UP = 65536, 16384  # bytes not yet taken by a client: stop reading its stream, and go on
TRANSIT = 0.001  # s taken off a client's time for the way of its request and of our answer
PIPELINE = 4  # requests that may wait on one connection behind the one in hand
ARRIVE = 2.2  # s for a request to arrive whole; for a connection's first one from when it was accepted
ARRIVE_MOMENT = 0.02  # s more where something waits to be read just then
IDLE_MOST = 10.0  # s for which a connection is kept on which nothing is asked
LAST_ARRIVALS = 1.4  # s of a drain, once new connections end, in which a request may still arrive whole
PENALTY = 0.5  # s in which a connection is not read again after a request that made no sense
TOKENS_MOST = 1_000_000  # in a prompt, its opening or its answer; no body holds as many
PATIENCE_MOST = 3600.0  # s that a client may say it waits
STATUS = {Ending.TIMED_OUT: 504, Ending.UNSENT_IN_TIME: 504, None: 500}  # all others: 502


# Fields that decide how a request is read or what becomes of it
ONCE = {"content-length", "transfer-encoding", "x-remaining", *http.ACTED_ON, "x-txn"}


class BadRequest(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Call:
    """A client's request as it is passed on."""

    method: bytes = b""
    target: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = True
    began: float = 0.0
    rejected: BadRequest | None = None  # what is wrong with it, to be answered in its turn


WORD = re.compile(r"[A-Za-z0-9_-]{1,64}")
TIME = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)([mu])")
COUNT = re.compile(r"[0-9]{1,9}")


def seconds(text: str) -> float:
    """A time with its unit: `4800m` or `4800000u`."""
    if (found := TIME.fullmatch(text)) is None:
        raise BadRequest(400, "X-Remaining: expected a number followed by m or u")
    return min(float(found[1]) * (1e-3 if found[2] == "m" else 1e-6), PATIENCE_MOST)


def _count(labels: dict[str, str], name: str) -> float:
    text = labels.get(name, "0")
    if not COUNT.fullmatch(text) or int(text) > TOKENS_MOST:
        raise BadRequest(400, f"X-Labels: {name} must be a whole number up to {TOKENS_MOST}")
    return float(text)


def _place(names: tuple[str, ...], name: str | None, header: str) -> int:
    if name not in names:
        raise BadRequest(400, f"{header}: {'unknown name' if name else 'missing'}")
    return names.index(name)


def understand(call: Call, names: Names, now: float) -> RequestArrived:
    """The module's view of a request."""
    h = call.headers
    request_id = h.get("x-txn", "")
    if not WORD.fullmatch(request_id):
        raise BadRequest(400, "X-Txn: missing or not a word")
    if odd := next((name for name in http.ACTED_ON if not http.PLAIN.fullmatch(h.get(name, ""))), ""):
        raise BadRequest(400, f"{odd}: too long, or with characters that are not printable ASCII")
    parts = (part.partition("=") for part in h.get("x-labels", "").split(",") if part)
    labels = {name.strip(): value.strip() for name, _, value in parts}
    left = seconds(h.get("x-remaining", "")) - (now - call.began) - TRANSIT
    return RequestArrived(
        id=request_id,
        cls=_place(names.classes, h.get("x-lane"), "X-Lane"),
        tenant=_place(names.tenants, h.get("x-org"), "X-Org") if names.tenants else 0,
        session=h.get("x-entity") or request_id,
        patience=max(0.0, left),
        prompt_tokens=_count(labels, "prompt_len"),
        prefix=labels.get("prefix"),
        prefix_tokens=_count(labels, "prefix_len"),
        max_tokens=_count(labels, "max_out"),
        resumed=h.get("x-resent") == "again",
        repeat=h.get("x-resent") == "1",
    )


class ClientConnection:
    """One client's connection. It is the core's `Client` of the request in hand."""

    def __init__(self, front: ClientFront, sock: socket.socket) -> None:
        self.front = front
        self.call: Call | None = None  # being read
        self.waiting: deque[Call] = deque()
        self.serving: Call | None = None
        self.request_id = ""  # of the request that the core has in hand
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._head_size = self._unended = 0  # of what is parsed; of what is read and may not be
        self._in_head = self._opened = self._last = False
        self.idle_since = self._heard_at = front.loop.now
        self._asked = False  # whether an answer has been given on it
        self.channel = Channel(front.loop, sock, self)
        self._unread_since = ArrivalTime(front.loop, front.waiting_since())
        self.slow_reader = SlowReader(
            front.loop, lambda: self.channel.unsent, self._stalled, CAUGHT_UP, self._caught_up
        )
        self._timer = Timer(front.loop)  # for the request that is being read, or is to come first
        self._expect()

    @property
    def idle(self) -> bool:
        return self.call is None and self.serving is None and not self.waiting

    @property
    def unread(self) -> bool:
        return self.channel.unread

    @property
    def disconnected(self) -> bool:
        return self.channel.ended

    @property
    def status(self) -> ConnectionStatus:
        if self.serving is not None or self.waiting:
            return ConnectionStatus(ConnectionActivity.SERVING, self._heard_at)
        if self.call is not None:
            return ConnectionStatus(ConnectionActivity.READING_REQUEST, self._heard_at)
        return ConnectionStatus(
            ConnectionActivity.ANSWERED if self._asked else ConnectionActivity.NOTHING_RECEIVED,
            self.idle_since,
        )

    def give_way(self) -> None:
        """Close at once, unless a request has just come; waiting for the client to close keeps the place."""
        if not self.unread:
            self.front.log("client connection closed", "for want of room")
            self._gone()
            self.channel.abort()

    # ---- reading ----

    def received(self, data: bytes) -> None:
        self._heard_at = self.front.loop.now
        if self._last or self._parser is None:
            return  # whatever follows a request that ended the connection is not taken
        try:
            self._parser.feed_data(data)
            self._unended = self._unended + len(data) if self._in_head else 0
            if self._unended > http.HEAD_LIMIT:  # the parser keeps what has no end yet
                raise BadRequest(431, "the head is too large")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, BadRequest) as error:
            cause = error if isinstance(error, BadRequest) else error.__context__  # a callback's is wrapped
            self._reject(cause if isinstance(cause, BadRequest) else BadRequest(400, "not HTTP/1.1"))
        self._next()

    def _expect(self) -> None:
        """A request is to arrive whole within a while from now."""
        self._timer.set(ARRIVE, self._late)

    def too_late(self) -> None:
        """What has not arrived whole by now is not taken any more: what never arrived never ran."""
        if self.call is not None:
            self._reject(BadRequest(503, "ending; trying again is harmless"))
            self._next()

    def _late(self) -> None:
        if self.unread:  # it has come in this very turn
            return self._timer.set(ARRIVE_MOMENT, self._late)
        if self.call is None:
            return self.close_gracefully()  # nothing has been asked on it
        self._reject(BadRequest(408, "the request took too long to arrive"))
        return self._next()

    def on_message_begin(self) -> None:
        self.call = Call(began=self._unread_since.earliest)
        self._head_size, self._in_head = 0, True
        if not self._timer.running:
            self._expect()

    def on_url(self, url: bytes) -> None:
        if self.call is not None:
            self.call.target += url
            self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.call is None:
            return
        self._grow(len(name) + len(value))
        if not self._in_head:
            return  # behind a chunked body: nothing that decides anything may stand there, and nobody asks
        field = name.decode("latin-1").lower()
        if field in self.call.headers and field in ONCE:
            raise BadRequest(400, f"{field}: more than once")
        self.call.headers[field] = http.decode_header(value)

    def _grow(self, size: int) -> None:
        self._head_size += size
        if self._head_size > http.HEAD_LIMIT:
            raise BadRequest(431, "the head is too large")

    def on_headers_complete(self) -> None:
        self._in_head = False
        if self.call is None or self._parser is None:
            return
        # The parser refuses lengths that are no number, doubled, or beside a Transfer-Encoding.
        version, coding = self._parser.get_http_version(), self.call.headers.get("transfer-encoding")
        if version not in ("1.0", "1.1") or (coding and (version, coding.lower()) != ("1.1", "chunked")):
            raise BadRequest(400, "not HTTP/1.1, or a Transfer-Encoding other than chunked")
        if int(self.call.headers.get("content-length") or 0) > http.BODY_LIMIT:
            raise BadRequest(413, "the body is too large")
        waits = version == "1.1" and self.call.headers.get("expect", "").lower() == "100-continue"
        if waits and self.serving is None and not self.waiting:  # else it would stand in another's answer
            self.channel.send(http.GO_ON)

    def on_body(self, body: bytes) -> None:
        if self.call is None:
            return
        self.call.body += body
        self.front.held += len(body)
        if len(self.call.body) > http.BODY_LIMIT:
            raise BadRequest(413, "the body is too large")
        if self.front.held > self.front.held_most:
            raise BadRequest(503, "too many bodies at once")

    def on_message_complete(self) -> None:
        if (call := self.call) is None or self._parser is None:
            return
        self.call = None
        self._timer.cancel()
        call.method, call.keep_alive = self._parser.get_method(), self._parser.should_keep_alive()
        self.waiting.append(call)
        if len(self.waiting) > PIPELINE + (self.serving is None):
            raise BadRequest(400, "too many requests at once on one connection")

    def _reject(self, error: BadRequest) -> None:
        """Answer what can't be taken and hang up. An error is owed soon, so what came before it on the same
        connection and would take its time is refused, too."""
        self._timer.cancel()
        self.front.log("bad request", str(error))
        for call in self.waiting:
            call.rejected = BadRequest(503, "not served, for what follows on the connection makes no sense")
        self.front.held -= len(self.call.body) if self.call is not None else 0
        self.call = None
        self.waiting.append(Call(rejected=error))
        self._last = True
        if not self._opened:
            self.front.router.give_up(self.request_id)

    def _next(self) -> None:
        """Take up the next request, one at a time."""
        while self.serving is None and self.waiting and not self.channel.closed:
            call = self.serving = self.waiting.popleft()
            self._last = self._last or not call.keep_alive
            if call.rejected is not None:
                self._answer(call.rejected.status, str(call.rejected))
            elif call.target.partition(b"?")[0] == b"/healthz":
                healthy = self.front.mode.healthy
                self._answer(200 if healthy else 503, "ok" if healthy else "not serving")
            elif call.target.partition(b"?")[0] != CHAT:
                self._answer(404, "no such path")
            elif call.method != b"POST":
                self._answer(405, "POST only", {"Allow": "POST"})
            elif self.front.ending:
                self._answer(503, "ending; trying again is harmless")
            else:
                self._take(call)

    def _take(self, call: Call) -> None:
        try:
            arrived = understand(call, self.front.names, self.front.loop.now)
        except BadRequest as error:
            return self._turn_back(error)
        self.request_id, self._opened = arrived.id, False
        if not self.front.router.accept(arrived, self, call):
            self.request_id = ""
            return self._turn_back(BadRequest(400, "X-Txn: a request with this id is open, or may have run"))
        return None

    def _turn_back(self, error: BadRequest) -> None:
        """Some clients send the same again at once, and all the others would wait for that."""
        self.front.log("bad request", str(error))
        self._answer(error.status, str(error))
        if not self.channel.closed and not self._last:
            self.channel.pause(True)
            self._unread_since.reading_paused()
            self._timer.set(PENALTY, self._read_on)

    def _read_on(self) -> None:
        if self.call is not None:
            self._expect()
        self._unread_since.reading_resumed()
        self.channel.pause(False)

    # ---- answering ----

    def send_event(self, event: object) -> None:
        assert isinstance(event, bytes)
        if not self._opened:
            self._opened = True
            fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
            self.channel.send(http.head("HTTP/1.1 200 OK", fields | self._ending_field()))
        self.channel.send(http.chunk(event))
        if self.channel.unsent > SLOW and not self.slow_reader.watching:
            self.slow_reader.start()
            self.front.router.client_slow(self.request_id, True)

    def _stalled(self) -> None:
        """A client that takes nothing for long holds a worker's place: it counts as gone."""
        self.front.log("client stalled", self.request_id)
        self.front.router.client_left(self.request_id, Ending.CLIENT_STALLED)
        self._gone()
        self.channel.abort()

    def _caught_up(self) -> None:
        self.front.router.client_slow(self.request_id, False)

    def drained(self) -> None:
        if self.slow_reader.watching:
            self.slow_reader.stop()
            self._caught_up()

    def finish(self) -> None:
        self.channel.send(http.LAST_CHUNK)
        self._served()

    def abort_stream(self, ending: Ending) -> None:
        self.front.log("stream broken off", f"{self.request_id} {ending.name.lower()}")
        self.request_id = ""
        self.close_gracefully()

    def refuse(self, retry_after: float) -> None:
        advice = {"Retry-After": f"{retry_after:.3f}"} if retry_after > 0 else {}
        self._answer(503, "not served; trying again is harmless", advice)

    def fail(self, ending: Ending | None) -> None:
        self._answer(STATUS.get(ending, 502), f"failed: {ending.name.lower() if ending else 'not served'}")

    def _ending_field(self) -> dict[str, str]:
        self._last = self._last or not self.front.mode.keep_alive
        return {"Connection": "close"} if self._last and not self.waiting else {}

    def _answer(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        self.channel.send(http.answer(status, f"{text}\n".encode(), (headers or {}) | self._ending_field()))
        self._served()

    def _served(self) -> None:
        if self.serving is not None:
            self.front.held -= len(self.serving.body)
        self.request_id, self.serving, self._asked = "", None, True
        self.slow_reader.stop()
        self.idle_since = self.front.loop.now
        if self.waiting:
            self.front.loop.after(0.0, self._next)
        elif self._last or not self.front.mode.keep_alive:  # its head may have been sent before that
            self.close_gracefully()

    # ---- the connection ----

    def connected(self) -> None:
        """Accepted connections are up from the start."""

    def lost(self, error: OSError | None) -> None:
        self._gone()
        if self.request_id:
            self.front.router.client_left(self.request_id)

    def close_gracefully(self) -> None:
        """Write what is left and close."""
        if self.front.log.detailed:
            self.front.log("client connection closed", self._why_closed())
        self._gone()
        self.channel.finish()

    def _why_closed(self) -> str:
        if self._last:
            return "its last request is answered"
        if not self.front.mode.keep_alive:
            return "the process ends"
        idle = self.front.loop.now - self.idle_since
        return f"idle for {idle:.1f} s" if self.idle else "its stream is broken off"

    def _gone(self) -> None:
        self._timer.cancel()
        self.slow_reader.stop()
        self.front.connections.discard(self)
        for call in filter(None, [self.call, self.serving, *self.waiting]):
            self.front.held -= len(call.body)
        self.call = self.serving = self._parser = None  # the parser knows this object, too
        self.waiting.clear()


class ClientFront(ClientConnections[ClientConnection]):
    def __init__(self, loop: Loop, router: Router, names: Names, held_most: int) -> None:
        self._drained_at = math.inf
        super().__init__(loop, IDLE_MOST)
        self.router, self.names, self.log = router, names, loop.log
        self.held, self.held_most = 0, held_most  # bytes of bodies in memory

    def accepted(self, sock: socket.socket) -> None:
        self.connections.add(ClientConnection(self, sock))

    def free_connections(self) -> None:
        standings = ((connection.status, connection) for connection in self.connections)
        for connection in connections_to_close(standings, self.loop.now, MAX_CLOSED_AT_ONCE):
            connection.give_way()

    def set_mode(self, mode: FrontMode) -> None:
        self._drained_at = self.loop.now if mode.accepting and mode.close_idle else math.inf
        super().set_mode(mode)

    def _sweep(self) -> None:
        super()._sweep()
        if self.loop.now - self._drained_at >= LAST_ARRIVALS:
            self._take_no_halves()

    def end(self) -> None:
        super().end()
        self._take_no_halves()

    def _take_no_halves(self) -> None:
        for connection in list(self.connections):
            connection.too_late()
