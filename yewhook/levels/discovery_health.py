"""How far the list of servers can be believed: the age of its last word, and what sockets say against it."""

from __future__ import annotations

from hopshed.interface import ListKind, Outcome, Server, ServersListed, ServerState

OLD = 5.0  # s since its last word after which each contradiction counts double
KEPT = 6.0  # s for which a server that could not be reached, or said nothing, counts as contradicted
AGAINST = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.RESET})
FOR = frozenset({Outcome.OK, Outcome.READ, Outcome.FULL})


class DiscoveryHealth:
    """No more is kept than a time for each server that is running by the list."""

    def __init__(self) -> None:
        self.known = False  # whether any list has come
        self._running: dict[int, float] = {}  # server -> until when it counts as contradicted

    def listed(self, ev: ServersListed) -> None:
        if ev.kind is ListKind.FAILED:
            return
        self.known = True
        if ev.kind is not ListKind.CHANGES:
            kept = {server.id for server in ev.servers}
            self._running = {n: until for n, until in self._running.items() if n in kept}
        for server in ev.servers:
            self._one(server)

    def _one(self, server: Server) -> None:
        if server.state is ServerState.RUNNING:
            self._running.setdefault(server.id, 0.0)
        else:
            self._running.pop(server.id, None)

    def heard(self, server: int, outcome: Outcome, now: float) -> None:
        if server in self._running and outcome in AGAINST:
            self._running[server] = now + KEPT
        elif server in self._running and outcome in FOR:
            self._running[server] = 0.0

    def doubt(self, now: float, age: float) -> float:
        """Part of the running servers that sockets contradict; more where its last word is old."""
        if not self._running:
            return 0.0
        against = sum(until > now for until in self._running.values()) / len(self._running)
        return min(1.0, against * (2.0 if age > OLD else 1.0))
