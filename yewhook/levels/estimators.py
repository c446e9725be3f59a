"""Small estimators that forget: none of them grows with what it has seen."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from hashlib import blake2b

from hopshed.estimate import Estimate


@dataclass(slots=True)
class DecayingRate:
    """Amount a second, fading over a time constant (s); right from the first seconds on, when less has
    passed."""

    constant: float
    began: float
    sum: Estimate = field(default_factory=Estimate)

    def add(self, amount: float, now: float) -> None:
        self.sum.add(amount, now, self.constant)

    def at(self, now: float) -> float:
        seen = 1.0 - math.exp((self.began - now) / self.constant)
        return self.sum.decayed(now, self.constant) / (self.constant * seen) if seen > 0 else 0.0


@dataclass(slots=True)
class DecayingRatio:
    """Part of what came that is counted, fading; 0 while less has come lately than `least`."""

    constant: float
    min_total: float
    counted: Estimate = field(default_factory=Estimate)
    all: Estimate = field(default_factory=Estimate)

    def add(self, amount: float, counts: bool, now: float) -> None:
        self.all.add(amount, now, self.constant)
        if counts:
            self.counted.add(amount, now, self.constant)

    def at(self, now: float) -> float:
        whole = self.all.decayed(now, self.constant)
        # What has come lately is too little to judge by: it is held against the least instead.
        return (
            min(1.0, self.counted.decayed(now, self.constant) / max(whole, self.min_total)) if whole else 0.0
        )


@dataclass(slots=True)
class Mean:
    """A mean that follows: each sample weighs `gain`, the first ones as in a plain mean."""

    gain: float
    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        self.count += 1
        self.value += max(self.gain, 1.0 / self.count) * (sample - self.value)

    def known(self, otherwise: float) -> float:
        return self.value if self.count else otherwise


class Quantiles:
    """A fading histogram over geometric buckets: a quantile is right to the buckets' ratio.

    Weights grow with time instead of all buckets being faded (forward decay; Cormode et al. 2009), and are
    scaled back before they overflow.
    """

    LEAST, RATIO, BUCKETS = 0.01, 1.15, 64  # 0.01 to 67, with an error of 7% at most

    def __init__(self, constant: float) -> None:
        self._constant, self._landmark = constant, 0.0
        self._weights = [0.0] * self.BUCKETS
        self._sum = 0.0

    def add(self, value: float, now: float) -> None:
        if not self._sum:
            self._landmark = now
        if now - self._landmark > 100 * self._constant:
            fade = math.exp((self._landmark - now) / self._constant)
            self._weights = [weight * fade for weight in self._weights]
            self._sum, self._landmark = self._sum * fade, now
        weight = math.exp((now - self._landmark) / self._constant)
        self._weights[self._bucket(value)] += weight
        self._sum += weight

    def _bucket(self, value: float) -> int:
        if value <= self.LEAST:
            return 0
        return min(self.BUCKETS - 1, 1 + int(math.log(value / self.LEAST) / math.log(self.RATIO)))

    def at(self, part: float, now: float, least: float) -> float:
        """The value below which that part lies; 0 where fewer samples than `least` are left of what faded."""
        if self._sum * math.exp((self._landmark - now) / self._constant) < least:
            return 0.0
        passed = 0.0
        for bucket, weight in enumerate(self._weights):
            passed += weight
            if passed >= part * self._sum:
                # The middle of the bucket, in ratio; the first one holds what is as good as nothing.
                return self.LEAST * self.RATIO ** (bucket - 0.5) if bucket else 0.0
        return self.LEAST * self.RATIO**self.BUCKETS


class Recent:
    """Whether a key was seen within the last one to two spans: two generations of a Bloom filter (Bloom
    1970).

    At 64 KiB of bits a generation, 10,000 keys in a span give under 1 wrong yes in 40; there is no wrong no.
    """

    BITS, PROBES = 1 << 16, 3

    def __init__(self, span: float) -> None:
        self._span, self._turned = span, -math.inf
        self._young, self._old = bytearray(self.BITS // 8), bytearray(self.BITS // 8)

    def _places(self, key: str) -> tuple[int, ...]:
        digest = int.from_bytes(blake2b(key.encode(), digest_size=8).digest(), "big")
        return tuple((digest >> (20 * n)) % self.BITS for n in range(self.PROBES))

    def _turn(self, now: float) -> None:
        if now - self._turned >= self._span:
            stale = now - self._turned >= 2 * self._span
            self._old = bytearray(self.BITS // 8) if stale else self._young
            self._young, self._turned = bytearray(self.BITS // 8), now

    def add(self, key: str, now: float) -> None:
        self._turn(now)
        for place in self._places(key):
            self._young[place >> 3] |= 1 << (place & 7)

    def seen(self, key: str, now: float) -> bool:
        self._turn(now)
        places = self._places(key)
        return any(all(g[p >> 3] & 1 << (p & 7) for p in places) for g in (self._young, self._old))
