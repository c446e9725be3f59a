"""Free room at writers and mixed servers, as one router believes it. No clock, no I/O.

Room is counted in streams. Where servers report no load, an adaptive concurrency limit stands in.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from .interface import Role, Settings
from .state import Worker
from .topology import Topology

REPORT_TTL = 3.0  # s; age at which a load report is as not heard
MEMORY_FULL = 0.9  # memory share above which a server has no room
MIN_UTILIZATION = 0.05  # reports of idle servers say little
SMOOTHING = 0.25  # s; time constant of the moving average over room
LIMIT_START, MIN_LIMIT = 4.0, 1.0  # streams; adaptive concurrency limit
LIMIT_CUT = 0.85  # part of our streams that stays when a server is full or slow
LIMIT_NEAR = 0.7  # part of the limit in use from which a good answer raises it
CONTEXT_GAIN = 0.05  # weight of a sample in the mean size of a request


class FreeRoom:
    """What servers can still take, and the measures that this is judged by."""

    def __init__(self, settings: Settings, topology: Topology) -> None:
        self._settings, self._topology = settings, topology
        self._reported = not {"utilization", "memory_share"}.isdisjoint(settings.report_fields)
        self.streams = dict.fromkeys(Role, 0)  # this router's streams at the servers of each role
        self.mean_request_tokens = 0.0  # mean tokens of a request, prompt and answer
        self._smoothed: dict[Role, float] = {}
        self._smoothed_at = 0.0

    def request_arrived(self, tokens: float) -> None:
        """A request of so many tokens, prompt and answer, has come."""
        self.mean_request_tokens = (
            self.mean_request_tokens + CONTEXT_GAIN * (tokens - self.mean_request_tokens)
            if self.mean_request_tokens
            else tokens
        )

    def of_server(self, w: Worker, now: float) -> float | None:
        """Free room at a server: in-flight x (1 - u) / u, less our sends since the report; None = not heard.

        u is the fuller of slots and memory, as slots stay empty where memory binds; where servers report no
        load, an adaptive limit stands in. Drag guards against servers that slow their streams.
        """
        if not self._reported:
            return self.stream_limit(w) - w.streams
        if (load := w.load) is None or now - w.load_at > REPORT_TTL:
            return None
        if (load.memory_share or 0.0) > MEMORY_FULL or (load.queued or 0.0) >= 1.0:
            return -float(w.sends_since_load)
        u = min(1.0, max(load.utilization or 0.0, load.memory_share or 0.0, MIN_UTILIZATION))
        return self._part(w) * (1 - u) / u / max(1.0, w.drag) ** 2 - w.sends_since_load

    def _part(self, w: Worker) -> float:
        """Our part of the requests at w: told, our streams, their mean over its peers, or by memory held.

        One of many routers has none or one there, and a floor of one each adds up to many times the room.
        """
        if w.load is not None and w.load.in_flight is not None:
            return w.load.in_flight / self._settings.instances
        held = LIMIT_START
        if (
            w.load is not None
            and w.load.memory_share
            and self._settings.memory_tokens
            and self.mean_request_tokens
        ):
            held = max(held, w.load.memory_share * self._memory(w) / self.mean_request_tokens)
        mean = self.streams[w.role] / max(1, self._topology.running[w.role])
        return max(w.streams_at_load, mean, held / self._settings.instances)

    def _memory(self, w: Worker) -> float:
        """A server's memory in tokens, by its kind."""
        return self._settings.memory_tokens[w.info.kind]

    def stream_limit(self, w: Worker) -> float:
        """The adaptive limit on this router's streams at a server; it starts from the memory, where told."""
        if w.limit is None and self._settings.memory_tokens and self.mean_request_tokens:
            w.limit = MEMORY_FULL * self._memory(w) / self.mean_request_tokens / self._settings.instances
        return LIMIT_START if w.limit is None else w.limit

    def lower_limit(self, w: Worker) -> None:
        """The server is full or slow: lower its limit, once for however many of our streams say so."""
        limit = self.stream_limit(w)
        if limit > MIN_LIMIT:  # a part of fewer streams is of many routers: it stays
            w.limit = max(MIN_LIMIT, min(limit, (w.streams + 1) * LIMIT_CUT))

    def raise_limit(self, w: Worker) -> None:
        """The server has answered in good time: raise its limit by one for each limit's worth of answers."""
        if w.streams > LIMIT_NEAR * self.stream_limit(w) > LIMIT_NEAR:
            w.limit = self.stream_limit(w) + 1.0 / self.stream_limit(w)

    def with_room(self, pool: Sequence[Worker], now: float) -> list[Worker]:
        """The servers with room for one more stream, or that have not been heard."""
        rooms = zip(pool, self._at_each(pool, now), strict=True)
        return [w for w, room in rooms if room is None or room >= 1.0 or room >= min(1.0, self._part(w))]

    def _at_each(self, pool: Sequence[Worker], now: float) -> list[float | None]:
        """Free room at each: what `at` says, without the call where that is known at a glance."""
        if self._reported:
            return [None if w.load is None else self.of_server(w, now) for w in pool]
        return [(self.stream_limit(w) if w.limit is None else w.limit) - w.streams for w in pool]

    def total(self, pool: Sequence[Worker], now: float) -> float:
        """Room at servers together. Where none is heard yet the limit from told memory stands in, so that
        there is always a gate."""
        rooms = self._at_each(pool, now)
        known = [r for r in rooms if r is not None] or [self.stream_limit(w) - w.streams for w in pool]
        mean = sum(known) / len(known)
        return max(0.0, sum(mean if r is None else r for r in rooms))

    def smoothed(self, role: Role, pool: Sequence[Worker], now: float) -> float:
        """Moving average of the room at a role's usable servers; it does not hide that they are full."""
        if not pool:
            return 0.0
        raw = self.total(pool, now)
        old, gain = self._smoothed.get(role), 1 - math.exp(-(now - self._smoothed_at) / SMOOTHING)
        self._smoothed[role] = smooth = raw if old is None else old + gain * (raw - old)
        return min(smooth, raw) if raw < 1 else smooth

    def mark_smoothed(self, now: float) -> None:
        """All roles' averages have been taken for this moment."""
        self._smoothed_at = now
