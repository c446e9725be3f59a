"""One process: its loop, its fronts, and how it ends in good order."""

from __future__ import annotations

import gc
import math
import os
import selectors
import signal
import socket
from collections.abc import Callable
from io import FileIO
from typing import Protocol

from .config import Address, ConfigError, Limits
from .log import Log
from .loop import Loop, Timer
from .operations.instance import Event, FrontMode, Instance, State, step
from .transient_errors import is_transient, retry_transient

OWN_FILES = 16  # of the limit on descriptors: standard streams, listeners, the selector, the wake-up pair
WORKERS_PART = 3  # one part in so many is kept free of clients, for what they ask for
BODIES_PART = 8  # one part in so many of the memory may hold bodies of requests
KEEP_ACCEPTING = 0.5  # s after the first no in which the front has heard it and stopped sending
KILLED_AFTER = 0.7  # s after the grace at which the platform may kill what still runs
THIN_OUT = 0.1  # s between looks at the streams that still run, a part of which is moved at each
LAST_MOMENT = 0.4  # s before that at which all that is still open is ended in good order
LAST_BYTES = 0.3  # s of that moment in which the last answers may still be on their way
RELOAD_TRIES, RELOAD_AGAIN = 15, 0.2  # tries of a reload for want of descriptors; s between them
ABLE_EVERY, ABLE_MOST = 0.02, 1.0  # s between looks for a first list; s after which it serves without one
BACKLOG = 4096  # connections that may wait; one that finds no place comes again after 1 s at the soonest
ACCEPT_AT_ONCE, ACCEPT_AGAIN = 64, 0.05  # connections a turn; s until a full process tries again


def adopt_listener(descriptor: int) -> socket.socket:
    """The listening socket that this process was started with; others may have it, too."""
    try:
        listener = socket.socket(fileno=descriptor)
        listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError as error:
        raise ConfigError(f"PROXY_ACCEPT_FD: descriptor {descriptor} is no socket: {error}") from error
    if not listens:
        raise ConfigError(f"PROXY_ACCEPT_FD: the socket of descriptor {descriptor} does not listen")
    listener.setblocking(False)
    return listener


def listen(address: Address) -> socket.socket:
    """A socket that listens at an address; for a process's start. Raises OSError."""
    listener = retry_transient(lambda: socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


class ResourceBudget:
    """What may still be opened or held: clients leave some sockets for what they ask for."""

    def __init__(self, loop: Loop, limits: Limits, kept: int = 0) -> None:
        """`kept` = descriptors that neither clients nor workers get."""
        self._loop, self._sockets = loop, limits.sockets
        self._most = self._whole = limits.sockets - OWN_FILES - kept
        self.body_bytes = limits.memory // BODIES_PART  # bytes

    def set_shared(self, shared: bool) -> None:
        """Leave a half to the other process of this instance, as far as it is not in use already."""
        half = self._whole // 2
        self._most = max(half, min(self._whole, self._loop.sockets + OWN_FILES)) if shared else self._whole

    def can_open_client(self) -> bool:
        clients = self._most - self._sockets * self._most // (self._whole * WORKERS_PART)
        return self._loop.accepted < clients and self.can_open_worker()

    def can_open_worker(self) -> bool:
        return self._loop.sockets < self._most


class Acceptor:
    """Accepts connections while there is room for them."""

    def __init__(
        self,
        loop: Loop,
        listener: socket.socket,
        room: Callable[[], bool],
        free_connections: Callable[[], None],
        accepted: Callable[[socket.socket], None],
    ) -> None:
        self._loop, self._listener = loop, listener
        self._room, self._free_connections, self._accepted = room, free_connections, accepted
        self._again = Timer(loop)
        self._paused = self._closed = False
        # Since when connections may wait in the kernel's queue, and whether some were left there.
        self._empty_at, self._left = loop.now, False
        loop.watch(listener, selectors.EVENT_READ, self._accept)

    @property
    def waiting_since(self) -> float:
        """Since when a connection that is accepted now may have waited, with its request, in the kernel's
        queue (the loop's clock)."""
        return self._empty_at if self._left else max(self._empty_at, self._loop.previous_poll_at)

    def _leave(self) -> None:
        self._empty_at, self._left = self.waiting_since, True

    def _accept(self, mask: int) -> None:
        self._accept_some()

    def _accept_some(self) -> bool:
        """Take what waits, so many at a time; whether there may be more."""
        for _ in range(ACCEPT_AT_ONCE):
            if not self._room():
                self._free_connections()
                if not self._room():
                    self._loop.log("too many sockets", f"{self._loop.sockets} open, accepting later")
                    return self._later()
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                self._empty_at, self._left = self._loop.now, False
                return False
            except OSError as error:
                self._loop.log("accept failed", str(error))
                return self._later()
            self._accepted(sock)
        self._leave()
        return True

    def _later(self) -> bool:
        """Leave what waits in the kernel's queue for a while; tried at once, it would keep the loop busy."""
        self._leave()
        self._loop.watch(self._listener, 0, self._accept)
        self._again.set(ACCEPT_AGAIN, self._go_on)
        return False

    def _go_on(self) -> None:
        self._loop.watch(self._listener, selectors.EVENT_READ, self._accept)

    def pause(self, paused: bool) -> None:
        """Leave all that comes in the kernel's queue, or take it again."""
        if paused != self._paused and not self._closed:
            self._paused = paused
            self._leave()
            self._again.cancel()
            self._loop.watch(self._listener, 0 if paused else selectors.EVENT_READ, self._accept)

    def stop(self) -> None:
        """Take nothing any more: new connections are refused, unless another process has the socket, too."""
        if not self._closed:
            more = not self._paused
            while more:  # what waits in the kernel's queue would be reset
                more = self._accept_some()
            self.pause(True)
            self._closed = True
            self._listener.close()


class Front(Protocol):
    grace: float  # s that what it has taken may need to end
    accept_after_term: float  # s for which it may still take what comes, once it is told to end

    @property
    def has_workers(self) -> bool:
        """Whether it knows of anybody who could do the work."""

    def reload(self) -> Callable[[], str]:
        """Read its configuration anew and check it; returns what puts it in force and says what changed.

        Raises ConfigError, and then nothing has changed.
        """

    @property
    def busy(self) -> bool:
        """Whether something that was taken is not finished."""

    def set_mode(self, mode: FrontMode) -> None:
        """Go on as the instance's new state asks."""

    def move_streams(self, part: float) -> None:
        """Move that part of the streams that still run, where their clients can go on elsewhere."""

    def end_all(self) -> None:
        """Answer what waits and end the streams that still run: the process is about to go."""

    def close(self) -> None: ...


class Service:
    def __init__(self, log: Log, loop: Loop | None = None) -> None:
        self.log, self.loop = log, loop or Loop(log)
        self.fronts: list[Front] = []
        self.reloaders: list[
            Callable[[], Callable[[], str]]
        ] = []  # read anew with the fronts' configurations
        self.instance = Instance(State.STARTING)
        self._began = self.loop.now
        self._settled = Timer(self.loop)
        self._end_at = 0.0
        self._wake: tuple[FileIO, FileIO] | None = None

    def handle_signals(self) -> None:
        """Drain at SIGTERM and SIGINT, reload at SIGHUP; to be called before anything is taken."""
        # A pipe and no pair of sockets: those are of the Unix kind, which the platform does not grant.
        read_end, write_end = retry_transient(os.pipe)
        for end in (read_end, write_end):
            os.set_blocking(end, False)
        wake_read, wake_write = self._wake = FileIO(read_end), FileIO(write_end, "w")
        signal.set_wakeup_fd(wake_write.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        self.loop.watch(wake_read, selectors.EVENT_READ, lambda _: self._signalled(wake_read))

    def run(self) -> None:
        """Serve until told to stop, then finish what was taken."""
        gc.collect()
        gc.freeze()
        self.begin()
        self.loop.run()
        self.log("stopped")

    def begin(self) -> None:
        """Serve as soon as there is a list of workers, or without one where none comes."""
        self._began = self.loop.now
        for front in self.fronts:
            front.set_mode(self.instance.front_mode)
        self._look_whether_able()

    def _look_whether_able(self) -> None:
        if self.instance.state in (State.STARTING, State.SUCCEEDING):
            if all(front.has_workers for front in self.fronts) or self.loop.now - self._began >= ABLE_MOST:
                return self.handle_event(Event.WORKERS_KNOWN)
            self.loop.after(ABLE_EVERY, self._look_whether_able)
        return None

    def _signalled(self, wake: FileIO) -> None:
        numbers = wake.read(64) or b""  # None where nothing has come
        if signal.SIGHUP in numbers:
            self.reload()
        if {signal.SIGTERM, signal.SIGINT} & set(numbers):
            self.handle_event(Event.TERM)

    def reload(self, tries: int = RELOAD_TRIES) -> None:
        """Put new configuration files in force: all of them, or none where one is not good.

        `tries` = how often a file may be read that cannot be opened for want of descriptors.
        """
        self.handle_event(Event.RELOAD)
        try:
            ready = [read() for read in [*self.reloaders, *(front.reload for front in self.fronts)]]
        except ConfigError as error:
            if is_transient(error) and tries > 1:
                return self.loop.after(RELOAD_AGAIN, lambda: self.reload(tries - 1))
            self.log("reload refused", f"{error}; the configuration stays as it was")
            return None
        changes = "; ".join(filter(None, [change() for change in ready]))
        self.log("reloaded", changes or "nothing that can change while it runs has changed")
        return None

    def handle_event(self, event: Event) -> None:
        """What moves the instance's state, and what follows from it."""
        before, self.instance = self.instance, step(self.instance, event)
        after = self.instance.state
        if after is before.state:
            return
        self.log("state", f"{before.state.value} to {after.value}")
        for front in self.fronts:
            front.set_mode(self.instance.front_mode)
        self._settled.cancel()
        lasts = (
            min((front.accept_after_term for front in self.fronts), default=0.0)
            if after is State.LASTING
            else 0.0
        )
        if after in (State.DRAINING, State.ENDING, State.LASTING):
            wait = lasts if after is State.LASTING else KEEP_ACCEPTING
            self._settled.set(wait, lambda: self.handle_event(Event.DRAIN_PROPAGATED))
        if event is Event.TERM:
            grace = max((front.grace for front in self.fronts), default=0.0)
            whole = grace + KILLED_AFTER - LAST_MOMENT
            self._end_at = self.loop.now + whole
            self.loop.after(min(whole, max(2 * KEEP_ACCEPTING, lasts + KEEP_ACCEPTING)), self._thin_out)
        if after is State.LEAVING:
            self._finish()

    def _finish(self) -> None:
        if any(front.busy for front in self.fronts) or self.loop.finishing:
            return self.loop.after(0.02, self._finish)
        return self._stop()

    def _stop(self) -> None:
        """What was taken may be finished in the very sweep in which the last moment is over."""
        if self.loop.stopped:
            return
        for front in self.fronts:
            front.close()
        self.loop.stopped = True

    def _thin_out(self) -> None:
        """Streams that came back all at once would fill the queues of those who go on with them."""
        looks = math.floor((self._end_at - self.loop.now) / THIN_OUT)
        if looks < 1:
            return self.loop.after(max(0.0, self._end_at - self.loop.now), self._break_off)
        for front in self.fronts:
            front.move_streams(1.0 / looks)
        return self.loop.after(THIN_OUT, self._thin_out)

    def _break_off(self) -> None:
        """The platform kills what still runs; a stream broken off first can go on at another router."""
        for front in self.fronts:
            front.end_all()
        self.loop.after(LAST_BYTES, self._stop)
