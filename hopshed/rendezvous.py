"""Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005).

All routers that know the same servers and weights order them alike for a key.
"""

from __future__ import annotations

import math
from hashlib import blake2b

SPACE = 2.0**64


def rank(key: str, server: int, weight: float = 1.0) -> float:
    """A server's score for a key: the highest wins, each in proportion to its weight."""
    draw = int.from_bytes(blake2b(f"{key}/{server}".encode(), digest_size=8).digest(), "big")
    return -weight / math.log((draw + 0.5) / (SPACE + 1.0)) if draw else 0.0


class Rendezvous:
    """Hash orders of a set of servers, kept until it changes: hashing a fleet each time costs CPU."""

    def __init__(self, keep: int) -> None:
        self.keep = keep
        self.weights: dict[int, float] = {}
        self.known: dict[str, tuple[int, ...]] = {}

    def servers(self, weights: dict[int, float]) -> None:
        if weights != self.weights:
            self.weights = weights
            self.known.clear()

    def order(self, key: str) -> tuple[int, ...]:
        """The servers in the key's order, highest rank first."""
        if key not in self.known:
            if len(self.known) >= self.keep:
                self.known.clear()
            ranked = sorted(self.weights, key=lambda n: (rank(key, n, self.weights[n]), n), reverse=True)
            self.known[key] = tuple(ranked)
        return self.known[key]
