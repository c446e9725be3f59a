"""Watches the resident memory of the process, and lowers what connections may take where that is too much.

What connections are charged is an estimate. The allocator also keeps memory that has been given back, so the
limit is lowered only as the resident memory grows, and raised again where it has fallen.
"""

from __future__ import annotations

import os
from pathlib import Path

from .loop import Loop

CHECK_INTERVAL_S = 0.25
HIGH_SHARE = 0.92  # of the limit, above which resident memory is too much
LOW_SHARE = 0.85  # of the limit, below which there is room again
LOWER_FACTOR, RAISE_FACTOR = 0.8, 1.05
GROWTH_BYTES = 256 << 10  # of resident memory, between two steps down
MIN_CONNECTION_MEMORY_BYTES = 1 << 20  # that connections may take, however little is left
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(pid: int | str = "self") -> int:
    """The resident memory of a process in bytes. Raises OSError if there is no such process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class MemoryMonitor:
    """Adapts the memory budget of a loop to the resident memory of the process."""

    def __init__(self, loop: Loop, limit_bytes: int) -> None:
        """`limit_bytes` is the memory that the process may have; the budget's limit is its highest."""
        self._loop, self._limit_bytes = loop, limit_bytes
        self._highest = loop.memory.limit
        self._lowered_at_bytes = 0  # resident memory at the last step down
        self._check_periodically()

    def _check_periodically(self) -> None:
        try:
            self.check(resident_bytes())
        except OSError as error:  # no descriptor is free
            self._loop.log("memory not read", str(error))
        self._loop.after(CHECK_INTERVAL_S, self._check_periodically)

    def check(self, resident: int) -> None:
        """Lower or raise the budget's limit, given the resident memory in bytes."""
        memory = self._loop.memory
        if resident < LOW_SHARE * self._limit_bytes:
            memory.limit = min(self._highest, memory.limit * RAISE_FACTOR)
            self._lowered_at_bytes = 0
        elif resident > max(HIGH_SHARE * self._limit_bytes, self._lowered_at_bytes + GROWTH_BYTES):
            memory.limit = max(MIN_CONNECTION_MEMORY_BYTES, memory.limit * LOWER_FACTOR)
            self._lowered_at_bytes = resident
            share = f"connections have {memory.charged >> 10} KiB and may take {int(memory.limit) >> 10}"
            of_limit = f"{resident >> 10} of {self._limit_bytes >> 10} KiB resident"
            self._loop.log("memory high", f"{of_limit}; {share}", resident=resident)
            self._loop.relieve_memory()
