"""When each worker was last heard, and when it last failed to answer."""

from __future__ import annotations

from .config import Address

NEVER = float("-inf")


class Liveness:
    """What this router's own connections have shown of the workers at the other ends."""

    def __init__(self) -> None:
        self._heard: dict[Address, float] = {}
        self._missed: dict[Address, float] = {}

    def record_heard(self, address: Address, now: float) -> None:
        """Something has come from there."""
        self._heard[address] = now

    def record_missed(self, address: Address, now: float) -> None:
        """No connection or no answer came in the time that it was given."""
        self._missed[address] = now

    def heard(self, address: Address) -> float:
        """s of the loop's clock; minus infinity where nothing has come yet."""
        return self._heard.get(address, NEVER)

    def missed(self, address: Address) -> float:
        """s of the loop's clock; minus infinity where nothing has been missed yet."""
        return self._missed.get(address, NEVER)

    def forget_before(self, time: float) -> None:
        """Forget what is older; addresses never come to an end."""
        for times in (self._heard, self._missed):
            for address in [a for a, at in times.items() if at < time]:
                del times[address]
