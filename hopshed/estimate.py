"""A figure that fades. No decision and no tuned value stands here."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Estimate:
    """A figure that fades when nothing confirms it; gains and time constants are the module's."""

    value: float = 0.0
    at: float = -math.inf

    def decayed(self, now: float, constant: float) -> float:
        return self.value * math.exp((self.at - now) / constant)

    def add(self, amount: float, now: float, constant: float) -> None:
        self.value, self.at = self.decayed(now, constant) + amount, now

    def learn(self, sample: float, now: float, gain: float, constant: float) -> None:
        faded = self.decayed(now, constant)
        self.value, self.at = faded + gain * (sample - faded), now
