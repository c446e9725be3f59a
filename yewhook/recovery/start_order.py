"""In which order an agent starts what is wanted. No I/O."""

from __future__ import annotations

from collections.abc import Sequence


def next_to_start(waiting: Sequence[str], starting: int, at_a_time: int) -> Sequence[str]:
    """Which instances to start now, of those that wait: starts cost processor time that others serve
    with."""
    return waiting[: max(0, at_a_time - starting)]
