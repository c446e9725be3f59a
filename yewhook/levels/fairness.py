"""Weighted max-min fairness (Bertsekas and Gallager, Data Networks, 6.5.2): by water-filling, in one pass."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import accumulate

LEAST = 1e-9  # of the largest weight; one under it counts as none


def max_min(demands: Sequence[float], weights: Sequence[float], capacity: float) -> list[float]:
    """What each gets of the capacity: its demand where that is under its share, and what is left so goes to
    the others by weight. None gets more than it asks; those of weight 0 share alike what the others leave."""
    given = [0.0] * len(demands)
    scale = max(weights, default=0.0) or 1.0
    parts = [w / scale for w in weights]
    weighted = sorted((n for n, w in enumerate(parts) if w > LEAST), key=lambda n: demands[n] / parts[n])
    left = _fill(weighted, demands, parts, max(0.0, capacity), given)
    rest = sorted((n for n, w in enumerate(parts) if w <= LEAST), key=lambda n: demands[n])
    _fill(rest, demands, [1.0] * len(demands), left, given)
    return given


def _fill(
    order: Sequence[int], demands: Sequence[float], weights: Sequence[float], left: float, given: list[float]
) -> float:
    """Serve in this order, the least demand for its weight first; what is left after that."""
    # Weights still to come are summed from the end: taken off one by one, a tiny last one would be lost.
    to_come = list(accumulate(weights[n] for n in reversed(order)))[::-1]
    for n, weight in zip(order, to_come, strict=True):
        given[n] = min(demands[n], left * (weights[n] / weight))
        left = max(0.0, left - given[n])
    return left
