"""The process: its loop, its fronts, its signals, and its orderly shutdown."""

from __future__ import annotations

import gc
import math
import os
import selectors
import signal
from collections.abc import Callable
from io import FileIO
from typing import Protocol

from .config import ConfigError
from .log import Log
from .loop import Loop, Timer
from .operations.instance import Event, FrontMode, Instance, State, step
from .transient_errors import is_transient, retry_transient

# From the first failed health check until upstream load balancers have stopped sending
DRAIN_PROPAGATION_S = 0.5
# The platform kills the process at this time after the grace period or later, it does not say when.
EARLIEST_KILL_AFTER_GRACE_S = 0.7
# The platform excuses requests that a kill cuts off if they arrived up to 0.7 s after SIGTERM. A process may
# be held up for 0.15 s before it notices the signal.
LIMIT_REQUESTS_AFTER_TERM_S = 0.55
MOVE_STREAMS_INTERVAL_S = 0.1  # at each interval a part of the streams that still run is moved
END_ALL_BEFORE_KILL_S = 0.4  # before the earliest kill, what must not be cut off by it is ended
LINGER_TIMEOUT_S = 0.3  # after that and the last answer, for clients to close their connections
IDLE_POLL_S = 0.02  # between checks whether all requests are finished
RELOAD_TRIES = 15  # of a reload that fails for lack of descriptors
RELOAD_RETRY_S = 0.2  # between tries
WORKER_LIST_POLL_S = 0.02  # between checks for a worker list
WORKER_LIST_TIMEOUT_S = 1.0  # after which the process serves without a worker list


class Front(Protocol):
    """What a process needs of a front."""

    grace: float  # seconds that accepted requests may need to finish
    accept_after_term: float  # seconds for which it may still accept requests after SIGTERM

    @property
    def has_workers(self) -> bool:
        """Whether it knows of workers for its requests."""

    def reload(self) -> Callable[[], str]:
        """Read and check its configuration; returns a function that applies it and describes the changes.

        Raises ConfigError, and then nothing has changed.
        """

    @property
    def busy(self) -> bool:
        """Whether an accepted request is not finished."""

    def set_mode(self, mode: FrontMode) -> None:
        """Apply the mode of the instance's new state."""

    def move_streams(self, part: float) -> None:
        """End this fraction of the running streams whose clients can resume them at another router."""

    def limit_requests(self) -> None:
        """Accept no more requests that could not be ended before a kill, which would lose them."""

    def end_all(self) -> None:
        """End what a kill would lose and what other processes can serve; the rest goes on to its end."""

    def close(self) -> None:
        """Close its listeners and connections."""


class Service:
    """Runs the fronts of the process through the states of its instance."""

    def __init__(self, log: Log, loop: Loop | None = None) -> None:
        self.log, self.loop = log, loop or Loop(log)
        self.fronts: list[Front] = []
        # Further configurations, each reloaded as by Front.reload.
        self.reloaders: list[Callable[[], Callable[[], str]]] = []
        self.instance = Instance(State.STARTING)
        self._began_at = self.loop.now
        self._state_timer = Timer(self.loop)
        self._end_all_at = 0.0
        self._all_ended = False  # whether `Front.end_all` has been called
        self._written_since: float | None = None  # when the last answer was written, by the loop's clock
        self._wakeup_pipe: tuple[FileIO, FileIO] | None = None

    def handle_signals(self) -> None:
        """Shut down gracefully at SIGTERM and SIGINT, reload at SIGHUP; call it before accepting."""
        # A pipe rather than a socket pair, since the platform permits no Unix sockets.
        read_end, write_end = retry_transient(os.pipe)
        for end in (read_end, write_end):
            os.set_blocking(end, False)
        wake_read, wake_write = self._wakeup_pipe = FileIO(read_end), FileIO(write_end, "w")
        signal.set_wakeup_fd(wake_write.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        self.loop.watch(wake_read, selectors.EVENT_READ, lambda _: self._signals_received(wake_read))

    def run(self) -> None:
        """Serve until told to end, then finish the accepted requests."""
        gc.collect()
        gc.freeze()
        self.begin()
        self.loop.run()
        self.log("stopped")

    def begin(self) -> None:
        """Apply the initial state; serve once worker lists are known or WORKER_LIST_TIMEOUT_S has passed.

        A process that was told to end while it waited for a hand-over does nothing: it must not accept
        connections that wait for the process before it.
        """
        if self.loop.stopped:
            return
        self._began_at = self.loop.now
        for front in self.fronts:
            front.set_mode(self.instance.front_mode)
        self._check_worker_lists()

    def _check_worker_lists(self) -> None:
        if self.instance.state in (State.STARTING, State.SUCCEEDING):
            if (
                all(front.has_workers for front in self.fronts)
                or self.loop.now - self._began_at >= WORKER_LIST_TIMEOUT_S
            ):
                return self.handle_event(Event.WORKERS_KNOWN)
            self.loop.after(WORKER_LIST_POLL_S, self._check_worker_lists)
        return None

    def _signals_received(self, wake: FileIO) -> None:
        numbers = wake.read(64) or b""  # None if the pipe is empty
        if signal.SIGHUP in numbers:
            self.reload()
        if {signal.SIGTERM, signal.SIGINT} & set(numbers):
            self.handle_event(Event.TERM)

    def reload(self, tries: int = RELOAD_TRIES) -> None:
        """Reload all configuration files, or none of them if one is invalid.

        `tries` = how often to read files that cannot be opened for lack of descriptors.
        """
        self.handle_event(Event.RELOAD)
        try:
            changes = [read() for read in [*self.reloaders, *(front.reload for front in self.fronts)]]
        except ConfigError as error:
            if is_transient(error) and tries > 1:
                return self.loop.after(RELOAD_RETRY_S, lambda: self.reload(tries - 1))
            self.log("reload refused", f"{error}; the configuration is unchanged")
            return None
        descriptions = "; ".join(filter(None, [apply() for apply in changes]))
        self.log("reloaded", descriptions or "no setting that can change at run time has changed")
        return None

    def handle_event(self, event: Event) -> None:
        """Step the instance's state machine and act on a change of its state."""
        before, self.instance = self.instance, step(self.instance, event)
        after = self.instance.state
        if after is before.state:
            return
        self.log("state", f"{before.state.value} to {after.value}")
        for front in self.fronts:
            front.set_mode(self.instance.front_mode)
        self._state_timer.cancel()
        accept_after_term = (
            min((front.accept_after_term for front in self.fronts), default=0.0)
            if after is State.LASTING
            else 0.0
        )
        if after in (State.DRAINING, State.ENDING, State.LASTING):
            wait = accept_after_term if after is State.LASTING else DRAIN_PROPAGATION_S
            self._state_timer.set(wait, lambda: self.handle_event(Event.DRAIN_PROPAGATED))
        if event is Event.TERM:
            grace = max((front.grace for front in self.fronts), default=0.0)
            time_to_end_all = grace + EARLIEST_KILL_AFTER_GRACE_S - END_ALL_BEFORE_KILL_S
            self._end_all_at = self.loop.now + time_to_end_all
            self.loop.after(min(time_to_end_all, LIMIT_REQUESTS_AFTER_TERM_S), self._limit_requests)
            self.loop.after(
                min(time_to_end_all, max(2 * DRAIN_PROPAGATION_S, accept_after_term + DRAIN_PROPAGATION_S)),
                self._move_streams,
            )
        if after is State.LEAVING:
            self._stop_when_finished()

    def _stop_when_finished(self) -> None:
        """Stop once all is answered; the kill may come much later than its earliest time."""
        if self._all_ended:
            self._move_streams_of_fronts(1.0)  # those that have begun since
        if self._finished():
            return self._stop()
        return self.loop.after(IDLE_POLL_S, self._stop_when_finished)

    def _finished(self) -> bool:
        """Whether all answers are written, and clients have closed or have had the time to."""
        if any(front.busy for front in self.fronts) or self.loop.flushing:
            self._written_since = None
            return False
        if self._written_since is None:
            self._written_since = self.loop.now
        lingered = self.loop.now - self._written_since >= LINGER_TIMEOUT_S
        return not self.loop.finishing or (self._all_ended and lingered)

    def _stop(self) -> None:
        """Close the fronts and stop the loop."""
        for front in self.fronts:
            front.close()
        self.loop.stopped = True

    def _move_streams(self) -> None:
        """Move the streams gradually: resumed all at once, they would fill other routers' queues."""
        intervals = math.floor((self._end_all_at - self.loop.now) / MOVE_STREAMS_INTERVAL_S)
        if intervals < 1:
            return self.loop.after(max(0.0, self._end_all_at - self.loop.now), self._end_all)
        self._move_streams_of_fronts(1.0 / intervals)
        return self.loop.after(MOVE_STREAMS_INTERVAL_S, self._move_streams)

    def _move_streams_of_fronts(self, part: float) -> None:
        for front in self.fronts:
            front.move_streams(part)

    def _limit_requests(self) -> None:
        for front in self.fronts:
            front.limit_requests()

    def _end_all(self) -> None:
        """End what must not be cut off, before the earliest time at which the platform kills the process."""
        self._all_ended = True
        for front in self.fronts:
            front.end_all()
