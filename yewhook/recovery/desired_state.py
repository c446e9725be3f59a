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
class DesiredInstance:
    """Of one instance."""

    runs: bool = True
    drain: Drained | None = None


@dataclass(frozen=True, slots=True)
class DesiredState:
    revision: int = 0
    instances: Mapping[str, DesiredInstance] = field(
        default_factory=dict
    )  # those that differ from the default

    def instance(self, name: str) -> DesiredInstance:
        return self.instances.get(name, DesiredInstance())

    def change(self, name: str, wish: DesiredInstance) -> DesiredState:
        """With that instance's wish; the same where nothing changes."""
        if self.instance(name) == wish:
            return self
        others = {other: one for other, one in self.instances.items() if other != name}
        return DesiredState(self.revision + 1, others | ({name: wish} if wish != DesiredInstance() else {}))


def pack(wanted: DesiredState) -> bytes:
    return msgspec.json.format(msgspec.json.encode(wanted)) + b"\n"


def unpack(data: bytes) -> DesiredState:
    """Raises ValueError where it is damaged."""
    try:
        return msgspec.json.decode(data, type=DesiredState)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
