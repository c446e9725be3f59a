"""The register that tells routers of workers, in discovery's form: one endpoint for each instance."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from yewhook.loop import Loop
from yewhook.worker_list import server_id

from .http_connections import Listener, Request, ServerConnection

HEARTBEAT_INTERVAL_S = 2.0  # s between the empty lines of a watch on which nothing happens
OnNotified = Callable[
    [int, int, bool, float | None], None
]  # instance, server, whether it runs, start in Unix s


class Discovery:
    """The list of workers, and how it changes."""

    def __init__(self, loop: Loop, on_notified: OnNotified) -> None:
        """`told` hears what has been written to which instance, for the rules."""
        self.loop, self.on_notified = loop, on_notified
        self.generation, self.entries = 1, dict[str, dict[str, Any]]()
        self.changes: list[tuple[int, str]] = []  # generation, instance id
        self.endpoints: list[DiscoveryEndpoint] = []

    def add_endpoint(self, instance: int, worker_address: Callable[[str], str]) -> DiscoveryEndpoint:
        """Where one instance asks; `place` = where that one finds a worker."""
        self.endpoints.append(DiscoveryEndpoint(self, instance, worker_address))
        return self.endpoints[-1]

    def put(self, name: str, **entry: Any) -> None:
        """A new entry, or a change to one; `removed` takes it out."""
        self.generation += 1
        self.entries[name] = self.entries.get(name, {}) | {"instanceId": name, **entry}
        self.changes.append((self.generation, name))
        for endpoint in self.endpoints:
            endpoint.send_changes()
        if self.entries[name]["lifecycle"] == "removed":
            del self.entries[name]

    def restart(self, generation: int, entries: dict[str, dict[str, Any]]) -> None:
        """It comes back with this list and numbers on from there; who watches is told the whole of it."""
        self.generation, self.entries, self.changes = generation, entries, []
        for endpoint in self.endpoints:
            endpoint.abort_watches()

    def close(self) -> None:
        for endpoint in self.endpoints:
            endpoint.close()


class DiscoveryEndpoint:
    def __init__(self, discovery: Discovery, instance: int, worker_address: Callable[[str], str]) -> None:
        self.discovery, self.instance, self._worker_address = discovery, instance, worker_address
        self.silent = False
        self.stale_generation: int | None = (
            None  # a generation before the present one that it says, without drains
        )
        self._watches: dict[ServerConnection, int] = {}  # with the generation that each has been told of
        self._listener = Listener(discovery.loop, self._on_accepted)
        self.address = self._listener.address
        self._send_heartbeats()

    def _on_accepted(self, sock: Any) -> None:
        ServerConnection(self.discovery.loop, sock, self._on_request, self._on_closed)

    def _on_request(self, side: ServerConnection, request: Request) -> None:
        after = int(request.path.partition("after=")[2] or 0)
        side.begin_stream()
        if self.stale_generation is not None:
            return self._answer_stale(side)
        self._watches[side] = after if 0 < after <= self.discovery.generation else 0
        return self.send_changes()

    def _answer_stale(self, side: ServerConnection) -> None:
        """As a register that has fallen behind answers: an older list, whole, in which nothing drains yet."""
        message = self._message(list(self.discovery.entries), True) | {"generation": self.stale_generation}
        for entry in message["instances"]:
            entry["lifecycle"] = "up"
        side.send_event(json.dumps(message).encode() + b"\n")

    def _on_closed(self, side: ServerConnection) -> None:
        self._watches.pop(side, None)

    def send_changes(self) -> None:
        if self.silent:
            return
        for side, after in list(self._watches.items()):
            if after < self.discovery.generation:
                self._watches[side] = self.discovery.generation
                self._send_list(side, after)

    def full_list(self) -> dict[str, Any]:
        """The list as a configuration's `known` has it."""
        return self._message(list(self.discovery.entries), True)

    def _message(self, names: list[str], reset: bool) -> dict[str, Any]:
        entries = [self.discovery.entries[name] | {"hostPort": self._worker_address(name)} for name in names]
        return {"generation": self.discovery.generation, "reset": reset, "instances": entries}

    def _send_list(self, side: ServerConnection, after: int) -> None:
        later = [name for generation, name in self.discovery.changes if generation > after]
        names = list(dict.fromkeys(later)) if after else list(self.discovery.entries)
        message = self._message([name for name in names if name in self.discovery.entries], not after)
        side.send_event(json.dumps(message).encode() + b"\n")
        for entry in message["instances"]:
            started = entry["startedAtMs"] / 1000.0 or None
            runs = entry["lifecycle"] == "up"
            self.discovery.on_notified(self.instance, server_id(entry["instanceId"]), runs, started)

    def _send_heartbeats(self) -> None:
        if not self.silent:
            for side in self._watches:
                side.send_event(b"\n")
        self.discovery.loop.after(HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def silence_watches(self) -> None:
        """The watches fall silent: they stay open, and nothing comes on them any more."""
        self._watches.clear()

    def abort_watches(self) -> None:
        for side in list(self._watches):
            side.channel.abort()
        self._watches.clear()

    def close(self) -> None:
        self._listener.close()
        self.abort_watches()
