"""What a decision, and a list, cost among thousands of servers: a long stop keeps a router from all else."""

from __future__ import annotations

import time

import pytest
from decision_stream import STREAMS, Recording

from hopshed import interface as i

SERVERS, CELL = 3200, 6
LONGEST_LIST = (
    1.0  # s of the processor's time; some 0.08 s, and 5.2 s when each server was weighed with all others
)
LONGEST_TURN = 0.15  # s of it; some 0.04 s, and 0.31 s when each cell was
MEAN_TURN = 0.005  # s of it; some 0.002 s, and 0.008 s when each decision looked at all servers several times


REPLACED = 300  # servers, one after another
MEAN_CHANGE = 0.002  # s of it for one of them; some 0.0004 s, and 0.012 s when each looked at all servers


class LargeRecording(Recording):
    """The recorded stream with thousands of servers, timed."""

    def __init__(self, name: str) -> None:
        super().__init__(STREAMS[name])
        servers = (i.Server(n, n % 3, n % 3, n // CELL, i.ServerState.RUNNING) for n in range(1, SERVERS + 1))
        self.fleet = {server.id: server for server in servers}

    def turns(self, count: int) -> list[float]:
        """s of the processor's time that each turn took; the first one takes the list in."""
        events: list[i.Event] = [i.ServersListed(i.ListKind.FULL, tuple(self.fleet.values()))]
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
def test_no_turn_among_3200_servers_stops_a_router_for_long(name: str) -> None:
    listed, *turns = LargeRecording(name).turns(250)
    mean = sum(turns) / len(turns)
    print(f"{name}: list {listed:.3f} s, longest turn {max(turns):.3f} s, mean {mean:.4f} s")
    assert listed < LONGEST_LIST and max(turns) < LONGEST_TURN and mean < 3 * MEAN_TURN


def test_servers_that_all_start_at_once_do_not_stop_a_router() -> None:
    # What a cold server may get was weighed against all of its peers, for each of them.
    play = LargeRecording("plain 1")
    play.turns(20)
    fleet = tuple(server._replace(started=play.now) for server in play.fleet.values())
    began = time.process_time()
    play.controller.handle(play.now, [i.ServersListed(i.ListKind.FULL, fleet)])
    play.now += 0.02
    play.controller.handle(play.now, [i.RequestArrived("cold", 0, 0, "cold", 5.0, 1000.0)])
    assert time.process_time() - began < LONGEST_LIST


def test_servers_replaced_one_by_one_cost_their_number_and_not_its_square() -> None:
    # Each message of a watch made a router look at all servers some ten times: six in ten of 3,200 replaced
    # within 7 s kept it from all else for a minute.
    play = LargeRecording("plain 1")
    play.turns(20)
    fleet, began = list(play.fleet.values()), time.process_time()
    for number, old in enumerate(fleet[:REPLACED]):
        play.now += 0.004
        new = old._replace(id=SERVERS + 1 + number, started=play.now)
        gone = old._replace(state=i.ServerState.GONE)
        play.controller.handle(play.now, [i.ServersListed(i.ListKind.CHANGES, (gone, new))])
    taken = (time.process_time() - began) / REPLACED
    print(f"a change: {taken * 1000:.2f} ms")
    assert taken < MEAN_CHANGE
    running = {role: len(servers) for role, servers in play.controller.fleet.running.items()}
    assert sum(running.values()) == SERVERS
    play.controller.handle(play.now, [i.RequestArrived("last", 0, 0, "last", 5.0, 1000.0)])
