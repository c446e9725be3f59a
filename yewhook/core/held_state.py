"""The time limit on what workers hold for one request.

A reader keeps the state of a prompt that it has read until a writer fetches it, and the settings limit how
long it may wait there while no attempt of the request is out. An attempt is out once its last byte has
reached a running worker, and only the worker's answer shows that it has: the local kernel takes bytes for a
machine that hangs or is cut off, and for a connection that the other side has forgotten. So neither sending
an attempt nor giving one up stops this clock or starts it anew; an answer does.

Letting go costs a worker that lives next to nothing: what an attempt there waits for stays. That is why it
may be done while an attempt is out, and why something may still be held when such an attempt ends.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopshed.interface import Outcome

from .ending import MAY_HOLD

# Share of the limit that may pass before the state is let go; the rest is for the call that does so.
USABLE_SHARE = 0.8
REACHED_NOBODY = frozenset({Outcome.UNREACHABLE, Outcome.NOT_SENT})
ANSWERED = frozenset({Outcome.READ, Outcome.FULL, Outcome.FAILED})  # by the worker: the attempt has arrived


@dataclass(slots=True)
class HeldState:
    """Whether a worker may hold something for a request, and since when. All times are the loop's, in s."""

    limit: float  # s for which a state may be held while no attempt is out
    since: float | None = None  # of what attempts have left that are over; None where that is nothing
    _reading_since: float | None = None  # from when on a read that is out may have left a state
    _awaited: bool = False  # it was let go while an attempt was out that may wait for it, and so keep it

    @property
    def left(self) -> bool:
        """Whether attempts that are over may have left something."""
        return self.since is not None

    @property
    def possible(self) -> bool:
        """Whether a worker may hold something that no attempt waits for."""
        return self._oldest is not None

    @property
    def _oldest(self) -> float | None:
        return self._reading_since if self.since is None else self.since

    @property
    def release_at(self) -> float:
        """When it has to be let go at the latest; infinity where nothing can be held."""
        return float("inf") if self._oldest is None else self._oldest + USABLE_SHARE * self.limit

    @property
    def due(self) -> float:
        """When workers must have been told that it is let go; infinity where nothing can be held."""
        return float("inf") if self._oldest is None else self._oldest + self.limit

    def attempt_sent(self, reads: bool, now: float) -> None:
        """An attempt goes out; `reads` = to a reader, whose answer may be lost once the state is there."""
        self._reading_since, self._awaited = (now if reads else None), False

    def attempt_ended(self, outcome: Outcome, reads: bool, now: float) -> None:
        """Take the end of an attempt into account; `reads` = it was at a reader."""
        began, awaited = self._reading_since, self._awaited
        self._reading_since, self._awaited = None, False
        if outcome in REACHED_NOBODY:
            return
        may_hold = self.left or awaited or (reads and outcome in MAY_HOLD)
        if outcome in ANSWERED and may_hold:
            self.since = now
        elif not self.left and may_hold:
            self.since = now if awaited or began is None else began

    def let_go(self, now: float, out: bool) -> None:
        """Workers are being told to let go of it; `out` = while an attempt is out."""
        if self._reading_since is not None:
            self._reading_since = now
        else:
            self._awaited = out and (self.left or self._awaited)
        self.since = None

    def fetched(self) -> None:
        """A writer has it."""
        self.since, self._reading_since, self._awaited = None, None, False
