"""When each worker last answered, and when it last failed to answer."""

from __future__ import annotations

from .config import Address

NEVER = float("-inf")


class Liveness:
    """What this router's own connections show of each worker; times are seconds of the loop's clock."""

    def __init__(self) -> None:
        self._heard: dict[Address, float] = {}
        self._missed: dict[Address, float] = {}

    def record_heard(self, address: Address, now: float) -> None:
        """Record that data has come from a worker."""
        self._heard[address] = now

    def record_missed(self, address: Address, now: float) -> None:
        """Record that connecting to a worker, or its answer, has timed out."""
        self._missed[address] = now

    def heard(self, address: Address) -> float:
        """When data last came from a worker; minus infinity if it never did."""
        return self._heard.get(address, NEVER)

    def missed(self, address: Address) -> float:
        """When a worker last failed to answer; minus infinity if it never did."""
        return self._missed.get(address, NEVER)

    def forget_before(self, time: float) -> None:
        """Drop older records: new addresses keep coming, and memory must stay bounded."""
        for times in (self._heard, self._missed):
            for address in [a for a, at in times.items() if at < time]:
                del times[address]
