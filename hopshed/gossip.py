"""Messages between routers about failing servers, long waits and reads. No clock, no I/O.

One of many routers sends to each server too rarely to detect alone which servers fail: of the unsafe
requests that such servers fail, nine in ten are sent after another router has seen the server fail. So
failures are reported to all routers, which suspect the server for a while. Long waits at a server are
reported too, as otherwise each router would have to wait there to learn of them.

Reads are reported when they are sent: the reading time in steps, a tag of the server and a tag of the prefix.
A read shorter than a step is reported at random, with a probability in proportion to its time: the sum over
all reads stays right and most messages, which cost CPU time at every router, are not sent.

A message begins with a byte for its kind:
    F  a server failed: its id
    S  a request waited long at a server: its id, the wait in tenths of a second
    R  a read was sent: its steps, tag of the server, tag of the prefix
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from .hashing import blake2b
from .interface import Settings

# The first byte of a message, its kind
FAILURE_KIND = b"F"
SLOW_KIND = b"S"
READ_KIND = b"R"
SERVER_ID_BYTES = 8
TAG_BYTES = 2
READ_MESSAGE_BYTES = 6  # length of a message about a read
# A step of reading time is the shortest aim of all classes times instances / STEP_ROUTERS, a factor that is
# held within the range. Larger tiers have longer steps because each message costs every router.
STEP_SHARE_RANGE = (0.1, 0.3)
STEP_ROUTERS = 200.0
MAX_STEPS = 255  # steps; the message has one byte for them
TAG_CACHE_SIZE = 1024  # tags
NO_PREFIX = "0000"  # tag of a prompt without a shared prefix
SUSPECT_FOR_S = 10.0  # time after a failure at another router for which a server is suspect
FAILURE_INTERVAL_S = 5.0  # least time between two messages about failures of a server, by any router
WAIT_INTERVAL_S = 2.0  # the same for messages about waits; a reported wait is used for as long
MAX_SERVERS = 1024  # entries; beyond it old ones are dropped, as a message may have any server id
WAIT_UNITS_PER_S = 10.0  # a message has the wait in tenths of a second
MAX_WAIT_UNITS = 255  # tenths of a second; the message has one byte for them


class SlowServer(NamedTuple):
    """Another router observed a long wait at a server."""

    server: int
    wait: float  # seconds


class ReadSent(NamedTuple):
    """Another router sent a read to a server, which will have the prompt's prefix in its cache."""

    servers: tuple[int, ...]  # the servers that the message's tag stands for: one, rarely more
    work: float  # seconds of the server's time
    prefix_tag: str


@lru_cache(TAG_CACHE_SIZE)  # placing a request needs its prefix's tag for each candidate server
def short_tag(key: str) -> str:
    """A short hash of a server's id or a prefix's name, equal at all routers. Collisions are possible."""
    return blake2b(key.encode(), digest_size=TAG_BYTES).hexdigest()


class Gossip:
    """Encodes this router's messages, decodes those of others and keeps which servers are suspect."""

    def __init__(self, settings: Settings) -> None:
        self.enabled = settings.may_tell and settings.instances > 1
        least, most = STEP_SHARE_RANGE
        share = min(most, max(least, settings.instances / STEP_ROUTERS))
        self._step_s = share * min(cls.aim for cls in settings.classes)  # seconds of reading time
        self._servers_by_tag: dict[str, tuple[int, ...]] = {}  # tag -> servers that it stands for
        self._tag_by_server: dict[int, str] = {}
        self._failure_received_at: dict[int, float] = {}  # by server; messages of other routers
        self._failure_sent_at: dict[int, float] = {}  # by server; messages of this router
        self._wait_reported_at: dict[int, float] = {}  # by server; messages of any router

    def failure_message(self, server: int, now: float) -> bytes | None:
        """The message for an attempt that failed at a server; None where none is due."""
        last = max(
            self._failure_received_at.get(server, -math.inf), self._failure_sent_at.get(server, -math.inf)
        )
        if not self.enabled or now - last < FAILURE_INTERVAL_S:
            return None
        self._failure_sent_at[server] = now
        return FAILURE_KIND + server.to_bytes(SERVER_ID_BYTES, "big")

    def slow_message(self, server: int, wait: float, now: float) -> bytes | None:
        """The message for a wait at a server, in seconds; None where none is due."""
        if not self.enabled or now - self._wait_reported_at.get(server, -math.inf) < WAIT_INTERVAL_S:
            return None
        self._wait_reported_at[server] = now
        units = min(MAX_WAIT_UNITS, round(wait * WAIT_UNITS_PER_S))
        return SLOW_KIND + server.to_bytes(SERVER_ID_BYTES, "big") + bytes([units])

    def set_servers(self, servers: Iterable[int]) -> None:
        """Replace the servers that tags in messages can stand for."""
        known = self._tag_by_server
        self._tag_by_server = {server: known.get(server) or short_tag(str(server)) for server in servers}
        if self._tag_by_server.keys() == known.keys():
            return
        self._servers_by_tag = {}
        for server, tag in self._tag_by_server.items():
            self._servers_by_tag[tag] = (*self._servers_by_tag.get(tag, ()), server)

    def add_server(self, server: int) -> None:
        """Add a server that tags in messages can stand for."""
        if server not in self._tag_by_server:
            tag = self._tag_by_server[server] = short_tag(str(server))
            self._servers_by_tag[tag] = (*self._servers_by_tag.get(tag, ()), server)

    def read_message(self, server: int, work: float, prefix: str | None, draw: float) -> bytes | None:
        """The message for a read of `work` seconds that is sent to a server; None where none is due.

        `draw` is a random number from 0 to 1 by which the steps are rounded up or down."""
        steps = min(MAX_STEPS, int(work / self._step_s + draw)) if self._step_s > 0 else 0
        if not self.enabled or steps < 1:
            return None
        tags = short_tag(str(server)) + (short_tag(prefix) if prefix else NO_PREFIX)
        return READ_KIND + bytes([steps]) + bytes.fromhex(tags)

    def receive(self, data: bytes, now: float) -> SlowServer | ReadSent | None:
        """Decode another router's message and return its content; None for a failure, which is kept here.

        Raises ValueError for a message of unknown kind or wrong length."""
        if len(data) == READ_MESSAGE_BYTES and data[:1] == READ_KIND:
            server_tag, prefix_tag = data[2 : 2 + TAG_BYTES].hex(), data[2 + TAG_BYTES :].hex()
            return ReadSent(self._servers_by_tag.get(server_tag, ()), data[1] * self._step_s, prefix_tag)
        if len(self._failure_received_at) + len(self._wait_reported_at) > MAX_SERVERS:
            self._failure_received_at = {
                number: at for number, at in self._failure_received_at.items() if now - at < SUSPECT_FOR_S
            }
            self._wait_reported_at = {
                number: at for number, at in self._wait_reported_at.items() if now - at < WAIT_INTERVAL_S
            }
        server = int.from_bytes(data[1 : 1 + SERVER_ID_BYTES], "big")
        rest = data[1 + SERVER_ID_BYTES :]
        if len(data) == 1 + SERVER_ID_BYTES and data[:1] == FAILURE_KIND:
            self._failure_received_at[server] = now
            return None
        if len(data) == 2 + SERVER_ID_BYTES and data[:1] == SLOW_KIND:
            self._wait_reported_at[server] = now
            return SlowServer(server, rest[0] / WAIT_UNITS_PER_S)
        raise ValueError(f"a message of {len(data)} bytes that begins with {data[:1]!r}")

    def suspects(self, now: float) -> set[int]:
        """The servers that another router has recently seen fail."""
        return {server for server, at in self._failure_received_at.items() if now - at < SUSPECT_FOR_S}

    def is_suspect(self, server: int, now: float) -> bool:
        """Whether another router has recently seen the server fail."""
        return now - self._failure_received_at.get(server, -math.inf) < SUSPECT_FOR_S

    def export(self) -> tuple[dict[int, float], dict[int, float], dict[int, float]]:
        """Times of gossip messages by server: failures received, failures sent, waits sent or received."""
        return self._failure_received_at, self._failure_sent_at, self._wait_reported_at

    def restore(self, times: tuple[dict[int, float], dict[int, float], dict[int, float]]) -> None:
        """Continue from another controller's `export`, made for the same router."""
        self._failure_received_at, self._failure_sent_at, self._wait_reported_at = (
            dict(part) for part in times
        )

    def remove_server(self, server: int) -> None:
        """Forget a server that is gone from the list."""
        if (tag := self._tag_by_server.pop(server, None)) is not None:
            others = tuple(other for other in self._servers_by_tag[tag] if other != server)
            if others:
                self._servers_by_tag[tag] = others
            else:
                del self._servers_by_tag[tag]
        self._failure_received_at.pop(server, None)
        self._failure_sent_at.pop(server, None)
        self._wait_reported_at.pop(server, None)
