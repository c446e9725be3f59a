"""Hot restart: a new process takes over from the running process of its instance.

All processes of an instance share one listening socket. The new one reads the state of its predecessor,
starts to accept, and marks itself ready; the predecessor then stops accepting and finishes its requests.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Mapping
from pathlib import Path

from ..resource_budget import ResourceBudget
from ..service import Service
from .handover_encoding import DecodeError, HandOver, pack, unpack
from .instance import Event, Instance, State
from .process_files import ProcessFiles
from .process_neighbours import POLL_INTERVAL_S, READY_RENEWAL_S, Neighbours, NeighbourStatus

HANDOVER_TIMEOUT_S = 0.6  # time for the predecessor to notice this process and to write its hand-over
HANDOVER_POLL_S = 0.02  # between checks for the hand-over


class HotRestart:
    """Takes over from a predecessor process, and hands over to a successor process."""

    def __init__(self, service: Service, files: ProcessFiles) -> None:
        self._service, self._loop, self._files = service, service.loop, files
        self.has_predecessor = files.predecessor() is not None
        self._neighbours = Neighbours(self.has_predecessor)
        self._marked_ready_at = -READY_RENEWAL_S
        service.instance = Instance(State.SUCCEEDING if self.has_predecessor else State.STARTING)

    def await_handover(self) -> HandOver | None:
        """Wait for the predecessor's hand-over; None if there is none or it cannot be used.

        The loop runs meanwhile, so that the management endpoint answers.
        """
        deadline = time.monotonic() + HANDOVER_TIMEOUT_S
        while self.has_predecessor and time.monotonic() < deadline and not self._loop.stopped:
            if (data := self._files.take_handover()) is not None:
                return self._decode(data)
            self._loop.after(HANDOVER_POLL_S, lambda: None)
            self._loop.run_turn()
        if self.has_predecessor:
            self._loop.log("no hand-over", f"none arrived within {HANDOVER_TIMEOUT_S} s; starting fresh")
        return None

    def _decode(self, data: bytes) -> HandOver | None:
        try:
            handover = unpack(data, time.monotonic())
        except DecodeError as error:
            self._loop.log("hand-over passed over", f"{error}; starting fresh")
            return None
        summary = f"{len(handover.servers)} workers, {len(handover.module.sessions)} sessions"
        self._loop.log("hand-over taken", summary)
        if handover.drained:
            self._service.handle_event(Event.DRAIN)
        return handover

    def monitor(self, handover_state: Callable[[bool], HandOver], resource_budget: ResourceBudget) -> None:
        """Poll the other processes of the instance from now on.

        `handover_state` returns the hand-over for a successor; its argument says whether this one is drained.
        """
        self._handover_state, self._resource_budget = handover_state, resource_budget
        self._poll()

    def _poll(self) -> None:
        if self._service.instance.state is State.LEAVING:
            return
        try:
            self._check_neighbours()
        except OSError as error:  # the folder is gone or full: serve as if this were the only process
            self._loop.log("line of processes not read", str(error))
        self._loop.after(POLL_INTERVAL_S, self._poll)

    def _check_neighbours(self) -> None:
        successors = self._files.successors()
        ages = [age for age in map(self._files.ready_age, successors) if age is not None]
        status = NeighbourStatus(
            self._files.predecessor(), next(iter(successors), None), min(ages, default=None)
        )
        self._resource_budget.set_shared(status.predecessor is not None or status.successor is not None)
        for event in self._neighbours.update(status):
            self._service.handle_event(event)
        if (number := self._neighbours.next_handover_target(status)) is not None:
            self._files.write_handover(number, pack(self._handover_state(self._service.instance.drained)))
            self._loop.log("handed over", f"to process {number} of this instance")
        accepts = self._service.instance.serves and self._service.instance.front_mode.accepting
        # Only a predecessor reads the ready mark.
        if (
            accepts
            and status.predecessor is not None
            and self._loop.now - self._marked_ready_at >= READY_RENEWAL_S
        ):
            self._marked_ready_at = self._loop.now
            self._files.mark_ready()


def join_instance(service: Service, environ: Mapping[str, str], name: str) -> HotRestart | None:
    """Register this process among those of its instance; None if its folder cannot be used."""
    folder = Path(environ.get("TMPDIR") or "/tmp") / f"yewhook-{name.replace(os.sep, '_')}"
    try:
        return HotRestart(service, ProcessFiles(folder))
    except OSError as error:
        service.log(
            "no line of processes", f"{folder}: {error}; starting as the only process of the instance"
        )
        return None
