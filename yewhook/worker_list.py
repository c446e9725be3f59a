"""Parses discovery's list of workers into the servers of `hopshed`, and keeps each worker's address."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from hopshed import interface
from hopshed.hashing import blake2b

from .config import Address, ConfigError, Names, parse_address
from .log import Log
from .start_times import MessageTimes, StartTimes

STATE_BY_LIFECYCLE = {
    "up": interface.ServerState.RUNNING,
    "draining": interface.ServerState.DRAINING,
    "removed": interface.ServerState.GONE,
}

UNKNOWN_TIMES = MessageTimes()


def server_id(instance: str) -> int:
    """The number of a worker: the same at every router, whatever the order in which workers were named."""
    return int.from_bytes(blake2b(instance.encode(), digest_size=6).digest(), "big")


class WorkerList:
    """The workers that discovery has named, with their addresses and states by server number."""

    def __init__(self, names: Names, unix_offset: float, log: Log) -> None:
        """`unix_offset` is the loop's clock minus Unix time, in seconds, when this process began."""
        self._names, self._start_times = names, StartTimes(unix_offset)
        self.log = log
        self.addresses: dict[int, Address] = {}
        self.states: dict[int, interface.ServerState] = {}

    def parse_entry(self, raw: dict[str, Any], times: MessageTimes) -> interface.Server:
        """Parse one entry of a list.

        Raises KeyError, TypeError, ValueError, OverflowError or AttributeError.
        """
        number = server_id(str(raw["instanceId"]))
        started = float(raw.get("startedAtMs") or 0.0)
        zone, kind = raw.get("zone"), raw.get("machineType")
        return interface.Server(
            number,
            self._names.kinds.index(kind) if kind in self._names.kinds else -1,
            self._names.zones.index(zone) if zone in self._names.zones else 0,
            int(raw.get("cell") or 0),
            STATE_BY_LIFECYCLE[raw["lifecycle"]],
            self._start_times.convert(number, started / 1000.0, times),
            float(raw.get("weight") or 1.0),
        )

    def parse(
        self, message: dict[str, Any], times: MessageTimes = UNKNOWN_TIMES
    ) -> tuple[interface.Server, ...]:
        """Parse a list or changes to it; entries that cannot be parsed are logged and skipped."""
        servers = []
        for raw in message.get("instances") or []:
            try:
                server = self.parse_entry(raw, times)
                address = parse_address(raw["hostPort"], "hostPort") if raw.get("hostPort") else None
            except (KeyError, TypeError, ValueError, OverflowError, AttributeError, ConfigError) as error:
                self.log("entry not understood", f"{type(error).__name__} {error} in {raw}")
                continue
            if server.kind < 0:  # a machine type that is not in the settings has no role
                continue
            servers.append(server)
            if address is not None:
                self.addresses[server.id] = address
        if message.get("reset"):
            named = {server.id for server in servers}
            self.states = {number: state for number, state in self.states.items() if number in named}
        self.states.update((server.id, server.state) for server in servers)
        return tuple(servers)

    def resume(
        self, servers: Iterable[tuple[interface.Server, Address | None]]
    ) -> tuple[interface.Server, ...]:
        """Replace the list by one that another process of this instance has held."""
        listed = dict(servers)
        self.addresses = {server.id: address for server, address in listed.items() if address is not None}
        self.states = {server.id: server.state for server in listed}
        return tuple(listed)

    def add(self, servers: Iterable[tuple[interface.Server, Address | None]]) -> tuple[interface.Server, ...]:
        """Add servers from another source than the list; addresses that the list has given are kept."""
        listed = dict(servers)
        for server, address in listed.items():
            if address is not None:
                self.addresses.setdefault(server.id, address)
        return self.set_states(listed)

    def set_states(self, servers: Iterable[interface.Server]) -> tuple[interface.Server, ...]:
        """Set the states of servers, whatever the list says of them."""
        changed = tuple(servers)
        self.states.update((server.id, server.state) for server in changed)
        return changed

    def forget(self, number: int) -> None:
        """Drop a server that has been gone for `FORGET_AFTER`."""
        self._start_times.forget(number)
        self.addresses.pop(number, None)
        self.states.pop(number, None)

    def active_addresses(self) -> set[Address]:
        """The addresses of all servers that are not gone."""
        active = (number for number, state in self.states.items() if state is not interface.ServerState.GONE)
        return {self.addresses[number] for number in active if number in self.addresses}

    def running_addresses(self) -> list[Address]:
        """The addresses of all running servers."""
        running = (number for number, state in self.states.items() if state is interface.ServerState.RUNNING)
        return [self.addresses[number] for number in running if number in self.addresses]
