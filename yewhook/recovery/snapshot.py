"""The snapshot that a process leaves for its successor: encoding, the fleet it belongs to, and age. No I/O.

It is encoded and checked in the same way as the hand-over between two processes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from hopshed.hashing import blake2b
from hopshed.interface import Settings

from ..config import Names
from ..operations.handover_encoding import DecodeError, HandOver, decode_checked, encode_checked

NAME = b"yewhook-snapshot"  # the mark that an encoded snapshot begins with
CLOCK_TOLERANCE_S = 1.0  # by which a snapshot's time may be in the future, since clocks are adjusted


@dataclass(frozen=True, slots=True)
class Pinned:
    """A level of service that operators pinned."""

    level: str
    until: float  # Unix s
    reason: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state of one router process at one moment."""

    fleet: str  # id of the fleet's settings, see `fleet_id`
    wall: float  # Unix s when it was made
    boot: str  # the machine's boot id
    turns: float  # per second that this router sent to servers in full service
    state: HandOver
    pin: Pinned | None = None


@dataclass(frozen=True, slots=True)
class Clocks:
    """The clocks at one moment."""

    wall: float  # Unix s
    monotonic: float  # s; starts again when the machine boots
    boot: str  # the machine's boot id


def fleet_id(settings: Settings, names: Names) -> str:
    """A hash, equal for processes that number classes, kinds, tenants and zones in the same way."""
    text = repr((names.classes, names.tenants, names.zones, names.kinds, settings.roles))
    return blake2b(text.encode(), digest_size=8).hexdigest()


def pack(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot."""
    return encode_checked(NAME, snapshot)


def unpack(data: bytes, fleet: str) -> Snapshot:
    """Decodes a snapshot. Raises DecodeError if it is damaged or belongs to another fleet."""
    snapshot = decode_checked(NAME, "snapshot", data, Snapshot)
    if snapshot.fleet != fleet:
        raise DecodeError(f"of a fleet with other settings ({snapshot.fleet}, and ours is {fleet})")
    return snapshot


def age(snapshot: Snapshot, now: Clocks) -> float:
    """The age in seconds; NaN if it is unknown because the wall clock went back.

    Within one boot of the machine the monotonic clock determines it, whatever the wall clock does.
    """
    if snapshot.boot == now.boot and snapshot.state.at <= now.monotonic:
        return now.monotonic - snapshot.state.at
    elapsed = now.wall - snapshot.wall
    return math.nan if elapsed < -CLOCK_TOLERANCE_S else max(0.0, elapsed)
