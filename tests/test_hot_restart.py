"""Replacing a process: the process files, the hand-over, and the events from neighbouring processes."""

from __future__ import annotations

import os
import time
from dataclasses import replace
from pathlib import Path

import pytest
from helpers import Bench, server
from hypothesis import given, settings
from hypothesis import strategies as st

from hopshed.handover import import_state, split_state
from hopshed.interface import ListKind, Outcome, Role, ServersListed
from hopshed.state import Session
from yewhook.operations import handover_encoding
from yewhook.operations.handover_encoding import DecodeError, HandOver, pack, unpack
from yewhook.operations.instance import Event
from yewhook.operations.process_files import ProcessFiles
from yewhook.operations.process_neighbours import READY_TIMEOUT_S, Neighbours, NeighbourStatus


def release_lock(files: ProcessFiles) -> None:
    """Release the lock as the end of the process would."""
    os.close(files._lock)


def test_each_process_sees_its_living_neighbours(tmp_path: Path) -> None:
    first, second = ProcessFiles(tmp_path / "processes"), ProcessFiles(tmp_path / "processes")
    assert (first.predecessor(), first.successors()) == (None, [second.number])
    assert (second.predecessor(), second.successors()) == (first.number, [])
    third = ProcessFiles(tmp_path / "processes")
    assert third.predecessor() == second.number and first.successors() == [second.number, third.number]
    release_lock(second)
    assert third.predecessor() == first.number and first.successors() == [third.number]
    release_lock(first)
    assert third.predecessor() is None


def test_files_of_dead_processes_are_removed(tmp_path: Path) -> None:
    first = ProcessFiles(tmp_path / "processes")
    first.mark_ready()
    first.write_handover(first.number, b"x")
    release_lock(first)
    (tmp_path / "processes" / "17.process").write_bytes(b"")  # not locked by anyone
    second = ProcessFiles(tmp_path / "processes")
    assert second.number == 18 and {path.name for path in (tmp_path / "processes").iterdir()} == {
        "18.process"
    }


def test_the_age_of_a_ready_mark_counts_from_its_renewal(tmp_path: Path) -> None:
    files = ProcessFiles(tmp_path / "processes")
    assert files.ready_age(files.number) is None
    files.mark_ready()
    age = files.ready_age(files.number)
    assert age is not None and age < 5.0
    os.utime(tmp_path / "processes" / f"{files.number}.ready", (time.time() - 9, time.time() - 9))
    age = files.ready_age(files.number)
    assert age is not None and age > 8.0


def test_a_hand_over_is_read_once_and_its_file_deleted(tmp_path: Path) -> None:
    first, second = ProcessFiles(tmp_path / "processes"), ProcessFiles(tmp_path / "processes")
    assert second.take_handover() is None
    first.write_handover(second.number, b"all")
    assert second.take_handover() == b"all" and second.take_handover() is None
    assert {path.name for path in (tmp_path / "processes").iterdir()} == {"1.process", "2.process"}


def test_a_hand_over_that_does_not_fit_on_the_disk_leaves_no_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first, second = ProcessFiles(tmp_path / "processes"), ProcessFiles(tmp_path / "processes")

    def full(path: Path, data: bytes) -> int:
        path.touch()
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(Path, "write_bytes", full)
    with pytest.raises(OSError, match="No space"):
        first.write_handover(second.number, b"all")
    assert second.take_handover() is None and len(list((tmp_path / "processes").iterdir())) == 2


def test_each_change_of_the_neighbours_is_reported_once() -> None:
    neighbours = Neighbours(had_predecessor=True)
    for status, events in (
        (NeighbourStatus(1, None, None), []),
        (NeighbourStatus(1, 3, None), []),
        (NeighbourStatus(None, 3, 0.1), [Event.PREDECESSOR_LOST, Event.SUCCESSOR_READY]),
        (NeighbourStatus(None, 3, 0.3), []),
        # It hangs: it holds its lock but does not renew its mark.
        (NeighbourStatus(None, 3, READY_TIMEOUT_S), [Event.SUCCESSOR_LOST]),
        (NeighbourStatus(None, 3, 0.0), [Event.SUCCESSOR_READY]),
        (NeighbourStatus(None, None, None), [Event.SUCCESSOR_LOST]),
    ):
        assert neighbours.update(status) == events
    assert [neighbours.next_handover_target(NeighbourStatus(None, n, None)) for n in (None, 3, 3, 4)] == [
        None,
        3,
        None,
        4,
    ]


def bench_with_learned_state() -> Bench:
    """A module that has served a turn and ejected a failing server."""
    bench = Bench(tenants=())
    bench.arrive("r1", session="s", prefix="p", prefix_tokens=500.0)
    bench.read("r1")
    bench.end("r1", Outcome.OK)
    (
        bench.controller.workers[1].errors,
        bench.controller.workers[1].ejected,
        bench.controller.workers[1].cold_level,
    ) = 0.7, 105.0, 3.0
    bench.controller.sessions["s"].cst = 1.5
    return bench


def hand_over_of(bench: Bench) -> HandOver:
    listed = handover_encoding.to_listed(
        (worker.info, ("127.0.0.1", 1000 + number)) for number, worker in bench.controller.workers.items()
    )
    return HandOver(bench.now, True, 7, listed, {2: 99.0}, split_state(bench.controller))


def test_a_successor_continues_with_the_learned_state() -> None:
    old = bench_with_learned_state()
    handover = unpack(pack(hand_over_of(old)), old.now)
    assert (handover.drained, handover.generation, handover.told_off) == (True, 7, {2: 99.0})
    new = Bench(fleet=[info for info, _ in handover_encoding.from_listed(handover.servers)], tenants=())
    import_state(new.controller, handover.module, old.now)
    assert new.controller.sessions == {
        "s": Session(1.5, old.controller.sessions["s"].reader, 1000.0, old.controller.sessions["s"].at)
    }
    assert new.controller.prefix_cache.uses.keys() == old.controller.prefix_cache.uses.keys()
    assert new.controller.paces.by_role[Role.READER] == old.controller.paces.by_role[Role.READER] > 0
    assert (new.controller.workers[1].errors, new.controller.workers[1].ejected) == (0.7, 105.0)
    # Both processes may briefly send to a cold server, so they split its budget.
    assert old.controller.workers[1].cold_level == new.controller.workers[1].cold_level == 1.5
    new.now = old.now
    new.arrive("r2", session="s")
    assert new.attempts["r2"] == [old.controller.sessions["s"].reader]


def test_learned_state_of_unlisted_servers_is_ignored() -> None:
    old = bench_with_learned_state()
    new = Bench(fleet=[server(1, 0), server(12, 1)], tenants=())
    import_state(new.controller, split_state(old.controller), old.now)
    new.do(ServersListed(ListKind.CHANGES, (server(2, 0),)))
    assert set(new.controller.workers) == {1, 2, 12} and new.controller.workers[2].errors == 0.0


def test_learned_state_of_other_settings_is_rejected_whole() -> None:
    known = split_state(bench_with_learned_state().controller)
    new = Bench(tenants=())
    with pytest.raises(ValueError, match="other classes"):
        import_state(new.controller, replace(known, by_class=[*known.by_class, (0.0, 0.0)]), 100.0)
    assert not new.controller.sessions


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.data())
def test_a_damaged_hand_over_is_rejected(data: st.DataObject) -> None:
    whole = pack(hand_over_of(bench_with_learned_state()))
    at = data.draw(st.integers(0, len(whole) - 1))
    cut, flip = data.draw(st.booleans()), data.draw(st.integers(1, 255))
    damaged = whole[:at] if cut else whole[:at] + bytes([whole[at] ^ flip]) + whole[at + 1 :]
    with pytest.raises(DecodeError):
        unpack(damaged, 1e9)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "not a hand-over"),
        (b"PK\x03\x04 1 2 3\n", "not a hand-over"),
        (
            pack(hand_over_of(bench_with_learned_state())).replace(b"handover 1 ", b"handover 9 ", 1),
            "format version 9",
        ),
    ],
)
def test_foreign_data_and_other_format_versions_are_rejected_with_the_reason(
    data: bytes, reason: str
) -> None:
    with pytest.raises(DecodeError, match=reason):
        unpack(data, 1e9)


def test_a_hand_over_written_on_another_clock_is_rejected() -> None:
    with pytest.raises(DecodeError, match="another clock"):
        unpack(pack(hand_over_of(bench_with_learned_state())), 1.0)
