"""The watch on the list of workers: kept open, opened again when it is silent or breaks."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from random import Random
from typing import Any

import httptools

from hopshed import interface as i

from ..backoff import Backoff
from ..channel import Channel
from ..config import Address
from ..loop import Loop, Timer
from ..registry import Registry
from . import http

SILENCE = 4.0  # s; an empty line comes every 2
# s until the head must have come, for each router of the tier, and its bounds: asked by many at once, it
# lets them wait in turn; who hangs up and asks again waits again, and makes all the others wait longer.
FIRST_WORD, FIRST_WORD_LEAST, FIRST_WORD_MOST = 0.15, 1.0, 6.0
LOOK_EVERY = 0.25  # s
OLDER_FOR = 2.0  # s in which a list older than the one handed over is not believed
LINE_LIMIT = 4 * 1024 * 1024


class Watch:
    def __init__(
        self,
        loop: Loop,
        address: Address,
        generation: int,
        registry: Registry,
        listed: Callable[[i.ListKind, tuple[i.Server, ...]], None],
        routers: int,
        random: Random,
    ) -> None:
        """`routers` = how many of them ask the same discovery; `random` keeps their tries apart."""
        self._loop, self._address, self._generation = loop, address, generation
        self._registry, self._listed = registry, listed
        self._backoff = Backoff(routers, random)
        self._first_word = min(FIRST_WORD_MOST, max(FIRST_WORD_LEAST, FIRST_WORD * routers))
        self._older_until = -math.inf
        self.heard = loop.now  # when its last word came, if only that nothing has changed
        self._channel: Channel | None = None
        self._next = Timer(loop)  # the next look at this connection, or the next one
        self._connect()

    def held_is_fresh(self) -> None:
        """Another process of this instance has held the list until now."""
        self._older_until = self._loop.now + OLDER_FOR

    @property
    def generation(self) -> int:
        """Of the last list heard."""
        return self._generation

    def move(self, address: Address) -> None:
        """Go on at another address. Its numbering may be its own, so it is asked for the whole list, and the
        old list stays in use until that has come."""
        self.close()
        self._address, self._generation = address, 0
        self._backoff.begin()
        self._connect()

    def _connect(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._line, self._status = b"", 0
        self._began = self._loop.now
        try:
            self._channel = Channel.connect(self._loop, self._address, self)
        except OSError as error:
            return self._again(str(error))
        target = f"/v1/servers?watch=1&after={self._generation}"
        self._channel.send(http.head(f"GET {target} HTTP/1.1", {"Host": "discovery"}))
        return self._next.set(LOOK_EVERY, self._check)

    def _check(self) -> None:
        if self._loop.now - max(self.heard, self._began) > (SILENCE if self._status else self._first_word):
            # Not by the backoff: a list that is missed counts as told 6 s after the silence began, and a
            # watch that is open when discovery is back hears it first.
            return self._ask_again("silent", self._backoff.soon())
        return self._next.set(LOOK_EVERY, self._check)

    def _again(self, why: str) -> None:
        self._ask_again(why, self._backoff.next())

    def _ask_again(self, why: str, wait: float) -> None:
        self._loop.log("discovery watch lost", f"{why}; again in {wait:.2f} s")
        self.close()
        self._next.set(wait, self._connect)

    def close(self) -> None:
        self._next.cancel()
        if self._channel is not None:
            self._channel.abort()
            self._channel = None

    def connected(self) -> None:
        """The request is on its way."""

    def drained(self) -> None:
        """The request is written."""

    def lost(self, error: OSError | None) -> None:
        self._again(str(error or "ended"))

    def received(self, data: bytes) -> None:
        self.heard = self._loop.now
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._again(f"not understood: {error.__context__ or error}")

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status != 200:
            raise ValueError(f"status {self._status}")

    def on_body(self, body: bytes) -> None:
        *lines, self._line = (self._line + body).split(b"\n")
        if len(self._line) > LINE_LIMIT:
            raise ValueError("a line without end")
        for line in lines:
            if line.strip():
                self.message(json.loads(line))

    def message(self, message: dict[str, Any]) -> None:
        try:
            generation = int(message["generation"])
            if generation < self._generation and self._loop.now < self._older_until:
                # What is held came later: it may tell of a drain that this list does not. A register that has
                # begun to number anew says the same when asked again, and is believed then.
                raise ValueError(f"a list of generation {generation}, and {self._generation} is held")
            servers = self._registry.read(message)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"an entry: {type(error).__name__} {error}") from error
        self._generation = generation
        self._backoff.begin()
        self._listed(i.ListKind.FULL if message.get("reset") else i.ListKind.CHANGES, servers)

    def on_message_complete(self) -> None:
        raise ValueError("the answer ended")
