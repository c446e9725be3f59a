"""The settings of the recovery, with their valid ranges."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """Raises ValueError with the key, the value and the expected range."""

    folder: Path | None = None  # of snapshots; None = no snapshots
    boot_id: Path = BOOT_ID_PATH  # file with the machine's boot id
    every: float = 2.0  # s between snapshots, at least
    most_bytes: int = 4 << 20  # largest size of a snapshot
    calm: float = 1.0  # s for which a better phase's condition must hold before it is entered
    grow: float = 2.0  # factor per second by which the admitted rate grows while answers are in time
    cut: float = 0.6  # factor by which the admitted rate is cut when they are late
    late: float = 0.2  # share of worth late or lost, from which on the rate is cut

    def __post_init__(self) -> None:
        for name, least, most in (
            ("every", 0.1, 3600.0), ("most_bytes", 1024, 1 << 30), ("calm", 0.1, 600.0),
            ("grow", 1.01, 10.0), ("cut", 0.1, 0.95), ("late", 0.01, 0.9),
        ):  # fmt: skip
            value = getattr(self, name)
            if not least <= value <= most:
                raise ValueError(f"recovery.{name}: got {value:g}, expected {least:g} to {most:g}")
