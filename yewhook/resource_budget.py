"""Limits on the sockets and the memory of a process, from its configuration."""

from __future__ import annotations

from .config import Limits
from .loop import Loop
from .memory_monitor import MIN_CONNECTION_MEMORY_BYTES

PROCESS_DESCRIPTORS = 16  # for the standard streams, the listeners, the selector and the wake-up pipe
WORKER_SOCKETS_DIVISOR = 3  # one part in this many of the sockets is reserved for workers
# Part of the memory that connections may take: of what the process has left after its start, as far as that
# is known. The rest is for what is not charged, and for memory that the allocator can't give back.
MEMORY_SHARE_AT_START, MEMORY_SHARE_LEFT = 0.125, 0.65


class ResourceBudget:
    """Limits on open sockets and on memory; a part of the sockets is reserved for workers."""

    def __init__(self, loop: Loop, limits: Limits, reserved: int = 0) -> None:
        """`reserved` = descriptors that neither clients nor workers may use."""
        self._loop, self._sockets = loop, limits.sockets
        self._limit = self._total_limit = limits.sockets - PROCESS_DESCRIPTORS - reserved
        self._memory_bytes = limits.memory
        loop.memory.limit = int(limits.memory * MEMORY_SHARE_AT_START)

    def process_started(self, resident_bytes: int) -> None:
        """Limit the memory of connections to a part of what the process has left."""
        left = int((self._memory_bytes - resident_bytes) * MEMORY_SHARE_LEFT)
        self._loop.memory.limit = max(MIN_CONNECTION_MEMORY_BYTES, left)
        self._loop.log(
            "memory limit", f"{resident_bytes >> 10} of {self._memory_bytes >> 10} KiB are resident at the "
            f"start, connections may take {int(self._loop.memory.limit) >> 10} KiB",
        )  # fmt: skip

    def set_shared(self, shared: bool) -> None:
        """Leave half of the sockets, except those in use, to the other process of this instance."""
        half = self._total_limit // 2
        self._limit = (
            max(half, min(self._total_limit, self._loop.sockets + PROCESS_DESCRIPTORS))
            if shared
            else self._total_limit
        )

    def can_open_client(self) -> bool:
        """Whether a client connection may be accepted."""
        if self._loop.memory.exceeded:
            return False
        clients = self._limit - self._sockets * self._limit // (self._total_limit * WORKER_SOCKETS_DIVISOR)
        return self._loop.accepted < clients and self.can_open_worker()

    def can_open_worker(self) -> bool:
        """Whether a connection to a worker may be opened."""
        return self._loop.sockets < self._limit
