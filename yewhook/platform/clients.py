"""The clients' side: listen, read requests, and give each its one answer."""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass, field

import httptools

from hopshed.interface import RequestArrived

from ..channel import Channel
from ..config import Names
from ..core.ending import Ending
from ..core.router import Router
from ..deadlines import Deadline
from ..loop import Loop
from . import http

CHAT = b"/v1/chat/completions"
SLOW, CAUGHT_UP = 65536, 16384  # bytes not yet taken by a client: stop reading its stream, and go on
STALLED = 10.0  # s in which a slow client takes nothing at all
TRANSIT = 0.001  # s taken off a client's time for the way of its request and of our answer
ROOM_STEP = 16  # idle connections closed at a time when sockets run out
PIPELINE = 4  # requests that may wait on one connection behind the one in hand
TOO_SLOW = 10.0  # s for a begun request to arrive whole
STATUS = {Ending.TIMED_OUT: 504, Ending.UNSENT_IN_TIME: 504, None: 500}  # all others: 502


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
    body: bytes = b""
    keep_alive: bool = True
    began: float = 0.0
    rejected: BadRequest | None = None  # what is wrong with it, to be answered in its turn


def seconds(text: str) -> float:
    """A time with its unit: `4800m` or `4800000u`."""
    number, unit = text[:-1], text[-1:]
    scale = {"m": 1e-3, "u": 1e-6}.get(unit)
    if scale is None or not number.replace(".", "", 1).isdigit():
        raise BadRequest(400, "X-Remaining: expected a number followed by m or u")
    return float(number) * scale


def _count(labels: dict[str, str], name: str) -> float:
    text = labels.get(name, "0")
    if not text.isdigit():
        raise BadRequest(400, f"X-Labels: {name} must be a whole number")
    return float(text)


def _place(names: tuple[str, ...], name: str | None, header: str) -> int:
    if name not in names:
        raise BadRequest(400, f"{header}: {'unknown name' if name else 'missing'}")
    return names.index(name)


def understand(call: Call, names: Names, now: float) -> RequestArrived:
    """The module's view of a request."""
    h = call.headers
    request_id = h.get("x-txn", "")
    if not request_id or not request_id.isalnum():
        raise BadRequest(400, "X-Txn: missing or not a word")
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
    )


class ClientConnection:
    """One client's connection. It is the core's `Client` of the request in hand."""

    def __init__(self, front: ClientFront, sock: socket.socket) -> None:
        self.front = front
        self.call: Call | None = None  # being read
        self.waiting: deque[Call] = deque()
        self.serving: Call | None = None
        self.request_id = ""  # of the request that the core has in hand
        self._parser = httptools.HttpRequestParser(self)
        self._head_size = 0
        self._opened = self._last = self._slow = False
        self._timer: Deadline | None = None  # for the request that is being read
        self.idle_since = front.loop.now
        self._taken_at = 0.0  # when a slow client last took something
        self._unsent = 0
        self.channel = Channel(front.loop, sock, self)

    @property
    def idle(self) -> bool:
        return self.call is None and self.serving is None and not self.waiting

    # ---- reading ----

    def received(self, data: bytes) -> None:
        if self._last:
            return  # whatever follows a request that ended the connection is not taken
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__  # what a callback raised arrives wrapped
            known = isinstance(cause, BadRequest)
            self._reject(cause if known else BadRequest(400, "not HTTP/1.1"))  # type: ignore[arg-type]
        self._next()

    def on_message_begin(self) -> None:
        call = self.call = Call(began=self.front.loop.now)
        self._head_size = 0
        self._timer = self.front.loop.deadlines.set(call.began + TOO_SLOW, self._late)

    def _late(self) -> None:
        self._reject(BadRequest(408, "the request took too long to arrive"))
        self._next()

    def on_url(self, url: bytes) -> None:
        if self.call is not None:
            self.call.target += url
            self._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.call is not None:
            self._grow(len(name) + len(value))
            self.call.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def _grow(self, size: int) -> None:
        self._head_size += size
        if self._head_size > http.HEAD_LIMIT:
            raise BadRequest(431, "the head is too large")

    def on_headers_complete(self) -> None:
        if self.call is not None and int(self.call.headers.get("content-length") or 0) > http.BODY_LIMIT:
            raise BadRequest(413, "the body is too large")

    def on_body(self, body: bytes) -> None:
        if self.call is not None:
            self.call.body += body
            if len(self.call.body) > http.BODY_LIMIT:
                raise BadRequest(413, "the body is too large")

    def on_message_complete(self) -> None:
        if (call := self.call) is None:
            return
        self.call = None
        self.front.loop.deadlines.cancel(self._timer)
        call.method, call.keep_alive = self._parser.get_method(), self._parser.should_keep_alive()
        if len(self.waiting) >= PIPELINE:
            raise BadRequest(429, "too many requests at once on one connection")
        self.waiting.append(call)

    def _reject(self, error: BadRequest) -> None:
        self.call = None
        self.front.loop.deadlines.cancel(self._timer)
        self.waiting.append(Call(keep_alive=False, rejected=error))
        self._last = True

    def _next(self) -> None:
        """Take up the next request, one at a time."""
        while self.serving is None and self.waiting and not self.channel.closed:
            call = self.serving = self.waiting.popleft()
            self._last = self._last or not call.keep_alive
            if call.rejected is not None:
                self._answer(call.rejected.status, str(call.rejected))
            elif call.target.partition(b"?")[0] == b"/healthz":
                draining = self.front.draining
                self._answer(503 if draining else 200, "draining" if draining else "ok")
            elif call.target.partition(b"?")[0] != CHAT:
                self._answer(404, "no such path")
            elif call.method != b"POST":
                self._answer(405, "POST only", {"Allow": "POST"})
            else:
                self._take(call)

    def _take(self, call: Call) -> None:
        try:
            arrived = understand(call, self.front.names, self.front.loop.now)
        except BadRequest as error:
            self.front.log("bad request", str(error))
            return self._answer(error.status, str(error))
        self.request_id, self._opened, self._slow = arrived.id, False, False
        if not self.front.router.accept(arrived, self, call):
            self.request_id = ""
            return self._answer(400, "X-Txn: a request with this id is open")
        return None

    # ---- answering ----

    def pass_on(self, event: object) -> None:
        assert isinstance(event, bytes)
        if not self._opened:
            self._opened = True
            fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
            self.channel.send(http.head("HTTP/1.1 200 OK", fields | self._ending_field()))
        self.channel.send(http.chunk(event))
        if self.channel.unsent > SLOW and not self._slow:
            self._slow, self._taken_at, self._unsent = True, self.front.loop.now, self.channel.unsent
            self.front.router.client_slow(self.request_id, True)
            self._check_stall(self.request_id)

    def _check_stall(self, request_id: str) -> None:
        """A client that takes nothing for long holds a worker's place: it counts as gone."""
        if self.channel.closed or self.request_id != request_id or not self._slow:
            return
        if self.channel.unsent < self._unsent:
            self._taken_at, self._unsent = self.front.loop.now, self.channel.unsent
        if self.channel.unsent < CAUGHT_UP:
            return self.drained()
        if self.front.loop.now - self._taken_at > STALLED:
            self.front.log("client stalled", request_id)
            self.front.router.client_left(request_id, Ending.CLIENT_STALLED)
            self.front.forget(self)
            return self.channel.abort()
        return self.front.loop.after(0.25, lambda: self._check_stall(request_id))

    def drained(self) -> None:
        if self._slow:
            self._slow = False
            self.front.router.client_slow(self.request_id, False)

    def finish(self) -> None:
        self.channel.send(http.LAST_CHUNK)
        self._served()

    def break_off(self, ending: Ending) -> None:
        self.front.log("stream broken off", f"{self.request_id} {ending.name.lower()}")
        self.request_id = ""
        self.front.forget(self)
        self.channel.finish()

    def refuse(self, retry_after: float) -> None:
        advice = {"Retry-After": f"{retry_after:.3f}"} if retry_after > 0 else {}
        self._answer(503, "not served; trying again is harmless", advice)

    def fail(self, ending: Ending | None) -> None:
        self._answer(STATUS.get(ending, 502), f"failed: {ending.name.lower() if ending else 'not served'}")

    def _ending_field(self) -> dict[str, str]:
        self._last = self._last or self.front.draining
        return {"Connection": "close"} if self._last else {}

    def _answer(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        self.channel.send(http.answer(status, f"{text}\n".encode(), (headers or {}) | self._ending_field()))
        self._served()

    def _served(self) -> None:
        self.request_id, self.serving = "", None
        self.idle_since = self.front.loop.now
        if self._last:
            self.front.forget(self)
            self.channel.finish()
        elif self.waiting:
            self.front.loop.after(0.0, self._next)

    # ---- the connection ----

    def connected(self) -> None:
        """Accepted connections are up from the start."""

    def lost(self, error: OSError | None) -> None:
        self.front.forget(self)
        self.front.loop.deadlines.cancel(self._timer)
        if self.request_id:
            self.front.router.client_left(self.request_id)


class ClientFront:
    """The clients' connections. `draining` begins some time before `stop_accepting`."""

    def __init__(self, loop: Loop, router: Router, names: Names) -> None:
        self.loop, self.router, self.names, self.log = loop, router, names, loop.log
        self.draining = False
        self.connections: set[ClientConnection] = set()

    def accepted(self, sock: socket.socket) -> None:
        self.connections.add(ClientConnection(self, sock))

    def forget(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)

    def make_room(self) -> None:
        idle = sorted((c for c in self.connections if c.idle), key=lambda c: c.idle_since)
        self._hang_up(idle[:ROOM_STEP])

    def stop_accepting(self) -> None:
        self._hang_up([c for c in self.connections if c.idle])

    def _hang_up(self, connections: list[ClientConnection]) -> None:
        for connection in connections:
            self.forget(connection)
            connection.channel.finish()
