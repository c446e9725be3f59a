"""What is kept over a loss: snapshots and wishes, cut at every byte and with every step failing."""

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
class Faulty:
    """Files in memory, where the power goes after so many calls, in the middle of one; what was not synced is
    cut where a test says."""

    calls_left: float = math.inf
    keeps: float = 1.0  # part of the unsynced bytes that the disk has after all
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
        """A close makes nothing durable."""

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

    def lose_power(self) -> Faulty:
        """What the next process finds: of what was not synced, a part."""
        left = {}
        for name, data in self.files.items():
            safe = self.synced[name]
            left[name] = data[: safe + int((len(data) - safe) * self.keeps)]
        return Faulty(files=left, synced={name: len(data) for name, data in left.items()})


KNOWLEDGE = LearnedState(
    servers={}, work={1: Estimate(0.5, 90.0)}, sessions=[("s1", Session(1.0, 1, 500.0, 95.0))],
    kept=[(1, "p", Estimate(1.0, 95.0))], seen=[("p", Estimate(2.0, 95.0))], waits={},
    pace={Role.READER: 1e-4}, paced=9, means=(500.0, 200.0, 700.0, 0.1), by_class=[(1.0, 500.0)],
    by_tenant=[(0.0, 0.0)], quotas=[(2.0, 99.0)], words=({}, {}, {}),
)  # fmt: skip


def snapshot(wall: float = 1e9, boot: str = "a") -> Snapshot:
    return Snapshot("fleet", wall, boot, 3.0, HandOver(100.0, False, 7, [], {}, KNOWLEDGE))


def found(files: Faulty) -> Iterator[Snapshot]:
    for data in Generations(files, "snapshot").read():
        try:
            yield unpack(data, "fleet")
        except DecodeError:
            continue


def test_a_snapshot_is_read_back_as_it_was_written() -> None:
    assert unpack(pack(snapshot()), "fleet") == snapshot()


def test_at_every_cut_there_is_an_earlier_one_or_none_and_never_a_wrong_one() -> None:
    data = pack(snapshot())
    for cut in range(len(data)):
        with pytest.raises(DecodeError):
            unpack(data[:cut], "fleet")


@pytest.mark.parametrize("keeps", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("calls", range(12))
def test_whenever_the_power_goes_the_last_whole_snapshot_is_there(calls: int, keeps: float) -> None:
    files = Faulty(keeps=keeps)
    list(Generations(files, "snapshot").write(pack(snapshot(wall=1.0))))
    files.calls_left = calls
    written = True
    try:
        list(Generations(files, "snapshot").write(pack(snapshot(wall=2.0))))
    except OSError:
        written = False
    latest = next(found(files.lose_power()), None)
    assert latest is not None and latest.wall in ((2.0,) if written else (1.0, 2.0))


def test_without_the_sync_a_snapshot_would_be_lost() -> None:
    # What the test above proves hangs on the sync: a disk that keeps nothing unsynced shows it.
    files = Faulty(keeps=0.0)
    files.sync = lambda file: None  # type: ignore[method-assign]
    for wall in (1.0, 2.0):
        list(Generations(files, "snapshot").write(pack(snapshot(wall=wall))))
    assert list(found(files.lose_power())) == []


def test_a_damaged_latest_gives_way_to_the_one_before() -> None:
    files = Faulty()
    for wall in (1.0, 2.0):
        list(Generations(files, "snapshot").write(pack(snapshot(wall=wall))))
    files.files["snapshot"] = files.files["snapshot"][:-1] + b"?"
    assert [one.wall for one in found(files)] == [1.0]


def test_another_fleets_and_another_versions_are_named_plainly() -> None:
    with pytest.raises(DecodeError, match="other settings"):
        unpack(pack(snapshot()), "another")
    with pytest.raises(DecodeError, match="format version 9"):
        unpack(pack(snapshot()).replace(b"yewhook-snapshot 1 ", b"yewhook-snapshot 9 "), "fleet")
    with pytest.raises(DecodeError, match="not a snapshot"):
        unpack(b"yewhook-handover 1 0 00000000\n", "fleet")


@given(st.integers(-100_000, 100_000))
def test_a_clock_that_was_set_makes_no_snapshot_younger(jump: int) -> None:
    # Within one run of the machine the steady clock tells; after it, a time that lies ahead tells nothing.
    here = age(snapshot(wall=1e9), Clocks(1e9 + jump, 130.0, "a"))
    assert here == 30.0
    after = age(snapshot(wall=1e9), Clocks(1e9 + jump, 5.0, "b"))
    assert math.isnan(after) if jump < -1.0 else after == max(0.0, jump)


def test_after_this_routers_own_restart_texts_still_hold_and_after_the_fleets_they_do_not() -> None:
    alone = still_valid(KNOWLEDGE, Scope.ALONE, 0.0, 100.0, 110.0)
    assert [key for key, _ in alone.sessions] == ["s1"] and alone.kept and alone.pace
    fleet = still_valid(KNOWLEDGE, Scope.FLEET, 0.0, 100.0, 110.0)
    assert not fleet.sessions and not fleet.kept and fleet.pace and fleet.seen
    late = still_valid(KNOWLEDGE, Scope.ALONE, 0.0, 100.0, 200.0)
    assert not late.sessions and late.pace  # paces outlive what workers keep
    unknown = still_valid(KNOWLEDGE, Scope.ALONE, 0.0, -math.inf, 110.0)
    assert not unknown.pace and not unknown.quotas and not unknown.seen


def test_times_are_moved_onto_the_clock_of_now() -> None:
    moved = still_valid(KNOWLEDGE, Scope.ALONE, -92.0, 8.0, 12.0)
    assert moved.sessions[0][1].at == 3.0 and moved.quotas == [(2.0, 7.0)]


# ---- what operators want ----


def test_a_wish_is_on_the_disk_before_it_is_obeyed_and_found_after_a_loss() -> None:
    files, said = Faulty(keeps=0.0), list[str]()
    book = DesiredStateStore(files, lambda event, detail: said.append(event))
    book.write("n1", DesiredInstance(drain=Drained("the night shift", 5.0)))
    book.write("n2", DesiredInstance(runs=False))
    after = DesiredStateStore(files.lose_power(), lambda event, detail: said.append(event))
    assert after.state.revision == 2
    assert after.state.instance("n1").drain == Drained("the night shift", 5.0)
    assert not after.state.instance("n2").runs and after.state.instance("n3") == DesiredInstance()
    assert said == ["wanted state read"]


@pytest.mark.parametrize("calls", range(12))
def test_an_order_that_can_not_be_written_changes_nothing(calls: int) -> None:
    files = Faulty()
    book = DesiredStateStore(files, lambda event, detail: None)
    book.write("n1", DesiredInstance(runs=False))
    files.calls_left = calls
    try:
        book.write("n1", DesiredInstance())
    except OSError:
        assert not book.state.instance("n1").runs
    else:
        assert book.state.instance("n1").runs
    again = DesiredStateStore(files.lose_power(), lambda event, detail: None)
    assert again.state.revision in (1, 2)


def test_what_is_as_always_is_not_written_and_a_damaged_file_gives_way() -> None:
    files, said = Faulty(), list[str]()
    book = DesiredStateStore(files, lambda event, detail: None)
    book.write("n1", DesiredInstance())
    assert not files.files
    book.write("n1", DesiredInstance(runs=False))
    book.write("n1", DesiredInstance(runs=False, drain=Drained("a", 1.0)))
    files.files["wanted"] = b"{"
    assert DesiredStateStore(files, lambda event, detail: said.append(event)).state.revision == 1
    assert said == ["wanted state passed over", "wanted state read"]


@given(st.integers(0, 9), st.integers(0, 9), st.integers(1, 5))
def test_a_few_start_at_a_time(waiting: int, starting: int, at_a_time: int) -> None:
    names = [f"n{n}" for n in range(waiting)]
    now = next_to_start(names, starting, at_a_time)
    assert len(now) + starting <= max(at_a_time, starting)
    assert list(now) == names[: len(now)] and (now or not names or starting >= at_a_time)
