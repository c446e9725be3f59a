"""How often shared beginnings come, and how many homes one asks for. No clock, no I/O."""

from __future__ import annotations

from .estimate import Estimate
from .state import drop_unused

FADES, DROPPED = 60.0, 300.0  # s; time constant of what came; until a beginning that comes no more is dropped
DOUBT = 10.0  # turns that prove little


class Popularity:
    def __init__(self) -> None:
        self.seen: dict[str, Estimate] = {}  # in the order of last use; "" counts all

    def prefix_arrived(self, prefix: str | None, now: float) -> None:
        for key in ("", prefix) if prefix else ():
            seen = self.seen[key] = self.seen.pop(key, Estimate())
            seen.add(1.0, now, FADES)

    def home_count(self, prefix: str | None, count: int, now: float) -> int:
        """A beginning's homes among so many servers, by its part of our turns, so that none fills alone."""
        if not (seen := self.seen.get(prefix or "")):
            return 1
        total = self.seen[""].decayed(now, FADES)
        return max(1, round((seen.decayed(now, FADES) - 1) / (total + DOUBT) * count))

    def expire(self, now: float) -> None:
        drop_unused(self.seen, now - DROPPED)
