"""The one loop: gather what is ready, sweep what is due, let each router decide once, carry it out."""

from __future__ import annotations

import selectors
import time
import traceback
from collections.abc import Callable
from typing import Protocol

from .deadlines import Deadline, Deadlines
from .log import Log
from .transient_errors import retry_transient

EventHandler = Callable[[int], None]
LONG_TURN = 0.1  # s; a turn that takes longer is logged: nothing else is heard meanwhile


class HasFile(Protocol):
    def fileno(self) -> int: ...


class Turn(Protocol):
    """Something that decides once a turn, on all that the turn has gathered."""

    def turn(self, now: float) -> bool:
        """Decide and carry out; whether this left something to decide on at once."""


class Loop:
    """`now` is the time of all that happens in a turn; what is heard in it has come after `looked_at`."""

    def __init__(self, log: Log, clock: Callable[[], float] = time.monotonic) -> None:
        self.log, self._clock = log, clock
        self.deadlines = Deadlines()
        self.pollers: list[Callable[[], None]] = []  # what is looked at in each turn and wakes nobody
        self.deciders: list[Turn] = []
        self.stopped = False
        # Times of this turn's look at the files, and of the one before it
        self.now = self.previous_poll_at = clock()
        self.sockets = 0  # open ones that this process holds, as their owners count them
        self.accepted = 0  # those of them that others have opened
        self.finishing = 0  # those of them whose last bytes are still on their way
        self._selector = retry_transient(selectors.DefaultSelector)
        self._first: set[int] = set()  # files that are heard before all others

    def watch(self, sock: HasFile, events: int, handler: EventHandler, first: bool = False) -> None:
        """Watch a socket or a pipe's end for these events (0 = none); `first` = before others in a turn."""
        known = sock.fileno() in self._selector.get_map()
        if first and events:
            self._first.add(sock.fileno())
        else:
            self._first.discard(sock.fileno())
        if events and known:
            self._selector.modify(sock, events, handler)
        elif events:
            self._selector.register(sock, events, handler)
        elif known:
            self._selector.unregister(sock)

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        self.deadlines.set(self.now + seconds, call)

    def run(self) -> None:
        again = False
        while not self.stopped:
            again = self.run_turn(0.0 if again else None)
        self._selector.close()

    def run_turn(self, longest: float | None = None) -> bool:
        """One turn, waiting for it no longer than this; whether there is something to decide on at once."""
        waits = [] if longest is None else [longest]
        if (due := self.deadlines.next_due()) is not None:
            waits.append(max(0.0, due - self._clock()))
        ready = self._selector.select(min(waits, default=None))
        self.previous_poll_at, self.now = self.now, self._clock()
        if self._first:
            ready.sort(key=lambda heard: heard[0].fd not in self._first)
        for key, mask in ready:
            if self._selector.get_map().get(key.fd) is key:  # an earlier handler may have closed it
                self._guard(lambda key=key, mask=mask: key.data(mask))  # type: ignore[misc]
        heard = self._clock()
        for call in (*self.deadlines.pop_due(self.now), *self.pollers):
            self._guard(call)
        timed = self._clock()
        again = any([decider.turn(self.now) for decider in self.deciders])
        self._watch_length(len(ready), heard, timed)
        return again

    def _watch_length(self, ready: int, heard: float, timed: float) -> None:
        """Log a turn that has kept everything else waiting, and which part of it did."""
        end = self._clock()
        if end - self.now > LONG_TURN:
            parts = f"{heard - self.now:.3f} s at {ready} files, {timed - heard:.3f} s at timers"
            self.log("turn took long", f"{end - self.now:.3f} s: {parts}, {end - timed:.3f} s deciding")

    def _guard(self, call: Callable[[], None]) -> None:
        """One socket's failure must not take the others along."""
        try:
            call()
        except Exception:
            self.log("handler failed", traceback.format_exc().replace("\n", " | "))


class Timer:
    """One deadline of its owner's that can be put off or called off; nothing once it has fallen due."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._deadline: Deadline | None = None

    @property
    def running(self) -> bool:
        return self._deadline is not None

    def set(self, seconds: float, call: Callable[[], None]) -> None:
        """Call in so many seconds, in place of what was set before."""

        def due() -> None:
            if self._deadline is deadline:  # else called off in the very sweep in which it fell due
                self._deadline = None
                call()

        self.cancel()
        deadline = self._deadline = self._loop.deadlines.set(self._loop.now + seconds, due)

    def cancel(self) -> None:
        self._loop.deadlines.cancel(self._deadline)
        self._deadline = None
