"""Zones that this router cannot reach. No clock, no I/O.

When the network to a zone is cut off, each connection attempt to it costs its time-out, and each of its
servers is ejected only after two such attempts, while requests run out of time and attempts. Therefore two
servers of a zone that do not answer, without an answer from any server of the zone since, make the whole zone
unreachable for a short time; attempts after it find out whether the zone is back.

The drawback: where single machines of a healthy zone are lost and this router rarely hears from the other
servers there, it does without the zone for that time.
"""

from __future__ import annotations

MIN_SILENCE_S = 0.1  # a refused connection fails sooner
MIN_SILENT_SERVERS = 2  # silent servers that make a zone unreachable
AVOID_FOR_S = 2.0  # seconds after the latest silence for which the zone is avoided
REMEMBERED_S = 10.0  # time after which a server's silence no longer counts


class ZoneReachability:
    """The servers of each zone that recently did not answer."""

    def __init__(self) -> None:
        self._silent: dict[int, dict[int, float]] = {}  # zone -> server -> time of its latest silence

    def attempt_unanswered(self, zone: int, server: int, latency: float, now: float) -> None:
        """An attempt at a server ended after `latency` seconds without any answer."""
        if latency >= MIN_SILENCE_S:
            servers = self._silent.get(zone, {})
            recent = {number: at for number, at in servers.items() if now - at < REMEMBERED_S}
            self._silent[zone] = recent | {server: now}

    def server_answered(self, zone: int) -> None:
        """A server of the zone answered."""
        self._silent.pop(zone, None)

    def unreachable(self, now: float) -> set[int]:
        """The zones to avoid, as far as there are servers in others."""
        return {
            zone
            for zone, servers in self._silent.items()
            if len(servers) >= MIN_SILENT_SERVERS and now - max(servers.values()) < AVOID_FOR_S
        }
