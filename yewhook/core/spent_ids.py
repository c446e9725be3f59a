"""Ids of ended requests that may have run and must not simply run again: none is accepted again.

For a request that servers recognize by its key, a new record would not know when the time is over in which
they do.
"""

from __future__ import annotations

RETENTION_S = 60.0  # clients retry for a fraction of this


class SpentIds:
    """Remembers ids for `RETENTION_S`. Times are seconds of the loop's clock, and never decrease."""

    def __init__(self) -> None:
        self._ended: dict[str, float] = {}  # id -> when its request ended, oldest first

    def add(self, request_id: str, now: float) -> None:
        """Remember the id of a request that has ended now."""
        self._drop_old(now)
        self._ended.pop(request_id, None)
        self._ended[request_id] = now

    def contains(self, request_id: str, now: float) -> bool:
        """Whether a request with this id ended less than `RETENTION_S` ago."""
        ended = self._ended.get(request_id)
        return ended is not None and now - ended < RETENTION_S

    def _drop_old(self, now: float) -> None:
        while self._ended:
            oldest = next(iter(self._ended))
            if now - self._ended[oldest] < RETENTION_S:
                return
            del self._ended[oldest]
