"""A stand-in for service discovery, which tells routers about workers; each instance has its own endpoint."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import Any

from yewhook.loop import Loop
from yewhook.worker_list import server_id

from .endless_answers import EndlessAnswer, write_endlessly
from .http_connections import Listener, Request, ServerConnection

HEARTBEAT_INTERVAL_S = 2.0  # interval of the empty lines on a watch
# Arguments: instance, server id, whether the server runs, its start time (Unix time in seconds).
OnNotified = Callable[[int, int, bool, float | None], None]


class Discovery:
    """The list of workers and its history of changes."""

    def __init__(self, loop: Loop, on_notified: OnNotified) -> None:
        """`on_notified` is called for each entry that is written to an instance."""
        self.loop, self.on_notified = loop, on_notified
        self.generation, self.entries = 1, dict[str, dict[str, Any]]()
        self.changes: list[tuple[int, str]] = []  # generation, instance id
        self.endpoints: list[DiscoveryEndpoint] = []

    def add_endpoint(self, instance: int, worker_address: Callable[[str], str]) -> DiscoveryEndpoint:
        """Add the endpoint of an instance; `worker_address` gives where it reaches a worker."""
        self.endpoints.append(DiscoveryEndpoint(self, instance, worker_address))
        return self.endpoints[-1]

    def put(self, name: str, **entry: Any) -> None:
        """Add or change an entry and notify all watches; the lifecycle `removed` deletes it."""
        self.generation += 1
        self.entries[name] = self.entries.get(name, {}) | {"instanceId": name, **entry}
        self.changes.append((self.generation, name))
        for endpoint in self.endpoints:
            endpoint.send_changes()
        if self.entries[name]["lifecycle"] == "removed":
            del self.entries[name]

    def restart(self, generation: int, entries: dict[str, dict[str, Any]]) -> None:
        """Continue with this list and generation; all watches break, so that routers get the full list."""
        self.generation, self.entries, self.changes = generation, entries, []
        for endpoint in self.endpoints:
            endpoint.abort_watches()

    def close(self) -> None:
        """Close all endpoints."""
        for endpoint in self.endpoints:
            endpoint.close()


class DiscoveryEndpoint:
    """The HTTP server at which one router instance watches the list."""

    def __init__(self, discovery: Discovery, instance: int, worker_address: Callable[[str], str]) -> None:
        self.discovery, self.instance, self._worker_address = discovery, instance, worker_address
        self.silent = False  # if set, nothing is sent on the watches, not even heartbeats
        # If set, requests are answered with the full list under this older generation, without drains.
        self.stale_generation: int | None = None
        self.endless_answers: deque[EndlessAnswer] = deque()  # to the next calls
        self._watches: dict[ServerConnection, int] = {}  # connection -> the generation last sent
        self._listener = Listener(discovery.loop, self._on_accepted)
        self.address = self._listener.address
        self._send_heartbeats()

    def _on_accepted(self, sock: Any) -> None:
        ServerConnection(self.discovery.loop, sock, self._on_request, self._on_closed)

    def _on_request(self, connection: ServerConnection, request: Request) -> None:
        after = int(request.path.partition("after=")[2] or 0)
        connection.begin_stream()
        if self.endless_answers:
            return write_endlessly(self.discovery.loop, connection, self.endless_answers.popleft())
        if self.stale_generation is not None:
            return self._answer_stale(connection)
        self._watches[connection] = after if 0 < after <= self.discovery.generation else 0
        return self.send_changes()

    def _answer_stale(self, connection: ServerConnection) -> None:
        """Answer as a replica that lags behind: with an older full list in which no worker drains."""
        message = self._message(list(self.discovery.entries), True) | {"generation": self.stale_generation}
        for entry in message["instances"]:
            entry["lifecycle"] = "up"
        connection.send_event(json.dumps(message).encode() + b"\n")

    def _on_closed(self, connection: ServerConnection) -> None:
        self._watches.pop(connection, None)

    def send_changes(self) -> None:
        """Send each watch the changes that it has not had, unless the endpoint is silent."""
        if self.silent:
            return
        for connection, after in list(self._watches.items()):
            if after < self.discovery.generation:
                self._watches[connection] = self.discovery.generation
                self._send_list(connection, after)

    def full_list(self) -> dict[str, Any]:
        """Return the list in the format of the configuration's key `known`."""
        return self._message(list(self.discovery.entries), True)

    def _message(self, names: list[str], reset: bool) -> dict[str, Any]:
        entries = [self.discovery.entries[name] | {"hostPort": self._worker_address(name)} for name in names]
        return {"generation": self.discovery.generation, "reset": reset, "instances": entries}

    def _send_list(self, connection: ServerConnection, after: int) -> None:
        later = [name for generation, name in self.discovery.changes if generation > after]
        names = list(dict.fromkeys(later)) if after else list(self.discovery.entries)
        message = self._message([name for name in names if name in self.discovery.entries], not after)
        connection.send_event(json.dumps(message).encode() + b"\n")
        for entry in message["instances"]:
            started = entry["startedAtMs"] / 1000.0 or None
            runs = entry["lifecycle"] == "up"
            self.discovery.on_notified(self.instance, server_id(entry["instanceId"]), runs, started)

    def _send_heartbeats(self) -> None:
        if not self.silent:
            for connection in self._watches:
                connection.send_event(b"\n")
        self.discovery.loop.after(HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def spoil_watches(self, answer: EndlessAnswer, further_calls: int = 0) -> None:
        """Go on with bytes that never end on the open watches, and on so many further calls."""
        for connection in self._watches:
            write_endlessly(self.discovery.loop, connection, answer)
        self._watches.clear()
        self.endless_answers.extend([answer] * further_calls)

    def silence_watches(self) -> None:
        """Leave the watches open, but send nothing on them any more."""
        self._watches.clear()

    def abort_watches(self) -> None:
        """Break the connections of all watches."""
        for connection in list(self._watches):
            connection.channel.abort()
        self._watches.clear()

    def close(self) -> None:
        """Stop listening and break all watches."""
        self._listener.close()
        self.abort_watches()
