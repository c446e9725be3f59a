"""Snapshots and desired states on disk: truncated at every byte, and with every file operation failing."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hopshed.estimate import Estimate
from hopshed.handover import LearnedState
from hopshed.interface import Role
from hopshed.state import Session
from yewhook.operations.handover_encoding import DecodeError, HandOver
from yewhook.recovery.desired_state import DesiredInstance, Drained
from yewhook.recovery.desired_state_store import DesiredStateStore
from yewhook.recovery.generations import Generations
from yewhook.recovery.restart_scope import Scope
from yewhook.recovery.snapshot import Clocks, Snapshot, age, pack, unpack
from yewhook.recovery.snapshot_restore import still_valid
from yewhook.recovery.start_order import next_to_start


@dataclass
class FaultyFiles:
    """Files in memory that lose power after a number of calls and keep a given part of unsynced bytes."""

    calls_left: float = math.inf
    keeps: float = 1.0  # part of the unsynced bytes that reached the disk
    files: dict[str, bytes] = field(default_factory=dict)
    synced: dict[str, int] = field(default_factory=dict)
    _open: list[str] = field(default_factory=list)

    def _call(self) -> None:
        self.calls_left -= 1
        if self.calls_left < 0:
            raise OSError("the power is gone")

    def open(self, name: str) -> int:
        self._call()
        self.files[name], self.synced[name] = b"", 0
        self._open.append(name)
        return len(self._open) - 1

    def append(self, file: int, data: bytes) -> None:
        self._call()
        self.files[self._open[file]] += data

    def sync(self, file: int) -> None:
        self._call()
        self.synced[self._open[file]] = len(self.files[self._open[file]])

    def close(self, file: int) -> None:
        """Closing does not make data durable."""

    def rename(self, old: str, new: str) -> None:
        self._call()
        if old not in self.files:
            raise FileNotFoundError(old)
        self.files[new], self.synced[new] = self.files.pop(old), self.synced.pop(old)

    def sync_folder(self) -> None:
        self._call()

    def unlink(self, name: str) -> None:
        self._call()
        self.files.pop(name, None)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(name)
        return self.files[name]

    def lose_power(self) -> FaultyFiles:
        """The files that the next process finds."""
        left = {}
        for name, data in self.files.items():
            safe = self.synced[name]
            left[name] = data[: safe + int((len(data) - safe) * self.keeps)]
        return FaultyFiles(files=left, synced={name: len(data) for name, data in left.items()})


KNOWLEDGE = LearnedState(
    servers={}, work={1: Estimate(0.5, 90.0)}, sessions=[("s1", Session(1.0, 1, 500.0, 95.0))],
    kept=[(1, "p", Estimate(1.0, 95.0))], seen=[("p", Estimate(2.0, 95.0))], waits={},
    pace={Role.READER: 1e-4}, paced=9, means=(500.0, 200.0, 700.0, 0.1), by_class=[(1.0, 500.0)],
    by_tenant=[(0.0, 0.0)], quotas=[(2.0, 99.0)], words=({}, {}, {}),
)  # fmt: skip


def snapshot(wall: float = 1e9, boot: str = "a") -> Snapshot:
    return Snapshot("fleet", wall, boot, 3.0, HandOver(100.0, False, 7, [], {}, KNOWLEDGE))


def readable_snapshots(files: FaultyFiles) -> Iterator[Snapshot]:
    for data in Generations(files, "snapshot").read():
        try:
            yield unpack(data, "fleet")
        except DecodeError:
            continue


def test_a_snapshot_round_trips() -> None:
    assert unpack(pack(snapshot()), "fleet") == snapshot()


def test_a_snapshot_truncated_at_any_byte_is_rejected() -> None:
    data = pack(snapshot())
    for cut in range(len(data)):
        with pytest.raises(DecodeError):
            unpack(data[:cut], "fleet")


@pytest.mark.parametrize("keeps", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("calls", range(12))
def test_a_whole_snapshot_survives_a_power_loss_at_any_step(calls: int, keeps: float) -> None:
    files = FaultyFiles(keeps=keeps)
    list(Generations(files, "snapshot").write(pack(snapshot(wall=1.0))))
    files.calls_left = calls
    written = True
    try:
        list(Generations(files, "snapshot").write(pack(snapshot(wall=2.0))))
    except OSError:
        written = False
    latest = next(readable_snapshots(files.lose_power()), None)
    assert latest is not None and latest.wall in ((2.0,) if written else (1.0, 2.0))


def test_without_the_sync_a_snapshot_would_be_lost() -> None:
    # Shows that the test above depends on the sync: without it, a disk that keeps no unsynced data loses all.
    files = FaultyFiles(keeps=0.0)
    files.sync = lambda file: None  # type: ignore[method-assign]
    for wall in (1.0, 2.0):
        list(Generations(files, "snapshot").write(pack(snapshot(wall=wall))))
    assert list(readable_snapshots(files.lose_power())) == []


def test_the_previous_snapshot_is_used_if_the_latest_is_damaged() -> None:
    files = FaultyFiles()
    for wall in (1.0, 2.0):
        list(Generations(files, "snapshot").write(pack(snapshot(wall=wall))))
    files.files["snapshot"] = files.files["snapshot"][:-1] + b"?"
    assert [found.wall for found in readable_snapshots(files)] == [1.0]


def test_errors_name_another_fleet_another_format_and_another_kind_of_file() -> None:
    with pytest.raises(DecodeError, match="other settings"):
        unpack(pack(snapshot()), "another")
    with pytest.raises(DecodeError, match="format version 9"):
        unpack(pack(snapshot()).replace(b"yewhook-snapshot 1 ", b"yewhook-snapshot 9 "), "fleet")
    with pytest.raises(DecodeError, match="not a snapshot"):
        unpack(b"yewhook-handover 1 0 00000000\n", "fleet")


@given(st.integers(-100_000, 100_000))
def test_setting_the_clock_makes_no_snapshot_younger(jump: int) -> None:
    # Within one boot the monotonic clock is used; after a reboot, an age below zero is unknown.
    here = age(snapshot(wall=1e9), Clocks(1e9 + jump, 130.0, "a"))
    assert here == 30.0
    after = age(snapshot(wall=1e9), Clocks(1e9 + jump, 5.0, "b"))
    assert math.isnan(after) if jump < -1.0 else after == max(0.0, jump)


def test_cached_text_stays_valid_only_if_just_this_router_was_restarted() -> None:
    alone = still_valid(KNOWLEDGE, Scope.THIS_ROUTER, 0.0, 100.0, 110.0)
    assert [key for key, _ in alone.sessions] == ["s1"] and alone.kept and alone.pace
    fleet = still_valid(KNOWLEDGE, Scope.FLEET, 0.0, 100.0, 110.0)
    assert not fleet.sessions and not fleet.kept and fleet.pace and fleet.seen
    late = still_valid(KNOWLEDGE, Scope.THIS_ROUTER, 0.0, 100.0, 200.0)
    assert not late.sessions and late.pace  # measured speeds stay valid longer than cached text
    unknown = still_valid(KNOWLEDGE, Scope.THIS_ROUTER, 0.0, -math.inf, 110.0)
    assert not unknown.pace and not unknown.quotas and not unknown.seen


def test_restored_times_are_shifted_to_the_present_clock() -> None:
    moved = still_valid(KNOWLEDGE, Scope.THIS_ROUTER, -92.0, 8.0, 12.0)
    assert moved.sessions[0][1].at == 3.0 and moved.quotas == [(2.0, 7.0)]


# ---- desired state ----


def test_a_desired_state_is_durable_when_write_returns() -> None:
    files, logged = FaultyFiles(keeps=0.0), list[str]()
    store = DesiredStateStore(files, lambda event, detail: logged.append(event))
    store.write("n1", DesiredInstance(drain=Drained("the night shift", 5.0)))
    store.write("n2", DesiredInstance(runs=False))
    after = DesiredStateStore(files.lose_power(), lambda event, detail: logged.append(event))
    assert after.state.revision == 2
    assert after.state.instance("n1").drain == Drained("the night shift", 5.0)
    assert not after.state.instance("n2").runs and after.state.instance("n3") == DesiredInstance()
    assert logged == ["wanted state read"]


@pytest.mark.parametrize("calls", range(12))
def test_a_failed_write_changes_nothing(calls: int) -> None:
    files = FaultyFiles()
    store = DesiredStateStore(files, lambda event, detail: None)
    store.write("n1", DesiredInstance(runs=False))
    files.calls_left = calls
    try:
        store.write("n1", DesiredInstance())
    except OSError:
        assert not store.state.instance("n1").runs
    else:
        assert store.state.instance("n1").runs
    again = DesiredStateStore(files.lose_power(), lambda event, detail: None)
    assert again.state.revision in (1, 2)


def test_the_default_is_not_written_and_a_damaged_file_is_skipped() -> None:
    files, logged = FaultyFiles(), list[str]()
    store = DesiredStateStore(files, lambda event, detail: None)
    store.write("n1", DesiredInstance())
    assert not files.files
    store.write("n1", DesiredInstance(runs=False))
    store.write("n1", DesiredInstance(runs=False, drain=Drained("a", 1.0)))
    files.files["wanted"] = b"{"
    assert DesiredStateStore(files, lambda event, detail: logged.append(event)).state.revision == 1
    assert logged == ["wanted state passed over", "wanted state read"]


@given(st.integers(0, 9), st.integers(0, 9), st.integers(1, 5))
def test_the_number_of_simultaneous_starts_is_limited(waiting: int, starting: int, at_a_time: int) -> None:
    names = [f"n{n}" for n in range(waiting)]
    now = next_to_start(names, starting, at_a_time)
    assert len(now) + starting <= max(at_a_time, starting)
    assert list(now) == names[: len(now)] and (now or not names or starting >= at_a_time)
