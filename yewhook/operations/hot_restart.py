"""Hot restart: a process takes over from the one before it in its instance, and gives way to the next."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Mapping
from pathlib import Path

from ..service import ResourceBudget, Service
from .handover_encoding import DecodeError, HandOver, pack, unpack
from .instance import Event, Instance, State
from .process_files import ProcessFiles
from .process_neighbours import LOOK_EVERY, RENEW, Neighbours, NeighbourStatus

HAND_OVER_WAIT = 0.6  # s for the predecessor to see this process and to tell it what it knows
WAIT_TURN = 0.02  # s between looks for that


class HotRestart:
    def __init__(self, service: Service, files: ProcessFiles) -> None:
        self._service, self._loop, self._files = service, service.loop, files
        self.has_predecessor = files.predecessor() is not None
        self._neighbours = Neighbours(self.has_predecessor)
        self._renewed = -RENEW
        service.instance = Instance(State.SUCCEEDING if self.has_predecessor else State.STARTING)

    def await_handover(self) -> HandOver | None:
        """What the predecessor knows, where it says so in time; the management endpoint answers meanwhile."""
        end = time.monotonic() + HAND_OVER_WAIT
        while self.has_predecessor and time.monotonic() < end and not self._loop.stopped:
            if (data := self._files.handed()) is not None:
                return self._read(data)
            self._loop.after(WAIT_TURN, lambda: None)
            self._loop.run_turn()
        if self.has_predecessor:
            self._loop.log("no hand-over", f"none came within {HAND_OVER_WAIT} s; starting fresh")
        return None

    def _read(self, data: bytes) -> HandOver | None:
        try:
            handed = unpack(data, time.monotonic())
        except DecodeError as error:
            self._loop.log("hand-over passed over", f"{error}; starting fresh")
            return None
        held = f"{len(handed.servers)} workers, {len(handed.module.sessions)} sessions"
        self._loop.log("hand-over taken", held)
        if handed.drained:
            self._service.handle_event(Event.DRAIN)
        return handed

    def monitor(self, handover_state: Callable[[bool], HandOver], room: ResourceBudget) -> None:
        """Watch the other processes from now on; `handover_state` makes what a successor gets, told if this
        is drained."""
        self._handover_state, self._room = handover_state, room
        self._look()

    def _look(self) -> None:
        if self._service.instance.state is State.LEAVING:
            return
        try:
            self._see()
        except OSError as error:  # the folder is gone or full: this process goes on as if it were alone
            self._loop.log("line of processes not read", str(error))
        self._loop.after(LOOK_EVERY, self._look)

    def _see(self) -> None:
        later = self._files.successors()
        ages = [age for age in map(self._files.ready_age, later) if age is not None]
        status = NeighbourStatus(self._files.predecessor(), next(iter(later), None), min(ages, default=None))
        self._room.set_shared(status.predecessor is not None or status.successor is not None)
        for event in self._neighbours.see(status):
            self._service.handle_event(event)
        if (number := self._neighbours.to_hand(status)) is not None:
            self._files.hand(number, pack(self._handover_state(self._service.instance.drained)))
            self._loop.log("handed over", f"to process {number} of this instance")
        accepts = self._service.instance.serves and self._service.instance.front_mode.accepting
        if accepts and status.predecessor is not None and self._loop.now - self._renewed >= RENEW:
            self._renewed = self._loop.now
            self._files.mark_ready()


def join_instance(service: Service, environ: Mapping[str, str], name: str) -> HotRestart | None:
    """Register this process among those of its instance; None where there is no folder for its files."""
    folder = Path(environ.get("TMPDIR") or "/tmp") / f"yewhook-{name.replace(os.sep, '_')}"
    try:
        return HotRestart(service, ProcessFiles(folder))
    except OSError as error:
        service.log("no line of processes", f"{folder}: {error}; this process starts as the only one")
        return None
