"""Which servers are believed to have which prefixes in their cache, from the reads of all routers.

No clock, no I/O.
"""

from __future__ import annotations

from .estimate import Estimate
from .gossip import NO_PREFIX, short_tag
from .state import drop_unused

MAX_ENTRIES = 8192  # entries of about 250 bytes


class PrefixCacheIndex:
    """Index of prefixes by server; at MAX_ENTRIES the least recently used entry is dropped."""

    def __init__(self) -> None:
        # Server and tag of a prefix believed to be in its cache -> last use, in the order of last use.
        self.uses: dict[tuple[int, str], Estimate] = {}

    def record_use(self, server: int, prefix_tag: str, now: float) -> None:
        """A prompt whose prefix has this tag is sent to a server."""
        if prefix_tag != NO_PREFIX:
            self.uses.pop((server, prefix_tag), None)
            self.uses[(server, prefix_tag)] = Estimate(1.0, now)
            if len(self.uses) > MAX_ENTRIES:
                del self.uses[next(iter(self.uses))]

    def tag_of(self, prefix: str | None) -> str | None:
        """The tag under which `uses` has a prefix; None for no prefix."""
        return short_tag(prefix) if prefix is not None else None

    def is_cached(self, server: int, prefix: str | None) -> bool:
        """Whether the server is believed to have the prefix in its cache."""
        return (server, self.tag_of(prefix)) in self.uses

    def server_restarted(self, server: int) -> None:
        """A server runs as a new process, whose cache is empty."""
        self.uses = {key: use for key, use in self.uses.items() if key[0] != server}

    def expire(self, before: float) -> None:
        """Drop entries last used before a time."""
        drop_unused(self.uses, before)
