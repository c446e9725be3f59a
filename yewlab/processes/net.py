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


class RealTime:
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


BACKLOG = 512  # connections that the kernel keeps until they are accepted
QUEUE_FILLERS = 3  # connections that fill a queue of length 0


class Listener:
    """Accepts on a free port of loopback, as long as it is open."""

    def __init__(
        self, loop: Loop, accepted: Callable[[socket.socket], object], address: Address = (HOST, 0)
    ) -> None:
        self._loop, self._accepted = loop, accepted
        self._fillers: list[socket.socket] = []  # connections that take up the kernel's queue
        self._sock = socket.create_server(address, backlog=BACKLOG)
        self._sock.setblocking(False)
        self.address: Address = self._sock.getsockname()
        loop.watch(self._sock, selectors.EVENT_READ, self._accept)

    def _accept(self, mask: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self._accepted(sock)

    def block(self) -> None:
        """Let no connection come up any more, as where the machine is cut off: the kernel's queue is full."""
        self._loop.watch(self._sock, 0, self._accept)
        self._sock.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def unblock(self) -> None:
        """Accept again; those that have come meanwhile come up when they next try."""
        self._sock.listen(BACKLOG)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._loop.watch(self._sock, selectors.EVENT_READ, self._accept)

    def ignore(self) -> None:
        """Accept nothing; connections come up all the same, in the kernel's queue."""
        self._loop.watch(self._sock, 0, self._accept)

    def heed(self) -> None:
        """Accept again what has come meanwhile."""
        self._loop.watch(self._sock, selectors.EVENT_READ, self._accept)

    def close(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._loop.watch(self._sock, 0, self._accept)
        self._sock.close()


def reset(sock: socket.socket, channel: Channel) -> None:
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


class ServerSide:
    """One accepted connection; one request at a time."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        asked: Callable[[ServerSide, Request], None],
        gone: Callable[[ServerSide], None],
    ) -> None:
        self._asked, self._gone, self._sock = asked, gone, sock
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
        self._asked(self, self._request)

    def answer(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        self.channel.send(http.answer(status, body, headers))

    def begin(self) -> None:
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        self.channel.send(http.head("HTTP/1.1 200 OK", fields))

    def event(self, data: bytes) -> None:
        self.channel.send(http.chunk(data))

    def end(self) -> None:
        self.channel.send(http.LAST_CHUNK)

    def reset(self) -> None:
        self._parser = None
        reset(self._sock, self.channel)

    def connected(self) -> None:
        """Accepted connections are up from the start."""

    def drained(self) -> None:
        """Answers are small."""

    def lost(self, error: OSError | None) -> None:
        self._parser = None
        self._gone(self)


class Exchange(Protocol):
    """What a client waits for on a connection."""

    def begun(self, status: int, headers: dict[str, str]) -> None: ...

    def data(self, data: bytes) -> None: ...

    def whole(self) -> None: ...

    def lost(self, error: OSError | None) -> None: ...


class ClientSide:
    """One connection that was opened here; one exchange at a time."""

    def __init__(self, loop: Loop, address: Address) -> None:
        """Raises OSError."""
        self._loop = loop
        self.exchange: Exchange | None = None
        self.opened, self.used, self.ending = loop.now, 0, False
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: dict[str, str] = {}
        self.channel = Channel.connect(loop, address, self)

    @property
    def usable(self) -> bool:
        return not self.channel.closed and self.exchange is None and not self.ending

    def ask(self, exchange: Exchange, data: bytes) -> None:
        self.exchange, self._headers = exchange, {}
        self._parser = httptools.HttpResponseParser(self)
        self.used += 1
        self.channel.send(data)

    def received(self, data: bytes) -> None:
        if self._parser is not None:
            self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        self.ending = self._headers.get("connection") == "close"
        if self._parser is not None and self.exchange is not None:
            self.exchange.begun(self._parser.get_status_code(), self._headers)

    def on_body(self, body: bytes) -> None:
        if self.exchange is not None:
            self.exchange.data(body)

    def on_message_complete(self) -> None:
        exchange, self.exchange = self.exchange, None
        if self.ending:
            self.close()
        if exchange is not None:
            exchange.whole()

    def connected(self) -> None:
        """What is asked is on its way."""

    def drained(self) -> None:
        """What is asked is written."""

    def lost(self, error: OSError | None) -> None:
        exchange, self.exchange, self._parser = self.exchange, None, None
        if exchange is not None:
            exchange.lost(error)

    def close(self) -> None:
        self._parser = None
        self.channel.abort()


class Call:
    """One call with a short answer, as operators and fronts make it; `done` hears the status, 0 for none."""

    def __init__(
        self, loop: Loop, address: Address, method: str, path: str, done: Callable[[int], None]
    ) -> None:
        self._status, self._done = 0, done
        try:
            self._side = ClientSide(loop, address)
        except OSError:
            loop.after(0.0, lambda: done(0))
            return
        self._side.ask(self, http.head(f"{method} {path} HTTP/1.1", {"Host": "x", "Connection": "close"}))

    def begun(self, status: int, headers: dict[str, str]) -> None:
        self._status = status

    def data(self, data: bytes) -> None:
        """The status says it."""

    def whole(self) -> None:
        self._side.close()
        self._done(self._status)

    def lost(self, error: OSError | None) -> None:
        self._done(0)

    def give_up(self) -> None:
        if hasattr(self, "_side"):
            self._side.exchange = None
            self._side.close()
