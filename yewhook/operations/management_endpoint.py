"""The management endpoint: a second address, for operators, that speaks HTTP/1.1, one call a connection.

Its answers are owed within 1 s under any load, so its sockets come first in each turn of the loop, and the
clients' room is reckoned without the descriptors that it may use.
"""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

import httptools

from ..channel import Channel
from ..config import Address
from ..loop import Timer
from ..platform import http
from ..service import Service, listen
from .instance import Event

MAX_CONNECTIONS = 24  # connections at once; beyond them the oldest one gives way
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 2  # kept for it: callers, listener, and one being accepted
HEAD_MOST, BODY_MOST = 4096, 1024  # bytes of one call
ARRIVE = 5.0  # s for a call to arrive whole
ACCEPT_AT_ONCE = 8  # a turn; who connects in crowds is not to push a caller out before its call is read


class Refused(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Caller:
    """One connection, and the one call on it."""

    def __init__(self, endpoint: ManagementEndpoint, sock: socket.socket) -> None:
        self._endpoint = endpoint
        self._size = self._body = 0
        self._target = b""
        self._answered = False
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.channel = Channel(endpoint.loop, sock, self, first=True)
        self._timer = Timer(endpoint.loop)
        self._timer.set(ARRIVE, self._late)

    def received(self, data: bytes) -> None:
        if self._answered or self._parser is None:
            return
        try:
            self._size += len(data)
            self._parser.feed_data(data)
            if not self._answered and self._size - self._body > HEAD_MOST:
                raise Refused(431, "the head is too large")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, Refused) as error:
            cause = error if isinstance(error, Refused) else error.__context__  # a callback's is wrapped
            wrong = cause if isinstance(cause, Refused) else Refused(400, "not HTTP/1.1")
            self._answer(wrong.status, str(wrong))

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_headers_complete(self) -> None:
        if self._parser is not None and self._parser.get_http_version() not in ("1.0", "1.1"):
            raise Refused(400, "not HTTP/1.1")

    def on_body(self, body: bytes) -> None:
        self._body += len(body)
        if self._body > BODY_MOST:
            raise Refused(413, "the body is too large")

    def on_message_complete(self) -> None:
        if self._parser is not None and not self._answered:
            path = self._target.partition(b"?")[0].decode("latin-1")
            self._answer(*self._endpoint.answer(self._parser.get_method().decode("latin-1"), path))

    def _late(self) -> None:
        self._answer(408, "the call took too long to arrive")

    def _answer(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        if not self._answered:
            self._answered = True
            fields = (headers or {}) | {"Connection": "close"}
            self.channel.send(http.answer(status, f"{text}\n".encode(), fields))
            self.channel.finish()
            self._timer.cancel()

    def connected(self) -> None:
        """Accepted connections are up from the start."""

    def drained(self) -> None:
        """An answer is small."""

    def lost(self, error: OSError | None) -> None:
        self._timer.cancel()
        self._parser = None  # it knows this object, too

    def give_way(self) -> None:
        self.lost(None)
        self.channel.abort()


class ManagementEndpoint:
    def __init__(self, service: Service, address: Address) -> None:
        """Raises OSError."""
        self.loop, self._service = service.loop, service
        self._callers: list[Caller] = []  # the oldest first
        self._listener = listen(address)
        self.port: int = self._listener.getsockname()[1]
        self.loop.watch(self._listener, selectors.EVENT_READ, self._accept, first=True)
        self._calls: dict[str, tuple[str, Callable[[], tuple[int, str]]]] = {
            "/-/ready": ("GET", self._ready),
            "/-/drain": ("POST", lambda: self._order(Event.DRAIN)),
            "/-/resume": ("POST", lambda: self._order(Event.RESUME)),
        }
        self.loop.log("door open", f"operators call {address[0]}:{self.port}")

    def answer(self, method: str, path: str) -> tuple[int, str, dict[str, str]]:
        if path not in self._calls:
            return 404, "no such path", {}
        wanted, call = self._calls[path]
        if method != wanted:
            return 405, f"{wanted} only", {"Allow": wanted}
        return *call(), {}

    def _ready(self) -> tuple[int, str]:
        instance = self._service.instance
        return 200 if instance.serves else 503, instance.state.value

    def _order(self, event: Event) -> tuple[int, str]:
        if not self._service.instance.accepts(event):
            return 409, f"{self._service.instance.state.value}: another process serves, or none is to"
        self._service.handle_event(event)
        return 200, self._service.instance.state.value

    def _accept(self, mask: int) -> None:
        for _ in range(ACCEPT_AT_ONCE):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.loop.log("door accept failed", str(error))
                return
            self._callers = [caller for caller in self._callers if not caller.channel.closed]
            if len(self._callers) >= MAX_CONNECTIONS:
                self._callers.pop(0).give_way()
            self._callers.append(Caller(self, sock))

    def close(self) -> None:
        self.loop.watch(self._listener, 0, self._accept)
        self._listener.close()
        for caller in self._callers:
            if not caller.channel.closed:
                caller.give_way()
