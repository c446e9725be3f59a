"""A value that decays exponentially over time."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Estimate:
    """A value that decays towards 0 while nothing confirms it.

    The caller gives the time constant, in seconds, and the gain with each call. Estimates are handed over and
    stored under these field names.
    """

    value: float = 0.0  # as of `at`
    at: float = -math.inf  # time of the latest change

    def decayed(self, now: float, constant: float) -> float:
        """The value at this time."""
        return self.value * math.exp((self.at - now) / constant)

    def add(self, amount: float, now: float, constant: float) -> None:
        """Add an amount to the decayed value; amounts divided by the time constant add up to a rate."""
        self.value, self.at = self.decayed(now, constant) + amount, now

    def learn(self, sample: float, now: float, gain: float, constant: float) -> None:
        """Move the decayed value towards a sample by the gain, from 0 to 1."""
        decayed = self.decayed(now, constant)
        self.value, self.at = decayed + gain * (sample - decayed), now
