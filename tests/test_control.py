"""Decisions of the controller in scripted situations."""

from pathlib import Path

import pytest
from helpers import FLEET, Bench, only, server, settings

from hopshed.interface import (
    AttemptEnded,
    ClientGone,
    Effect,
    Fail,
    Group,
    ListKind,
    Load,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    ReleaseState,
    Role,
    Send,
    ServersListed,
    ServerState,
    StreamStarted,
    Tenant,
)
from hopshed.state import Session

READERS, WRITERS = {1, 2, 3}, {11, 12, 13}


def test_limits_of_the_module():
    text = (Path(__file__).parent.parent / "hopshed" / "control.py").read_text()
    lines = text.splitlines()
    assert len([line for line in lines if line.strip()]) <= 750
    assert max(map(len, lines)) <= 110
    assert "interface.py" in lines[0] + lines[1]


def test_a_turn_goes_to_a_reader_then_to_a_writer_and_ends_once():
    bench = Bench()
    (send,) = only(bench.arrive("a"), Send)
    assert send.server in READERS
    (send,) = only(bench.read("a"), Send)
    assert send.server in WRITERS
    bench.do(StreamStarted("a", 1, send.server, 0.1))
    assert only(bench.end("a", Outcome.OK, closed=True), (Refuse, Fail, Send)) == []
    assert bench.end("a", Outcome.OK, closed=True) == []  # a repeated event has no effect


def test_later_turns_return_to_the_last_reader_and_routers_agree_on_homes():
    homes = set()
    for seed in (1, 2, 3):
        bench = Bench(seed=seed)
        (send,) = only(bench.arrive("a", session="s", prefix="p", prefix_tokens=900.0), Send)
        homes.add(send.server)
        bench.read("a")
        (again,) = only(bench.arrive("b", session="s", prompt_tokens=1500.0), Send)
        assert again.server == send.server
    assert len(homes) == 1


def test_the_lowest_service_time_is_admitted_first_unless_another_waited_long():
    full = Bench(memory_tokens=(), max_attempts=9)
    for n in range(40):
        full.arrive(f"fill{n}", patience=30.0)
    assert full.controller.queue.count > 0
    old, new = Bench(), Bench()
    for bench, wait in ((old, 10.0), (new, 0.0)):
        controller = bench.controller
        controller.sessions.clear()
        heavy = Session()
        heavy.cst, heavy.at = 1.0, bench.now
        controller.sessions["heavy"] = heavy
        for worker in controller.workers.values():
            worker.limit = 0.0 if worker.info.id in WRITERS else worker.limit
        bench.arrive("x", patience=60.0)
        bench.arrive("h", session="heavy", patience=60.0)
        light = Session()
        light.cst, light.at = 0.5, bench.now
        controller.sessions["light"] = light
        bench.now += wait
        bench.arrive("l", session="light", patience=60.0)
    assert (
        new.controller.queue.pop(new.now).event.id == "l" or new.controller.queue.pop(new.now).event.id == "l"
    )
    assert old.controller.queue.pop(old.now).event.id == "h"


def test_a_held_request_that_cannot_meet_its_aim_is_refused_early():
    bench = Bench()
    for worker in bench.controller.workers.values():
        worker.limit = 0.0
    bench.arrive("busy")  # with no attempt in flight, one turn is always admitted
    assert only(bench.arrive("a"), Send) == []
    refused = only(bench.tick(bench.now + 1.2), Refuse)
    assert [r.id for r in refused] == ["a"]


def test_a_client_with_less_time_than_a_tick_is_answered_at_once():
    bench = Bench()
    for worker in bench.controller.workers.values():
        worker.limit = 0.0
    bench.arrive("busy")
    assert [r.id for r in only(bench.arrive("a", patience=0.017), Refuse)] == ["a"]


def test_failed_read_goes_to_another_reader():
    bench = Bench()
    (first,) = only(bench.arrive("a"), Send)
    (second,) = only(bench.end("a", Outcome.FAILED), Send)
    assert second.server in READERS - {first.server}


def test_failed_hand_over_tries_another_writer_while_the_state_waits():
    bench = Bench()
    bench.arrive("a")
    (w1,) = only(bench.read("a"), Send)
    (w2,) = only(bench.end("a", Outcome.FULL), Send)
    assert w2.server in WRITERS - {w1.server}


def test_a_state_that_the_writer_cannot_find_is_released_and_read_again():
    """A state that the writer cannot reach looks lost, and would otherwise stay at its reader."""
    bench = Bench()
    bench.arrive("a")
    bench.read("a")
    actions = bench.end("a", Outcome.FULL, note=1)
    assert only(actions, ReleaseState)
    assert only(actions, Send)[0].server in READERS


def test_a_state_is_released_if_the_client_left_during_the_read():
    bench = Bench(may_cancel=False)
    bench.arrive("a")
    bench.do(ClientGone("a"))
    assert only(bench.read("a"), ReleaseState)


def test_a_state_is_released_when_no_writer_accepts_it():
    bench = Bench()
    bench.arrive("a")
    bench.read("a")
    actions = []
    for _ in range(3):
        actions += bench.end("a", Outcome.FULL, after=0.01)
    actions += bench.tick(bench.now + 0.5)
    assert only(actions, ReleaseState) and len(only(actions, Refuse)) == 1


def test_failed_connections_do_not_extend_the_time_to_hold_a_state():
    fleet = (server(1, 0), *(server(n, 1) for n in range(11, 17)))
    bench = Bench(fleet, release_within=1.0)
    bench.arrive("a")
    bench.read("a")
    assert len(only(bench.end("a", Outcome.UNREACHABLE, after=0.25), Send)) == 1
    assert len(only(bench.end("a", Outcome.UNREACHABLE, after=0.25), Send)) == 1
    actions = bench.end("a", Outcome.UNREACHABLE, after=0.25)  # 0.75 s after the read
    assert not only(actions, Send) and only(actions, ReleaseState) and only(actions, Refuse)


def test_a_full_writers_answer_extends_the_time_to_hold_a_state():
    fleet = (server(1, 0), server(11, 1))
    bench = Bench(fleet, release_within=1.0)
    bench.arrive("a")
    bench.read("a")
    assert not only(bench.end("a", Outcome.FULL, after=0.5), Refuse)  # the tick tries again
    assert not only(bench.tick(bench.now + 0.5), Refuse)
    assert only(bench.tick(bench.now + 0.2), Refuse)


def test_draining_and_gone_servers_get_no_new_requests():
    bench = Bench()
    draining = tuple(server(i, 0, state=ServerState.DRAINING) for i in (1, 2))
    bench.do(ServersListed(ListKind.CHANGES, draining))
    for n in range(6):
        assert all(s.server == 3 for s in only(bench.arrive(f"r{n}"), Send))
    bench.do(ServersListed(ListKind.FULL, FLEET[1:]))
    for n in range(6):
        assert all(s.server != 1 for s in only(bench.arrive(f"q{n}"), Send))


def test_a_restarted_server_gets_few_requests_at_first():
    bench = Bench()
    bench.do(ServersListed(ListKind.CHANGES, (server(11, 1, started=bench.now),)))
    sent = []
    for n in range(20):
        bench.arrive(f"r{n}")
        sent += [s.server for s in only(bench.read(f"r{n}", after=0.01), Send)]
    assert sent.count(11) <= 1 and len(sent) == 20


def test_a_failing_server_is_ejected_and_may_be_tried_again_later():
    bench = Bench()
    bad = only(bench.arrive("a", session="k"), Send)[0].server
    bench.end("a", Outcome.FAILED)
    bench.arrive("b", session="k")
    if bench.attempts["b"][0] == bad:
        bench.end("b", Outcome.FAILED)
    assert not bench.controller._usable(bench.controller.workers[bad], bench.now)
    assert bench.controller._usable(bench.controller.workers[bad], bench.now + 20)


def test_ejection_leaves_some_servers_of_each_role():
    bench = Bench()
    for worker in list(bench.controller.workers.values()):
        bench.controller._eject(worker, bench.now, silent=False)
    assert any(
        bench.controller._usable(worker, bench.now)
        for worker in bench.controller.workers.values()
        if worker.info.id in READERS
    )
    assert any(
        bench.controller._usable(worker, bench.now)
        for worker in bench.controller.workers.values()
        if worker.info.id in WRITERS
    )


@pytest.mark.parametrize("outcome", list(Outcome))
def test_unsafe_requests_are_repeated_only_if_no_attempt_can_have_run(outcome):
    bench = Bench(effect=Effect.UNSAFE)
    bench.arrive("a")
    bench.read("a")
    if outcome is Outcome.OK:
        return
    actions = bench.end("a", outcome)
    if outcome.never_ran:
        assert not only(actions, Fail)
    else:
        assert not only(actions, (Send, Refuse)) and only(actions, Fail)


def test_keyed_requests_are_repeated_only_within_their_group():
    fleet = (*FLEET[:3], server(11, 1, cell=1), server(12, 1, cell=2))
    bench = Bench(fleet=fleet, effect=Effect.KEYED, group=Group.CELL)
    bench.arrive("a")
    bench.read("a")
    actions = bench.end("a", Outcome.FAILED)
    assert not only(actions, (Send, Refuse)) and only(actions, Fail) and only(actions, ReleaseState)


def test_unknown_and_late_events_do_nothing():
    bench = Bench()
    bench.arrive("a")
    odd = [AttemptEnded(request, n, 1, Outcome.OK, 0.1, True) for request, n in (("zz", 0), ("a", 7))]
    assert bench.do(*odd, ClientGone("zz"), StreamStarted("zz", 0, 1, 0.1), ProbeEnded(99, True, 0.1)) == []


def test_room_formula_from_reports():
    bench = Bench(report_fields=("utilization", "queued", "memory_share"), may_probe=True)
    worker = bench.controller.workers[11]
    worker.streams = 10
    bench.do(ProbeEnded(11, True, 0.01, Load(utilization=0.5, queued=0.0, memory_share=0.3)))
    assert bench.controller.room.of_server(worker, bench.now) == pytest.approx(10.0)
    bench.do(ProbeEnded(11, True, 0.01, Load(utilization=0.5, queued=0.0, memory_share=0.95)))
    assert bench.controller.room.of_server(worker, bench.now) <= 0


def test_admission_is_limited_without_load_reports():
    bench = Bench(memory_tokens=(20000.0,) * 3)
    for n in range(60):
        bench.arrive(f"r{n}")
    assert 0 < bench.controller.queue.count < 60


def test_impossible_settings_are_refused():
    for bad in ({"classes": ()}, {"roles": ()}, {"drain_grace": -1.0}, {"memory_tokens": (1.0,)}):
        with pytest.raises(ValueError, match="settings"):
            settings(**bad)


def test_the_aim_is_bounded_by_the_age_at_which_most_clients_leave():
    """Reads for clients that leave after half a second run on and serve nobody."""
    bench = Bench()
    for n in range(20):
        bench.arrive(f"r{n}")
        bench.now += 0.5
        bench.do(ClientGone(f"r{n}"))
        bench.end(f"r{n}", Outcome.CANCELED, after=0.0)
    bench.arrive("x")
    assert bench.controller.requests["x"].first_token_due - bench.now < 0.7
    for n in range(80):
        bench.arrive(f"s{n}")
        bench.read(f"s{n}", after=0.01)
        bench.do(StreamStarted(f"s{n}", 1, bench.attempts[f"s{n}"][1], 0.02))
    bench.arrive("y")
    assert bench.controller.requests["y"].first_token_due - bench.now == pytest.approx(1.04)


def test_lost_probes_eject_a_hung_server_but_not_a_busy_one():
    """Probes wait behind other work, so lost probes alone would eject busy readers."""
    for wait, silent in ((1.0, False), (0.0, True)):
        bench = Bench(may_probe=True)
        worker = bench.controller.workers[1]
        worker.wait, worker.life = wait, bench.now
        bench.now += 0.9
        bench.do(ProbeEnded(1, False, 0.25))
        bench.do(ProbeEnded(1, False, 0.25))
        assert (bench.now < worker.ejected) is silent


def test_a_last_reader_with_a_long_wait_is_passed_over():
    bench = Bench()
    home = only(bench.arrive("a", session="k"), Send)[0].server
    bench.read("a")
    worker = bench.controller.workers[home]
    worker.wait, worker.wait_at = 5.0, bench.now
    assert only(bench.arrive("b", session="k"), Send)[0].server != home


def test_slow_streams_reduce_a_servers_room():
    bench = Bench(report_fields=("utilization",))
    worker = bench.controller.workers[11]
    worker.streams = 10
    bench.do(ProbeEnded(11, True, 0.01, Load(utilization=0.5)))
    before = bench.controller.room.of_server(worker, bench.now)
    worker.drag = 2.0
    assert bench.controller.room.of_server(worker, bench.now) < before / 2


def test_many_slow_first_tokens_lower_the_limit_once():
    """If each lowered it further, one slow moment would stop admission for seconds."""
    bench = Bench()
    worker = bench.controller.workers[11]
    worker.streams, worker.limit = 20, 100.0
    bench.controller.room.lower_limit(worker)
    once = bench.controller.room.stream_limit(worker)
    for _ in range(10):
        bench.controller.room.lower_limit(worker)
    assert once == bench.controller.room.stream_limit(worker) == pytest.approx(21 * 0.85)


def test_a_hung_writer_is_ejected_though_it_answers_probes_but_a_reader_is_not():
    """A hung writer may answer probes outside its queue, so their answers must not count as signs of life."""
    for stage, ejected in (("write", True), ("read", False)):
        bench = Bench(may_probe=True)
        bench.arrive("a")
        if stage == "write":
            bench.read("a")
        worker = bench.controller.workers[bench.attempts["a"][-1]]
        for _ in range(38):
            bench.tick(bench.now + 0.05)
            if worker.probe_in_flight:
                bench.do(ProbeEnded(worker.info.id, True, 0.01))
        assert (bench.now < worker.ejected) is ejected


def arrivals(count, every, routers, fleet, **changes):
    """Send requests to several routers in turn, one each `every` seconds; returns routers and sends."""
    benches = [Bench(fleet=fleet, seed=seed, instances=routers, **changes) for seed in range(routers)]
    sends = []
    for number in range(count):
        bench = benches[number % routers]
        bench.tick(100.0 + number * every)
        sends += only(bench.arrive(f"r{number}", prompt_tokens=800.0), Send)
        if bench.attempts.get(f"r{number}"):
            bench.now += 0.01
            attempt = len(bench.attempts[f"r{number}"]) - 1
            done = AttemptEnded(
                f"r{number}", attempt, bench.attempts[f"r{number}"][attempt], Outcome.READ, 0.01, False
            )
            sends += only(bench.do(done), Send)
    return benches, sends


def test_all_routers_together_stay_within_a_cold_servers_capacity():
    """A minimum rate for each router would add up to four times what a cold server can take."""
    routers, rate = 40, 40.0
    warm = tuple(server(n, 1) for n in range(11, 21))
    fleet = (*[server(n, 0) for n in range(1, 6)], *warm, server(30, 1, started=100.0))
    _, sends = arrivals(400, 1 / rate, routers, fleet)
    cold = sum(s.server == 30 for s in sends)
    per_warm_writer = sum(s.server in {worker.id for worker in warm} for s in sends) / len(warm)
    # The bound is fall_multiple x cold_from, relative to a warm server's sends.
    assert 0 < cold < 2.5 * 0.3 * per_warm_writer


def test_a_mixed_servers_pace_is_not_learned_from_cached_tokens():
    """Forty routers share the servers' caches. If a router counted the tokens that others had cached as read,
    it would learn a pace six times too fast, and admit so many reads that all answers would slow down."""
    for cached, pace in ((1800, 0.0), (0, 0.2 / 2000)):
        bench = Bench(fleet=(server(21, 2),), instances=40)
        bench.arrive("a", prompt_tokens=2000.0)
        bench.do(StreamStarted("a", 0, 21, 0.2))
        bench.end("a", Outcome.OK, after=2.0, closed=True, note=cached)
        assert bench.controller.paces.by_role[Role.MIXED] == pytest.approx(pace)


def test_a_mixed_server_has_the_readers_pace_until_its_own_is_known():
    bench = Bench(fleet=(server(1, 0), server(11, 1), server(21, 2)))
    bench.arrive("a", prompt_tokens=2000.0)
    if bench.attempts["a"] == [21]:
        bench.end("a", Outcome.FULL)
    bench.end("a", Outcome.READ, after=0.3)
    assert bench.controller.paces.by_role[Role.MIXED] == bench.controller.paces.by_role[Role.READER] > 0


def test_a_partly_warm_server_is_used_in_proportion():
    """If each router's first send waited for its share of the slow-start budget, that would take longer than
    the warm-up: new servers would stay idle while the few old ones are overloaded."""
    warm = tuple(server(n, 1) for n in range(11, 15))
    parts = []
    for age in (0.0, 6.0):
        fresh = tuple(server(n, 1, started=100.0 - age) for n in range(30, 36))
        fleet = (*[server(n, 0) for n in range(1, 6)], *warm, *fresh)
        _, sends = arrivals(160, 1 / 40.0, 40, fleet)
        cold = sum(s.server >= 30 for s in sends) / len(fresh)
        parts.append(cold / (sum(s.server in range(11, 15) for s in sends) / len(warm)))
    assert parts[0] < 0.5 and 0.5 < parts[1] < 1.0


def test_each_router_counts_only_its_share_of_the_free_room():
    """If each router counted on at least one stream at each writer, many routers would overfill the fleet."""
    bench = Bench(report_fields=("memory_share",), may_probe=True, instances=100)
    for number in (11, 12, 13):
        bench.do(ProbeEnded(number, True, 0.01, Load(memory_share=0.8)))
    bench.controller.room.mean_request_tokens = 1600.0
    # 100 streams at each of three writers and room for 25 more: 0.75 for each router.
    assert bench.controller._room(Role.WRITER, bench.now) < 1.0


def test_a_pace_from_one_slow_read_does_not_cause_lasting_refusals():
    """A pace learned from one read that had queued could refuse all turns, so that none corrects it."""
    bench = Bench()
    bench.arrive("a")
    bench.read("a", after=3.0)
    sent = 0
    for n in range(30):
        bench.tick(bench.now + 1.0)
        if only(bench.arrive(f"r{n}"), Send):
            bench.read(f"r{n}", after=0.02)
            sent += 1
    assert sent > 5
    bench.controller.paces.samples, before = 50, dict(bench.controller.paces.by_role)
    bench.controller.waits.by_role[Role.READER].value, bench.controller.waits.by_role[Role.READER].at = (
        9.0,
        bench.now,
    )
    bench.arrive("late")
    # A pace from many reads stays, as it would fall to nothing under load.
    assert bench.controller.paces.by_role == before


def test_probes_grow_with_traffic_and_not_with_the_fleet():
    """If all routers probed all servers at once, probes would be lost and all servers ejected."""
    fleet = tuple(server(n, n % 2) for n in range(60))
    bench = Bench(fleet=fleet, report_fields=("memory_share",), may_probe=True, instances=100)
    probes = 0
    for n in range(10):
        probes += len(only(bench.arrive(f"r{n}"), Probe)) + len(only(bench.tick(bench.now + 1.0), Probe))
    assert 0 < probes <= 10 * 3.5 + 6


def test_a_cells_writers_get_no_more_than_their_share():
    """Otherwise near writers fill up while others are free, as no router sees many of their waits."""
    readers = tuple(server(n, 0, cell=1) for n in range(1, 5))
    far = (server(5, 0, cell=2), *[server(n, 1, cell=2) for n in (12, 13, 14)])
    fleet = (*readers, server(11, 1, cell=1), *far)
    bench = Bench(fleet=fleet)
    home = bench.controller.workers[1]
    near = sum(
        worker.info.cell == 1
        for _ in range(400)
        for worker in bench.controller._draw_writers(any_request(bench), home, bench.now)
    )
    drawn = sum(len(bench.controller._draw_writers(any_request(bench), home, bench.now)) for _ in range(400))
    assert near / drawn < 0.5  # the cell has a quarter of the writers and four fifths of the readers


def any_request(bench):
    """A request that is under way."""
    bench.arrive("probe")
    return (
        bench.controller.requests["probe"]
        if "probe" in bench.controller.requests
        else next(iter(bench.controller.requests.values()))
    )


def test_lost_answers_do_not_raise_a_roles_wait():
    bench = Bench()
    worker = bench.controller.workers[11]
    for n in range(20):
        bench.controller._learn_wait(worker, 2.0 if n % 4 == 0 else 0.05, bench.now)
    assert bench.controller.waits.by_role[Role.WRITER].decayed(bench.now, 6.0) < 0.4


def test_a_small_tenant_at_one_of_many_routers_is_within_its_quota():
    """A bucket of only the router's share would hold less than one turn, and all would exceed it."""
    bench = Bench(tenants=(Tenant(quota_per_s=9.0),), instances=100)
    bench.arrive("a")
    assert not bench.controller.requests["a"].over_quota
    for n in range(20):
        bench.arrive(f"r{n}")
    assert bench.controller.requests["r19"].over_quota


def test_unsafe_requests_avoid_a_server_that_failed():
    # Each attempt to find out whether the server has recovered would lose an unsafe request.
    fleet = (server(1, 0), server(11, 1), server(12, 1))
    bench = Bench(fleet, effect=Effect.UNSAFE)
    bench.arrive("a")
    (first,) = only(bench.read("a"), Send)
    bench.end("a", Outcome.FAILED)
    for n in range(12):
        bench.arrive(f"b{n}")
        (send,) = only(bench.read(f"b{n}"), Send)
        assert send.server != first.server
        bench.do(StreamStarted(f"b{n}", 1, send.server, 0.1))
        bench.end(f"b{n}", Outcome.OK, closed=True)
    bench.now += 31.0  # without safe requests nothing else would find out that it has recovered
    seen = set()
    for n in range(12):
        bench.arrive(f"c{n}")
        seen.add(only(bench.read(f"c{n}"), Send)[0].server)
    assert first.server in seen


def test_a_server_that_has_been_gone_for_long_is_forgotten():
    bench = Bench()
    bench.do(ServersListed(ListKind.CHANGES, (server(13, 1, state=ServerState.GONE),)))
    bench.tick(bench.now + 29.0)
    assert 13 in bench.controller.workers
    bench.tick(bench.now + 2.0)
    assert 13 not in bench.controller.workers


def test_a_resumed_stream_is_not_refused_for_being_late():
    # A refusal would lose all that was streamed before.
    bench = Bench()
    for worker in bench.controller.workers.values():
        worker.limit = 0.0
    bench.arrive("busy")
    bench.arrive("new")
    bench.arrive("back", resumed=True)
    assert [r.id for r in only(bench.tick(bench.now + 1.5), Refuse)] == ["new"]


def test_a_few_clients_that_leave_do_not_bound_the_aim_of_the_others():
    # One client in four left, and a fifth of all turns were refused, most for clients that would have waited.
    bench = Bench()
    for n in range(80):
        bench.arrive(f"r{n}")
        if n % 4:
            bench.read(f"r{n}", after=0.01)
            bench.do(StreamStarted(f"r{n}", 1, bench.attempts[f"r{n}"][1], 0.02))
        else:
            bench.now += 0.1
            bench.do(ClientGone(f"r{n}"))
            bench.end(f"r{n}", Outcome.CANCELED, after=0.0)
    bench.arrive("x")
    assert bench.controller.requests["x"].first_token_due - bench.now == pytest.approx(1.04)
