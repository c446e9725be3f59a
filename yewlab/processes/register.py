"""The register that tells routers of workers, in discovery's form: one face for each instance."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from yewhook.loop import Loop
from yewhook.worker_list import server_id

from .net import Listener, Request, ServerSide

BEAT = 2.0  # s between the empty lines of a watch on which nothing happens
Told = Callable[[int, int, bool, float | None], None]  # instance, server, whether it runs, start in Unix s


class Register:
    """The list of workers, and how it changes."""

    def __init__(self, loop: Loop, told: Told) -> None:
        """`told` hears what has been written to which instance, for the rules."""
        self.loop, self.told = loop, told
        self.generation, self.entries = 1, dict[str, dict[str, Any]]()
        self.changed: list[tuple[int, str]] = []  # generation, instance id
        self.faces: list[Face] = []

    def face(self, instance: int, place: Callable[[str], str]) -> Face:
        """Where one instance asks; `place` = where that one finds a worker."""
        self.faces.append(Face(self, instance, place))
        return self.faces[-1]

    def put(self, name: str, **entry: Any) -> None:
        """A new entry, or a change to one; `removed` takes it out."""
        self.generation += 1
        self.entries[name] = self.entries.get(name, {}) | {"instanceId": name, **entry}
        self.changed.append((self.generation, name))
        for face in self.faces:
            face.news()
        if self.entries[name]["lifecycle"] == "removed":
            del self.entries[name]

    def begin_anew(self, generation: int, entries: dict[str, dict[str, Any]]) -> None:
        """It comes back with this list and numbers on from there; who watches is told the whole of it."""
        self.generation, self.entries, self.changed = generation, entries, []
        for face in self.faces:
            face.lose_watches()

    def close(self) -> None:
        for face in self.faces:
            face.close()


class Face:
    def __init__(self, register: Register, instance: int, place: Callable[[str], str]) -> None:
        self.register, self.instance, self._place = register, instance, place
        self.silent = False
        self.behind: int | None = None  # a generation before the present one that it says, without drains
        self._watches: dict[ServerSide, int] = {}  # with the generation that each has been told of
        self._listener = Listener(register.loop, self._accepted)
        self.address = self._listener.address
        self._beat()

    def _accepted(self, sock: Any) -> None:
        ServerSide(self.register.loop, sock, self._asked, self._gone)

    def _asked(self, side: ServerSide, request: Request) -> None:
        after = int(request.path.partition("after=")[2] or 0)
        side.begin()
        if self.behind is not None:
            return self._old(side)
        self._watches[side] = after if 0 < after <= self.register.generation else 0
        return self.news()

    def _old(self, side: ServerSide) -> None:
        """As a register that has fallen behind answers: an older list, whole, in which nothing drains yet."""
        message = self._message(list(self.register.entries), True) | {"generation": self.behind}
        for entry in message["instances"]:
            entry["lifecycle"] = "up"
        side.event(json.dumps(message).encode() + b"\n")

    def _gone(self, side: ServerSide) -> None:
        self._watches.pop(side, None)

    def news(self) -> None:
        if self.silent:
            return
        for side, after in list(self._watches.items()):
            if after < self.register.generation:
                self._watches[side] = self.register.generation
                self._tell(side, after)

    def whole(self) -> dict[str, Any]:
        """The list as a configuration's `known` has it."""
        return self._message(list(self.register.entries), True)

    def _message(self, names: list[str], reset: bool) -> dict[str, Any]:
        entries = [self.register.entries[name] | {"hostPort": self._place(name)} for name in names]
        return {"generation": self.register.generation, "reset": reset, "instances": entries}

    def _tell(self, side: ServerSide, after: int) -> None:
        later = [name for generation, name in self.register.changed if generation > after]
        names = list(dict.fromkeys(later)) if after else list(self.register.entries)
        message = self._message([name for name in names if name in self.register.entries], not after)
        side.event(json.dumps(message).encode() + b"\n")
        for entry in message["instances"]:
            started = entry["startedAtMs"] / 1000.0 or None
            runs = entry["lifecycle"] == "up"
            self.register.told(self.instance, server_id(entry["instanceId"]), runs, started)

    def _beat(self) -> None:
        if not self.silent:
            for side in self._watches:
                side.event(b"\n")
        self.register.loop.after(BEAT, self._beat)

    def forget_watches(self) -> None:
        """The watches fall silent: they stay open, and nothing comes on them any more."""
        self._watches.clear()

    def lose_watches(self) -> None:
        for side in list(self._watches):
            side.channel.abort()
        self._watches.clear()

    def close(self) -> None:
        self._listener.close()
        self.lose_watches()
