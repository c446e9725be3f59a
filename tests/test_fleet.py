"""What is kept of a list while it changes is what a whole look at it would give."""

from __future__ import annotations

import math

from hypothesis import given, settings
from hypothesis import strategies as st
from test_gossip import gossip

from hopshed.fleet import Fleet
from hopshed.gossip import short_tag
from hopshed.interface import Role, Server, ServerState
from hopshed.state import Worker
from hopshed.topology import Topology

ROLES = (Role.READER, Role.WRITER, Role.MIXED)
SERVERS, CELLS = 12, 3

# A number, its state, its cell: each one a change of the list.
CHANGES = st.lists(
    st.tuples(st.integers(1, SERVERS), st.sampled_from(ServerState), st.integers(0, CELLS - 1)), max_size=40
)


def apply(fleet: Fleet, change: tuple[int, ServerState, int]) -> Worker:
    """Put one change into the fleet's servers, as a controller does."""
    number, state, cell = change
    info = Server(number, number % len(ROLES), cell % 2, cell, state)
    w = fleet.workers.get(number)
    if w is None:
        w = fleet.workers[number] = Worker(info, ROLES[info.kind], 0.0, 0.0)
    w.info = info
    w.gone_at = 1.0 if state is ServerState.GONE else math.inf
    return w


@settings(max_examples=200, derandomize=True, deadline=None)
@given(CHANGES, st.integers(1, 5))
def test_changes_leave_what_a_whole_list_would(
    changes: list[tuple[int, ServerState, int]], size: int
) -> None:
    fleet, topology = Fleet(), Topology()
    for first in range(0, len(changes), size):
        # A message names each server once, as the last of its changes has it.
        message = {change[0]: change for change in changes[first : first + size]}
        changed = [apply(fleet, change) for change in message.values()]
        fleet.update(changed)
        topology.update(changed)
        whole, anew = Fleet(), Topology()
        whole.workers = fleet.workers
        whole.rebuild()
        anew.rebuild(fleet.workers.values())
        assert fleet.running == whole.running and fleet.by_role == whole.by_role
        assert topology.running == anew.running
        assert topology.writer_heavy_cells == anew.writer_heavy_cells
        assert topology.writer_heavy_zones == anew.writer_heavy_zones
        workers = list(fleet.workers.values())
        assert topology.home_weights(workers) == anew.home_weights(workers)


def test_a_server_that_is_forgotten_and_comes_back_is_there_once() -> None:
    fleet = Fleet()
    fleet.update([apply(fleet, (1, ServerState.GONE, 0)), apply(fleet, (2, ServerState.RUNNING, 0))])
    assert fleet.remove_gone(2.0) == [1]
    fleet.update([apply(fleet, (1, ServerState.RUNNING, 0))])
    assert sorted(w.info.id for role in Role for w in fleet.running[role]) == [1, 2]
    assert fleet.remove_gone(2.0) == []


def test_words_of_a_server_that_has_been_forgotten_name_nobody() -> None:
    told = gossip()
    told.set_servers([1, 2])
    told.remove_server(1)
    told.add_server(3)
    assert told._tags == {short_tag("2"): (2,), short_tag("3"): (3,)}
