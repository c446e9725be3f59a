"""What routers tell one another of failing servers, where the deployment lets them. No clock, no I/O.

One of many routers meets each server too rarely to find out by itself which ones fail what they get: of the
unsafe turns that such servers spoil, nine in ten go to one that another router has seen failing already.
A message is a kind of one byte and a server's number; whoever hears of a failure doubts that server for a
while. Of a server with a long wait the message has that, too: else each router waits there to learn of it.

Reads are told as they are sent: steps of reading time, a tag of the server and one of the shared beginning.
A small read is told by chance, in proportion: the sum is right, and most messages, which cost, stay unsent.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

from .interface import Settings

FAILING, SLOW, READING = b"F", b"S", b"R"
NUMBER_BYTES, TAG_BYTES, READING_BYTES = 8, 2, 6
STEP_PARTS, STEP_ROUTERS = (0.1, 0.3), 200.0  # a step's part of the shortest aim: one for so many routers,
MOST_STEPS = 255  # since each that hears costs, within bounds; steps are told in one byte
TAGS_KEPT = 1024  # names that are not hashed anew
NO_PREFIX = "0000"  # tag of a prompt that shares no beginning
DOUBTED_FOR = 10.0  # s for which a failure that another router has seen puts a server in doubt
SAID_FOR = 5.0  # s in which a server's failures are not spoken of again, whoever spoke
WAIT_FOR = 2.0  # s in which its waits are not: so long what was told is believed
KEPT = 1024  # servers of which words are kept; a message may name any number, old words then go first
TENTHS, MOST_TENTHS = 10.0, 255  # a wait is told in tenths of a s, in one byte


class SlowServer(NamedTuple):
    """A router waited so long at a server, in s."""

    server: int
    wait: float


class ReadSent(NamedTuple):
    """A router sent a read: s of the server's time, and the tag of the shared beginning left there."""

    servers: tuple[int, ...]  # with this tag: one, or seldom more
    work: float
    prefix_tag: str


@lru_cache(TAGS_KEPT)  # a turn asks for that of its beginning at each server that it may go to
def short_tag(key: str) -> str:
    """A short name of a server or a shared beginning, the same at all routers; a few of many share one."""
    return blake2b(key.encode(), digest_size=TAG_BYTES).hexdigest()


class Gossip:
    def __init__(self, settings: Settings) -> None:
        self.enabled = settings.may_tell and settings.instances > 1
        least, most = STEP_PARTS
        part = min(most, max(least, settings.instances / STEP_ROUTERS))
        self._step = part * min(cls.aim for cls in settings.classes)  # s
        self._tags: dict[str, tuple[int, ...]] = {}  # tag -> servers
        self._named: dict[int, str] = {}  # server -> its tag
        self._heard: dict[int, float] = {}  # server -> when another router last saw it failing
        self._said: dict[int, float] = {}  # server -> when we last told of it
        self._waits: dict[int, float] = {}  # server -> when its wait was last told, by whomever

    def failure_message(self, server: int, now: float) -> bytes | None:
        """A server has failed an attempt of ours: what to tell the others of it, if they need to be told."""
        last = max(self._heard.get(server, -math.inf), self._said.get(server, -math.inf))
        if not self.enabled or now - last < SAID_FOR:
            return None
        self._said[server] = now
        return FAILING + server.to_bytes(NUMBER_BYTES, "big")

    def slow_message(self, server: int, wait: float, now: float) -> bytes | None:
        """We waited so long at a server, in s: what to tell the others of it, if they need to be told."""
        if not self.enabled or now - self._waits.get(server, -math.inf) < WAIT_FOR:
            return None
        self._waits[server] = now
        tenths = min(MOST_TENTHS, round(wait * TENTHS))
        return SLOW + server.to_bytes(NUMBER_BYTES, "big") + bytes([tenths])

    def set_servers(self, servers: Iterable[int]) -> None:
        """The servers that words may be of."""
        known = self._named
        self._named = {server: known.get(server) or short_tag(str(server)) for server in servers}
        if self._named.keys() == known.keys():
            return
        self._tags = {}
        for server, named in self._named.items():
            self._tags[named] = (*self._tags.get(named, ()), server)

    def add_server(self, server: int) -> None:
        """A server that words may be of, beside those of the list."""
        if server not in self._named:
            named = self._named[server] = short_tag(str(server))
            self._tags[named] = (*self._tags.get(named, ()), server)

    def read_message(self, server: int, work: float, prefix: str | None, chance: float) -> bytes | None:
        """A read of so many s is sent: what to tell the others of it, if anything; `chance` = 0 to 1."""
        steps = min(MOST_STEPS, int(work / self._step + chance)) if self._step > 0 else 0
        if not self.enabled or steps < 1:
            return None
        named = short_tag(str(server)) + (short_tag(prefix) if prefix else NO_PREFIX)
        return READING + bytes([steps]) + bytes.fromhex(named)

    def receive(self, data: bytes, now: float) -> SlowServer | ReadSent | None:
        """What a message tells beyond a failure, which stays here.

        Raises ValueError where a message is none of ours."""
        if len(data) == READING_BYTES and data[:1] == READING:
            named, text = data[2 : 2 + TAG_BYTES].hex(), data[2 + TAG_BYTES :].hex()
            return ReadSent(self._tags.get(named, ()), data[1] * self._step, text)
        if len(self._heard) + len(self._waits) > KEPT:
            self._heard = {n: at for n, at in self._heard.items() if now - at < DOUBTED_FOR}
            self._waits = {n: at for n, at in self._waits.items() if now - at < WAIT_FOR}
        server, rest = int.from_bytes(data[1 : 1 + NUMBER_BYTES], "big"), data[1 + NUMBER_BYTES :]
        if len(data) == 1 + NUMBER_BYTES and data[:1] == FAILING:
            self._heard[server] = now
            return None
        if len(data) == 2 + NUMBER_BYTES and data[:1] == SLOW:
            self._waits[server] = now
            return SlowServer(server, rest[0] / TENTHS)
        raise ValueError(f"a message of {len(data)} bytes that begins with {data[:1]!r}")

    def suspects(self, now: float) -> set[int]:
        """The servers that another router has seen failing lately."""
        return {server for server, at in self._heard.items() if now - at < DOUBTED_FOR}

    def is_suspect(self, server: int, now: float) -> bool:
        return now - self._heard.get(server, -math.inf) < DOUBTED_FOR

    def export(self) -> tuple[dict[int, float], dict[int, float], dict[int, float]]:
        return self._heard, self._said, self._waits

    def restore(self, words: tuple[dict[int, float], dict[int, float], dict[int, float]]) -> None:
        """Go on from what another one has heard and said in this router's name."""
        self._heard, self._said, self._waits = (dict(part) for part in words)

    def remove_server(self, server: int) -> None:
        """A server has been gone for long."""
        if (named := self._named.pop(server, None)) is not None:
            others = tuple(other for other in self._tags[named] if other != server)
            if others:
                self._tags[named] = others
            else:
                del self._tags[named]
        self._heard.pop(server, None)
        self._said.pop(server, None)
        self._waits.pop(server, None)
