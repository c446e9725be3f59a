"""The time limit on what workers hold for one request.

A reader keeps the state of a prompt that it has read until a writer fetches it, and the settings limit how
long it may wait there while no attempt of the request is out. An attempt is out once its last byte has
reached a running worker, and only the worker's answer shows that it has: the local kernel takes bytes for a
machine that hangs or is cut off, and for a connection that the other side has forgotten. So neither sending
an attempt nor giving one up stops this clock or starts it anew; an answer does.

Letting go costs a writer that lives next to nothing: what an attempt there waits for stays. That is why it
may be done while such an attempt is out, and why something may still be held when it ends. It undoes a read
that is under way, so none is begun until what earlier attempts may have left is let go.
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
    _awaited: bool = False  # it was let go while an attempt was out that may wait for it, and so keep it

    @property
    def possible(self) -> bool:
        """Whether a worker may hold something that no attempt waits for."""
        return self.since is not None

    @property
    def release_at(self) -> float:
        """When it has to be let go at the latest; infinity where nothing can be held."""
        return float("inf") if self.since is None else self.since + USABLE_SHARE * self.limit

    @property
    def due(self) -> float:
        """When workers must have been told that it is let go; infinity where nothing can be held."""
        return float("inf") if self.since is None else self.since + self.limit

    def attempt_ended(self, outcome: Outcome, reads: bool, sent: float, now: float) -> None:
        """Take the end of an attempt into account; `reads` = it was at a reader, `sent` = when it went."""
        awaited, self._awaited = self._awaited, False
        left_by_read = reads and outcome in MAY_HOLD
        if outcome in REACHED_NOBODY:
            return
        if awaited or (outcome in ANSWERED and (self.possible or left_by_read)):
            self.since = now
        elif left_by_read and not self.possible:
            self.since = sent  # its answer may be lost, and the state be there since any moment

    def let_go(self, out: bool) -> None:
        """Workers are being told to let go of it; `out` = while an attempt is out."""
        self._awaited = out and (self.possible or self._awaited)
        self.since = None

    def fetched(self) -> None:
        """A writer has it."""
        self.since, self._awaited = None, False
