"""Lets go of what workers hold for requests, in time, and keeps reads back until that is done.

`held_state.py` says when something has to be let go, `release_call.py` whom to tell; here stand the timers
between them. A release undoes a read that is under way, so a read of a request with unconfirmed releases
waits for them, but not for long.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..deadlines import Deadlines
from ..log import Log
from .ending import GIVEN_UP
from .ports import Workers
from .request_records import Attempt, RequestRecord

# s after an attempt was given up until a release is sent: the worker has seen the close by then, and a read
# that ended at the same moment has left its state.
CLOSE_SEEN = 0.02
MIN_RELEASE_TIME = 0.15  # s that a release has to find a worker that lives, within the slack of the rule
RELEASE_FIRST = 0.25  # s that a read waits at most until what earlier attempts may have left is let go


class StateReleases:
    """The releases of one router's requests."""

    def __init__(
        self,
        deadlines: Deadlines,
        clock: Callable[[], float],
        workers: Workers,
        log: Log,
        limit: float,
        expired: Callable[[RequestRecord], None],
    ) -> None:
        """`limit` = s for which a state may be held; `expired` hears of a request whose state is let go
        because its time is over."""
        self._deadlines, self._clock = deadlines, clock
        self._workers, self.log = workers, log
        self._limit, self._expired = limit, expired

    def watch(self, life: RequestRecord) -> None:
        """Come back when what may be held has to be let go, whether an attempt is out by then or not."""
        at = life.held.release_at
        if life.let_go is not None and life.let_go.at == at:
            return
        self._deadlines.cancel(life.let_go)
        life.let_go = None
        if life.held.possible:
            life.let_go = self._deadlines.set(at, lambda: self._held_too_long(life))

    def _held_too_long(self, life: RequestRecord) -> None:
        life.let_go = None
        self._expired(life)
        self.let_go(life)

    def let_go(self, life: RequestRecord) -> None:
        """Tell workers to let go of all that they hold for the request."""
        now = self._clock()
        due = life.held.due if life.held.possible else now + self._limit
        due = max(due, now + MIN_RELEASE_TIME)
        life.held.let_go(life.out is not None)
        self.watch(life)
        last = life.attempts[-1].ending if life.attempts else None
        begin_at = now + CLOSE_SEEN if last in GIVEN_UP else now
        if self.log.detailed:
            self.log("state let go", f"{life.id} {life.stage.name.lower()}, due in {due - now:.3f} s")
        life.releases += 1
        self._workers.release(life.id, begin_at, due, partial(self._confirmed, life))

    def let_go_of_forgotten(self, request_id: str) -> None:
        """The same of a request that this router has forgotten."""
        now = self._clock()
        self._workers.release(request_id, now, now + self._limit, lambda: None)

    def end(self, life: RequestRecord) -> None:
        """The request is over, and no attempt of it is out."""
        self._deadlines.cancel(life.let_go)
        if life.held.possible:
            self.let_go(life)

    def read(self, life: RequestRecord, attempt: Attempt, begin: Callable[[], None]) -> bool:
        """Keep a read back until earlier attempts' states are let go; whether `begin` will be called."""
        if not life.releases:
            return False
        life.waiting = begin
        self._deadlines.set(self._clock() + RELEASE_FIRST, partial(self._wait_no_longer, life, attempt))
        return True

    def _wait_no_longer(self, life: RequestRecord, attempt: Attempt) -> None:
        if attempt.live and life.waiting is not None:
            life.waiting()

    def _confirmed(self, life: RequestRecord) -> None:
        life.releases -= 1
        if not life.releases and life.waiting is not None:
            life.waiting()
