"""Estimators that weight recent samples more, each in constant memory."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from hopshed.estimate import Estimate
from hopshed.hashing import blake2b


@dataclass(slots=True)
class DecayingRate:
    """An exponentially weighted rate, in amount per second.

    Corrected for the time since its start, so that it is accurate before a time constant has passed.
    """

    time_constant: float  # s
    started_at: float  # s
    sum: Estimate = field(default_factory=Estimate)

    def add(self, amount: float, now: float) -> None:
        """Counts an amount."""
        self.sum.add(amount, now, self.time_constant)

    def at(self, now: float) -> float:
        """The rate per second."""
        seen = 1.0 - math.exp((self.started_at - now) / self.time_constant)
        return self.sum.decayed(now, self.time_constant) / (self.time_constant * seen) if seen > 0 else 0.0


@dataclass(slots=True)
class DecayingRatio:
    """An exponentially weighted share of the total that counts.

    The total is taken to be at least `min_total`, so that a few samples cannot make up all of it.
    """

    time_constant: float  # s
    min_total: float
    counted: Estimate = field(default_factory=Estimate)
    all: Estimate = field(default_factory=Estimate)

    def add(self, amount: float, counts: bool, now: float) -> None:
        """Adds an amount to the total, and to the counted part if it counts."""
        self.all.add(amount, now, self.time_constant)
        if counts:
            self.counted.add(amount, now, self.time_constant)

    def at(self, now: float) -> float:
        """The counted share, 0 to 1; 0 before the first sample."""
        total = self.all.decayed(now, self.time_constant)
        return (
            min(1.0, self.counted.decayed(now, self.time_constant) / max(total, self.min_total))
            if total
            else 0.0
        )


@dataclass(slots=True)
class Mean:
    """An exponentially weighted mean; each sample weighs `gain`, the first ones as in an arithmetic mean."""

    gain: float
    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Includes a sample."""
        self.count += 1
        self.value += max(self.gain, 1.0 / self.count) * (sample - self.value)

    def value_or(self, default: float) -> float:
        """The mean, or the default before the first sample."""
        return self.value if self.count else default


class Quantiles:
    """Quantiles from an exponentially decaying histogram with geometric buckets.

    The weights of new samples grow with time instead of all buckets being decayed (forward decay; Cormode et
    al. 2009), and are scaled back before they overflow.
    """

    MIN_VALUE, BUCKET_RATIO, BUCKET_COUNT = 0.01, 1.15, 64  # covers 0.01 to 67 with at most 7% error

    def __init__(self, time_constant: float) -> None:
        """`time_constant` in seconds."""
        self._time_constant, self._landmark = time_constant, 0.0
        self._weights = [0.0] * self.BUCKET_COUNT
        self._sum = 0.0

    def add(self, value: float, now: float) -> None:
        """Includes a sample."""
        if not self._sum:
            self._landmark = now
        if now - self._landmark > 100 * self._time_constant:
            factor = math.exp((self._landmark - now) / self._time_constant)
            self._weights = [weight * factor for weight in self._weights]
            self._sum, self._landmark = self._sum * factor, now
        weight = math.exp((now - self._landmark) / self._time_constant)
        self._weights[self._bucket(value)] += weight
        self._sum += weight

    def _bucket(self, value: float) -> int:
        if value <= self.MIN_VALUE:
            return 0
        return min(
            self.BUCKET_COUNT - 1, 1 + int(math.log(value / self.MIN_VALUE) / math.log(self.BUCKET_RATIO))
        )

    def at(self, quantile: float, now: float, min_samples: float) -> float:
        """The value at a quantile from 0 to 1; 0 while the decayed number of samples is too small."""
        if self._sum * math.exp((self._landmark - now) / self._time_constant) < min_samples:
            return 0.0
        cumulative = 0.0
        for bucket, weight in enumerate(self._weights):
            cumulative += weight
            if cumulative >= quantile * self._sum:
                # The geometric middle of the bucket; the first one holds values that are practically 0.
                return self.MIN_VALUE * self.BUCKET_RATIO ** (bucket - 0.5) if bucket else 0.0
        return self.MIN_VALUE * self.BUCKET_RATIO**self.BUCKET_COUNT


class RecentKeys:
    """Whether a key was added within the last one to two spans.

    Kept as two generations of a Bloom filter (Bloom 1970). With 2**16 bits per generation, 5,000 keys in a
    span give 1 false positive in 60 with both generations full, and 10,000 keys 1 in 10. There are no false
    negatives within one span.
    """

    BIT_COUNT, HASH_COUNT = 1 << 16, 3

    def __init__(self, span: float) -> None:
        """`span` in seconds."""
        self._span, self._rotated_at = span, -math.inf
        self._current, self._previous = bytearray(self.BIT_COUNT // 8), bytearray(self.BIT_COUNT // 8)

    def _bits(self, key: str) -> tuple[int, ...]:
        digest = int.from_bytes(blake2b(key.encode(), digest_size=8).digest(), "big")
        return tuple((digest >> (20 * n)) % self.BIT_COUNT for n in range(self.HASH_COUNT))

    def _rotate(self, now: float) -> None:
        if now - self._rotated_at >= self._span:
            stale = now - self._rotated_at >= 2 * self._span
            self._previous = bytearray(self.BIT_COUNT // 8) if stale else self._current
            self._current, self._rotated_at = bytearray(self.BIT_COUNT // 8), now

    def add(self, key: str, now: float) -> None:
        """Marks a key as seen now."""
        self._rotate(now)
        for bit in self._bits(key):
            self._current[bit >> 3] |= 1 << (bit & 7)

    def seen(self, key: str, now: float) -> bool:
        """Whether the key was added recently; may be wrong for a key that was not."""
        self._rotate(now)
        bits = self._bits(key)
        return any(
            all(generation[bit >> 3] & 1 << (bit & 7) for bit in bits)
            for generation in (self._current, self._previous)
        )
