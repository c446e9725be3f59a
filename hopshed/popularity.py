"""How often prefixes arrive, and how many readers should have each in their cache. No clock, no I/O."""

from __future__ import annotations

from .estimate import Estimate
from .state import drop_unused

TIME_CONSTANT_S = 60.0  # time constant of the counts of arrivals
EXPIRY_S = 300.0  # seconds without an arrival after which a prefix is dropped
MAX_PREFIXES = 8192  # entries of about 250 bytes; beyond it the one that is unused for longest is dropped
PRIOR_REQUESTS = 10.0  # requests added to the total, so that a few requests do not make a prefix popular


class Popularity:
    """Decaying counts of the prefixes of this router's requests."""

    def __init__(self) -> None:
        # Prefix ("" = any) -> decayed number of requests with it, in the order of last use.
        self.seen: dict[str, Estimate] = {}

    def prefix_arrived(self, prefix: str | None, now: float) -> None:
        """A request with this prefix arrived; one without a prefix does not count."""
        for key in ("", prefix) if prefix else ():
            seen = self.seen[key] = self.seen.pop(key, Estimate())
            seen.add(1.0, now, TIME_CONSTANT_S)
        if len(self.seen) > MAX_PREFIXES:
            del self.seen[next(iter(self.seen))]

    def home_count(self, prefix: str | None, count: int, now: float) -> int:
        """How many of `count` servers should be homes of a prefix, at least 1.

        The number follows the prefix's part of all requests, so that no server is filled by one prefix alone.
        """
        if not (seen := self.seen.get(prefix or "")):
            return 1
        total = self.seen[""].decayed(now, TIME_CONSTANT_S)
        return max(1, round((seen.decayed(now, TIME_CONSTANT_S) - 1) / (total + PRIOR_REQUESTS) * count))

    def expire(self, now: float) -> None:
        """Drop prefixes that have not arrived for long."""
        drop_unused(self.seen, now - EXPIRY_S)
