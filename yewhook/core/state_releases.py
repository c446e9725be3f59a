"""Releases the state that workers hold for requests in time, and delays reads until that is done.

`held_state.py` computes when state has to be released, and `release_call.py` which workers to call; this
module sets the timers. A release discards a read that is in progress, so a read of a request with unconfirmed
releases waits for them, up to `MAX_READ_DELAY_S`.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..deadlines import Deadlines
from ..log import Log
from .ending import CLOSED_BY_ROUTER
from .ports import Workers
from .request_records import Attempt, RequestRecord

# Delay from closing an attempt's connection until the release: by then the worker has seen the close, and a
# read that completed at the same moment has left its state.
CLOSE_DETECTION_S = 0.02
MIN_RELEASE_TIME_S = 0.15  # lower bound, to find a worker that responds; within the tolerance of the limit
MAX_READ_DELAY_S = 0.25  # longest time for which a read waits until earlier state has been released


class StateReleases:
    """The releases of one router's requests."""

    def __init__(
        self,
        deadlines: Deadlines,
        clock: Callable[[], float],
        workers: Workers,
        log: Log,
        limit: float,
        on_expired: Callable[[RequestRecord], None],
    ) -> None:
        """`limit` is the time in seconds for which state may be held.

        `on_expired` is called with each request whose state is released because that time has run out.
        """
        self._deadlines, self._clock = deadlines, clock
        self._workers, self.log = workers, log
        self._limit, self._on_expired = limit, on_expired

    def schedule(self, record: RequestRecord) -> None:
        """Set the timer that releases what may be held for the request, even if an attempt is out by then."""
        at = record.held.release_at
        if record.release_timer is not None and record.release_timer.at == at:
            return
        self._deadlines.cancel(record.release_timer)
        record.release_timer = None
        if record.held.may_exist:
            record.release_timer = self._deadlines.set(at, lambda: self._expired(record))

    def _expired(self, record: RequestRecord) -> None:
        record.release_timer = None
        self._on_expired(record)
        self.release(record)

    def release(self, record: RequestRecord) -> None:
        """Tell workers to release all state that they hold for the request."""
        now = self._clock()
        due = record.held.due if record.held.may_exist else now + self._limit
        due = max(due, now + MIN_RELEASE_TIME_S)
        record.held.mark_released(record.attempt_out is not None)
        self.schedule(record)
        last_ending = record.attempts[-1].ending if record.attempts else None
        begin_at = now + CLOSE_DETECTION_S if last_ending in CLOSED_BY_ROUTER else now
        if self.log.detailed:
            self.log("state let go", f"{record.id} {record.stage.name.lower()}, due in {due - now:.3f} s")
        record.open_releases += 1
        self._workers.release(record.id, begin_at, due, partial(self._done, record))

    def release_unknown(self, request_id: str) -> None:
        """Release the state of a request of which this router has no record any more."""
        now = self._clock()
        self._workers.release(request_id, now, now + self._limit, lambda: None)

    def request_ended(self, record: RequestRecord) -> None:
        """Release the state of a request that has ended and has no attempt out."""
        self._deadlines.cancel(record.release_timer)
        if record.held.may_exist:
            self.release(record)

    def delay_read(self, record: RequestRecord, attempt: Attempt, send: Callable[[], None]) -> bool:
        """Delay a read until the open releases are done; returns whether `send` will be called later."""
        if not record.open_releases:
            return False
        record.send_waiting = send
        self._deadlines.set(self._clock() + MAX_READ_DELAY_S, partial(self._end_delay, record, attempt))
        return True

    def _end_delay(self, record: RequestRecord, attempt: Attempt) -> None:
        if attempt.is_out and record.send_waiting is not None:
            record.send_waiting()

    def _done(self, record: RequestRecord) -> None:
        record.open_releases -= 1
        if not record.open_releases and record.send_waiting is not None:
            record.send_waiting()
