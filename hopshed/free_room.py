"""Free room at writers and mixed servers, in streams, as estimated by one router.

It is computed from load reports, or from an adaptive concurrency limit where servers report no load.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from .interface import Role, Settings
from .state import Worker
from .topology import Topology

REPORT_TTL_S = 3.0  # older load reports are ignored
MEMORY_FULL_SHARE = 0.9  # share of memory in use above which a server has no room
MIN_UTILIZATION = 0.05  # lower bound, as reports of idle servers say little
SMOOTHING_S = 0.25  # time constant of the moving average of room
LIMIT_START = 4.0  # streams; initial concurrency limit
MIN_LIMIT = 1.0  # streams
LIMIT_CUT = 0.85  # share of the current streams that the limit is lowered to
LIMIT_RAISE_USE = 0.7  # share of the limit that must be in use for it to be raised
REQUEST_SIZE_GAIN = 0.05  # weight of a sample in the mean size of a request


class FreeRoom:
    """Room for more streams at servers, and the measures it is computed from."""

    def __init__(self, settings: Settings, topology: Topology) -> None:
        self._settings, self._topology = settings, topology
        self._reported = not {"utilization", "memory_share"}.isdisjoint(settings.report_fields)
        self.streams = dict.fromkeys(Role, 0)  # this router's streams at the servers of each role
        self.mean_request_tokens = 0.0  # mean tokens of a request, prompt and answer
        self._smoothed: dict[Role, float] = {}
        self._smoothed_at = 0.0

    def request_arrived(self, tokens: float) -> None:
        """Count a request of so many tokens, prompt and answer, in the mean size."""
        self.mean_request_tokens = (
            self.mean_request_tokens + REQUEST_SIZE_GAIN * (tokens - self.mean_request_tokens)
            if self.mean_request_tokens
            else tokens
        )

    def of_server(self, worker: Worker, now: float) -> float | None:
        """Free room at a server; None if its load report is missing or too old.

        With reports it is in-flight x (1 - u) / u, less this router's sends since the report, where u is the
        higher of the utilization and the memory share, as slots stay free where memory is the limit. Drag
        reduces the room at servers that are slower than others.
        """
        if not self._reported:
            return self.stream_limit(worker) - worker.streams
        if (load := worker.load) is None or now - worker.load_at > REPORT_TTL_S:
            return None
        if (load.memory_share or 0.0) > MEMORY_FULL_SHARE or (load.queued or 0.0) >= 1.0:
            return -float(worker.sends_since_load)
        used = min(1.0, max(load.utilization or 0.0, load.memory_share or 0.0, MIN_UTILIZATION))
        return (
            self._own_share(worker) * (1 - used) / used / max(1.0, worker.drag) ** 2 - worker.sends_since_load
        )

    def _own_share(self, worker: Worker) -> float:
        """This router's share of the requests in flight at a server.

        From the report, else the highest of its streams there, its mean over the role's servers, and the
        requests that fit in the memory in use. One of many routers has one stream there or none; a minimum
        of one each would add up to many times the room.
        """
        if worker.load is not None and worker.load.in_flight is not None:
            return worker.load.in_flight / self._settings.instances
        requests = LIMIT_START
        if (
            worker.load is not None
            and worker.load.memory_share
            and self._settings.memory_tokens
            and self.mean_request_tokens
        ):
            requests = max(
                requests, worker.load.memory_share * self._memory_tokens(worker) / self.mean_request_tokens
            )
        mean = self.streams[worker.role] / max(1, self._topology.running[worker.role])
        return max(worker.streams_at_load, mean, requests / self._settings.instances)

    def _memory_tokens(self, worker: Worker) -> float:
        """A server's memory in tokens, by its kind."""
        return self._settings.memory_tokens[worker.info.kind]

    def stream_limit(self, worker: Worker) -> float:
        """The adaptive limit on this router's streams at a server; if known, its memory gives the start."""
        if worker.limit is None and self._settings.memory_tokens and self.mean_request_tokens:
            worker.limit = (
                MEMORY_FULL_SHARE
                * self._memory_tokens(worker)
                / self.mean_request_tokens
                / self._settings.instances
            )
        return LIMIT_START if worker.limit is None else worker.limit

    def lower_limit(self, worker: Worker) -> None:
        """Lower the limit of a full or slow server; repeated calls for the same streams lower it once."""
        limit = self.stream_limit(worker)
        if limit > MIN_LIMIT:  # a lower one is a router's share where there are many, and stays
            worker.limit = max(MIN_LIMIT, min(limit, (worker.streams + 1) * LIMIT_CUT))

    def raise_limit(self, worker: Worker) -> None:
        """Raise the limit after an answer in good time, by one for each limit's worth of answers."""
        if worker.streams > LIMIT_RAISE_USE * self.stream_limit(worker) > LIMIT_RAISE_USE:
            worker.limit = self.stream_limit(worker) + 1.0 / self.stream_limit(worker)

    def with_room(self, pool: Sequence[Worker], now: float) -> list[Worker]:
        """The servers with room for one more stream, and those without a load report."""
        rooms = zip(pool, self._at_each(pool, now), strict=True)
        return [
            worker
            for worker, room in rooms
            if room is None or room >= 1.0 or room >= min(1.0, self._own_share(worker))
        ]

    def _at_each(self, pool: Sequence[Worker], now: float) -> list[float | None]:
        """`of_server` for each; calls are avoided where the result is known, as pools are large."""
        if self._reported:
            return [None if worker.load is None else self.of_server(worker, now) for worker in pool]
        return [
            (self.stream_limit(worker) if worker.limit is None else worker.limit) - worker.streams
            for worker in pool
        ]

    def total(self, pool: Sequence[Worker], now: float) -> float:
        """Room at all servers of a pool; those without a report count with the mean of the others.

        Without any report the limits are used, so that admission is always bounded."""
        rooms = self._at_each(pool, now)
        known = [room for room in rooms if room is not None] or [
            self.stream_limit(worker) - worker.streams for worker in pool
        ]
        mean = sum(known) / len(known)
        return max(0.0, sum(mean if room is None else room for room in rooms))

    def smoothed(self, role: Role, pool: Sequence[Worker], now: float) -> float:
        """Moving average of the room at a role's usable servers; less than one stream shows at once."""
        if not pool:
            return 0.0
        raw = self.total(pool, now)
        old, gain = self._smoothed.get(role), 1 - math.exp(-(now - self._smoothed_at) / SMOOTHING_S)
        self._smoothed[role] = smooth = raw if old is None else old + gain * (raw - old)
        return min(smooth, raw) if raw < 1 else smooth

    def mark_smoothed(self, now: float) -> None:
        """Note the time of the averages, after those of all roles were taken."""
        self._smoothed_at = now
