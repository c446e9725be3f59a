"""The servers that discovery has named, and since when each is told to take nothing new."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hopshed.interface import FORGET_AFTER, ListKind, Server, ServerState


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """What the list says of a server."""

    known: bool
    withdrawn_for: float  # s since it was told to drain or be gone; 0 where it runs


@dataclass(frozen=True, slots=True)
class Changes:
    """What a list has changed."""

    withdrawn: frozenset[int]  # told to drain or be gone just now
    gone: tuple[int, ...]  # to be forgotten after `FORGET_AFTER`


class ServerTable:
    """All servers by number. Times are s of the loop's clock."""

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}
        self.withdrawn_since: dict[int, float] = {}  # server -> since when it is told to drain or be gone

    def update(self, kind: ListKind, servers: tuple[Server, ...], now: float) -> Changes:
        """Take in a list, or changes to it; what a whole list does not name is gone."""
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
        """Take over since when servers that are told off here, too, have been so at a predecessor."""
        self.withdrawn_since.update(
            (number, at) for number, at in since.items() if number in self.withdrawn_since
        )

    def forget(self, number: int, now: float) -> bool:
        """Let go of a server that has been gone for long; whether it was. Ids never come to an end."""
        server = self.servers.get(number)
        if server is None or server.state is not ServerState.GONE:
            return False
        if now - self.withdrawn_since[number] < FORGET_AFTER / 2:
            return False  # it came back meanwhile and is gone again, with a later time of its own
        del self.servers[number]
        self.withdrawn_since.pop(number, None)
        return True

    def status(self, number: int, now: float) -> ServerStatus:
        """What is known of a server."""
        return ServerStatus(number in self.servers, now - self.withdrawn_since.get(number, now))

    def present(self) -> tuple[Server, ...]:
        """Those that are not gone."""
        return tuple(server for server in self.servers.values() if server.state is not ServerState.GONE)
