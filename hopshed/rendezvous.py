"""Weighted rendezvous hashing (Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005).

All routers that have the same servers and weights compute the same order of servers for a key.
"""

from __future__ import annotations

import math

from .hashing import blake2b

DIGEST_BYTES = 8
DIGEST_VALUES = 2.0 ** (8 * DIGEST_BYTES)  # number of different digests


def rendezvous_score(key: str, server: int, weight: float = 1.0) -> float:
    """A server's score for a key. The highest score wins, with a probability in proportion to the weight."""
    return _score(blake2b(f"{key}/{server}".encode(), digest_size=DIGEST_BYTES).digest(), weight)


def _score(digest: bytes, weight: float) -> float:
    draw = int.from_bytes(digest, "big")
    return -weight / math.log((draw + 0.5) / (DIGEST_VALUES + 1.0)) if draw else 0.0


class Rendezvous:
    """Orders of a set of servers by key, cached until the set changes: hashing all servers takes CPU time."""

    def __init__(self, capacity: int) -> None:
        """`capacity` is the number of orders that are cached."""
        self.capacity = capacity
        self.weights: dict[int, float] = {}
        self._encoded: dict[int, bytes] = {}  # by server, its part of the hashed key
        self.orders: dict[str, tuple[int, ...]] = {}

    def set_weights(self, weights: dict[int, float]) -> None:
        """Set the servers and their weights; drops the cache where they have changed."""
        if weights != self.weights:
            self.weights = weights
            self._encoded = {server: str(server).encode() for server in weights}
            self.orders.clear()

    def order(self, key: str) -> tuple[int, ...]:
        """The servers in the key's order, highest score first."""
        if key not in self.orders:
            if len(self.orders) >= self.capacity:
                self.orders.clear()
            self.orders[key] = self._compute_order(key)
        return self.orders[key]

    def _compute_order(self, key: str) -> tuple[int, ...]:
        """All servers by `rendezvous_score`. The prefix that all digests share is hashed once."""
        common = blake2b(f"{key}/".encode(), digest_size=DIGEST_BYTES)
        scores = []
        for server, encoded in self._encoded.items():
            digest = common.copy()
            digest.update(encoded)
            scores.append((_score(digest.digest(), self.weights[server]), server))
        scores.sort(reverse=True)
        return tuple([server for _, server in scores])
