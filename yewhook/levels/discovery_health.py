"""How far the list of servers can be trusted: how old it is, and how many connections contradict it."""

from __future__ import annotations

from hopshed.interface import ListKind, Outcome, Server, ServersListed, ServerState

STALE_AFTER_S = 5.0  # age of the last message from discovery above which contradictions count double
CONTRADICTED_S = 6.0  # for which a server counts as contradicted after it was unreachable or silent
# Outcomes of an attempt that contradict or confirm that the server runs, as the list says
CONTRADICTING = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.RESET})
CONFIRMING = frozenset({Outcome.OK, Outcome.READ, Outcome.FULL})


class DiscoveryHealth:
    """Compares the list of servers with the outcomes of attempts; keeps one time per running server."""

    def __init__(self) -> None:
        self.has_list = False  # whether any list was received
        self._contradicted_until: dict[int, float] = {}  # by the id of each server listed as running

    def servers_listed(self, event: ServersListed) -> None:
        """Takes over a list of servers from discovery."""
        if event.kind is ListKind.FAILED:
            return
        self.has_list = True
        if event.kind is not ListKind.CHANGES:
            listed = {server.id for server in event.servers}
            self._contradicted_until = {
                server_id: until
                for server_id, until in self._contradicted_until.items()
                if server_id in listed
            }
        for server in event.servers:
            self._update(server)

    def _update(self, server: Server) -> None:
        if server.state is ServerState.RUNNING:
            self._contradicted_until.setdefault(server.id, 0.0)
        else:
            self._contradicted_until.pop(server.id, None)

    def attempt_ended(self, server: int, outcome: Outcome, now: float) -> None:
        """Notes whether the outcome of an attempt confirms or contradicts that the server runs."""
        if server in self._contradicted_until and outcome in CONTRADICTING:
            self._contradicted_until[server] = now + CONTRADICTED_S
        elif server in self._contradicted_until and outcome in CONFIRMING:
            self._contradicted_until[server] = 0.0

    def doubt(self, now: float, age: float) -> float:
        """The share of running servers that connections contradict; doubled if the list is stale.

        `age` = seconds since the last message from discovery.
        """
        if not self._contradicted_until:
            return 0.0
        contradicted = sum(until > now for until in self._contradicted_until.values()) / len(
            self._contradicted_until
        )
        return min(1.0, contradicted * (2.0 if age > STALE_AFTER_S else 1.0))
