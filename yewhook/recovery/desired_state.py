"""What operators want of an agent's instances: what a power loss must not undo. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec


@dataclass(frozen=True, slots=True)
class Drained:
    by: str
    since: float  # Unix s


@dataclass(frozen=True, slots=True)
class Wish:
    """Of one instance."""

    runs: bool = True
    drain: Drained | None = None


@dataclass(frozen=True, slots=True)
class Wanted:
    revision: int = 0
    instances: Mapping[str, Wish] = field(default_factory=dict)  # those that differ from the default

    def of(self, name: str) -> Wish:
        return self.instances.get(name, Wish())

    def change(self, name: str, wish: Wish) -> Wanted:
        """With that instance's wish; the same where nothing changes."""
        if self.of(name) == wish:
            return self
        others = {other: one for other, one in self.instances.items() if other != name}
        return Wanted(self.revision + 1, others | ({name: wish} if wish != Wish() else {}))


def pack(wanted: Wanted) -> bytes:
    return msgspec.json.format(msgspec.json.encode(wanted)) + b"\n"


def unpack(data: bytes) -> Wanted:
    """Raises ValueError where it is damaged."""
    try:
        return msgspec.json.decode(data, type=Wanted)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
