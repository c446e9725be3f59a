"""The servers named by discovery, and since when each has been draining or gone."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hopshed.interface import FORGET_AFTER, ListKind, Server, ServerState


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """What the table says of one server."""

    known: bool
    withdrawn_for: float  # seconds since it began to drain or was removed; 0 while it is running


@dataclass(frozen=True, slots=True)
class Changes:
    """The servers affected by an update."""

    withdrawn: frozenset[int]  # newly draining or gone
    gone: tuple[int, ...]  # to be forgotten after `FORGET_AFTER`


class ServerTable:
    """All servers by id. Times are seconds of the loop's clock."""

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}
        self.withdrawn_since: dict[int, float] = {}  # server -> when it began to drain or was removed

    def update(self, kind: ListKind, servers: tuple[Server, ...], now: float) -> Changes:
        """Apply a whole list or a list of changes; servers missing from a whole list are gone."""
        named = {server.id: server for server in servers}
        if kind is not ListKind.CHANGES:
            missing = (server for number, server in self.servers.items() if number not in named)
            named |= {server.id: server._replace(state=ServerState.GONE) for server in missing}
        withdrawn, gone = set[int](), list[int]()
        for number, server in named.items():
            before = self.servers.get(number)
            self.servers[number] = server
            if server.state is ServerState.GONE and (before is None or before.state is not server.state):
                gone.append(number)
            if server.state is ServerState.RUNNING:
                self.withdrawn_since.pop(number, None)
            elif number not in self.withdrawn_since:
                self.withdrawn_since[number] = now
                withdrawn.add(number)
        return Changes(frozenset(withdrawn), tuple(gone))

    def resume(self, since: Mapping[int, float]) -> None:
        """Adopt a predecessor's times for servers that are draining or gone in this table, too."""
        self.withdrawn_since.update(
            (number, at) for number, at in since.items() if number in self.withdrawn_since
        )

    def forget(self, number: int, now: float) -> bool:
        """Drop a server that has been gone for `FORGET_AFTER`; returns whether it was dropped.

        New server ids keep coming, so a table that never dropped any would grow without bound.
        """
        server = self.servers.get(number)
        if server is None or server.state is not ServerState.GONE:
            return False
        if now - self.withdrawn_since[number] < FORGET_AFTER / 2:
            return False  # it came back and is gone again: a later call will drop it
        del self.servers[number]
        self.withdrawn_since.pop(number, None)
        return True

    def status(self, number: int, now: float) -> ServerStatus:
        """The status of a server, known or not."""
        return ServerStatus(number in self.servers, now - self.withdrawn_since.get(number, now))

    def present(self) -> tuple[Server, ...]:
        """The servers that are not gone."""
        return tuple(server for server in self.servers.values() if server.state is not ServerState.GONE)
