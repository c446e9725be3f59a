"""Whether only this router was restarted, or the whole fleet lost its power. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

AFTER = 1.0  # s that clocks may differ, beyond which a worker's start counts as later than the snapshot
MOST = 0.5  # part of the workers that speaks for a loss of all of them
SURE = 1.0  # weight at which a side is taken


class Scope(Enum):
    UNKNOWN = "unknown"
    ALONE = "only this router"
    FLEET = "the whole fleet"


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is seen at one moment; times are s on one clock, None where nothing is known."""

    wrote: float | None  # when this router's snapshot was written
    same_boot: bool | None  # whether the machine has run since then
    clock_back: bool = False  # the snapshot's time lies in the future: a clock has jumped
    starts: Mapping[int, float | None] | None = None  # of the workers that the list and the snapshot share
    generation_back: bool = False  # the register numbers from below what was held
    up_longer: int = 0  # routers that have been up since before the snapshot
    up_since: int = 0  # routers that came up after it


@dataclass(frozen=True, slots=True)
class ScopeEstimate:
    scope: Scope
    why: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.scope.value}: {'; '.join(self.why) or 'no evidence'}"


def estimate_scope(seen: Evidence) -> ScopeEstimate:
    """Weigh what speaks for the fleet's loss (over 0) and for this router's alone (under 0)."""
    if seen.wrote is None:
        return ScopeEstimate(Scope.UNKNOWN, ("no snapshot",))
    parts: list[tuple[float, str]] = []
    if seen.starts and not seen.clock_back:
        began = sum(at is not None and at > seen.wrote + AFTER for at in seen.starts.values())
        if began / len(seen.starts) >= MOST:
            parts.append((1.0, f"{began} of {len(seen.starts)} workers began after the snapshot"))
        else:
            kept = len(seen.starts) - began
            parts.append((-1.0, f"{kept} of {len(seen.starts)} workers run since before the snapshot"))
    if seen.same_boot is False:
        parts.append((0.5, "this machine was started anew"))
    elif seen.same_boot:
        parts.append((-0.25, "this machine has run on"))
    if seen.generation_back:
        parts.append((0.5, "the register numbers from below"))
    if seen.up_longer:
        parts.append((-1.0, f"{seen.up_longer} routers are up since before the snapshot"))
    elif seen.up_since:
        parts.append((0.5, f"{seen.up_since} other routers came up after it, none before"))
    weight = sum(one for one, _ in parts)
    scope = Scope.FLEET if weight >= SURE else Scope.ALONE if weight <= -SURE else Scope.UNKNOWN
    return ScopeEstimate(scope, tuple(why for _, why in parts))
