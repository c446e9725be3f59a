"""The time limit on the state that workers hold for one request.

A reader holds the state of a prompt that it has read until a writer fetches it. The settings limit how long
it may be held while no attempt of the request is out. An attempt counts as out once its last byte has reached
a running worker, which only the worker's answer proves: the local kernel also accepts bytes for a machine
that hangs or is cut off, and for a connection that the peer has forgotten. So sending or aborting an attempt
neither stops nor restarts this clock; an answer does restart it.

A release does not affect state that an attempt at a running writer waits for. It may therefore be sent while
such an attempt is out, and state may still be held when that attempt ends. A release discards a read that is
in progress, so no read is begun until the state that earlier attempts may have left has been released.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopshed.interface import Outcome

from .ending import MAY_LEAVE_STATE

RELEASE_AT_SHARE = 0.8  # share of the limit after which the release begins; the rest is left for its calls
NOT_DELIVERED = frozenset({Outcome.UNREACHABLE, Outcome.NOT_SENT})
ANSWERED_BY_WORKER = frozenset({Outcome.READ, Outcome.FULL, Outcome.FAILED})  # so the attempt has arrived


@dataclass(slots=True)
class HeldState:
    """Whether workers may hold state for a request, and since when; times are seconds of the loop's clock."""

    limit: float  # seconds for which state may be held while no attempt is out
    since: float | None = None  # start of the limit for state left by ended attempts; None = no such state
    _released_while_out: bool = False  # released while an attempt was out, which may have kept the state

    @property
    def may_exist(self) -> bool:
        """Whether a worker may hold state that no attempt waits for."""
        return self.since is not None

    @property
    def release_at(self) -> float:
        """The time at which to begin the release at the latest; infinity if no state can be held."""
        return float("inf") if self.since is None else self.since + RELEASE_AT_SHARE * self.limit

    @property
    def due(self) -> float:
        """The time by which workers must have been told to release it; infinity if no state can be held."""
        return float("inf") if self.since is None else self.since + self.limit

    def attempt_ended(self, outcome: Outcome, at_reader: bool, sent_at: float, now: float) -> None:
        """Take the end of an attempt into account."""
        released_while_out, self._released_while_out = self._released_while_out, False
        left_by_read = at_reader and outcome in MAY_LEAVE_STATE
        if outcome in NOT_DELIVERED:
            return
        if released_while_out or (outcome in ANSWERED_BY_WORKER and (self.may_exist or left_by_read)):
            self.since = now
        elif left_by_read and not self.may_exist:
            self.since = sent_at  # the answer may be lost, and the state may exist since any time after that

    def mark_released(self, attempt_out: bool) -> None:
        """Workers are being told to release the state; `attempt_out` = while an attempt is out."""
        self._released_while_out = attempt_out and (self.may_exist or self._released_while_out)
        self.since = None

    def mark_fetched(self) -> None:
        """A writer has fetched the state."""
        self.since, self._released_while_out = None, False
