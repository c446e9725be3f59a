"""Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005).

All routers that know the same servers and weights order them alike for a key.
"""

from __future__ import annotations

import math
from hashlib import blake2b

DIGEST_BYTES = 8
SPACE = 2.0 ** (8 * DIGEST_BYTES)


def rendezvous_score(key: str, server: int, weight: float = 1.0) -> float:
    """A server's score for a key: the highest wins, each in proportion to its weight."""
    return _score(blake2b(f"{key}/{server}".encode(), digest_size=DIGEST_BYTES).digest(), weight)


def _score(digest: bytes, weight: float) -> float:
    draw = int.from_bytes(digest, "big")
    return -weight / math.log((draw + 0.5) / (SPACE + 1.0)) if draw else 0.0


class Rendezvous:
    """Hash orders of a set of servers, kept until it changes: hashing a fleet each time costs CPU."""

    def __init__(self, keep: int) -> None:
        self.capacity = keep
        self.weights: dict[int, float] = {}
        self._names: dict[int, bytes] = {}
        self.orders: dict[str, tuple[int, ...]] = {}

    def set_weights(self, weights: dict[int, float]) -> None:
        if weights != self.weights:
            self.weights = weights
            self._names = {server: str(server).encode() for server in weights}
            self.orders.clear()

    def order(self, key: str) -> tuple[int, ...]:
        """The servers in the key's order, highest rank first."""
        if key not in self.orders:
            if len(self.orders) >= self.capacity:
                self.orders.clear()
            self.orders[key] = self._ranked(key)
        return self.orders[key]

    def _ranked(self, key: str) -> tuple[int, ...]:
        """All servers by `rank`. What their digests have in common is hashed once."""
        common = blake2b(f"{key}/".encode(), digest_size=DIGEST_BYTES)
        scores = []
        for server, name in self._names.items():
            digest = common.copy()
            digest.update(name)
            scores.append((_score(digest.digest(), self.weights[server]), server))
        scores.sort(reverse=True)
        return tuple([server for _, server in scores])
