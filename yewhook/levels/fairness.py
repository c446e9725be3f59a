"""Weighted max-min fairness (Bertsekas and Gallager, Data Networks, 6.5.2): by water-filling, in one pass."""

from __future__ import annotations

from collections.abc import Sequence


def max_min(demands: Sequence[float], weights: Sequence[float], capacity: float) -> list[float]:
    """What each gets of the capacity: its demand where that is under its share, and what is left so goes to
    the others by weight. None gets more than it asks; weights of 0 come last, alike."""
    order = sorted(
        range(len(demands)), key=lambda n: (demands[n] / weights[n]) if weights[n] > 0 else float("inf")
    )
    given = [0.0] * len(demands)
    left, weight = max(0.0, capacity), sum(w for w in weights if w > 0)
    idle = [n for n in order if weights[n] <= 0]
    for n in order:
        if weights[n] > 0:
            given[n] = min(demands[n], left * weights[n] / weight) if weight > 0 else 0.0
            left, weight = max(0.0, left - given[n]), weight - weights[n]
    for place, n in enumerate(sorted(idle, key=lambda n: demands[n])):
        given[n] = min(demands[n], left / (len(idle) - place))
        left -= given[n]
    return given
