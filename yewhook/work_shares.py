"""Shares the time of an event loop between its files: those that took least of it lately are handled first.

One client may cause as much work as it can send. So the loop handles files only for a limited time in each
turn, and leaves those that took most lately for the next one. The module has no clock and does no I/O.
"""

from __future__ import annotations

HALVING_INTERVAL_S = 1.0  # at which the time that files took counts for half
NEGLIGIBLE_S = 1e-4  # below which a file counts as one that took nothing
PREFERRED_CREDIT_S = 0.02  # that a preferred file may take before it counts like the others


class WorkShares:
    """The time that each file has taken lately, by its descriptor."""

    def __init__(self, now: float) -> None:
        """`now` is in seconds of the loop's clock, as in all methods."""
        self._taken_s: dict[int, float] = {}
        self._credits_s: dict[int, float] = {}
        self._halved_at = now

    def add(self, descriptor: int, seconds: float) -> None:
        """A file's handler has taken so long."""
        self._taken_s[descriptor] = self._taken_s.get(descriptor, 0.0) + seconds

    def prefer(self, descriptor: int, credit_s: float = PREFERRED_CREDIT_S) -> None:
        """Rank a file as if it had taken so much less, until it is forgotten."""
        self._credits_s[descriptor] = credit_s

    def rank(self, descriptor: int) -> float:
        """Files with a lower rank are handled first."""
        return self._taken_s.get(descriptor, 0.0) - self._credits_s.get(descriptor, 0.0)

    def forget(self, descriptor: int) -> None:
        """A file is closed; another one may get its descriptor."""
        self._taken_s.pop(descriptor, None)
        self._credits_s.pop(descriptor, None)

    def decay(self, now: float) -> None:
        """Let what was taken earlier count for less."""
        if now - self._halved_at >= HALVING_INTERVAL_S:
            self._halved_at = now
            self._taken_s = {fd: taken / 2 for fd, taken in self._taken_s.items() if taken > NEGLIGIBLE_S}
