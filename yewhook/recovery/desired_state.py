"""The desired state of an agent's instances, set by operators, which must survive a power loss. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec


@dataclass(frozen=True, slots=True)
class Drained:
    """An order to drain an instance."""

    by: str  # who gave it
    since: float  # Unix s


@dataclass(frozen=True, slots=True)
class DesiredInstance:
    """The desired state of one instance."""

    runs: bool = True
    drain: Drained | None = None


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The desired state of all instances of an agent."""

    revision: int = 0  # number of changes
    # By name; only those that differ from the default
    instances: Mapping[str, DesiredInstance] = field(default_factory=dict)

    def instance(self, name: str) -> DesiredInstance:
        """The desired state of an instance, or the default."""
        return self.instances.get(name, DesiredInstance())

    def change(self, name: str, desired: DesiredInstance) -> DesiredState:
        """The state with a change to one instance; this object itself if nothing changes."""
        if self.instance(name) == desired:
            return self
        others = {other: instance for other, instance in self.instances.items() if other != name}
        return DesiredState(
            self.revision + 1, others | ({name: desired} if desired != DesiredInstance() else {})
        )


def pack(state: DesiredState) -> bytes:
    """Encodes the state as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(state)) + b"\n"


def unpack(data: bytes) -> DesiredState:
    """Decodes the state. Raises ValueError if it is damaged."""
    try:
        return msgspec.json.decode(data, type=DesiredState)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
