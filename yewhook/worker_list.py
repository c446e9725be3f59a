"""The list of workers in discovery's form, translated for the module; and where each worker listens."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

from hopshed import interface as i

from .config import Address, ConfigError, Names, parse_address
from .log import Log
from .start_times import MessageTimes, StartTimes

STATES = {
    "up": i.ServerState.RUNNING,
    "draining": i.ServerState.DRAINING,
    "removed": i.ServerState.GONE,
}

NO_TIMES = MessageTimes()


def server_id(instance: str) -> int:
    """The same number for a worker at every router, whatever order they heard of it in."""
    return int.from_bytes(blake2b(instance.encode(), digest_size=6).digest(), "big")


class WorkerList:
    """Translates discovery's entries into the module's servers, and keeps their addresses."""

    def __init__(self, names: Names, unix_offset: float, log: Log) -> None:
        """`unix_offset` = the loop's clock less Unix time, as this process began."""
        self._names, self._starts = names, StartTimes(unix_offset)
        self.log = log
        self.addresses: dict[int, Address] = {}
        self.states: dict[int, i.ServerState] = {}

    def entry(self, raw: dict[str, Any], told: MessageTimes) -> i.Server:
        """One entry of a list. Raises KeyError, TypeError, ValueError, OverflowError or AttributeError."""
        number = server_id(str(raw["instanceId"]))
        started = float(raw.get("startedAtMs") or 0.0)
        zone, kind = raw.get("zone"), raw.get("machineType")
        return i.Server(
            number,
            self._names.kinds.index(kind) if kind in self._names.kinds else -1,
            self._names.zones.index(zone) if zone in self._names.zones else 0,
            int(raw.get("cell") or 0),
            STATES[raw["lifecycle"]],
            self._starts.read(number, started / 1000.0, told),
            float(raw.get("weight") or 1.0),
        )

    def parse(self, message: dict[str, Any], told: MessageTimes = NO_TIMES) -> tuple[i.Server, ...]:
        """The servers of a list or of changes; an entry that makes no sense must not hide the others."""
        servers = []
        for raw in message.get("instances") or []:
            try:
                server = self.entry(raw, told)
                place = parse_address(raw["hostPort"], "hostPort") if raw.get("hostPort") else None
            except (KeyError, TypeError, ValueError, OverflowError, AttributeError, ConfigError) as error:
                self.log("entry not understood", f"{type(error).__name__} {error} in {raw}")
                continue
            if server.kind < 0:  # a kind of machine that the settings don't know has no role here
                continue
            servers.append(server)
            if place is not None:
                self.addresses[server.id] = place
        if message.get("reset"):
            named = {server.id for server in servers}
            self.states = {n: s for n, s in self.states.items() if n in named}
        self.states.update((server.id, server.state) for server in servers)
        return tuple(servers)

    def resume(self, servers: Iterable[tuple[i.Server, Address | None]]) -> tuple[i.Server, ...]:
        """Go on from a list that another process of this instance has held."""
        listed = dict(servers)
        self.addresses = {server.id: place for server, place in listed.items() if place is not None}
        self.states = {server.id: server.state for server in listed}
        return tuple(listed)

    def add(self, servers: Iterable[tuple[i.Server, Address | None]]) -> tuple[i.Server, ...]:
        """Servers that are believed beside the list; where the list has an address, that one stands."""
        listed = dict(servers)
        for server, place in listed.items():
            if place is not None:
                self.addresses.setdefault(server.id, place)
        return self.set_states(listed)

    def set_states(self, servers: Iterable[i.Server]) -> tuple[i.Server, ...]:
        """Go by these states, whatever the list says of them."""
        kept = tuple(servers)
        self.states.update((server.id, server.state) for server in kept)
        return kept

    def forget(self, number: int) -> None:
        self._starts.forget(number)
        self.addresses.pop(number, None)
        self.states.pop(number, None)

    def active_addresses(self) -> set[Address]:
        there = (n for n, state in self.states.items() if state is not i.ServerState.GONE)
        return {self.addresses[n] for n in there if n in self.addresses}

    def running_addresses(self) -> list[Address]:
        up = (n for n, state in self.states.items() if state is i.ServerState.RUNNING)
        return [self.addresses[n] for n in up if n in self.addresses]
