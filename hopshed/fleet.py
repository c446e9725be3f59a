"""The servers that a controller knows, with what is asked of them again and again kept by role.

A decision that looks at each of thousands of servers keeps a router from all else: what changes with the list
alone is worked out when a list comes. No decision, clock or I/O stands here.
"""

from __future__ import annotations

import math

from .interface import Role, ServerState
from .state import Worker


class Fleet:
    """All servers by number; `index` has to be called when the list has changed them."""

    def __init__(self) -> None:
        self.workers: dict[int, Worker] = {}
        # In the order of `workers`.
        self.by_role: dict[Role, list[Worker]] = {role: [] for role in Role}
        self.running: dict[Role, list[Worker]] = {role: [] for role in Role}
        self._gone: list[Worker] = []

    def index(self) -> None:
        """Take in what a list has changed."""
        workers = list(self.workers.values())
        for role in Role:
            self.by_role[role] = [w for w in workers if w.role is role]
            self.running[role] = [w for w in self.by_role[role] if w.info.state is ServerState.RUNNING]
        self._gone = [w for w in workers if w.gone_at < math.inf]

    def forget_gone(self, before: float) -> list[int]:
        """Drop the servers that have been gone since before then; their numbers."""
        numbers = [w.info.id for w in self._gone if w.gone_at < before]
        for number in numbers:
            del self.workers[number]
        if numbers:
            self.index()
        return numbers
