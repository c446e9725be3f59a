"""Ids of requests that may have run and may not be repeated, so that none of them is taken a second time."""

from __future__ import annotations

KEPT_FOR = 60.0  # s; clients wait for a fraction of this


class SpentIds:
    """Remembers ids for a while. Times are s of the loop's clock, and never go back."""

    def __init__(self) -> None:
        self._ended: dict[str, float] = {}  # id -> when its request ended, oldest first

    def add(self, request_id: str, now: float) -> None:
        """A request has ended that may have run and may not be repeated."""
        self._drop_old(now)
        self._ended.pop(request_id, None)
        self._ended[request_id] = now

    def holds(self, request_id: str, now: float) -> bool:
        """Whether a request with this id has ended so lately."""
        ended = self._ended.get(request_id)
        return ended is not None and now - ended < KEPT_FOR

    def _drop_old(self, now: float) -> None:
        while self._ended:
            oldest = next(iter(self._ended))
            if now - self._ended[oldest] < KEPT_FOR:
                return
            del self._ended[oldest]
