"""The watch on the list of workers: one call is served from, and another is asked before the first is let go.

A change counts as told some seconds after discovery has it, whatever has become of the call that should have
brought it. So each way in which a call can end leads to a further one within `Backoff`'s bound, and a call
that says nothing for too long is not waited for alone: a second one is asked beside it.
"""

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
from ..start_times import MessageTimes
from ..worker_list import WorkerList
from . import http

SILENCE = 2.5  # s; an empty line comes every 2
# s after which a call without an answer gets a second one beside it, for each router of the tier, and the
# bounds: asked by many at once, discovery lets them wait in turn, and each call makes all the others wait
# longer. Silence, this wait and the looks between them stay under the 6 s after which a list counts as told.
PATIENCE, PATIENCE_LEAST, PATIENCE_MOST = 0.15, 1.0, 2.5
ASKED_MOST = 2  # calls without an answer; who hangs up and asks again waits again
LOOK_EVERY = 0.1  # s
OLDER_FOR = 2.0  # s in which a list older than the one handed over is not believed
MESSAGE_LIMIT = 4 * 1024 * 1024  # bytes


class Call:
    """One call of discovery, which brings a message with each change for as long as it lasts."""

    def __init__(self, watch: Watch, loop: Loop, address: Address, generation: int) -> None:
        """Ask for what has changed after a generation; 0 = for the whole list. Raises OSError."""
        self._watch, self._loop = watch, loop
        self.address, self.after = address, generation
        self.began = self.heard = loop.now
        self._parser = httptools.HttpResponseParser(self)
        self._line = bytearray()  # what has come of a line
        self._message: list[bytes] = []  # the lines that have come of a message over several of them
        self._message_size = 0  # bytes
        self._channel = Channel.connect(loop, address, self)
        target = f"/v1/servers?watch=1&after={generation}"
        self._channel.send(http.head(f"GET {target} HTTP/1.1", {"Host": "discovery"}))

    def close(self) -> None:
        self._channel.abort()

    def connected(self) -> None:
        """The request is on its way."""

    def drained(self) -> None:
        """The request is written."""

    def lost(self, error: OSError | None) -> None:
        self._watch.ended(self, str(error or "ended"))

    def received(self, data: bytes) -> None:
        self.heard = self._loop.now
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._channel.abort()
            self._watch.ended(self, f"not understood: {error.__context__ or error}")

    def on_headers_complete(self) -> None:
        if (status := self._parser.get_status_code()) != 200:
            raise ValueError(f"status {status}")

    def on_body(self, body: bytes) -> None:
        *ended, rest = body.split(b"\n")
        for line in ended:
            self._line += line
            self._take(bytes(self._line))
            self._line.clear()
        self._line += rest
        if len(self._line) + self._message_size > MESSAGE_LIMIT:
            raise ValueError("a message without end")

    def on_message_complete(self) -> None:
        raise ValueError("the answer ended")

    def _take(self, line: bytes) -> None:
        """A message stands on one line or, indented, on several; an empty line says that nothing changed."""
        if not line.strip():
            if self._message:
                raise ValueError("a message without its end")
            return self._watch.said(self, None)
        if not self._message and not line.lstrip().startswith(b"{"):
            raise ValueError("a message that is no object")
        self._message.append(line)
        self._message_size += len(line) + 1
        if not line.rstrip().endswith(b"}"):
            return None  # it goes on
        text = b"\n".join(self._message).decode().rstrip()
        try:
            message = json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text):
                raise
            return None  # this was the end of an inner object
        self._message.clear()
        self._message_size = 0
        return self._watch.said(self, message)


class Watch:
    def __init__(
        self,
        loop: Loop,
        address: Address,
        generation: int,
        worker_list: WorkerList,
        listed: Callable[[i.ListKind, tuple[i.Server, ...]], None],
        routers: int,
        random: Random,
    ) -> None:
        """`routers` = how many of them ask the same discovery; `random` keeps their tries apart."""
        self._loop, self._worker_list, self._listed = loop, worker_list, listed
        self._address = address  # where the next call goes
        self._generation, self._numbered_by = generation, address  # of the list that is held; whose count
        self._backoff = Backoff(routers, random)
        self._patience = min(PATIENCE_MOST, max(PATIENCE_LEAST, PATIENCE * routers))
        self._older_until = -math.inf
        self._heard = loop.now
        self.answered = False  # whether any call has been
        self._serving: Call | None = None  # has answered, and is believed
        self._asked: list[Call] = []  # have not, the latest last
        self._next, self._looks = Timer(loop), Timer(loop)
        self._ask()
        self._look()

    def held_is_fresh(self) -> None:
        """Another process of this instance has held the list until now."""
        self._older_until = self._loop.now + OLDER_FOR

    @property
    def generation(self) -> int:
        """Of the last list heard."""
        return self._generation

    @property
    def heard(self) -> float:
        """When discovery's last word came, if only that nothing has changed."""
        return self._heard

    def move(self, address: Address) -> None:
        """Go on at another address. Its numbering may be its own, so it is asked for the whole list; what the
        old address says is taken until that has come."""
        self._address = address
        self._let_go_of_asked()
        self._backoff.reset()
        self._ask()

    def close(self) -> None:
        self._next.cancel()
        self._looks.cancel()
        self._let_go_of_asked()
        if self._serving is not None:
            self._serving.close()
            self._serving = None

    # ---- asking ----

    def _look(self) -> None:
        if not self._next.running and self._lacks_word:
            if self._asked:
                self._ask()
            else:
                self._loop.log("discovery watch silent", f"for {self._loop.now - self._heard:.2f} s")
                self._next.set(self._backoff.short_delay(), self._ask)
        self._looks.set(LOOK_EVERY, self._look)

    @property
    def _lacks_word(self) -> bool:
        """Whether another call is due, whatever is out."""
        now, serving = self._loop.now, self._serving
        if serving is not None and serving.address == self._address and now - serving.heard < SILENCE:
            return False
        return not self._asked or now - self._asked[-1].began >= self._patience

    def _ask(self) -> None:
        self._next.cancel()
        after = self._generation if self._numbered_by == self._address else 0
        try:
            self._asked.append(Call(self, self._loop, self._address, after))
        except OSError as error:
            return self._again(str(error))
        if len(self._asked) > ASKED_MOST:
            self._asked.pop(0).close()
        return None

    def _again(self, why: str) -> None:
        wait = self._backoff.next_delay()
        self._loop.log("discovery watch lost", f"{why}; again in {wait:.2f} s")
        if not self._next.running:
            self._next.set(wait, self._ask)

    def _let_go_of_asked(self) -> None:
        for call in self._asked:
            call.close()
        self._asked.clear()

    # ---- what calls tell ----

    def ended(self, call: Call, why: str) -> None:
        """A call is over, and closed; what it has told stays in use."""
        if call is self._serving:
            self._serving = None
        elif call in self._asked:
            self._asked.remove(call)
        self._again(why)

    def said(self, call: Call, message: dict[str, Any] | None) -> None:
        """A word of a call: a message, or None where nothing has changed. Raises ValueError."""
        before, self._heard = self._heard, self._loop.now
        if message is not None:
            self._message(call, message, MessageTimes(self._loop.now, before if self.answered else -math.inf))
        elif call.address != self._numbered_by:
            return  # asked for a whole list, it has told nothing yet
        if call is not self._serving:
            self._serve_from(call)

    def _serve_from(self, call: Call) -> None:
        """It has answered: let go of all the others."""
        old, self._serving, self.answered = self._serving, call, True
        self._asked.remove(call)
        self._let_go_of_asked()
        self._next.cancel()
        self._backoff.reset()
        if old is not None:
            old.close()

    def _message(self, call: Call, message: dict[str, Any], told: MessageTimes) -> None:
        try:
            generation = int(message["generation"])
            held = self._generation if call.address == self._numbered_by else 0
            if generation < held and self._loop.now < self._older_until:
                # What is held came later: it may tell of a drain that this list does not. A register that has
                # begun to number anew says the same when asked again, and is believed then.
                raise ValueError(f"a list of generation {generation}, and {held} is held")
            if call is not self._serving and call.after <= generation < held:
                return  # it crossed a later one of the call before; this call brings that next, too
            servers = self._worker_list.parse(message, told)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"an entry: {type(error).__name__} {error}") from error
        self._generation, self._numbered_by = generation, call.address
        self._listed(i.ListKind.FULL if message.get("reset") else i.ListKind.CHANGES, servers)
