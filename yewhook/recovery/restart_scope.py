"""Estimates whether only this router was restarted, or the whole fleet lost its power. No I/O.

"The register" is the service that lists the workers; its lists are numbered by a generation.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

CLOCK_TOLERANCE_S = 1.0  # a worker's start counts as later than the snapshot beyond this difference
FLEET_RESTART_SHARE = 0.5  # of the workers, restarted, from which on all count as having lost power
DECISION_WEIGHT = 1.0  # total weight of evidence that decides for either scope


class Scope(Enum):
    """What was restarted."""

    UNKNOWN = "unknown"
    THIS_ROUTER = "only this router"
    FLEET = "the whole fleet"


@dataclass(frozen=True, slots=True)
class RestartEvidence:
    """The evidence at one moment; times are seconds on one clock, None = unknown."""

    snapshot_written_at: float | None  # of this router's snapshot
    same_boot: bool | None  # whether the machine has not been rebooted since the snapshot
    clock_went_back: bool = False  # the snapshot's time is in the future, so a clock has jumped
    start_times: Mapping[int, float | None] | None = None  # of workers that list and snapshot both name
    generation_went_back: bool = False  # the register's list has a lower generation than the snapshot's
    routers_up_before: int = 0  # routers that started before the snapshot was written
    routers_up_after: int = 0  # routers that started after it was written


@dataclass(frozen=True, slots=True)
class ScopeEstimate:
    """The estimated scope with the evidence behind it."""

    scope: Scope
    reasons: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.scope.value}: {'; '.join(self.reasons) or 'no evidence'}"


def estimate_scope(evidence: RestartEvidence) -> ScopeEstimate:
    """Sums up weights: positive ones for a loss of the whole fleet, negative ones for this router alone."""
    if evidence.snapshot_written_at is None:
        return ScopeEstimate(Scope.UNKNOWN, ("no snapshot",))
    parts: list[tuple[float, str]] = []
    if evidence.start_times and not evidence.clock_went_back:
        restarted = sum(
            at is not None and at > evidence.snapshot_written_at + CLOCK_TOLERANCE_S
            for at in evidence.start_times.values()
        )
        if restarted / len(evidence.start_times) >= FLEET_RESTART_SHARE:
            parts.append(
                (1.0, f"{restarted} of {len(evidence.start_times)} workers began after the snapshot")
            )
        else:
            kept = len(evidence.start_times) - restarted
            parts.append(
                (-1.0, f"{kept} of {len(evidence.start_times)} workers run since before the snapshot")
            )
    if evidence.same_boot is False:
        parts.append((0.5, "this machine was started anew"))
    elif evidence.same_boot:
        parts.append((-0.25, "this machine was not rebooted"))
    if evidence.generation_went_back:
        parts.append((0.5, "the register's generation went back"))
    if evidence.routers_up_before:
        parts.append((-1.0, f"{evidence.routers_up_before} routers are up since before the snapshot"))
    elif evidence.routers_up_after:
        parts.append((0.5, f"{evidence.routers_up_after} other routers started after it, none before"))
    weight = sum(part_weight for part_weight, _ in parts)
    scope = (
        Scope.FLEET
        if weight >= DECISION_WEIGHT
        else Scope.THIS_ROUTER
        if weight <= -DECISION_WEIGHT
        else Scope.UNKNOWN
    )
    return ScopeEstimate(scope, tuple(reason for _, reason in parts))
