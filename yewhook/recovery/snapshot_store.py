"""Connects the recovery to a process: snapshots on disk, messages to other routers, and the router core."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterator
from random import Random
from typing import TYPE_CHECKING, Protocol

from hopshed import interface
from hopshed.interface import ListKind, Role

from ..config import Names
from ..loop import Loop, Timer
from ..operations.handover_encoding import DecodeError, HandOver, from_listed
from . import peer_messages
from .files import Folder
from .generations import Generations
from .recovery import PreviousRun, Recovery, usual_traffic
from .restart_scope import Scope
from .settings import RecoverySettings
from .snapshot import Clocks, Pinned, Snapshot, age, fleet_id, pack, unpack
from .snapshot_restore import still_valid

if TYPE_CHECKING:
    from ..config import Address
    from ..core.router import Router
    from ..levels.governor import Governor

FILE_NAME = "snapshot"
CHECK_INTERVAL_S = 0.1  # between checks for due messages, omitted workers and new drain orders
MAX_WRITE_TIME_SHARE = 0.01  # part of the loop's time that snapshots may take
# A worker, and its address if that is known
LocatedServer = tuple[interface.Server, "Address | None"]


class SnapshotSource(Protocol):
    """The front whose state is saved."""

    router: Router

    @property
    def levels(self) -> Governor | None:
        """The governor of the levels of service; None if they are off."""

    def state(self) -> HandOver:
        """The state that a later process continues from."""


class SnapshotStore:
    """Writes and restores the snapshots of a router process, and drives its recovery."""

    def __init__(
        self,
        loop: Loop,
        settings: RecoverySettings,
        module: interface.Settings,
        names: Names,
        seed: int,
    ) -> None:
        """Reads the snapshot of an earlier process; `module` = settings of the decision module."""
        self._loop, self._settings, self._names = loop, settings, names
        self._fleet_id = fleet_id(module, names)
        self._boot_id = self._read_boot_id()
        random = Random(f"recovery {seed}")
        self.recovery = Recovery(settings, module, loop.now, random, loop.log)
        self._roles = module.roles
        self._message_schedule = (
            peer_messages.MessageSchedule(module.instances, random, loop.now) if module.may_tell else None
        )
        self._broadcast: Callable[[bytes], None] = lambda data: None
        self._check_timer, self._write_timer = Timer(loop), Timer(loop)
        self._source: SnapshotSource | None = None
        self._write_steps: Iterator[None] | None = None  # of a snapshot that is being written
        self._restored = False
        self._saved_drains: frozenset[int] = frozenset()  # draining workers in the latest snapshot
        self._generations = self._open_generations()
        self._previous = self._read_snapshot()

    # ---- the snapshot of an earlier process ----

    def _read_boot_id(self) -> str:
        try:
            return self._settings.boot_id.read_text().strip()
        except OSError as error:
            self._loop.log("no boot id", f"{error}; a snapshot's age is taken from the wall clock alone")
            return ""

    def _open_generations(self) -> Generations | None:
        if self._settings.folder is None:
            return None
        try:
            return Generations(Folder(self._settings.folder), FILE_NAME)
        except OSError as error:
            self._loop.log("no snapshots", f"{self._settings.folder}: {error}")
            return None

    def _read_snapshot(self) -> Snapshot | None:
        if self._generations is None:
            return None
        for data in self._generations.read():
            try:
                snapshot = unpack(data, self._fleet_id)
            except DecodeError as error:
                self._loop.log("snapshot passed over", str(error))
                continue
            age_s = age(snapshot, self._clocks())
            self._loop.log("snapshot read", f"{age_s:.1f} s old, {len(snapshot.state.servers)} workers")
            self._load_previous_run(snapshot, age_s)
            return snapshot
        self._loop.log("no snapshot", "starting without earlier state")
        return None

    def _clocks(self) -> Clocks:
        return Clocks(time.time(), time.monotonic(), self._boot_id)

    def _load_previous_run(self, snapshot: Snapshot, age_s: float) -> None:
        """Hands a snapshot of the given age to the recovery."""
        written_at = -math.inf if math.isnan(age_s) else self._loop.now - age_s
        servers = [server for server, _ in from_listed(snapshot.state.servers)]
        # Start times in the snapshot are on the monotonic clock of its boot.
        shift = self._clock_shift(snapshot, written_at)
        shifted = tuple(
            server._replace(started=None if server.started is None else server.started + shift)
            for server in servers
        )
        same_boot = snapshot.boot == self._boot_id if self._boot_id and snapshot.boot else None
        self.recovery.load_previous_run(
            PreviousRun(written_at, same_boot, math.isnan(age_s), snapshot.state.generation, shifted)
        )
        if snapshot.turns > 0:
            by_role = {
                role: [server.id for server in servers if self._roles[server.kind] is role] for role in Role
            }
            self.recovery.set_usual_traffic(
                usual_traffic(snapshot.turns, by_role, snapshot.state.module.work, snapshot.state.at)
            )

    @staticmethod
    def _clock_shift(snapshot: Snapshot, written_at: float) -> float:
        """Seconds to add to the times in a snapshot; 0 if its age is unknown."""
        return written_at - snapshot.state.at if math.isfinite(written_at) else 0.0

    def initial_servers(self, known: tuple[interface.Server, ...]) -> tuple[LocatedServer, ...]:
        """The workers to use until the register answers, from the configuration and the snapshot.

        Workers that the snapshot names come with their addresses.
        """
        listed = dict(from_listed(self._previous.state.servers)) if self._previous is not None else {}
        addresses = {server.id: address for server, address in listed.items()}
        return tuple(
            (server, addresses.get(server.id))
            for server in self.recovery.initial_servers(known, self._loop.now)
        )

    @property
    def generation(self) -> int:
        """The generation of the register's list in the snapshot; 0 without one."""
        return self._previous.state.generation if self._previous is not None else 0

    @property
    def pin(self) -> Pinned | None:
        """The level of service that operators pinned before the restart, if the pin has not ended."""
        pin = self._previous.pin if self._previous is not None else None
        return pin if pin is not None and pin.until > time.time() else None

    # ---- while the process serves ----

    def start(self, source: SnapshotSource, broadcast: Callable[[bytes], None]) -> None:
        """Starts the checks and the snapshots; `broadcast` sends a datagram to all other routers."""
        self._source, self._broadcast = source, broadcast
        self._check()
        if self._generations is not None:
            self._write_timer.set(self._settings.every, self._write)

    def servers_listed(
        self, kind: ListKind, listed: tuple[interface.Server, ...], generation: int
    ) -> tuple[interface.Server, ...]:
        """The list that the core is given in place of the register's."""
        return self.recovery.merge_list(kind, listed, generation, self._loop.now)

    def message_received(self, sender: int, data: bytes) -> None:
        """Handles a message of another router."""
        try:
            message = peer_messages.unpack(data)
        except ValueError as error:
            return self._loop.log("word of a router passed over", f"router {sender}: {error}")
        self.recovery.message_received(sender, message, self._loop.now)
        if message.asks and self._message_schedule is not None:
            self._message_schedule.asked(self._loop.now)
        return None

    def _check(self) -> None:
        now = self._loop.now
        assert self._source is not None
        if self._message_schedule is not None:
            asks = self._message_schedule.due(now, self.recovery.active)
            if asks is not None:
                self._broadcast(peer_messages.pack(self.recovery.message(asks, now)))
        if gone := self.recovery.expire_omitted(now):
            self._loop.log("workers gone", f"{len(gone)} that the register omitted and that did not answer")
            self._source.router.servers_listed(ListKind.CHANGES, gone)
        self._restore()
        if (
            self._generations is not None
            and not self._write_steps
            and self.recovery.draining_workers != self._saved_drains
        ):
            # At once, so that a power loss does not undo a drain order
            self._write_timer.set(0.0, self._write)
        self._check_timer.set(CHECK_INTERVAL_S, self._check)

    def _restore(self) -> None:
        """Gives the module the state that is still valid, once the scope of the restart is known."""
        scope = self.recovery.scope_estimate.scope
        if self._restored or self._previous is None or scope is Scope.UNKNOWN:
            return
        assert self._source is not None
        self._restored = True
        age_s = age(self._previous, self._clocks())
        written_at = -math.inf if math.isnan(age_s) else self._loop.now - age_s
        shift = self._clock_shift(self._previous, written_at)
        valid = still_valid(self._previous.state.module, scope, shift, written_at, self._loop.now)
        self._source.router.merge_learned_state(valid)
        sessions = f"{len(valid.sessions)} of {len(self._previous.state.module.sessions)} sessions"
        self._loop.log("recalled", f"{sessions}, {len(valid.servers)} workers' paces")

    # ---- snapshots ----

    def _write(self) -> None:
        assert self._source is not None and self._generations is not None
        self._saved_drains = self.recovery.draining_workers
        started_at = time.perf_counter()
        try:
            data = pack(self._snapshot(self._source))
            if len(data) > self._settings.most_bytes:
                raise DecodeError(f"{len(data)} bytes, over the limit of {self._settings.most_bytes}")
            steps = self._generations.write(data)
        except (DecodeError, TypeError, ValueError) as error:
            self._loop.log("snapshot not made", str(error))
            return self._write_timer.set(self._settings.every, self._write)
        self._write_steps = steps
        return self._write_step(steps, time.perf_counter() - started_at)

    def _write_step(self, steps: Iterator[None], cost: float) -> None:
        """Does one file operation per turn of the loop.

        `cost` = seconds taken so far; the total determines when the next snapshot is due.
        """
        started_at = time.perf_counter()
        try:
            next(steps)
        except StopIteration:
            self._write_steps = None
            wait = max(self._settings.every, cost / MAX_WRITE_TIME_SHARE)
            return self._write_timer.set(wait, self._write)
        except OSError as error:
            self._write_steps = None
            self._loop.log("snapshot not written", str(error))
            return self._write_timer.set(self._settings.every, self._write)
        cost += time.perf_counter() - started_at
        return self._write_timer.set(0.0, lambda: self._write_step(steps, cost))

    def _snapshot(self, source: SnapshotSource) -> Snapshot:
        levels, clocks = source.levels, self._clocks()
        turns = levels.turn_rate(self._loop.now) if levels is not None else 0.0
        if self.recovery.active and self._previous is not None:
            turns = self._previous.turns  # the usual rate shows only in full service
        pin = levels.level_state.pin if levels is not None else None
        pinned = None
        if pin is not None:
            pinned = Pinned(pin.level.label, clocks.wall + pin.until - self._loop.now, pin.reason)
        return Snapshot(self._fleet_id, clocks.wall, clocks.boot, turns, source.state(), pinned)

    def close(self) -> None:
        """Stops the timers; a snapshot in progress is abandoned."""
        self._check_timer.cancel()
        self._write_timer.cancel()
