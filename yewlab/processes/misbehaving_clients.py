"""Clients that break or strain a router: hundreds of connections that write or read slowly, or never finish.

All clients of a crowd are served by one timer, so that the test bed itself stays responsive.
"""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from itertools import count

from hopshed.interface import Effect
from yewhook.config import Address
from yewhook.loop import Loop
from yewhook.platform import http
from yewlab.rules import Rules

TICK_S = 0.1  # between two steps of all clients of a crowd
REOPEN_DELAY_S = 0.5  # until a client whose connection was closed opens another one
SMALL_RECEIVE_BUFFER_BYTES = 4096  # of clients that read slowly, so that answers pile up at the router
CONNECTS_PER_TICK = 100
HEAD_BYTES = 30_000  # of many fields, just below the size at which a head is refused
SOUND_BODY = b'{"stream":true}'
CHAT = "POST /v1/chat/completions HTTP/1.1"
REQUEST_IDS = count(1)


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What one client sends and how fast it reads."""

    name: str
    opening: Callable[[str], bytes]  # what it sends first; the argument is a request id that is not in use
    repeated: bytes = b""  # sent again with each tick, after the opening
    bytes_per_tick: int = 1 << 20  # written at most
    read_per_tick: int = 1 << 16  # bytes; 0 = it never reads
    is_sound: bool = False  # its requests are valid, so that they may reach workers


def sound_fields(request_id: str, body_bytes: int, lane: str = "fault-lookup") -> dict[str, str]:
    """The fields of a valid request."""
    return {
        "Host": "app.svc", "X-Txn": request_id, "X-Lane": lane, "X-Org": "plateau-towers",
        "X-Entity": f"session-{request_id}", "X-Remaining": "8000m",
        "X-Labels": "prompt_len=300,max_out=400", "Content-Length": str(body_bytes),
    }  # fmt: skip


def sound_request(request_id: str, lane: str = "fault-lookup") -> bytes:
    """A whole valid request."""
    return http.head(CHAT, sound_fields(request_id, len(SOUND_BODY), lane)) + SOUND_BODY


@cache
def _short_fields(size: int) -> bytes:
    return b"".join(b"%x:1\r\n" % number for number in range(size // 6))[:size]


def _unfinished_head(request_id: str) -> bytes:
    return f"{CHAT}\r\n".encode() + _short_fields(HEAD_BYTES)


def _long_fields(request_id: str) -> bytes:
    return f"{CHAT}\r\n".encode() + b"".join(b"x-%d: %s\r\n" % (number, b"y" * 250) for number in range(110))


def _many_fields(request_id: str) -> bytes:
    head = http.head(CHAT, sound_fields(request_id, 2)).removesuffix(b"\r\n")
    return head + _short_fields(HEAD_BYTES - len(head)).rpartition(b"\r\n")[0] + b"\r\n\r\n{}"


def _unfinished_body(request_id: str) -> bytes:
    return http.head(CHAT, sound_fields(request_id, 250_000)) + b"x" * 200_000


def _tiny_chunks(request_id: str) -> bytes:
    fields = sound_fields(request_id, 0) | {"Transfer-Encoding": "chunked"}
    del fields["Content-Length"]
    return http.head(CHAT, fields) + b"1\r\nx\r\n" * 20_000 + b"0\r\n" + _short_fields(20_000)


UNFINISHED_HEADS = Behaviour("unfinished heads of many fields", _unfinished_head)
LONG_FIELDS = Behaviour("unfinished heads of long fields", _long_fields)
MANY_FIELDS = Behaviour("requests of many fields", lambda request_id: _many_fields(request_id) * 4)
UNFINISHED_BODIES = Behaviour("unfinished bodies", _unfinished_body)
SLOW_BODIES = Behaviour("slow bodies", _unfinished_body, bytes_per_tick=12_000)
TINY_CHUNKS = Behaviour("chunks of one byte, and trailers", _tiny_chunks)
IDLE = Behaviour("idle connections", lambda request_id: b"")
SLOW_READERS = Behaviour("answers read slowly", sound_request, read_per_tick=500, is_sound=True)
UNSOUND_REQUESTS = Behaviour(
    "unsound requests",
    lambda request_id: b"",
    repeated=f"{CHAT}\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode() * 1000,
)
BEHAVIOURS = (
    UNFINISHED_HEADS, MANY_FIELDS, UNFINISHED_BODIES, SLOW_BODIES, TINY_CHUNKS, IDLE, SLOW_READERS,
    UNSOUND_REQUESTS, LONG_FIELDS,
)  # fmt: skip


@dataclass(eq=False, slots=True)
class MisbehavingClient:
    """One client; it opens another connection after each one that is closed."""

    behaviour: Behaviour
    address: Address
    sock: socket.socket | None = None
    reopen_at: float = 0.0  # the loop's clock in seconds
    request_id: str = ""
    unsent: bytes = b""
    received_bytes: int = 0

    def step(self, now: float, may_connect: bool) -> bool:
        """Connect, write and read once; returns whether it has connected."""
        if self.sock is None:
            return may_connect and now >= self.reopen_at and self._connect()
        try:
            self._write()
            self._read()
        except BlockingIOError:
            pass
        except OSError as error:
            if error.errno not in (errno.ENOTCONN, errno.EINPROGRESS):  # not connected yet
                self._lost(now)
        return False

    def _connect(self) -> bool:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if self.behaviour.read_per_tick <= SMALL_RECEIVE_BUFFER_BYTES:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        self.request_id = f"strain{next(REQUEST_IDS)}"
        self.unsent = self.behaviour.opening(self.request_id)
        self.sock.connect_ex(self.address)
        return True

    def _write(self) -> None:
        assert self.sock is not None
        if not self.unsent:
            self.unsent = self.behaviour.repeated
        if self.unsent:
            try:
                sent = self.sock.send(self.unsent[: self.behaviour.bytes_per_tick])
            except BlockingIOError:
                return
            self.unsent = self.unsent[sent:]

    def _read(self) -> None:
        assert self.sock is not None
        if not self.behaviour.read_per_tick:
            return
        data = self.sock.recv(self.behaviour.read_per_tick)
        if not data:
            raise ConnectionResetError(errno.ECONNRESET, "closed")
        self.received_bytes += len(data)

    def _lost(self, now: float) -> None:
        self.close()
        self.reopen_at = now + REOPEN_DELAY_S

    def close(self) -> None:
        """Close its connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


@dataclass(eq=False)
class Crowd:
    """Clients of one behaviour, from `start` until `stop`."""

    loop: Loop
    rules: Rules
    behaviour: Behaviour
    addresses: list[Address]
    size: int
    clients: list[MisbehavingClient] = field(default_factory=list)
    _stopped: bool = False

    def start(self) -> None:
        """Open the connections, some with each tick."""
        for number in range(self.size):
            address = self.addresses[number % len(self.addresses)]
            self.clients.append(MisbehavingClient(self.behaviour, address))
        self._tick()

    def _tick(self) -> None:
        if self._stopped:
            return
        connects = 0
        for client in self.clients:
            if client.step(self.loop.now, connects < CONNECTS_PER_TICK):
                connects += 1
                if self.behaviour.is_sound:
                    self.rules.came(client.request_id, Effect.SAFE, math.inf, self.loop.now)
        self.loop.after(TICK_S, self._tick)

    @property
    def open_connections(self) -> int:
        """The number of clients that have a connection, or wait for one."""
        return sum(client.sock is not None for client in self.clients)

    def stop(self) -> None:
        """Close all connections."""
        self._stopped = True
        for client in self.clients:
            client.close()
