"""The queue of held requests, which wait until there is room for them.

Requests of sessions with the lowest accumulated service time (CST) leave first. A request that has waited for
long in proportion to its session's service time is prioritized over all others, which bounds the wait of
sessions with much service time.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from .state import Request

PRIORITY_WAIT_FACTOR = 4.0  # seconds of wait for each second of service time until a request has priority
STALE_ENTRIES = 500  # entries of requests no longer held that may stay in the heaps


class HoldQueue:
    """A priority queue. A request leaves it by `pop` or `remove`; `Request.held` tells if it is held."""

    def __init__(self) -> None:
        self.count = 0  # requests held
        self._by_service_time: list[tuple[bool, float, int, Request]] = []
        self._by_priority_time: list[tuple[float, int, Request]] = []  # without those over their quota
        self._serial = 0  # orders equal entries by arrival

    def push(self, request: Request, now: float) -> None:
        """Hold a request; those over their tenant's quota come after all others."""
        self._serial += 1
        self.count += 1
        heapq.heappush(
            self._by_service_time, (request.over_quota, request.service_time, self._serial, request)
        )
        if not request.over_quota:
            heapq.heappush(
                self._by_priority_time,
                (now + PRIORITY_WAIT_FACTOR * request.service_time, self._serial, request),
            )

    def pop(self, now: float) -> Request:
        """Take out the next request: one with priority, else the one with the lowest service time.

        Raises IndexError when the queue is empty."""
        request = None
        while request is None or not request.held:  # each heap still has requests that left by the other
            priority = self._by_priority_time and self._by_priority_time[0][0] <= now
            request = (
                heapq.heappop(self._by_priority_time)[2]
                if priority
                else heapq.heappop(self._by_service_time)[3]
            )
        self.remove(request)
        return request

    def remove(self, request: Request) -> None:
        """Stop holding a request, if it is held."""
        self.count -= request.held
        request.held = False

    def compact(self) -> None:
        """Drop the entries of requests no longer held, once they are most of all entries."""
        if not self.count:
            self._by_service_time, self._by_priority_time = [], []
        elif len(self._by_service_time) + len(self._by_priority_time) > 4 * self.count + STALE_ENTRIES:
            self._by_service_time = [entry for entry in self._by_service_time if entry[-1].held]
            self._by_priority_time = [entry for entry in self._by_priority_time if entry[-1].held]
            heapq.heapify(self._by_service_time)
            heapq.heapify(self._by_priority_time)

    def __iter__(self) -> Iterator[Request]:
        """The requests in either heap, including those no longer held."""
        yield from (entry[-1] for entry in self._by_service_time)
        yield from (entry[-1] for entry in self._by_priority_time)
