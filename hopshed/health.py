"""Outlier detection: which servers fail or stay silent, and how long they are left out. No clock, no I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .gossip import Gossip
from .interface import Role, ServerState, Settings
from .queue_waits import QueueWaits
from .read_pace import ReadPaces
from .state import Worker
from .zone_reachability import ZoneReachability

ERROR_GAIN = 0.25  # weight of one answer or failure in a server's error rate
ERROR_RATE = 0.4  # error rate that ejects
DOUBT_RATE = 0.2  # error rate that puts a server in doubt; that of one failure is more
DOUBT_TIME = 30.0  # s after its last failure for which it stays in doubt
EJECT_BASE, EJECT_MAX = 2.0, 6.0  # s; the time out doubles with each ejection in a row
EJECT_MAX_SHARE = 0.7  # part of a role that may be ejected at once
SILENT_AFTER = 0.6  # s without an answer before a probe asks
SILENT_WAITS = 2.0  # expected waits that are added to it
SILENT_TIMES = 3.0  # after so many times this a writer is out, though it answers probes
PROBE_FAILS = 2  # probes lost in a row that eject a silent server


class Health:
    """What a router has seen of its servers' health."""

    def __init__(
        self, settings: Settings, zones: ZoneReachability, gossip: Gossip, waits: QueueWaits, paces: ReadPaces
    ) -> None:
        self._may_probe = settings.may_probe
        self._zones, self._gossip, self._waits, self._paces = zones, gossip, waits, paces

    def attempt_succeeded(self, w: Worker, now: float) -> None:
        """An attempt there has ended well, or has its first token."""
        self._zones.server_answered(w.info.zone)
        w.life, w.trial, w.probe_failures = now, False, 0
        w.errors *= 1 - ERROR_GAIN
        if now > w.ejected + EJECT_MAX:
            w.ejections = 0

    def attempt_failed(self, w: Worker, now: float) -> bool:
        """An attempt there has failed; whether the server is to be ejected.

        Guards against servers that fail fast, refuse connections or let attempts run out in silence, also
        broken links; it hurts when errors follow the request and not the server. EJECT_MAX_SHARE bounds that.
        """
        w.errors, w.failed_at = w.errors + ERROR_GAIN * (1.0 - w.errors), now
        return w.trial or w.errors > ERROR_RATE

    def probe_ended(self, w: Worker, answered: bool, now: float) -> bool:
        """A probe has been answered or was lost; whether the server is to be ejected as silent."""
        w.probe_in_flight = False
        if not answered:
            w.probe_failures += 1
            return w.probe_failures >= PROBE_FAILS and self._quiet(w, now)
        w.probe_failures = 0
        if not w.pending or w.role is not Role.WRITER:  # hung writers may answer probes beside their queue
            w.life = now
        return False

    def eject(self, w: Worker, peers: Sequence[Worker], now: float) -> bool:
        """Leave a server out for a while, unless too large a part of its role is; whether that was done.

        `peers` = the running servers of its role, itself among them.
        """
        ejected = sum(now < p.ejected for p in peers)
        if now < w.ejected or ejected + 1 > EJECT_MAX_SHARE * len(peers):
            return False
        w.ejected = now + min(EJECT_MAX, EJECT_BASE * 2**w.ejections)
        w.ejections, w.trial, w.errors = w.ejections + 1, True, 0.0
        w.known_usable = False
        return True

    def usable(self, w: Worker, now: float) -> bool:
        """Whether it may be sent to: it runs and is not ejected; after an ejection, one attempt at a time."""
        if w.info.state is not ServerState.RUNNING or now < w.ejected:
            return False
        busy = w.reads + w.streams > 0
        return not (w.trial and (busy or (self._may_probe and w.life < w.ejected)))

    def is_suspect(self, w: Worker, now: float) -> bool:
        """It failed us or another router lately, or is on trial after that.

        Guards turns that cannot be repeated against servers that fail all they get; others find out how these
        do. Reads have no effect, so readers are never in doubt.
        """
        failing = (w.trial or w.errors > DOUBT_RATE) and now - w.failed_at < DOUBT_TIME
        return w.role is not Role.READER and (failing or self._gossip.is_suspect(w.info.id, now))

    def without_suspects(self, workers: Sequence[Worker], now: float) -> list[Worker]:
        """Those that are not in doubt."""
        doubted = self._gossip.suspects(now)
        if not doubted:
            return [w for w in workers if not ((w.errors or w.trial) and self.is_suspect(w, now))]
        return [
            w
            for w in workers
            if not ((w.errors or w.trial or w.info.id in doubted) and self.is_suspect(w, now))
        ]

    def is_silent(self, w: Worker, now: float) -> bool:
        """Whether something waits there for long, and it has given no sign of life meanwhile."""
        return w.longest_wait(now) > SILENT_AFTER and self._quiet(w, now)

    def exceeds_silence_limit(self, w: Worker, now: float) -> bool:
        """Whether something waits there for so long that answers to probes no longer count."""
        return w.longest_wait(now) > SILENT_TIMES * (SILENT_AFTER + self._waits.of_server(w, now))

    def _quiet(self, w: Worker, now: float) -> bool:
        """No sign of life for longer than waits explain: lost probes alone would eject the busy ones."""
        read = w.pending[0].fresh_tokens * self._paces.by_role[w.role] if w.pending else 0.0
        return now - w.life > SILENT_AFTER + SILENT_WAITS * (self._waits.of_server(w, now) + read)
