"""HTTP/1.1 as the stand-ins speak it: a server's side and a client's, on the program's loop and channels."""

from __future__ import annotations

import os
import selectors
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from yewhook.channel import Channel
from yewhook.config import Address
from yewhook.deadlines import Deadline
from yewhook.loop import Loop
from yewhook.platform import http

# A loopback address of this process's own: ports that are free now stay so until a router takes them, though
# several stages may run beside each other.
_PID = os.getpid()
HOST = f"127.{64 + (_PID >> 16) % 64}.{(_PID >> 8) % 256}.{_PID % 256}"


class LoopClock:
    """The loop's clock, for models that otherwise run on virtual time."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop

    @property
    def now(self) -> float:
        return self._loop.now

    def after(self, seconds: float, call: Callable[[], None]) -> Deadline:
        return self._loop.deadlines.set(self._loop.now + seconds, call)

    def cancel(self, deadline: Deadline | None) -> None:
        self._loop.deadlines.cancel(deadline)


ACCEPT_BACKLOG = 512  # connections that the kernel keeps until they are accepted
QUEUE_FILLER_COUNT = 3  # connections that fill a queue of length 0


class Listener:
    """Accepts on a free port of loopback, as long as it is open."""

    def __init__(
        self, loop: Loop, accepted: Callable[[socket.socket], object], address: Address = (HOST, 0)
    ) -> None:
        self._loop, self._on_accepted = loop, accepted
        self._fillers: list[socket.socket] = []  # connections that take up the kernel's queue
        self._sock = socket.create_server(address, backlog=ACCEPT_BACKLOG)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()
        loop.watch(self._sock, selectors.EVENT_READ, self._accept)

    def _accept(self, mask: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self._on_accepted(sock)

    def block(self) -> None:
        """Let no connection come up any more, as where the machine is cut off: the kernel's queue is full."""
        self._loop.watch(self._sock, 0, self._accept)
        self._sock.listen(0)
        for _ in range(QUEUE_FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def unblock(self) -> None:
        """Accept again; those that have come meanwhile come up when they next try."""
        self._sock.listen(ACCEPT_BACKLOG)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._loop.watch(self._sock, selectors.EVENT_READ, self._accept)

    def pause_accepting(self) -> None:
        """Accept nothing; connections come up all the same, in the kernel's queue."""
        self._loop.watch(self._sock, 0, self._accept)

    def resume_accepting(self) -> None:
        """Accept again what has come meanwhile."""
        self._loop.watch(self._sock, selectors.EVENT_READ, self._accept)

    def close(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._loop.watch(self._sock, 0, self._accept)
        self._sock.close()


def reset_connection(sock: socket.socket, channel: Channel) -> None:
    """End a connection by a reset."""
    if not channel.closed:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        channel.abort()


@dataclass(slots=True)
class Request:
    method: str = ""
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class ServerConnection:
    """One accepted connection; one request at a time."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        asked: Callable[[ServerConnection, Request], None],
        gone: Callable[[ServerConnection], None],
    ) -> None:
        self._on_request, self._on_closed, self._sock = asked, gone, sock
        self._request = Request()
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.channel = Channel(loop, sock, self)

    def received(self, data: bytes) -> None:
        if self._parser is not None:
            self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._request = Request()

    def on_url(self, url: bytes) -> None:
        self._request.path += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._request.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._request.body += body

    def on_message_complete(self) -> None:
        assert self._parser is not None
        self._request.method = self._parser.get_method().decode()
        self._on_request(self, self._request)

    def answer(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        self.channel.send(http.answer(status, body, headers))

    def begin_stream(self) -> None:
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        self.channel.send(http.head("HTTP/1.1 200 OK", fields))

    def send_event(self, data: bytes) -> None:
        self.channel.send(http.chunk(data))

    def end_stream(self) -> None:
        self.channel.send(http.LAST_CHUNK)

    def reset(self) -> None:
        self._parser = None
        reset_connection(self._sock, self.channel)

    def connected(self) -> None:
        """Accepted connections are up from the start."""

    def drained(self) -> None:
        """Answers are small."""

    def lost(self, error: OSError | None) -> None:
        self._parser = None
        self._on_closed(self)


class ResponseHandler(Protocol):
    """What a client waits for on a connection."""

    def headers_received(self, status: int, headers: dict[str, str]) -> None: ...

    def body_received(self, data: bytes) -> None: ...

    def completed(self) -> None: ...

    def connection_lost(self, error: OSError | None) -> None: ...


class ClientConnection:
    """One connection that was opened here; one exchange at a time."""

    def __init__(self, loop: Loop, address: Address) -> None:
        """Raises OSError."""
        self._loop = loop
        self.handler: ResponseHandler | None = None
        self.opened_at, self.request_count, self.closing = loop.now, 0, False
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: dict[str, str] = {}
        self.channel = Channel.connect(loop, address, self)

    @property
    def usable(self) -> bool:
        return not self.channel.closed and self.handler is None and not self.closing

    def send_request(self, handler: ResponseHandler, data: bytes) -> None:
        self.handler, self._headers = handler, {}
        self._parser = httptools.HttpResponseParser(self)
        self.request_count += 1
        self.channel.send(data)

    def received(self, data: bytes) -> None:
        if self._parser is not None:
            self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        self.closing = self._headers.get("connection") == "close"
        if self._parser is not None and self.handler is not None:
            self.handler.headers_received(self._parser.get_status_code(), self._headers)

    def on_body(self, body: bytes) -> None:
        if self.handler is not None:
            self.handler.body_received(body)

    def on_message_complete(self) -> None:
        handler, self.handler = self.handler, None
        if self.closing:
            self.close()
        if handler is not None:
            handler.completed()

    def connected(self) -> None:
        """What is asked is on its way."""

    def drained(self) -> None:
        """What is asked is written."""

    def lost(self, error: OSError | None) -> None:
        handler, self.handler, self._parser = self.handler, None, None
        if handler is not None:
            handler.connection_lost(error)

    def close(self) -> None:
        self._parser = None
        self.channel.abort()


class HttpCall:
    """One call with a short answer, as operators and fronts make it; `done` hears the status, 0 for none."""

    def __init__(
        self, loop: Loop, address: Address, method: str, path: str, done: Callable[[int], None]
    ) -> None:
        self._status, self._on_status = 0, done
        try:
            self._connection = ClientConnection(loop, address)
        except OSError:
            loop.after(0.0, lambda: done(0))
            return
        self._connection.send_request(
            self, http.head(f"{method} {path} HTTP/1.1", {"Host": "x", "Connection": "close"})
        )

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        self._status = status

    def body_received(self, data: bytes) -> None:
        """The status says it."""

    def completed(self) -> None:
        self._connection.close()
        self._on_status(self._status)

    def connection_lost(self, error: OSError | None) -> None:
        self._on_status(0)

    def cancel(self) -> None:
        if hasattr(self, "_connection"):
            self._connection.handler = None
            self._connection.close()
