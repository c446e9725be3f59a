"""Replacing a process: its place in the line, what is handed over, and what is made of the neighbours."""

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
from yewhook.operations.process_neighbours import HUNG, Neighbours, NeighbourStatus


def after(line: ProcessFiles) -> None:
    """As a process's end lets its lock go."""
    os.close(line._lock)


def test_each_process_sees_its_living_neighbours(tmp_path: Path) -> None:
    one, two = ProcessFiles(tmp_path / "line"), ProcessFiles(tmp_path / "line")
    assert (one.predecessor(), one.successors()) == (None, [two.number])
    assert (two.predecessor(), two.successors()) == (one.number, [])
    three = ProcessFiles(tmp_path / "line")
    assert three.predecessor() == two.number and one.successors() == [two.number, three.number]
    after(two)
    assert three.predecessor() == one.number and one.successors() == [three.number]
    after(one)
    assert three.predecessor() is None


def test_what_dead_processes_left_is_cleared(tmp_path: Path) -> None:
    one = ProcessFiles(tmp_path / "line")
    one.mark_ready()
    one.hand(one.number, b"x")
    after(one)
    (tmp_path / "line" / "17.process").write_bytes(b"")  # nobody's lock is on it
    two = ProcessFiles(tmp_path / "line")
    assert two.number == 18 and {p.name for p in (tmp_path / "line").iterdir()} == {"18.process"}


def test_a_mark_is_as_old_as_its_renewal(tmp_path: Path) -> None:
    line = ProcessFiles(tmp_path / "line")
    assert line.ready_age(line.number) is None
    line.mark_ready()
    age = line.ready_age(line.number)
    assert age is not None and age < 5.0
    os.utime(tmp_path / "line" / f"{line.number}.ready", (time.time() - 9, time.time() - 9))
    age = line.ready_age(line.number)
    assert age is not None and age > 8.0


def test_a_hand_over_is_taken_once_and_its_room_given_back(tmp_path: Path) -> None:
    one, two = ProcessFiles(tmp_path / "line"), ProcessFiles(tmp_path / "line")
    assert two.handed() is None
    one.hand(two.number, b"all")
    assert two.handed() == b"all" and two.handed() is None
    assert {p.name for p in (tmp_path / "line").iterdir()} == {"1.process", "2.process"}


def test_a_hand_over_without_room_leaves_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    one, two = ProcessFiles(tmp_path / "line"), ProcessFiles(tmp_path / "line")

    def full(path: Path, data: bytes) -> int:
        path.touch()
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(Path, "write_bytes", full)
    with pytest.raises(OSError, match="No space"):
        one.hand(two.number, b"all")
    assert two.handed() is None and len(list((tmp_path / "line").iterdir())) == 2


def test_neighbours_are_heard_of_once_at_each_change() -> None:
    one = Neighbours(had_predecessor=True)
    for sight, heard in (
        (NeighbourStatus(1, None, None), []),
        (NeighbourStatus(1, 3, None), []),
        (NeighbourStatus(None, 3, 0.1), [Event.PREDECESSOR_LOST, Event.SUCCESSOR_READY]),
        (NeighbourStatus(None, 3, 0.3), []),
        (
            NeighbourStatus(None, 3, HUNG),
            [Event.SUCCESSOR_LOST],
        ),  # it hangs: its lock is there, its mark stands still
        (NeighbourStatus(None, 3, 0.0), [Event.SUCCESSOR_READY]),
        (NeighbourStatus(None, None, None), [Event.SUCCESSOR_LOST]),
    ):
        assert one.see(sight) == heard
    assert [one.to_hand(NeighbourStatus(None, n, None)) for n in (None, 3, 3, 4)] == [None, 3, None, 4]


def worked() -> Bench:
    """A module that has served a turn and met a failing server."""
    b = Bench(tenants=())
    b.arrive("r1", session="s", prefix="p", prefix_tokens=500.0)
    b.read("r1")
    b.end("r1", Outcome.OK)
    b.controller.workers[1].errors, b.controller.workers[1].ejected, b.controller.workers[1].cold_level = (
        0.7,
        105.0,
        3.0,
    )
    b.controller.sessions["s"].cst = 1.5
    return b


def handed(b: Bench) -> HandOver:
    listed = handover_encoding.to_listed(
        (w.info, ("127.0.0.1", 1000 + n)) for n, w in b.controller.workers.items()
    )
    return HandOver(b.now, True, 7, listed, {2: 99.0}, split_state(b.controller))


def test_a_successor_goes_on_from_what_was_learnt() -> None:
    old = worked()
    got = unpack(pack(handed(old)), old.now)
    assert (got.drained, got.generation, got.told_off) == (True, 7, {2: 99.0})
    new = Bench(fleet=[info for info, _ in handover_encoding.from_listed(got.servers)], tenants=())
    import_state(new.controller, got.module, old.now)
    assert new.controller.sessions == {
        "s": Session(1.5, old.controller.sessions["s"].reader, 1000.0, old.controller.sessions["s"].at)
    }
    assert new.controller.prefix_cache.uses.keys() == old.controller.prefix_cache.uses.keys()
    assert new.controller.paces.by_role[Role.READER] == old.controller.paces.by_role[Role.READER] > 0
    assert (new.controller.workers[1].errors, new.controller.workers[1].ejected) == (0.7, 105.0)
    # Both may send to a cold server for a moment: they have the budget of one.
    assert old.controller.workers[1].cold_level == new.controller.workers[1].cold_level == 1.5
    new.now = old.now
    new.arrive("r2", session="s")
    assert new.attempts["r2"] == [old.controller.sessions["s"].reader]


def test_servers_that_the_new_list_does_not_name_are_passed_over() -> None:
    old = worked()
    new = Bench(fleet=[server(1, 0), server(12, 1)], tenants=())
    import_state(new.controller, split_state(old.controller), old.now)
    new.do(ServersListed(ListKind.CHANGES, (server(2, 0),)))
    assert set(new.controller.workers) == {1, 2, 12} and new.controller.workers[2].errors == 0.0


def test_knowledge_for_other_settings_is_passed_over_whole() -> None:
    known = split_state(worked().controller)
    new = Bench(tenants=())
    with pytest.raises(ValueError, match="other classes"):
        import_state(new.controller, replace(known, by_class=[*known.by_class, (0.0, 0.0)]), 100.0)
    assert not new.controller.sessions


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.data())
def test_a_damaged_hand_over_is_never_taken(data: st.DataObject) -> None:
    whole = pack(handed(worked()))
    at = data.draw(st.integers(0, len(whole) - 1))
    cut, flip = data.draw(st.booleans()), data.draw(st.integers(1, 255))
    damaged = whole[:at] if cut else whole[:at] + bytes([whole[at] ^ flip]) + whole[at + 1 :]
    with pytest.raises(DecodeError):
        unpack(damaged, 1e9)


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "not a hand-over"),
        (b"PK\x03\x04 1 2 3\n", "not a hand-over"),
        (pack(handed(worked())).replace(b"handover 1 ", b"handover 9 ", 1), "of form 9"),
    ],
)
def test_a_foreign_or_other_form_is_named(data: bytes, why: str) -> None:
    with pytest.raises(DecodeError, match=why):
        unpack(data, 1e9)


def test_a_hand_over_from_another_clock_is_passed_over() -> None:
    with pytest.raises(DecodeError, match="another clock"):
        unpack(pack(handed(worked())), 1.0)
