"""Outlier detection: which servers fail or are silent, and how long they are ejected. No clock, no I/O."""

from __future__ import annotations

from collections.abc import Sequence

from .gossip import Gossip
from .interface import Role, ServerState, Settings
from .queue_waits import QueueWaits
from .read_pace import ReadPaces
from .state import Worker
from .zone_reachability import ZoneReachability

ERROR_GAIN = 0.25  # weight of one result in a server's error rate, an exponential moving average
EJECTION_ERROR_RATE = 0.4  # error rate above which a server is ejected
SUSPECT_ERROR_RATE = 0.2  # error rate above which a server is suspect; one failure suffices
SUSPECT_FOR_S = 30.0  # time after its last failure for which a server is suspect
EJECTION_BASE_S = 2.0  # duration of the first ejection; it doubles with each one in a row
EJECTION_MAX_S = 6.0  # longest ejection
EJECTED_SHARE_MAX = 0.7  # largest part of a role's servers that may be ejected at once
SILENT_AFTER_S = 0.6  # time without an answer after which a server is probed
SILENT_WAIT_FACTOR = 2.0  # expected waits that are added to SILENT_AFTER_S
# A writer is ejected after so many times SILENT_AFTER_S plus the expected wait, even if it answers probes.
SILENCE_LIMIT_FACTOR = 3.0
PROBE_FAILURES_MAX = 2  # lost probes in a row that eject a silent server


class Health:
    """Judges servers by the results of attempts and probes, which are kept in each `Worker`."""

    def __init__(
        self, settings: Settings, zones: ZoneReachability, gossip: Gossip, waits: QueueWaits, paces: ReadPaces
    ) -> None:
        self._may_probe = settings.may_probe
        self._zones, self._gossip, self._waits, self._paces = zones, gossip, waits, paces

    def attempt_succeeded(self, worker: Worker, now: float) -> None:
        """An attempt at the server succeeded or received its first token."""
        self._zones.server_answered(worker.info.zone)
        worker.life, worker.trial, worker.probe_failures = now, False, 0
        worker.errors *= 1 - ERROR_GAIN
        if now > worker.ejected + EJECTION_MAX_S:
            worker.ejections = 0

    def attempt_failed(self, worker: Worker, now: float) -> bool:
        """An attempt at the server failed. Returns whether the server is to be ejected.

        Guards against servers that fail quickly, refuse connections or never answer, and against broken
        links. Where errors are caused by requests, healthy servers are ejected; EJECTED_SHARE_MAX limits it.
        """
        worker.errors, worker.failed_at = worker.errors + ERROR_GAIN * (1.0 - worker.errors), now
        return worker.trial or worker.errors > EJECTION_ERROR_RATE

    def probe_ended(self, worker: Worker, answered: bool, now: float) -> bool:
        """A probe was answered or lost. Returns whether the server is to be ejected as silent."""
        worker.probe_in_flight = False
        if not answered:
            worker.probe_failures += 1
            return worker.probe_failures >= PROBE_FAILURES_MAX and self._no_sign_of_life(worker, now)
        worker.probe_failures = 0
        # A writer whose queue hangs may answer probes: they prove nothing while requests are pending there.
        if not worker.pending or worker.role is not Role.WRITER:
            worker.life = now
        return False

    def eject(self, worker: Worker, peers: Sequence[Worker], now: float) -> bool:
        """Eject a server unless too many of its role are ejected. Returns whether it was ejected.

        `peers` are the running servers of its role, including itself.
        """
        ejected = sum(now < peer.ejected for peer in peers)
        if now < worker.ejected or ejected + 1 > EJECTED_SHARE_MAX * len(peers):
            return False
        worker.ejected = now + min(EJECTION_MAX_S, EJECTION_BASE_S * 2**worker.ejections)
        worker.ejections, worker.trial, worker.errors = worker.ejections + 1, True, 0.0
        worker.known_usable = False
        return True

    def usable(self, worker: Worker, now: float) -> bool:
        """Whether the server runs and is not ejected; after an ejection it gets one attempt at a time."""
        if worker.info.state is not ServerState.RUNNING or now < worker.ejected:
            return False
        busy = worker.reads + worker.streams > 0
        return not (worker.trial and (busy or (self._may_probe and worker.life < worker.ejected)))

    def is_suspect(self, worker: Worker, now: float) -> bool:
        """Whether the server failed recently, here or at another router, or is on trial after an ejection.

        Requests that must not be repeated avoid suspect servers; requests of other classes find out whether
        these still fail. Readers are never suspect, because reads have no effect and may be repeated.
        """
        failing = (
            worker.trial or worker.errors > SUSPECT_ERROR_RATE
        ) and now - worker.failed_at < SUSPECT_FOR_S
        return worker.role is not Role.READER and (failing or self._gossip.is_suspect(worker.info.id, now))

    def without_suspects(self, workers: Sequence[Worker], now: float) -> list[Worker]:
        """The servers that are not suspect."""
        suspects = self._gossip.suspects(now)
        # The conditions on errors and trial save a call for each server that never failed.
        if not suspects:
            return [
                worker
                for worker in workers
                if not ((worker.errors or worker.trial) and self.is_suspect(worker, now))
            ]
        return [
            worker
            for worker in workers
            if not (
                (worker.errors or worker.trial or worker.info.id in suspects) and self.is_suspect(worker, now)
            )
        ]

    def is_silent(self, worker: Worker, now: float) -> bool:
        """Whether a request has waited at the server for long without any sign of life from the server."""
        return worker.longest_wait(now) > SILENT_AFTER_S and self._no_sign_of_life(worker, now)

    def exceeds_silence_limit(self, worker: Worker, now: float) -> bool:
        """Whether a request has waited at the server for so long that answers to probes no longer count."""
        return worker.longest_wait(now) > SILENCE_LIMIT_FACTOR * (
            SILENT_AFTER_S + self._waits.of_server(worker, now)
        )

    def _no_sign_of_life(self, worker: Worker, now: float) -> bool:
        """Whether the last sign of life is older than the server's queue and the pending read explain.

        Lost probes alone would eject busy servers."""
        read = worker.pending[0].fresh_tokens * self._paces.by_role[worker.role] if worker.pending else 0.0
        return now - worker.life > SILENT_AFTER_S + SILENT_WAIT_FACTOR * (
            self._waits.of_server(worker, now) + read
        )
