"""The management endpoint: a second listening address for operators; HTTP/1.1, one request per connection.

It must answer within 1 s under any load. So its sockets are handled first in each turn of the loop, and the
descriptors that it may use are left out of the clients' budget.
"""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

import httptools

from ..acceptor import listen
from ..channel import Channel
from ..config import Address
from ..loop import Timer
from ..platform import http
from ..platform.client_request import BadRequest, bad_request
from ..platform.framing import FramedReader, FramingError, FramingLimits
from ..service import Service
from .instance import Event

MAX_CONNECTIONS = 24  # a further one closes the oldest
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 2  # connections, the listener, and one being accepted
LIMITS = FramingLimits(head=4096, stated=1024, body=1024)
REQUEST_TIMEOUT_S = 5.0  # for a request to arrive completely
MAX_ACCEPTS_PER_TURN = 8  # a burst of connections must not close one whose request is not read yet


class ManagementConnection:
    """A connection and the one request on it."""

    def __init__(self, endpoint: ManagementEndpoint, sock: socket.socket) -> None:
        self._endpoint = endpoint
        self._headers: dict[str, str] = {}  # those that decide how the body is framed
        self._target = b""
        self._answered = False
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._reader: FramedReader | None = FramedReader(self._parser, LIMITS)
        self.channel = Channel(endpoint.loop, sock, self, first=True)
        self._timer = Timer(endpoint.loop)
        self._timer.set(REQUEST_TIMEOUT_S, self._time_out)

    def received(self, data: bytes) -> None:
        """Parse bytes from the channel."""
        if self._answered or self._reader is None:
            return
        try:
            self._reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, FramingError) as error:
            rejection = bad_request(error)
            self._answer(rejection.status, str(rejection))

    def on_url(self, url: bytes) -> None:
        """Parser callback: a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a field of the head."""
        http.keep_framing_header(self._headers, name, value)

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete. Raises BadRequest or FramingError."""
        if self._parser is None or self._reader is None:
            return
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            raise BadRequest(400, "not HTTP/1.1")
        self._reader.head_complete(self._headers, is_response=False)

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        if self._parser is not None and not self._answered:
            path = self._target.partition(b"?")[0].decode("latin-1")
            self._answer(*self._endpoint.answer(self._parser.get_method().decode("latin-1"), path))

    def _time_out(self) -> None:
        self._answer(408, "the request took too long to arrive")

    def _answer(self, status: int, text: str, headers: dict[str, str] | None = None) -> None:
        if not self._answered:
            self._answered = True
            fields = (headers or {}) | {"Connection": "close"}
            self.channel.send(http.answer(status, f"{text}\n".encode(), fields))
            self.channel.finish()
            self._timer.cancel()

    def connected(self) -> None:
        """Channel callback; an accepted connection is established from the start."""

    def drained(self) -> None:
        """Channel callback; the answer is small enough to be buffered whole."""

    def lost(self, error: OSError | None) -> None:
        """Channel callback: the connection is closed."""
        self._timer.cancel()
        self._parser = self._reader = None  # breaks the reference cycle

    def abort(self) -> None:
        """Close the connection at once."""
        self.lost(None)
        self.channel.abort()


class ManagementEndpoint:
    """Listens for operators' requests and answers them."""

    def __init__(self, service: Service, address: Address) -> None:
        """Start listening at `address`. Raises OSError."""
        self.loop, self._service = service.loop, service
        self._connections: list[ManagementConnection] = []  # oldest first
        self._listener = listen(address)
        self.port: int = self._listener.getsockname()[1]
        self.loop.watch(self._listener, selectors.EVENT_READ, self._accept, first=True)
        self._routes: dict[str, tuple[str, Callable[[], tuple[int, str]]]] = {
            "/-/ready": ("GET", self._ready),
            "/-/drain": ("POST", lambda: self._apply_order(Event.DRAIN)),
            "/-/resume": ("POST", lambda: self._apply_order(Event.RESUME)),
        }
        self.loop.log("door open", f"management endpoint at {address[0]}:{self.port}")

    def answer(self, method: str, path: str) -> tuple[int, str, dict[str, str]]:
        """Carry out a request; returns status, body text and header fields of the answer."""
        if path not in self._routes:
            return 404, "no such path", {}
        allowed, call = self._routes[path]
        if method != allowed:
            return 405, f"{allowed} only", {"Allow": allowed}
        return *call(), {}

    def _ready(self) -> tuple[int, str]:
        instance = self._service.instance
        return 200 if instance.serves else 503, instance.state.value

    def _apply_order(self, event: Event) -> tuple[int, str]:
        if not self._service.instance.accepts(event):
            return 409, f"{self._service.instance.state.value}: this process accepts no more orders"
        self._service.handle_event(event)
        return 200, self._service.instance.state.value

    def _accept(self, mask: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.loop.log("door accept failed", str(error))
                return
            self._connections = [
                connection for connection in self._connections if not connection.channel.closed
            ]
            if len(self._connections) >= MAX_CONNECTIONS:
                self._connections.pop(0).abort()
            self._connections.append(ManagementConnection(self, sock))

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.loop.watch(self._listener, 0, self._accept)
        self._listener.close()
        for connection in self._connections:
            if not connection.channel.closed:
                connection.abort()
