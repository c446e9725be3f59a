"""What routers tell one another of failing servers, where the deployment lets them. No clock, no I/O.

One of many routers meets each server too rarely to find out by itself which ones fail what they get: of the
unsafe turns that such servers spoil, nine in ten go to one that another router has seen failing already.
A message is a kind of one byte and a server's number; whoever hears one doubts that server for a while.
"""

from __future__ import annotations

from .interface import Settings

FAILING = b"F"
NUMBER_BYTES = 8
DOUBTED_FOR = 10.0  # s for which a failure that another router has seen puts a server in doubt
SAID_FOR = 5.0  # s in which a server is not spoken of again, whoever spoke


class Hearsay:
    def __init__(self, settings: Settings) -> None:
        self._may_tell = settings.may_tell and settings.instances > 1
        self._heard: dict[int, float] = {}  # server -> when another router last saw it failing
        self._said: dict[int, float] = {}  # server -> when we last told of it

    def failed(self, server: int, now: float) -> bytes | None:
        """A server has failed an attempt of ours: what to tell the others of it, if they need to be told."""
        spoken = (table[server] for table in (self._heard, self._said) if server in table)
        if not self._may_tell or any(now - at < SAID_FOR for at in spoken):
            return None
        self._said[server] = now
        return FAILING + server.to_bytes(NUMBER_BYTES, "big")

    def hear(self, data: bytes, now: float) -> None:
        """Raises ValueError where a message is none of ours."""
        if len(data) != 1 + NUMBER_BYTES or data[:1] != FAILING:
            raise ValueError(f"a message of {len(data)} bytes that begins with {data[:1]!r}")
        self._heard[int.from_bytes(data[1:], "big")] = now

    def doubted(self, server: int, now: float) -> bool:
        return server in self._heard and now - self._heard[server] < DOUBTED_FOR

    def forget(self, server: int) -> None:
        self._heard.pop(server, None)
        self._said.pop(server, None)
