"""What a process leaves for the one after it: its form, whose it is, and how old. No I/O.

It shares form and reading with the hand-over between two processes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from hashlib import blake2b

from hopshed.interface import Settings

from ..config import Names
from ..operations.handover_encoding import DecodeError, HandOver, decode_checked, encode_checked

NAME = b"yewhook-snapshot"
AHEAD = 1.0  # s by which a snapshot's time may lie before us, for clocks are set


@dataclass(frozen=True, slots=True)
class Pinned:
    level: str
    until: float  # Unix s
    reason: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    fleet: str  # whose settings it was made for
    wall: float  # Unix s when it was made
    boot: str  # the machine's id of that run
    turns: float  # a second that this router sent on in full service
    state: HandOver
    pin: Pinned | None = None


@dataclass(frozen=True, slots=True)
class Clocks:
    """The clocks of one moment."""

    wall: float  # Unix s
    steady: float  # s; begins anew with the machine
    boot: str


def fleet_id(settings: Settings, names: Names) -> str:
    """The same for two processes that mean the same by classes, kinds, clients and zones."""
    said = repr((names.classes, names.tenants, names.zones, names.kinds, settings.roles))
    return blake2b(said.encode(), digest_size=8).hexdigest()


def pack(snapshot: Snapshot) -> bytes:
    return encode_checked(NAME, snapshot)


def unpack(data: bytes, fleet: str) -> Snapshot:
    """Raises DecodeError where it can't be read, or is another fleet's."""
    snapshot = decode_checked(NAME, "snapshot", data, Snapshot)
    if snapshot.fleet != fleet:
        raise DecodeError(f"of a fleet with other settings ({snapshot.fleet}, and ours is {fleet})")
    return snapshot


def age(snapshot: Snapshot, now: Clocks) -> float:
    """s since it was made; NaN where a clock has jumped, so that nobody can say.

    Within one run of the machine the steady clock tells, whatever the other one does."""
    if snapshot.boot == now.boot and snapshot.state.at <= now.steady:
        return now.steady - snapshot.state.at
    passed = now.wall - snapshot.wall
    return math.nan if passed < -AHEAD else max(0.0, passed)
