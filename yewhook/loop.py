"""The event loop: each turn polls the files, runs due timers and lets each router decide once.

The time for files in a turn is limited, so that one client's data delays neither timers nor decisions; files
that are left over are handled in the next turns, those that took least time lately first.
"""

from __future__ import annotations

import math
import selectors
import time
import traceback
from collections.abc import Callable
from typing import Protocol

from .deadlines import Deadline, Deadlines
from .lingering import LingeringConnections
from .log import Log
from .memory_budget import MemoryBudget, ShedOrder
from .transient_errors import retry_transient
from .work_shares import PREFERRED_CREDIT_S, WorkShares

EventHandler = Callable[[int], None]
LONG_TURN_S = 0.1  # a longer turn is logged, since nothing else is handled meanwhile
IDLE_FIRST_HELD_SHARE = 0.25  # of the memory budget; unfinished messages that hold more are refused first
FILES_BUDGET_S = 0.02  # for the files of one turn; those that are handled first are not limited


class HasFileDescriptor(Protocol):
    """A socket or another object that a selector can poll."""

    def fileno(self) -> int:
        """Returns its file descriptor."""


class Decider(Protocol):
    """Something that decides once per turn, on everything that the turn has brought."""

    def turn(self, now: float) -> bool:
        """Decide and act; returns whether another decision is due at once."""


class Loop:
    """An event loop on one thread.

    `now` is the time of everything that is handled in a turn, in seconds of the loop's clock. What a handler
    reads has arrived after `arrived_after`.
    """

    def __init__(self, log: Log, clock: Callable[[], float] = time.monotonic) -> None:
        self.log, self.clock = log, clock
        self.deadlines = Deadlines()
        self.connection_freers: list[Callable[[], None]] = []  # each closes some idle connections
        self._freed_at = -math.inf
        self.pollers: list[Callable[[], None]] = []  # called in each turn, but never cause one
        self.deciders: list[Decider] = []
        self.stopped = False
        # When the files were polled in this turn and in the one before it
        self.now = self.previous_poll_at = clock()
        self.memory = MemoryBudget()  # of all connections on this loop
        self.lingering = LingeringConnections()
        self.sockets = 0  # open sockets of this process, as counted by their owners
        self.accepted = 0  # those of them that were accepted
        self.finishing = 0  # those of them that are being finished, see `Channel.finish`
        self.flushing = 0  # those of the latter that have bytes to write
        self._selector = retry_transient(selectors.DefaultSelector)
        self._first: set[int] = set()  # file descriptors that are handled before all others
        self.arrived_after = self.now
        # Files that were ready and not handled, or not read to their end -> `arrived_after` of what they hold
        self._left_over: dict[int, float] = {}
        self._shares = WorkShares(self.now)
        self._slowest: tuple[float, object] = (0.0, None)  # time (s) and handler in this turn

    def watch(self, sock: HasFileDescriptor, events: int, handler: EventHandler, first: bool = False) -> None:
        """Call `handler` on these events of a file, or stop watching it where `events` is 0.

        With `first`, the file is handled before others in each turn.
        """
        known = sock.fileno() in self._selector.get_map()
        if not events:
            self._left_over.pop(sock.fileno(), None)
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

    def forget(self, sock: HasFileDescriptor) -> None:
        """Stop watching a file that is about to be closed."""
        self.watch(sock, 0, _ignore)
        self._shares.forget(sock.fileno())

    def prefer(self, sock: HasFileDescriptor, credit_s: float = PREFERRED_CREDIT_S) -> None:
        """Handle a file as if it had taken so much less time than it has, until it is forgotten."""
        self._shares.prefer(sock.fileno(), credit_s)

    def leave_unread(self, sock: HasFileDescriptor) -> None:
        """Note that a file's handler leaves received data for a later turn."""
        self._left_over.setdefault(sock.fileno(), self.arrived_after)

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Call a function after some seconds."""
        self.deadlines.set(self.now + seconds, call)

    def run(self) -> None:
        """Run turns until `stopped` is set."""
        again = False
        while not self.stopped:
            again = self.run_turn(0.0 if again else None)
        self._selector.close()

    def run_turn(self, max_wait_s: float | None = None) -> bool:
        """Run one turn, waiting at most `max_wait_s` for events or timers.

        Returns whether another decision is due at once.
        """
        waits = [] if max_wait_s is None else [max_wait_s]
        if (due := self.deadlines.next_due()) is not None:
            waits.append(max(0.0, due - self.clock()))
        ready = self._selector.select(min(waits, default=None))
        self.previous_poll_at, self.now = self.now, self.clock()
        self._handle_files(ready)
        files_done = self.clock()
        for call in (*self.deadlines.pop_due(self.now), *self.pollers):
            self._call(call)
        timers_done = self.clock()
        again = any([decider.turn(self.now) for decider in self.deciders])
        self._log_long_turn(len(ready), files_done, timers_done)
        return again

    def _handle_files(self, ready: list[tuple[selectors.SelectorKey, int]]) -> None:
        """Call the handlers of ready files until `FILES_BUDGET_S` has passed; leave the others over."""
        self._shares.decay(self.now)
        if self._left_over:  # a file that is not ready any more holds nothing
            still_ready = {key.fd for key, _ in ready}
            self._left_over = {fd: at for fd, at in self._left_over.items() if fd in still_ready}
        ready.sort(key=lambda event: (event[0].fd not in self._first, self._shares.rank(event[0].fd)))
        self._slowest = (0.0, None)
        time = self.now
        for key, mask in ready:
            if self._selector.get_map().get(key.fd) is not key:  # an earlier handler has closed it
                continue
            if time - self.now >= FILES_BUDGET_S and key.fd not in self._first:
                self._left_over.setdefault(key.fd, self.previous_poll_at)
                continue
            self.arrived_after = self._left_over.pop(key.fd, self.previous_poll_at)
            self._call(lambda key=key, mask=mask: key.data(mask))  # type: ignore[misc]
            began, time = time, self.clock()
            self._slowest = max(self._slowest, (time - began, key.data), key=lambda slowest: slowest[0])
            self.relieve_memory()
            if self._selector.get_map().get(key.fd) is key:
                self._shares.add(key.fd, time - began)
        self.arrived_after = self.previous_poll_at

    def relieve_memory(self) -> None:
        """Make room if more memory is charged than allowed.

        Connections that only wait for their peers to close are closed before anything else. Requests that
        have not arrived whole are refused, and idle connections closed; these first where such requests hold
        little. Answers that wait for slow clients are broken off if that is not enough.
        """
        memory = self.memory
        if memory.exceeded:
            self.lingering.close_some(self.now)
        if not memory.exceeded:
            return
        if memory.held(ShedOrder.FIRST) < IDLE_FIRST_HELD_SHARE * memory.limit:
            self._free_connections()
        count = memory.relieve(self.now, ShedOrder.FIRST)
        self._free_connections()
        count += memory.relieve(self.now, ShedOrder.LAST)
        if count:
            used = f"{self.memory.charged >> 10} of {int(self.memory.limit) >> 10} KiB in use"
            total = f"{self.memory.shed_count} of {self.memory.shed_bytes >> 10} KiB since the start"
            self.log("memory short", f"{count} unfinished messages refused, {total}; {used}", refused=count)

    def _free_connections(self) -> None:
        """Close some idle connections if memory is short, once a turn at most: each search costs time."""
        if self.memory.exceeded and self._freed_at < self.now:
            self._freed_at = self.now
            for free_connections in self.connection_freers:
                free_connections()

    def _log_long_turn(self, ready: int, files_done: float, timers_done: float) -> None:
        """Log a turn that has delayed everything else, and how long each part of it took."""
        end = self.clock()
        if end - self.now > LONG_TURN_S:
            files_s, timers_s = files_done - self.now, timers_done - files_done
            deciding_s = end - timers_done
            parts = (
                f"{files_s:.3f} s at {ready} files, {timers_s:.3f} s at timers, {deciding_s:.3f} s deciding"
            )
            slowest_s, handler = self._slowest
            owner = getattr(handler, "__self__", handler)
            self.log("turn took long", f"{end - self.now:.3f} s: {parts}; {slowest_s:.3f} s at {owner}")

    def _call(self, call: Callable[[], None]) -> None:
        """Call a handler and log its exception, so that the other handlers still run."""
        try:
            call()
        except Exception:
            self.log("handler failed", traceback.format_exc().replace("\n", " | "))


def _ignore(mask: int) -> None:
    """The handler of a file that is not watched."""


class Timer:
    """One deadline that can be moved or cancelled."""

    __slots__ = ("_deadline", "_loop")

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._deadline: Deadline | None = None

    @property
    def running(self) -> bool:
        """Whether it is set and not due yet."""
        return self._deadline is not None

    def set(self, seconds: float, call: Callable[[], None]) -> None:
        """Call a function after some seconds; replaces an earlier setting."""

        def due() -> None:
            if self._deadline is deadline:  # else it was cancelled by a timer due in the same turn
                self._deadline = None
                call()

        self.cancel()
        deadline = self._deadline = self._loop.deadlines.set(self._loop.now + seconds, due)

    def cancel(self) -> None:
        """Cancel it, if it is set."""
        self._loop.deadlines.cancel(self._deadline)
        self._deadline = None
