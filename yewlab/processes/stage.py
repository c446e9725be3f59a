"""Puts a stage together: instances of the program, and all that they meet."""

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

from .clients import SETTLES, Clients
from .host import ROOT, Instance
from .links import Between, TcpLink
from .register import Face, Register
from .workers import Workers

HALLS = ("hall-a", "hall-b", "hall-c")
KINDS = {Role.READER: "prefill", Role.WRITER: "decode", Role.MIXED: "mixed"}
FLEET = (Role.READER, Role.READER, Role.READER, Role.WRITER, Role.WRITER, Role.WRITER, Role.MIXED)
ANSWER = (30.0, 120.0)  # tokens, some 1 to 3 s: short enough that what was taken ends within a test's time
COPY = "-copy-"  # between a worker's name and the number of a further entry for it
TOLD_WITHIN = 6.0  # s after which a change counts as told, whatever became of the watch
QUOTA = 1e6  # turns a second: nobody is beyond a share
OFFSET = time.time() - time.monotonic()  # Unix time less the loop's


class Stage:
    """Everything but the script: what may happen to it is the caller's."""

    def __init__(
        self,
        folder: Path,
        instances: int,
        seed: int,
        rate: float,
        fleet: tuple[Role, ...] = FLEET,
        halls: int = 1,
        contract: dict[str, float] | None = None,
        extra: dict[str, float] | None = None,
        environment: dict[str, str] | None = None,
        entries: int = 1,
    ) -> None:
        """`fleet` = the workers' roles; they stand in so many halls in turn.

        `contract` and `extra` = figures of the rules in place of the settings'. `environment` = of the
        processes, beside this one's. `entries` = servers that the list names for each worker, all of them at
        its address: a list of thousands, and what is asked of them comes to a few.
        """
        self.loop, self._environment, self._entries = Loop(Log("stage")), environment or {}, entries
        self.random = Random(f"stage {seed}")
        env = json.loads((ROOT / "deploy" / "settings.json").read_text())
        env["instances"], env["caps"]["may-tell"] = instances, True
        env["contract"] |= contract or {}
        env["extra"] |= extra or {}
        env["customers"] = [one | {"quota-per-s": QUOTA} for one in env["customers"]]
        settings, names = parse_settings(env)
        traffic = (replace(one, answer=ANSWER) for one in site.TRAFFIC)
        lanes = dict(zip(names.classes, traffic, strict=True))
        self.rules = Rules(settings, SETTLES)
        self.workers = Workers(self.loop, self.rules, lanes)
        self.register = Register(self.loop, self._told)
        self.between = Between(self.loop, instances)
        self.links: dict[tuple[int, str], TcpLink] = {}  # between an instance and a worker, or the register
        self.faces = [self._face(number) for number in range(instances)]
        for number, role in enumerate(fleet):
            self._add(f"w{number}", role, instances, HALLS[number % halls])
        self.instances = [self._instance(number, folder, env) for number in range(instances)]
        self.clients = Clients(
            self.loop, self.rules, settings, lanes, names.tenants, self.instances, rate, self.random
        )

    def _face(self, number: int) -> Face:
        def place(name: str) -> str:
            host, port = self.links[number, name.partition(COPY)[0]].address
            return f"{host}:{port}"

        face = self.register.face(number, place)
        self.links[number, "register"] = TcpLink(self.loop, lambda: face.address)
        return face

    def _add(self, name: str, role: Role, instances: int, hall: str) -> None:
        worker = self.workers.add(name, site.ENGINES[role], instances)
        for number in range(instances):
            self.links[number, name] = TcpLink(self.loop, lambda number=number: worker.address(number))  # type: ignore[misc]
        entry = {"zone": hall, "cell": 1, "machineType": KINDS[role], "weight": 1.0, "startedAtMs": 0}
        self.register.put(name, lifecycle="up", **entry)
        for copy in range(1, self._entries):
            self.register.put(f"{name}{COPY}{copy}", lifecycle="up", **entry)

    def _instance(self, number: int, folder: Path, env: dict[str, Any]) -> Instance:
        config = {
            "name": f"n{number}",
            "listen": "127.0.0.1:0",
            "discovery": _place(self.links[number, "register"].address),
            "limits": {"cores": 1.0, "memory_mb": 112, "sockets": 384},
            "peer_listen": _place(self.between.listens[number]),
            "peers": [_place(peer) for peer in self.between.peers(number)],
            "peers_all": _place(self.between.everyone(number)),
            "known": self.faces[number].whole(),
            "settings": env,
        }
        return Instance(self.loop, number, folder / f"n{number}", config, self._environment)

    def _told(self, instance: int, server: int, runs: bool, started: float | None) -> None:
        self.rules.told(instance, server, runs, self.loop.now)
        self.rules.started(instance, server, None if started is None else started - OFFSET)

    def change(self, name: str, **entry: Any) -> None:
        """Change a server's entries of the list; who has not heard of it in time counts as told."""
        for listed in [listed for listed in self.register.entries if listed.partition(COPY)[0] == name]:
            self.register.put(listed, **entry)
        number, runs = self.workers.boxes[name].number, entry["lifecycle"] == "up"
        started = float(entry.get("startedAtMs") or 0.0) / 1000.0 or None

        def told() -> None:
            for instance in self.instances:
                self.register.told(instance.number, number, runs, started)

        self.loop.after(TOLD_WITHIN, told)

    def hang(self, names: Sequence[str]) -> None:
        """These servers read, write, accept and do nothing; their connections stay open."""
        for name in names:
            self.workers.boxes[name].hung = True
        for link in self.links_to(names):
            link.fall_silent()

    def wake(self, names: Sequence[str]) -> None:
        """They go on."""
        for link in self.links_to(names):
            link.wake()
        for name in names:
            self.workers.boxes[name].hung = False

    def links_to(self, names: Sequence[str]) -> list[TcpLink]:
        """The links of all instances to these servers."""
        return [link for (_, name), link in self.links.items() if name in names]

    def run(self, until: float) -> None:
        """Turn the loop up to a moment of its clock, or until it is stopped."""
        while self.loop.now < until and not self.loop.stopped:
            while self.loop.run_turn(0.02):
                pass

    def close(self) -> None:
        """End all that was started, by its id, and close all that was opened."""
        self.clients.close()
        for instance in self.instances:
            instance.close()
        for link in self.links.values():
            link.close()
        self.workers.close()
        self.register.close()
        self.between.close()


def _place(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
