"""The time that calls of the controller take with thousands of servers; a long call blocks its router."""

from __future__ import annotations

import time

import pytest
from decision_stream import STREAMS, Recording

from hopshed import interface

SERVERS, CELL = 3200, 6
# The limits are CPU seconds. The comments have the usual time, and the time with a quadratic algorithm.
LONGEST_LIST = 1.0  # 0.08 s; 5.2 s when each server's weight was computed from all others
LONGEST_TURN = 0.15  # 0.04 s; 0.31 s when each cell's was
MEAN_TURN = 0.005  # 0.002 s; 0.008 s when each decision scanned all servers several times


REPLACED = 300  # servers, one after another
MEAN_CHANGE = 0.002  # 0.0004 s for one server; 0.012 s when each change scanned all servers


class LargeRecording(Recording):
    """A recorded stream with thousands of servers, timed."""

    def __init__(self, name: str) -> None:
        super().__init__(STREAMS[name])
        servers = (
            interface.Server(n, n % 3, n % 3, n // CELL, interface.ServerState.RUNNING)
            for n in range(1, SERVERS + 1)
        )
        self.fleet = {server.id: server for server in servers}

    def turns(self, count: int) -> list[float]:
        """CPU seconds of each call; the first one takes in the list."""
        events: list[interface.Event] = [
            interface.ServersListed(interface.ListKind.FULL, tuple(self.fleet.values()))
        ]
        taken = []
        for step in range(count):
            began = time.process_time()
            actions = self.controller.handle(self.now, events)
            taken.append(time.process_time() - began)
            for action in actions:
                self._carry_out(action)
            self.now = round(self.now + 0.02, 6)
            events = self._next(step)
        return taken


@pytest.mark.parametrize("name", ["plain 1", "talkative 1"])
def test_no_call_with_3200_servers_blocks_a_router_for_long(name: str) -> None:
    listed, *turns = LargeRecording(name).turns(250)
    mean = sum(turns) / len(turns)
    print(f"{name}: list {listed:.3f} s, longest turn {max(turns):.3f} s, mean {mean:.4f} s")
    assert listed < LONGEST_LIST and max(turns) < LONGEST_TURN and mean < 3 * MEAN_TURN


def test_servers_that_all_start_at_once_do_not_block_a_router() -> None:
    # The budget of each cold server was computed from all of its peers.
    play = LargeRecording("plain 1")
    play.turns(20)
    fleet = tuple(server._replace(started=play.now) for server in play.fleet.values())
    began = time.process_time()
    play.controller.handle(play.now, [interface.ServersListed(interface.ListKind.FULL, fleet)])
    play.now += 0.02
    play.controller.handle(play.now, [interface.RequestArrived("cold", 0, 0, "cold", 5.0, 1000.0)])
    assert time.process_time() - began < LONGEST_LIST


def test_the_cost_of_replaced_servers_is_linear_in_their_number() -> None:
    # Each message of a watch made a router scan all servers about ten times: replacing 60% of 3,200 servers
    # within 7 s blocked it for a minute.
    play = LargeRecording("plain 1")
    play.turns(20)
    fleet, began = list(play.fleet.values()), time.process_time()
    for number, old in enumerate(fleet[:REPLACED]):
        play.now += 0.004
        new = old._replace(id=SERVERS + 1 + number, started=play.now)
        gone = old._replace(state=interface.ServerState.GONE)
        play.controller.handle(play.now, [interface.ServersListed(interface.ListKind.CHANGES, (gone, new))])
    taken = (time.process_time() - began) / REPLACED
    print(f"per change: {taken * 1000:.2f} ms")
    assert taken < MEAN_CHANGE
    running = {role: len(servers) for role, servers in play.controller.fleet.running.items()}
    assert sum(running.values()) == SERVERS
    play.controller.handle(play.now, [interface.RequestArrived("last", 0, 0, "last", 5.0, 1000.0)])
