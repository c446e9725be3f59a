"""The test bed: router instances, stand-ins for workers, discovery and clients, and links between them."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from hopshed.interface import Role
from yewhook.config import parse_settings
from yewhook.log import Log
from yewhook.loop import Loop
from yewlab import site
from yewlab.rules import Rules

from .clients import REFUSAL_SETTLE_S, Clients
from .discovery import Discovery, DiscoveryEndpoint
from .instances import ROOT, Instance
from .links import PeerNetwork, TcpLink
from .workers import Workers

ZONES = ("hall-a", "hall-b", "hall-c")
MACHINE_TYPES = {Role.READER: "prefill", Role.WRITER: "decode", Role.MIXED: "mixed"}
DEFAULT_ROLES = (Role.READER, Role.READER, Role.READER, Role.WRITER, Role.WRITER, Role.WRITER, Role.MIXED)
# An answer takes some 1 to 3 seconds: short enough for accepted requests to end within a test's time.
ANSWER_TOKENS = (30.0, 120.0)
COPY_INFIX = "-copy-"  # separates a worker's name from the number of an additional entry for it
# Routers must act on a change after this time, even if their watch has failed.
NOTIFIED_WITHIN_S = 6.0
QUOTA_PER_S = 1e6  # turns per second; so high that no tenant exceeds its share
UNIX_OFFSET_S = time.time() - time.monotonic()  # Unix time minus the event loop's time


class ProcessTestBed:
    """Router instances and all that they talk to; the caller decides what happens to them."""

    def __init__(
        self,
        folder: Path,
        instances: int,
        seed: int,
        turns_per_s: float,
        roles: tuple[Role, ...] = DEFAULT_ROLES,
        zones: int = 1,
        contract: dict[str, float] | None = None,
        extra: dict[str, float] | None = None,
        environment: dict[str, str] | None = None,
        entries_per_worker: int = 1,
        limits: dict[str, float] | None = None,
    ) -> None:
        """`roles` has one role per worker; the workers are spread over `zones` zones in turn.

        `turns_per_s` is the load over all instances. `contract` and `extra` override those parts of the
        deployed settings. `environment` adds variables to the routers' environment. `entries_per_worker` is
        the number of servers listed for each worker, all at its address: a list of thousands of servers can
        be had with a few workers. `limits` overrides the resources that each router may use.
        """
        self.limits = {"cores": 1.0, "memory_mb": 112, "sockets": 384} | (limits or {})
        self.loop, self._environment = Loop(Log("stage")), environment or {}
        self._entries_per_worker = entries_per_worker
        self._changes, self._last_change = 0, dict[str, int]()  # of entries, by name of the worker
        self.random = Random(f"stage {seed}")
        env = json.loads((ROOT / "deploy" / "settings.json").read_text())
        env["instances"], env["caps"]["may-tell"] = instances, True
        env["contract"] |= contract or {}
        env["extra"] |= extra or {}
        env["customers"] = [one | {"quota-per-s": QUOTA_PER_S} for one in env["customers"]]
        settings, names = parse_settings(env)
        traffic = (replace(one, answer=ANSWER_TOKENS) for one in site.TRAFFIC)
        lanes = dict(zip(names.classes, traffic, strict=True))
        self.rules = Rules(settings, REFUSAL_SETTLE_S)
        self.workers = Workers(self.loop, self.rules, lanes)
        self.discovery = Discovery(self.loop, self._note_notified)
        self.peer_network = PeerNetwork(self.loop, instances)
        self.links: dict[tuple[int, str], TcpLink] = {}  # (instance, worker name or "discovery")
        self.discovery_endpoints = [self._add_discovery_endpoint(number) for number in range(instances)]
        for number, role in enumerate(roles):
            self._add_worker(f"w{number}", role, instances, ZONES[number % zones])
        self.instances = [self._make_instance(number, folder, env) for number in range(instances)]
        self.clients = Clients(
            self.loop, self.rules, settings, lanes, names.tenants, self.instances, turns_per_s, self.random
        )

    def _add_discovery_endpoint(self, number: int) -> DiscoveryEndpoint:
        def worker_address(name: str) -> str:
            host, port = self.links[number, name.partition(COPY_INFIX)[0]].address
            return f"{host}:{port}"

        endpoint = self.discovery.add_endpoint(number, worker_address)
        self.links[number, "discovery"] = TcpLink(self.loop, lambda: endpoint.address)
        return endpoint

    def _add_worker(self, name: str, role: Role, instances: int, zone: str) -> None:
        worker = self.workers.add(name, site.ENGINES[role], instances)
        for number in range(instances):
            self.links[number, name] = TcpLink(self.loop, lambda number=number: worker.address(number))  # type: ignore[misc]
        entry = {"zone": zone, "cell": 1, "machineType": MACHINE_TYPES[role], "weight": 1.0, "startedAtMs": 0}
        self.discovery.put(name, lifecycle="up", **entry)
        for copy in range(1, self._entries_per_worker):
            self.discovery.put(f"{name}{COPY_INFIX}{copy}", lifecycle="up", **entry)

    def _make_instance(self, number: int, folder: Path, env: dict[str, Any]) -> Instance:
        config = {
            "name": f"n{number}",
            "listen": "127.0.0.1:0",
            "discovery": _host_port(self.links[number, "discovery"].address),
            "limits": self.limits,
            "peer_listen": _host_port(self.peer_network.listen_addresses[number]),
            "peers": [_host_port(peer) for peer in self.peer_network.peers(number)],
            "peers_all": _host_port(self.peer_network.broadcast_address(number)),
            "known": self.discovery_endpoints[number].full_list(),
            "settings": env,
        }
        return Instance(self.loop, number, folder / f"n{number}", config, self._environment)

    def _note_notified(self, instance: int, server: int, runs: bool, started: float | None) -> None:
        self.rules.told(instance, server, runs, self.loop.now)
        self.rules.started(instance, server, None if started is None else started - UNIX_OFFSET_S)

    def change_entry(self, name: str, **entry: Any) -> None:
        """Change all entries of a worker in the list.

        After NOTIFIED_WITHIN_S the rules hold all instances to the change, even if a watch has failed.
        """
        for listed in [one for one in self.discovery.entries if one.partition(COPY_INFIX)[0] == name]:
            self.discovery.put(listed, **entry)
        self._changes += 1
        change = self._last_change[name] = self._changes
        number, runs = self.workers.by_name[name].server_id, entry["lifecycle"] == "up"
        started = float(entry.get("startedAtMs") or 0.0) / 1000.0 or None

        def notify() -> None:
            if self._last_change[name] != change:
                return  # superseded; the later change is notified in its own time
            for instance in self.instances:
                self.discovery.on_notified(instance.number, number, runs, started)

        self.loop.after(NOTIFIED_WITHIN_S, notify)

    def hang_workers(self, names: Sequence[str]) -> None:
        """Make workers hang: they neither read, write, accept nor compute; their connections stay open."""
        for name in names:
            self.workers.by_name[name].hung = True
        for link in self.links_to(names):
            link.hang()

    def resume_workers(self, names: Sequence[str]) -> None:
        """Let hung workers continue."""
        for link in self.links_to(names):
            link.resume()
        for name in names:
            self.workers.by_name[name].hung = False

    def links_to(self, names: Sequence[str]) -> list[TcpLink]:
        """Return the links of all instances to these workers."""
        return [link for (_, name), link in self.links.items() if name in names]

    def run(self, until: float) -> None:
        """Run the event loop up to a time of its clock, or until it is stopped."""
        while self.loop.now < until and not self.loop.stopped:
            while self.loop.run_turn(0.02):
                pass

    def close(self) -> None:
        """End all processes that were started, by process id, and close all sockets."""
        self.clients.close()
        for instance in self.instances:
            instance.close()
        for link in self.links.values():
            link.close()
        self.workers.close()
        self.discovery.close()
        self.peer_network.close()


def _host_port(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
