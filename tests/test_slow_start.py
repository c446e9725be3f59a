"""What all routers together send to servers in slow start when most or all of a role start at once."""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from itertools import count

import pytest
from helpers import Bench, server

from hopshed.interface import AttemptEnded, Event, ListKind, Outcome, Send, ServersListed, StreamStarted

CAPACITY_PER_S = 3.0  # streams that a warm writer can sustain; for a while it takes more
READ_TIME_S = 0.05
FIRST_TOKEN_S = 0.05
STREAM_S = 3.0
# Settings fall_multiple, fall_window, cold_from and cold_time
MULTIPLE = 2.5
WINDOW_S = 1.0
COLD_FROM = 0.25
COLD_TIME_S = 13.0
READERS = (1, 2, 3, 4)
WARM = 11
RESTARTED = (12, 13, 14, 15, 16)
RESTART_AT_S = 15.0  # after the simulation's start; time at which five of six writers return cold
DURATION_S = 30.0


class Cluster:
    """Several routers with readers and writers, in virtual time that starts at 100 seconds."""

    def __init__(self, routers: int, seed: int) -> None:
        writers = (WARM, *RESTARTED)
        self.fleet = (*(server(n, 0) for n in READERS), *(server(n, 1) for n in writers))
        self.routers = [
            Bench(
                self.fleet, seed=seed * 1000 + n, instances=routers, release_within=1.0,
                fall_multiple=MULTIPLE, fall_window=WINDOW_S, cold_from=COLD_FROM, cold_time=COLD_TIME_S,
            )
            for n in range(routers)
        ]  # fmt: skip
        self.now = 100.0
        self.sent = defaultdict[int, list[float]](list)  # writer -> times of sends since the restart
        self._events: list[tuple[float, int, Bench, Event]] = []
        self._order = count()

    def run(self, rate: float) -> None:
        """Send `rate` requests per second in total. Five of six writers are unreachable for 4 seconds, then
        restart."""
        arrivals = 0
        step = 0.01
        while self.now < 100.0 + DURATION_S:
            while arrivals < (self.now - 100.0) * rate:
                router = self.routers[arrivals % len(self.routers)]
                arrivals += 1
                self._process(router, router.arrive(f"r{arrivals}"))
            if RESTART_AT_S <= self.now - 100.0 < RESTART_AT_S + step:
                started = tuple(server(n, 1, started=self.now) for n in RESTARTED)
                for router in self.routers:
                    self._process(router, router.do(ServersListed(ListKind.CHANGES, started)))
            while self._events and self._events[0][0] <= self.now:
                _, _, router, event = heapq.heappop(self._events)
                self._process(router, router.do(event, at=self.now))
            self.now += step
            for router in self.routers:
                self._process(router, router.tick(self.now))

    def _process(self, router: Bench, actions: list[object]) -> None:
        for action in actions:
            if not isinstance(action, Send):
                continue
            number = len(router.attempts[action.id]) - 1
            if action.server in READERS:
                read = AttemptEnded(action.id, number, action.server, Outcome.READ, READ_TIME_S, False)
                self._schedule(READ_TIME_S, router, read)
            else:
                self._write(router, action, number)

    def _write(self, router: Bench, action: Send, number: int) -> None:
        since = self.now - 100.0 - RESTART_AT_S
        if action.server != WARM and since >= 0:
            self.sent[action.server].append(self.now)
        if action.server != WARM and -4.0 <= since < 0:
            end = AttemptEnded(action.id, number, action.server, Outcome.UNREACHABLE, 0.25, False)
            return self._schedule(0.25, router, end)
        self._schedule(FIRST_TOKEN_S, router, StreamStarted(action.id, number, action.server, FIRST_TOKEN_S))
        end = AttemptEnded(action.id, number, action.server, Outcome.OK, STREAM_S, True)
        return self._schedule(STREAM_S, router, end)

    def _schedule(self, delay: float, router: Bench, event: Event) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), router, event))

    def worst_ratio(self) -> float:
        """The most that a cold writer was sent in a window, as a ratio to what is permitted."""
        ratios = [0.0]
        for times in self.sent.values():
            for end in times:
                share = COLD_FROM + (1 - COLD_FROM) * min(1.0, (end - 100.0 - RESTART_AT_S) / COLD_TIME_S)
                allowed = MULTIPLE * share * CAPACITY_PER_S * WINDOW_S
                variation = 2 * math.sqrt(allowed) + 2
                ratios.append(sum(end - WINDOW_S < at <= end for at in times) / (allowed + variation))
        return max(ratios)


@pytest.mark.parametrize("routers", [2, 6, 30])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_five_of_six_writers_that_restart_at_once_are_not_overloaded(routers: int, seed: int) -> None:
    # The one writer that remained was sent the whole load, which was taken for the capacity of a warm writer.
    cluster = Cluster(routers, seed)
    cluster.run(rate=30.0)
    assert all(cluster.sent[n] for n in RESTARTED)
    assert cluster.worst_ratio() <= 1.0


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.TIMED_OUT, Outcome.UNREACHABLE])
def test_what_warm_servers_do_not_take_counts_for_nothing_of_their_capacity(outcome: Outcome) -> None:
    # Attempts that were turned away or timed out raised what cold peers were sent, as if they were served.
    fleet = tuple(server(n, 2) for n in (1, 2, 3))
    router = Bench(fleet, instances=50, cold_from=COLD_FROM, cold_time=COLD_TIME_S)
    slow_start, workers = router.controller.slow_start, list(router.controller.workers.values())
    for number in range(3):
        sends = [action for action in router.arrive(f"r{number}") if isinstance(action, Send)]
        for send in sends:
            router.do(AttemptEnded(send.id, 0, send.server, outcome, 0.01, False))
    assert slow_start.warm_rate(workers[0], workers, router.now) == 0.0
    sends = [action for action in router.arrive("served") if isinstance(action, Send)]
    assert len(sends) == 1
    router.do(StreamStarted("served", 0, sends[0].server, 0.01))
    assert slow_start.warm_rate(workers[0], workers, router.now) > 0.0


@pytest.mark.parametrize("routers", [20, 60, 230])
@pytest.mark.parametrize("known", [True, False])
def test_many_routers_send_little_to_the_only_server_of_a_role_after_its_restart(
    routers: int, known: bool
) -> None:
    """Without a warm peer there is no measured rate, and a quarter of all routers sent to it at once.

    `known`: the routers knew the server before; otherwise they start while it is cold.
    """
    sent_by_seed = []
    for seed in range(1, 6):
        others = tuple(server(n, 0) for n in READERS) + tuple(server(n, 1) for n in (WARM, *RESTARTED))
        original, restarted = server(21, 2, started=1.0), server(21, 2, started=100.0)
        sent = 0
        for number in range(routers):
            fleet = (*others, original if known else restarted)
            router = Bench(
                fleet, seed=seed * 1000 + number, instances=routers, fall_multiple=MULTIPLE,
                fall_window=WINDOW_S, cold_from=COLD_FROM, cold_time=COLD_TIME_S,
            )  # fmt: skip
            if known:
                router.do(ServersListed(ListKind.CHANGES, (restarted,)))
            actions = [
                action for request in range(5) for action in router.arrive(f"r{request}", prompt_tokens=100.0)
            ]
            sent += sum(isinstance(action, Send) and action.server == 21 for action in actions)
        sent_by_seed.append(sent)
    assert sum(sent_by_seed) > 0
    assert max(sent_by_seed) <= 3  # what any server can take by random variation, whatever its capacity


@pytest.mark.parametrize("routers", [20, 60, 230])
@pytest.mark.parametrize("together", [True, False], ids=["in one message", "one after another"])
def test_servers_that_start_together_are_no_warm_peers_however_they_are_listed(
    routers: int, together: bool
) -> None:
    # Listed one after another, the first found warm peers, and a quarter of all routers sent to it at once.
    numbers = (21, 22, 23, 24)
    others = tuple(server(n, 0) for n in READERS) + tuple(server(n, 1) for n in (WARM, *RESTARTED))
    original = tuple(server(n, 2) for n in numbers)
    restarted = tuple(server(n, 2, started=100.0) for n in numbers)
    sent = dict.fromkeys(numbers, 0)
    for number in range(routers):
        router = Bench(
            (*others, *original), seed=number, instances=routers, fall_multiple=MULTIPLE,
            fall_window=WINDOW_S, cold_from=COLD_FROM, cold_time=COLD_TIME_S,
        )  # fmt: skip
        for message in [restarted] if together else [(one,) for one in restarted]:
            router.do(ServersListed(ListKind.CHANGES, message))
        for request in range(8):
            for action in router.arrive(f"r{request}", prompt_tokens=100.0):
                if isinstance(action, Send) and action.server in sent:
                    sent[action.server] += 1
    assert max(sent.values()) <= 3  # what any server can take by random variation, whatever its capacity
