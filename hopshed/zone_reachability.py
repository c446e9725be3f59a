"""Zones that this router cannot reach. No clock, no I/O.

When a zone is cut off, nothing is said: each new connection to it costs the time after which it is given up,
and each server there is found out by itself, twice, while requests run out of time and attempts. Two servers
of one zone that stay silent, and no sign of life from any there since, are taken for the zone's; a later
attempt finds out whether it is back. It hurts where single machines of a healthy zone are lost and this
router hears of the others there too seldom; it then goes without them for a moment.
"""

from __future__ import annotations

SILENT = 0.1  # s; a connection that is refused says so sooner
LEAST = 2  # servers of a zone that stay silent
AVOIDED_FOR, REMEMBERED = 2.0, 10.0  # s after the last silence; until one counts no more


class ZoneReachability:
    """Servers that stayed silent lately, by zone."""

    def __init__(self) -> None:
        self._silent: dict[int, dict[int, float]] = {}  # zone -> server -> when it last stayed silent

    def attempt_unanswered(self, zone: int, server: int, latency: float, now: float) -> None:
        """An attempt at a server came to nothing after so many s, without a word."""
        if latency >= SILENT:
            heard = self._silent.get(zone, {})
            recent = {n: at for n, at in heard.items() if now - at < REMEMBERED}
            self._silent[zone] = recent | {server: now}

    def server_answered(self, zone: int) -> None:
        """A server there has answered."""
        self._silent.pop(zone, None)

    def unreachable(self, now: float) -> set[int]:
        """The zones to go without, where there are others."""
        return {
            zone
            for zone, servers in self._silent.items()
            if len(servers) >= LEAST and now - max(servers.values()) < AVOIDED_FOR
        }
