"""Weighted max-min fairness by water-filling in one pass (Bertsekas and Gallager, Data Networks, 6.5.2)."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import accumulate

MIN_RELATIVE_WEIGHT = 1e-9  # share of the largest weight up to which a weight is treated as 0


def max_min(demands: Sequence[float], weights: Sequence[float], capacity: float) -> list[float]:
    """The allocation of the capacity to each demand, in the order given.

    A demand below its share is met in full; what it leaves goes to the others by weight. None gets more than
    its demand. Those of weight 0 share equally what the others leave.
    """
    allocated = [0.0] * len(demands)
    scale = max(weights, default=0.0) or 1.0
    relative = [weight / scale for weight in weights]
    weighted = sorted(
        (n for n, weight in enumerate(relative) if weight > MIN_RELATIVE_WEIGHT),
        key=lambda n: demands[n] / relative[n],
    )
    left = _fill(weighted, demands, relative, max(0.0, capacity), allocated)
    unweighted = sorted(
        (n for n, weight in enumerate(relative) if weight <= MIN_RELATIVE_WEIGHT), key=lambda n: demands[n]
    )
    _fill(unweighted, demands, [1.0] * len(demands), left, allocated)
    return allocated


def _fill(
    order: Sequence[int],
    demands: Sequence[float],
    weights: Sequence[float],
    left: float,
    allocated: list[float],
) -> float:
    """Allocates in this order, smallest demand per weight first. Returns the capacity that is left."""
    # Summed from the end: subtracting from a total one by one would lose a tiny last weight to rounding.
    remaining_weights = list(accumulate(weights[n] for n in reversed(order)))[::-1]
    for n, remaining in zip(order, remaining_weights, strict=True):
        allocated[n] = min(demands[n], left * (weights[n] / remaining))
        left = max(0.0, left - allocated[n])
    return left
