"""Requests that are held until there is room, in the order in which they are let in. No clock, no I/O.

The lowest accumulated service time (CST) of a session goes first. A request that has waited for long against
its CST is lifted over all others, which bounds how long a session with much service waits.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from .state import Request

LIFT = 4.0  # s of wait for each s of CST after which a request is lifted
SLACK = 500  # entries of requests no longer held that may stay in the heaps


class HoldQueue:
    """A request leaves by `pop` or `remove`; its `held` says whether it is still here."""

    def __init__(self) -> None:
        self.count = 0  # requests held
        self._by_cst: list[tuple[bool, float, int, Request]] = []
        self._by_lift: list[tuple[float, int, Request]] = []  # never those beyond their client's quota
        self._serial = 0  # the order of arrival, among equals

    def push(self, req: Request, now: float) -> None:
        """Hold a request; those beyond their client's quota come after all others."""
        self._serial += 1
        self.count += 1
        heapq.heappush(self._by_cst, (req.over_quota, req.service_time, self._serial, req))
        if not req.over_quota:
            heapq.heappush(self._by_lift, (now + LIFT * req.service_time, self._serial, req))

    def pop(self, now: float) -> Request:
        """Take out the next request: a lifted one, else the lowest CST. Raises IndexError when empty."""
        req = None
        while req is None or not req.held:  # either heap still names requests that left by the other
            lifted = self._by_lift and self._by_lift[0][0] <= now
            req = heapq.heappop(self._by_lift)[2] if lifted else heapq.heappop(self._by_cst)[3]
        self.remove(req)
        return req

    def remove(self, req: Request) -> None:
        """A request is not held any longer, if it was."""
        self.count -= req.held
        req.held = False

    def compact(self) -> None:
        """Drop entries of requests that are no longer held, once they are most of what is kept."""
        if not self.count:
            self._by_cst, self._by_lift = [], []
        elif len(self._by_cst) + len(self._by_lift) > 4 * self.count + SLACK:
            self._by_cst = [entry for entry in self._by_cst if entry[-1].held]
            self._by_lift = [entry for entry in self._by_lift if entry[-1].held]
            heapq.heapify(self._by_cst)
            heapq.heapify(self._by_lift)

    def __iter__(self) -> Iterator[Request]:
        """The requests that either heap names, those no longer held among them."""
        yield from (entry[-1] for entry in self._by_cst)
        yield from (entry[-1] for entry in self._by_lift)
