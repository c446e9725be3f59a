"""The time limit on what workers hold for one request.

A reader keeps the state of a prompt that it has read until a writer fetches it, and the settings limit how
long it may wait there while no attempt of the request is out. The time runs from the end of the last attempt
that reached a worker. An attempt whose connection never came up has reached nobody, so it does not start the
time anew.
"""

from __future__ import annotations

from dataclasses import dataclass

from hopshed.interface import Outcome

from .ending import MAY_HOLD

# Share of the limit that may pass before the state is let go; the rest is for the call that does so.
USABLE_SHARE = 0.8
REACHED_NOBODY = frozenset({Outcome.UNREACHABLE, Outcome.NOT_SENT})


@dataclass(slots=True)
class HeldState:
    """Whether a worker may hold something for a request, and since when. All times are the loop's, in s."""

    limit: float  # s for which a state may be held while no attempt is out
    since: float | None = None  # None where nothing can be held

    @property
    def possible(self) -> bool:
        """Whether a worker may hold something."""
        return self.since is not None

    @property
    def release_at(self) -> float:
        """When it has to be let go at the latest; infinity where nothing can be held."""
        return float("inf") if self.since is None else self.since + USABLE_SHARE * self.limit

    @property
    def due(self) -> float:
        """When workers must have been told that it is let go; infinity where nothing can be held."""
        return float("inf") if self.since is None else self.since + self.limit

    def attempt_ended(self, outcome: Outcome, reads: bool, now: float) -> None:
        """Take the end of an attempt into account; `reads` = it was at a reader."""
        if outcome in REACHED_NOBODY:
            return
        if self.possible or (reads and outcome in MAY_HOLD):
            self.since = now

    def cleared(self) -> None:
        """It has been fetched, or is being let go."""
        self.since = None
