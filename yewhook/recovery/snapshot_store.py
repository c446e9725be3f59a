"""The recovery at the edge of a process: its snapshots, its words to others, what it tells the core."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterator
from random import Random
from typing import TYPE_CHECKING, Protocol

from hopshed import interface as i
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

NAME = "snapshot"
LOOK_EVERY = 0.1  # s between looks at what is to be said, and at workers that are not kept any longer
COST_MOST = 0.01  # part of the loop's time that snapshots may take
Place = tuple[i.Server, "Address | None"]


class SnapshotSource(Protocol):
    """The front whose state is kept."""

    router: Router

    @property
    def levels(self) -> Governor | None: ...

    def state(self) -> HandOver:
        """What a process after this one goes on from."""


class SnapshotStore:
    def __init__(
        self, loop: Loop, settings: RecoverySettings, module: i.Settings, names: Names, seed: int
    ) -> None:
        self._loop, self._settings, self._names = loop, settings, names
        self._fleet = fleet_id(module, names)
        self._boot = self._read_boot()
        random = Random(f"recovery {seed}")
        self.recovery = Recovery(settings, module, loop.now, random, loop.log)
        self._roles = module.roles
        self._speaker = (
            peer_messages.MessageSchedule(module.instances, random, loop.now) if module.may_tell else None
        )
        self._tell: Callable[[bytes], None] = lambda data: None
        self._timer, self._writing = Timer(loop), Timer(loop)
        self._kept: SnapshotSource | None = None
        self._steps: Iterator[None] | None = None  # of a snapshot that is being written
        self._recalled = False
        self._drains: frozenset[int] = frozenset()  # that the latest snapshot knows of
        self._generations = self._open()
        self._old = self._load()

    # ---- what an earlier process left ----

    def _read_boot(self) -> str:
        try:
            return self._settings.boot_id.read_text().strip()
        except OSError as error:
            self._loop.log("no boot id", f"{error}; a snapshot's age is told by the clock alone")
            return ""

    def _open(self) -> Generations | None:
        if self._settings.folder is None:
            return None
        try:
            return Generations(Folder(self._settings.folder), NAME)
        except OSError as error:
            self._loop.log("no snapshots", f"{self._settings.folder}: {error}")
            return None

    def _load(self) -> Snapshot | None:
        if self._generations is None:
            return None
        for data in self._generations.read():
            try:
                found = unpack(data, self._fleet)
            except DecodeError as error:
                self._loop.log("snapshot passed over", str(error))
                continue
            old = age(found, self._clocks())
            self._loop.log("snapshot read", f"{old:.1f} s old, {len(found.state.servers)} workers")
            self._remember(found, old)
            return found
        self._loop.log("no snapshot", "starting fresh")
        return None

    def _clocks(self) -> Clocks:
        return Clocks(time.time(), time.monotonic(), self._boot)

    def _remember(self, found: Snapshot, old: float) -> None:
        wrote = -math.inf if math.isnan(old) else self._loop.now - old
        before = [server for server, _ in from_listed(found.state.servers)]
        # Starts are told on the clock of that run of the machine; on ours they lie elsewhere.
        shift = self._shift(found, wrote)
        moved = tuple(
            server._replace(started=None if server.started is None else server.started + shift)
            for server in before
        )
        boot = found.boot == self._boot if self._boot and found.boot else None
        self.recovery.load_previous_run(
            PreviousRun(wrote, boot, math.isnan(old), found.state.generation, moved)
        )
        if found.turns > 0:
            of = {role: [s.id for s in before if self._roles[s.kind] is role] for role in Role}
            self.recovery.set_usual_traffic(
                usual_traffic(found.turns, of, found.state.module.work, found.state.at)
            )

    @staticmethod
    def _shift(found: Snapshot, wrote: float) -> float:
        return wrote - found.state.at if math.isfinite(wrote) else 0.0

    def initial_servers(self, known: tuple[i.Server, ...]) -> tuple[Place, ...]:
        """The workers to begin with: what the configuration and the snapshot say together, and where those
        are that only the snapshot has."""
        places = dict(from_listed(self._old.state.servers)) if self._old is not None else {}
        found = {server.id: place for server, place in places.items()}
        return tuple((s, found.get(s.id)) for s in self.recovery.begin(known, self._loop.now))

    @property
    def generation(self) -> int:
        return self._old.state.generation if self._old is not None else 0

    @property
    def pin(self) -> Pinned | None:
        """What operators held a level at, if that has not ended."""
        pin = self._old.pin if self._old is not None else None
        return pin if pin is not None and pin.until > time.time() else None

    # ---- while it serves ----

    def start(self, kept: SnapshotSource, tell: Callable[[bytes], None]) -> None:
        """From now on; `tell` = to all other routers."""
        self._kept, self._tell = kept, tell
        self._look()
        if self._generations is not None:
            self._writing.set(self._settings.every, self._write)

    def servers_listed(
        self, kind: ListKind, listed: tuple[i.Server, ...], generation: int
    ) -> tuple[i.Server, ...]:
        """What the core is to take for the register's list."""
        return self.recovery.merge_list(kind, listed, generation, self._loop.now)

    def message_received(self, sender: int, data: bytes) -> None:
        """Another router's word."""
        try:
            word = peer_messages.unpack(data)
        except ValueError as error:
            return self._loop.log("word of a router passed over", f"router {sender}: {error}")
        self.recovery.message_received(sender, word, self._loop.now)
        if word.asks and self._speaker is not None:
            self._speaker.asked(self._loop.now)
        return None

    def _look(self) -> None:
        now = self._loop.now
        assert self._kept is not None
        if self._speaker is not None:
            asks = self._speaker.due(now, self.recovery.active)
            if asks is not None:
                self._tell(peer_messages.pack(self.recovery.message(asks, now)))
        if gone := self.recovery.missed(now):
            self._loop.log("workers gone", f"{len(gone)} that the register left out, and nobody has met")
            self._kept.router.servers_listed(ListKind.CHANGES, gone)
        self._recall()
        if (
            self._generations is not None
            and not self._steps
            and self.recovery.draining_workers != self._drains
        ):
            self._writing.set(0.0, self._write)  # an order is not to be lost to a snapshot that is due later
        self._timer.set(LOOK_EVERY, self._look)

    def _recall(self) -> None:
        """Once it is judged who was lost, let the module know what of before still holds."""
        scope = self.recovery.scope_estimate.scope
        if self._recalled or self._old is None or scope is Scope.UNKNOWN:
            return
        assert self._kept is not None
        self._recalled = True
        old = age(self._old, self._clocks())
        wrote = -math.inf if math.isnan(old) else self._loop.now - old
        shift = self._shift(self._old, wrote)
        holds = still_valid(self._old.state.module, scope, shift, wrote, self._loop.now)
        self._kept.router.merge_learned_state(holds)
        told = f"{len(holds.sessions)} of {len(self._old.state.module.sessions)} sessions"
        self._loop.log("recalled", f"{told}, {len(holds.servers)} workers' paces")

    # ---- snapshots ----

    def _write(self) -> None:
        assert self._kept is not None and self._generations is not None
        self._drains = self.recovery.draining_workers
        began = time.perf_counter()
        try:
            data = pack(self._snapshot(self._kept))
            if len(data) > self._settings.most_bytes:
                raise DecodeError(f"{len(data)} bytes, at most {self._settings.most_bytes} are to be kept")
            steps = self._generations.write(data)
        except (DecodeError, TypeError, ValueError) as error:
            self._loop.log("snapshot not made", str(error))
            return self._writing.set(self._settings.every, self._write)
        self._steps = steps
        return self._step(steps, time.perf_counter() - began)

    def _step(self, steps: Iterator[None], cost: float) -> None:
        """One call of the disk a turn of the loop; what they all cost says when the next snapshot is due."""
        began = time.perf_counter()
        try:
            next(steps)
        except StopIteration:
            self._steps = None
            wait = max(self._settings.every, cost / COST_MOST)
            return self._writing.set(wait, self._write)
        except OSError as error:
            self._steps = None
            self._loop.log("snapshot not written", str(error))
            return self._writing.set(self._settings.every, self._write)
        cost += time.perf_counter() - began
        return self._writing.set(0.0, lambda: self._step(steps, cost))

    def _snapshot(self, kept: SnapshotSource) -> Snapshot:
        levels, clocks = kept.levels, self._clocks()
        turns = levels.turn_rate(self._loop.now) if levels is not None else 0.0
        if self.recovery.active and self._old is not None:
            turns = self._old.turns  # what is usual shows in full service only
        pin = levels.level_state.pin if levels is not None else None
        held = None
        if pin is not None:
            held = Pinned(pin.level.label, clocks.wall + pin.until - self._loop.now, pin.reason)
        return Snapshot(self._fleet, clocks.wall, clocks.boot, turns, kept.state(), held)

    def close(self) -> None:
        self._timer.cancel()
        self._writing.cancel()
