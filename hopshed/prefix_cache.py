"""Which server keeps which shared beginning, by what this router and others sent there. No clock, no I/O."""

from __future__ import annotations

from .estimate import Estimate
from .gossip import NO_PREFIX, short_tag
from .state import drop_unused

MAX_ENTRIES = 8192  # that are remembered, the latest: some 250 bytes each


class PrefixCacheIndex:
    """Bounded; what was used least lately goes first."""

    def __init__(self) -> None:
        self.uses: dict[tuple[int, str], Estimate] = {}  # (server, tag of the text), in the order of last use

    def record_use(self, server: int, text: str, now: float) -> None:
        """A prompt with this beginning, by its tag, is read there."""
        if text != NO_PREFIX:
            self.uses.pop((server, text), None)
            self.uses[(server, text)] = Estimate(1.0, now)
            if len(self.uses) > MAX_ENTRIES:
                del self.uses[next(iter(self.uses))]

    def tag_of(self, prefix: str | None) -> str | None:
        """The tag by which `uses` has a shared beginning; None where there is none."""
        return short_tag(prefix) if prefix is not None else None

    def holds(self, server: int, prefix: str | None) -> bool:
        """Whether a server is believed to keep a shared beginning."""
        return (server, self.tag_of(prefix)) in self.uses

    def server_restarted(self, server: int) -> None:
        """Its process is a new one."""
        self.uses = {key: use for key, use in self.uses.items() if key[0] != server}

    def expire(self, before: float) -> None:
        """Forget what was last used before a time."""
        drop_unused(self.uses, before)
