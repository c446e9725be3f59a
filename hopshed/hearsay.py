"""What routers tell one another of failing servers, where the deployment lets them. No clock, no I/O.

One of many routers meets each server too rarely to find out by itself which ones fail what they get: of the
unsafe turns that such servers spoil, nine in ten go to one that another router has seen failing already.
A message is a kind of one byte and a server's number; whoever hears of a failure doubts that server for a
while. Of a server with a long wait the message has that, too: else each router waits there to learn of it.
"""

from __future__ import annotations

import math

from .interface import Settings

FAILING, SLOW = b"F", b"S"
NUMBER_BYTES = 8
DOUBTED_FOR = 10.0  # s for which a failure that another router has seen puts a server in doubt
SAID_FOR = 5.0  # s in which a server's failures are not spoken of again, whoever spoke
WAIT_FOR = 1.0  # s in which its waits are not
KEPT = 1024  # servers of which words are kept; a message may name any number, old words then go first
TENTHS, MOST_TENTHS = 10.0, 255  # a wait is told in tenths of a s, in one byte


class Hearsay:
    def __init__(self, settings: Settings) -> None:
        self._may_tell = settings.may_tell and settings.instances > 1
        self._heard: dict[int, float] = {}  # server -> when another router last saw it failing
        self._said: dict[int, float] = {}  # server -> when we last told of it
        self._waits: dict[int, float] = {}  # server -> when its wait was last told, by whomever

    def failed(self, server: int, now: float) -> bytes | None:
        """A server has failed an attempt of ours: what to tell the others of it, if they need to be told."""
        last = max(self._heard.get(server, -math.inf), self._said.get(server, -math.inf))
        if not self._may_tell or now - last < SAID_FOR:
            return None
        self._said[server] = now
        return FAILING + server.to_bytes(NUMBER_BYTES, "big")

    def slow(self, server: int, wait: float, now: float) -> bytes | None:
        """We waited so long at a server, in s: what to tell the others of it, if they need to be told."""
        if not self._may_tell or now - self._waits.get(server, -math.inf) < WAIT_FOR:
            return None
        self._waits[server] = now
        tenths = min(MOST_TENTHS, round(wait * TENTHS))
        return SLOW + server.to_bytes(NUMBER_BYTES, "big") + bytes([tenths])

    def hear(self, data: bytes, now: float) -> tuple[int, float] | None:
        """A server and the wait that another router had there, in s, where the message is of that.

        Raises ValueError where a message is none of ours."""
        if len(self._heard) + len(self._waits) > KEPT:
            self._heard = {n: at for n, at in self._heard.items() if now - at < DOUBTED_FOR}
            self._waits = {n: at for n, at in self._waits.items() if now - at < WAIT_FOR}
        server, rest = int.from_bytes(data[1 : 1 + NUMBER_BYTES], "big"), data[1 + NUMBER_BYTES :]
        if len(data) == 1 + NUMBER_BYTES and data[:1] == FAILING:
            self._heard[server] = now
            return None
        if len(data) == 2 + NUMBER_BYTES and data[:1] == SLOW:
            self._waits[server] = now
            return server, rest[0] / TENTHS
        raise ValueError(f"a message of {len(data)} bytes that begins with {data[:1]!r}")

    def doubted(self, server: int, now: float) -> bool:
        return now - self._heard.get(server, -math.inf) < DOUBTED_FOR

    def words(self) -> tuple[dict[int, float], dict[int, float], dict[int, float]]:
        return self._heard, self._said, self._waits

    def resume(self, words: tuple[dict[int, float], dict[int, float], dict[int, float]]) -> None:
        """Go on from what another one has heard and said in this router's name."""
        self._heard, self._said, self._waits = (dict(part) for part in words)

    def forget(self, server: int) -> None:
        self._heard.pop(server, None)
        self._said.pop(server, None)
        self._waits.pop(server, None)
