"""Incremental changes of the server list lead to the same indexes as a full list."""

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

# Changes of the list: a server's id, its state and its cell.
CHANGES = st.lists(
    st.tuples(st.integers(1, SERVERS), st.sampled_from(ServerState), st.integers(0, CELLS - 1)), max_size=40
)


def apply(fleet: Fleet, change: tuple[int, ServerState, int]) -> Worker:
    """Apply one change to the fleet's servers, as a controller does."""
    number, state, cell = change
    info = Server(number, number % len(ROLES), cell % 2, cell, state)
    worker = fleet.workers.get(number)
    if worker is None:
        worker = fleet.workers[number] = Worker(info, ROLES[info.kind], 0.0, 0.0)
    worker.info = info
    worker.gone_at = 1.0 if state is ServerState.GONE else math.inf
    return worker


@settings(max_examples=200, derandomize=True, deadline=None)
@given(CHANGES, st.integers(1, 5))
def test_changes_lead_to_the_same_index_as_a_full_list(
    changes: list[tuple[int, ServerState, int]], size: int
) -> None:
    fleet, topology = Fleet(), Topology()
    for first in range(0, len(changes), size):
        # A message has one entry for each server, its latest change.
        message = {change[0]: change for change in changes[first : first + size]}
        changed = [apply(fleet, change) for change in message.values()]
        fleet.update(changed)
        topology.update(changed)
        rebuilt, rebuilt_topology = Fleet(), Topology()
        rebuilt.workers = fleet.workers
        rebuilt.rebuild()
        rebuilt_topology.rebuild(fleet.workers.values())
        assert fleet.running == rebuilt.running and fleet.by_role == rebuilt.by_role
        assert topology.running == rebuilt_topology.running
        assert topology.writer_heavy_cells == rebuilt_topology.writer_heavy_cells
        assert topology.writer_heavy_zones == rebuilt_topology.writer_heavy_zones
        workers = list(fleet.workers.values())
        assert topology.home_weights(workers) == rebuilt_topology.home_weights(workers)


def test_a_removed_server_that_comes_back_is_indexed_once() -> None:
    fleet = Fleet()
    fleet.update([apply(fleet, (1, ServerState.GONE, 0)), apply(fleet, (2, ServerState.RUNNING, 0))])
    assert fleet.remove_gone(2.0) == [1]
    fleet.update([apply(fleet, (1, ServerState.RUNNING, 0))])
    assert sorted(worker.info.id for role in Role for worker in fleet.running[role]) == [1, 2]
    assert fleet.remove_gone(2.0) == []


def test_a_removed_server_has_no_gossip_tag() -> None:
    one = gossip()
    one.set_servers([1, 2])
    one.remove_server(1)
    one.add_server(3)
    assert one._servers_by_tag == {short_tag("2"): (2,), short_tag("3"): (3,)}
