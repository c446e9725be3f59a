"""The order in which an agent starts its instances. No I/O."""

from __future__ import annotations

from collections.abc import Sequence


def next_to_start(waiting: Sequence[str], starting: int, at_a_time: int) -> Sequence[str]:
    """The waiting instances to start now, with at most `at_a_time` starting at once.

    The number is limited because starting takes processor time from the instances that already serve.
    """
    return waiting[: max(0, at_a_time - starting)]
