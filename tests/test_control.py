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


def test_turn_goes_to_a_reader_then_a_writer_and_ends_once():
    b = Bench()
    (send,) = only(b.arrive("a"), Send)
    assert send.server in READERS
    (send,) = only(b.read("a"), Send)
    assert send.server in WRITERS
    b.do(StreamStarted("a", 1, send.server, 0.1))
    assert only(b.end("a", Outcome.OK, closed=True), (Refuse, Fail, Send)) == []
    assert b.end("a", Outcome.OK, closed=True) == []  # a late duplicate does nothing


def test_later_turn_returns_to_the_sessions_last_reader_and_prefix_homes_agree():
    homes = set()
    for seed in (1, 2, 3):
        b = Bench(seed=seed)
        (send,) = only(b.arrive("a", session="s", prefix="p", prefix_tokens=900.0), Send)
        homes.add(send.server)
        b.read("a")
        (again,) = only(b.arrive("b", session="s", prompt_tokens=1500.0), Send)
        assert again.server == send.server
    assert len(homes) == 1


def test_lowest_service_time_is_released_first_and_long_waits_are_lifted():
    b = Bench(memory_tokens=(), max_attempts=9)
    for n in range(40):
        b.arrive(f"fill{n}", patience=30.0)
    assert b.c.queue.count > 0
    old, new = Bench(), Bench()
    for bench, wait in ((old, 10.0), (new, 0.0)):
        heavy = bench.c
        heavy.sessions.clear()
        s = Session()
        s.cst, s.at = 1.0, bench.now
        heavy.sessions["heavy"] = s
        for w in heavy.workers.values():
            w.limit = 0.0 if w.info.id in WRITERS else w.limit
        bench.arrive("x", patience=60.0)
        bench.arrive("h", session="heavy", patience=60.0)
        light = Session()
        light.cst, light.at = 0.5, bench.now
        heavy.sessions["light"] = light
        bench.now += wait
        bench.arrive("l", session="light", patience=60.0)
    assert new.c.queue.pop(new.now).event.id == "l" or new.c.queue.pop(new.now).event.id == "l"
    assert old.c.queue.pop(old.now).event.id == "h"


def test_hold_that_cannot_meet_its_aim_is_refused_early():
    b = Bench()
    for w in b.c.workers.values():
        w.limit = 0.0
    b.arrive("busy")  # with nothing out one turn always passes
    assert only(b.arrive("a"), Send) == []
    refused = only(b.tick(b.now + 1.2), Refuse)
    assert [r.id for r in refused] == ["a"]


def test_client_with_less_time_than_a_tick_is_answered_at_once():
    b = Bench()
    for w in b.c.workers.values():
        w.limit = 0.0
    b.arrive("busy")
    assert [r.id for r in only(b.arrive("a", patience=0.017), Refuse)] == ["a"]


def test_failed_read_goes_to_another_reader():
    b = Bench()
    (first,) = only(b.arrive("a"), Send)
    (second,) = only(b.end("a", Outcome.FAILED), Send)
    assert second.server in READERS - {first.server}


def test_failed_hand_over_tries_another_writer_while_the_state_waits():
    b = Bench()
    b.arrive("a")
    (w1,) = only(b.read("a"), Send)
    (w2,) = only(b.end("a", Outcome.FULL), Send)
    assert w2.server in WRITERS - {w1.server}


def test_state_not_found_is_let_go_and_read_again():
    """A state that is cut off from the writer looks lost, and stayed pinned at its reader."""
    b = Bench()
    b.arrive("a")
    b.read("a")
    acts = b.end("a", Outcome.FULL, note=1)
    assert only(acts, ReleaseState)
    assert only(acts, Send)[0].server in READERS


def test_state_is_released_after_hangup_during_the_read():
    b = Bench(may_cancel=False)
    b.arrive("a")
    b.do(ClientGone("a"))
    assert only(b.read("a"), ReleaseState)


def test_state_is_released_when_no_writer_will_have_it():
    b = Bench()
    b.arrive("a")
    b.read("a")
    acts = []
    for _ in range(3):
        acts += b.end("a", Outcome.FULL, after=0.01)
    acts += b.tick(b.now + 0.5)
    assert only(acts, ReleaseState) and len(only(acts, Refuse)) == 1


def test_connections_that_never_come_up_do_not_give_a_state_more_time():
    fleet = (server(1, 0), *(server(n, 1) for n in range(11, 17)))
    b = Bench(fleet, release_within=1.0)
    b.arrive("a")
    b.read("a")
    assert len(only(b.end("a", Outcome.UNREACHABLE, after=0.25), Send)) == 1
    assert len(only(b.end("a", Outcome.UNREACHABLE, after=0.25), Send)) == 1
    acts = b.end("a", Outcome.UNREACHABLE, after=0.25)  # 0.75 s after the read
    assert not only(acts, Send) and only(acts, ReleaseState) and only(acts, Refuse)


def test_a_writer_that_turned_a_state_away_gives_it_time_anew():
    fleet = (server(1, 0), server(11, 1))
    b = Bench(fleet, release_within=1.0)
    b.arrive("a")
    b.read("a")
    assert not only(b.end("a", Outcome.FULL, after=0.5), Refuse)  # the tick looks again
    assert not only(b.tick(b.now + 0.5), Refuse)
    assert only(b.tick(b.now + 0.2), Refuse)


def test_draining_and_gone_servers_get_nothing_new():
    b = Bench()
    draining = tuple(server(i, 0, state=ServerState.DRAINING) for i in (1, 2))
    b.do(ServersListed(ListKind.CHANGES, draining))
    for n in range(6):
        assert all(s.server == 3 for s in only(b.arrive(f"r{n}"), Send))
    b.do(ServersListed(ListKind.FULL, FLEET[1:]))
    for n in range(6):
        assert all(s.server != 1 for s in only(b.arrive(f"q{n}"), Send))


def test_restarted_server_is_spared_right_after_its_start():
    b = Bench()
    b.do(ServersListed(ListKind.CHANGES, (server(11, 1, started=b.now),)))
    sent = []
    for n in range(20):
        b.arrive(f"r{n}")
        sent += [s.server for s in only(b.read(f"r{n}", after=0.01), Send)]
    assert sent.count(11) <= 1 and len(sent) == 20


def test_failing_server_is_ejected_and_comes_back_by_trial():
    b = Bench()
    bad = only(b.arrive("a", session="k"), Send)[0].server
    b.end("a", Outcome.FAILED)
    b.arrive("b", session="k")
    if b.attempts["b"][0] == bad:
        b.end("b", Outcome.FAILED)
    assert not b.c._usable(b.c.workers[bad], b.now)
    assert b.c._usable(b.c.workers[bad], b.now + 20)


def test_ejection_leaves_part_of_a_role():
    b = Bench()
    for w in list(b.c.workers.values()):
        b.c._eject(w, b.now, silent=False)
    assert any(b.c._usable(w, b.now) for w in b.c.workers.values() if w.info.id in READERS)
    assert any(b.c._usable(w, b.now) for w in b.c.workers.values() if w.info.id in WRITERS)


@pytest.mark.parametrize("outcome", list(Outcome))
def test_unsafe_requests_go_again_only_when_no_attempt_can_have_run(outcome):
    b = Bench(effect=Effect.UNSAFE)
    b.arrive("a")
    b.read("a")
    if outcome is Outcome.OK:
        return
    acts = b.end("a", outcome)
    if outcome.never_ran:
        assert not only(acts, Fail)
    else:
        assert not only(acts, (Send, Refuse)) and only(acts, Fail)


def test_keyed_requests_stay_in_their_group():
    fleet = (*FLEET[:3], server(11, 1, cell=1), server(12, 1, cell=2))
    b = Bench(fleet=fleet, effect=Effect.KEYED, group=Group.CELL)
    b.arrive("a")
    b.read("a")
    acts = b.end("a", Outcome.FAILED)
    assert not only(acts, (Send, Refuse)) and only(acts, Fail) and only(acts, ReleaseState)


def test_unknown_and_late_events_do_nothing():
    b = Bench()
    b.arrive("a")
    odd = [AttemptEnded(rid, n, 1, Outcome.OK, 0.1, True) for rid, n in (("zz", 0), ("a", 7))]
    assert b.do(*odd, ClientGone("zz"), StreamStarted("zz", 0, 1, 0.1), ProbeEnded(99, True, 0.1)) == []


def test_room_formula_from_reports():
    b = Bench(report_fields=("utilization", "queued", "memory_share"), may_probe=True)
    w = b.c.workers[11]
    w.streams = 10
    b.do(ProbeEnded(11, True, 0.01, Load(utilization=0.5, queued=0.0, memory_share=0.3)))
    assert b.c.room.of_server(w, b.now) == pytest.approx(10.0)
    b.do(ProbeEnded(11, True, 0.01, Load(utilization=0.5, queued=0.0, memory_share=0.95)))
    assert b.c.room.of_server(w, b.now) <= 0


def test_a_deployment_without_reports_still_has_a_gate():
    b = Bench(memory_tokens=(20000.0,) * 3)
    for n in range(60):
        b.arrive(f"r{n}")
    assert 0 < b.c.queue.count < 60


def test_impossible_settings_are_refused():
    for bad in ({"classes": ()}, {"roles": ()}, {"drain_grace": -1.0}, {"memory_tokens": (1.0,)}):
        with pytest.raises(ValueError, match="settings"):
            settings(**bad)


def test_clients_that_leave_early_bound_the_aim():
    """Reads for clients who leave at half a second run on and serve nobody (incident i547495)."""
    b = Bench()
    for n in range(20):
        b.arrive(f"r{n}")
        b.now += 0.5
        b.do(ClientGone(f"r{n}"))
        b.end(f"r{n}", Outcome.CANCELED, after=0.0)
    b.arrive("x")
    assert b.c.requests["x"].first_token_due - b.now < 0.7
    for n in range(80):
        b.arrive(f"s{n}")
        b.read(f"s{n}", after=0.01)
        b.do(StreamStarted(f"s{n}", 1, b.attempts[f"s{n}"][1], 0.02))
    b.arrive("y")
    assert b.c.requests["y"].first_token_due - b.now == pytest.approx(1.04)


def test_a_busy_server_that_loses_probes_is_not_silent_and_a_hung_one_is():
    """Deep probes wait behind work: lost ones alone ejected busy readers (athens big-2)."""
    for wait, silent in ((1.0, False), (0.0, True)):
        b = Bench(may_probe=True)
        w = b.c.workers[1]
        w.wait, w.life = wait, b.now
        b.now += 0.9
        b.do(ProbeEnded(1, False, 0.25))
        b.do(ProbeEnded(1, False, 0.25))
        assert (b.now < w.ejected) is silent


def test_a_quiet_slow_start_reader_is_left_for_a_quicker_one():
    b = Bench()
    home = only(b.arrive("a", session="k"), Send)[0].server
    b.read("a")
    w = b.c.workers[home]
    w.wait, w.wait_at = 5.0, b.now
    assert only(b.arrive("b", session="k"), Send)[0].server != home


def test_slow_streams_shrink_a_servers_room():
    b = Bench(report_fields=("utilization",))
    w = b.c.workers[11]
    w.streams = 10
    b.do(ProbeEnded(11, True, 0.01, Load(utilization=0.5)))
    before = b.c.room.of_server(w, b.now)
    w.drag = 2.0
    assert b.c.room.of_server(w, b.now) < before / 2


def test_many_slow_first_tokens_cut_the_limit_once():
    """Each cut used to multiply: one slow moment closed the gate for seconds (incident i70bfaf)."""
    b = Bench()
    w = b.c.workers[11]
    w.streams, w.limit = 20, 100.0
    b.c.room.lower_limit(w)
    once = b.c.room.stream_limit(w)
    for _ in range(10):
        b.c.room.lower_limit(w)
    assert once == b.c.room.stream_limit(w) == pytest.approx(21 * 0.85)


def test_a_hung_writer_that_answers_probes_is_ejected_and_a_reader_is_not():
    """Hung writers may answer probes beside their queue, which passed for life (thess rough-1)."""
    for stage, ejected in (("write", True), ("read", False)):
        b = Bench(may_probe=True)
        b.arrive("a")
        if stage == "write":
            b.read("a")
        w = b.c.workers[b.attempts["a"][-1]]
        for _ in range(38):
            b.tick(b.now + 0.05)
            if w.probe_in_flight:
                b.do(ProbeEnded(w.info.id, True, 0.01))
        assert (b.now < w.ejected) is ejected


def arrivals(n, every, routers, fleet, **kw):
    """Several routers over one script: each gets its turn of n arrivals; returns the sends by server."""
    benches = [Bench(fleet=fleet, seed=seed, instances=routers, **kw) for seed in range(routers)]
    sends = []
    for k in range(n):
        b = benches[k % routers]
        b.tick(100.0 + k * every)
        sends += only(b.arrive(f"r{k}", prompt_tokens=800.0), Send)
        if b.attempts.get(f"r{k}"):
            b.now += 0.01
            n_out = len(b.attempts[f"r{k}"]) - 1
            done = AttemptEnded(f"r{k}", n_out, b.attempts[f"r{k}"][n_out], Outcome.READ, 0.01, False)
            sends += only(b.do(done), Send)
    return benches, sends


def test_all_routers_together_spare_a_cold_server():
    """A floor for each router added up to four times what a cold server can do (thess-north-later big-2)."""
    routers, rate = 40, 40.0
    warm = tuple(server(n, 1) for n in range(11, 21))
    fleet = (*[server(n, 0) for n in range(1, 6)], *warm, server(30, 1, started=100.0))
    _, sends = arrivals(400, 1 / rate, routers, fleet)
    cold = sum(s.server == 30 for s in sends)
    a_warm_one = sum(s.server in {w.id for w in warm} for s in sends) / len(warm)
    assert 0 < cold < 2.5 * 0.3 * a_warm_one  # multiple x least capacity, against a warm one's sends


def test_a_mixed_servers_pace_is_not_learnt_from_text_that_others_had_it_keep():
    """Forty routers place the same beginnings: each took what it had not sent there itself for read anew, and
    believed in a pace six times the true one, and so in room for reads that made all answers crawl."""
    for kept, pace in ((1800, 0.0), (0, 0.2 / 2000)):
        b = Bench(fleet=(server(21, 2),), instances=40)
        b.arrive("a", prompt_tokens=2000.0)
        b.do(StreamStarted("a", 0, 21, 0.2))
        b.end("a", Outcome.OK, after=2.0, closed=True, note=kept)
        assert b.c.paces.by_role[Role.MIXED] == pytest.approx(pace)


def test_until_it_is_known_a_mixed_server_reads_no_faster_than_a_reader():
    b = Bench(fleet=(server(1, 0), server(11, 1), server(21, 2)))
    b.arrive("a", prompt_tokens=2000.0)
    if b.attempts["a"] == [21]:
        b.end("a", Outcome.FULL)
    b.end("a", Outcome.READ, after=0.3)
    assert b.c.paces.by_role[Role.MIXED] == b.c.paces.by_role[Role.READER] > 0


def test_a_server_that_has_warmed_half_way_is_used_half_way():
    """Each router's first send waited for its part of a budget that takes longer to come than the warming:
    new servers idled while the few old ones drowned (join+vast)."""
    warm = tuple(server(n, 1) for n in range(11, 15))
    parts = []
    for age in (0.0, 6.0):
        fresh = tuple(server(n, 1, started=100.0 - age) for n in range(30, 36))
        fleet = (*[server(n, 0) for n in range(1, 6)], *warm, *fresh)
        _, sends = arrivals(160, 1 / 40.0, 40, fleet)
        cold = sum(s.server >= 30 for s in sends) / len(fresh)
        parts.append(cold / (sum(s.server in range(11, 15) for s in sends) / len(warm)))
    assert parts[0] < 0.5 and 0.5 < parts[1] < 1.0


def test_room_is_shared_and_small_parts_are_given_by_chance():
    """A floor of one stream at each writer let every router fill the fleet (grown deployments)."""
    b = Bench(report_fields=("memory_share",), may_probe=True, instances=100)
    for wid in (11, 12, 13):
        b.do(ProbeEnded(wid, True, 0.01, Load(memory_share=0.8)))
    b.c.room.mean_request_tokens = 1600.0
    # 100 streams at each, room for 25: a part of .75 for each router.
    assert b.c._room(Role.WRITER, b.now) < 1.0


def test_a_pace_from_one_slow_read_does_not_refuse_for_ever():
    """One read that had queued taught a pace at which nothing was in time (patras-south-later quiet)."""
    b = Bench()
    b.arrive("a")
    b.read("a", after=3.0)
    sent = 0
    for n in range(30):
        b.tick(b.now + 1.0)
        if only(b.arrive(f"r{n}"), Send):
            b.read(f"r{n}", after=0.02)
            sent += 1
    assert sent > 5
    b.c.paces.samples, before = 50, dict(b.c.paces.by_role)
    b.c.waits.by_role[Role.READER].value, b.c.waits.by_role[Role.READER].at = 9.0, b.now
    b.arrive("late")
    assert b.c.paces.by_role == before  # not one that many reads taught: it fell to nothing under load


def test_probes_follow_traffic_and_not_the_fleet():
    """Every router probed every server in step, probes over the cap were lost, and all ejected."""
    fleet = tuple(server(n, n % 2) for n in range(60))
    b = Bench(fleet=fleet, report_fields=("memory_share",), may_probe=True, instances=100)
    probes = 0
    for n in range(10):
        probes += len(only(b.arrive(f"r{n}"), Probe)) + len(only(b.tick(b.now + 1.0), Probe))
    assert 0 < probes <= 10 * 3.5 + 6


def test_a_cells_writers_take_no_more_than_their_part():
    """Near writers filled while far ones were free, for no router saw their waits (patras)."""
    readers = tuple(server(n, 0, cell=1) for n in range(1, 5))
    far = (server(5, 0, cell=2), *[server(n, 1, cell=2) for n in (12, 13, 14)])
    fleet = (*readers, server(11, 1, cell=1), *far)
    b = Bench(fleet=fleet)
    home = b.c.workers[1]
    near = sum(w.info.cell == 1 for _ in range(400) for w in b.c._draw_writers(b_request(b), home, b.now))
    drawn = sum(len(b.c._draw_writers(b_request(b), home, b.now)) for _ in range(400))
    assert near / drawn < 0.5  # a quarter of the writers stand beside four fifths of the readers


def b_request(b):
    b.arrive("probe")
    return b.c.requests["probe"] if "probe" in b.c.requests else next(iter(b.c.requests.values()))


def test_lost_answers_do_not_pass_for_a_crowd():
    b = Bench()
    w = b.c.workers[11]
    for n in range(20):
        b.c._learn_wait(w, 2.0 if n % 4 == 0 else 0.05, b.now)
    assert b.c.waits.by_role[Role.WRITER].decayed(b.now, 6.0) < 0.4


def test_a_small_tenant_at_one_of_many_routers_is_within_its_share():
    """A bucket of its part of the quota held less than one turn, so every turn counted as over share."""
    b = Bench(tenants=(Tenant(quota_per_s=9.0),), instances=100)
    b.arrive("a")
    assert not b.c.requests["a"].over_quota
    for n in range(20):
        b.arrive(f"r{n}")
    assert b.c.requests["r19"].over_quota


def test_a_turn_that_cannot_be_repeated_keeps_clear_of_a_server_that_failed():
    # Each look at a server that fails all it gets cost such a turn, which is lost with it.
    fleet = (server(1, 0), server(11, 1), server(12, 1))
    b = Bench(fleet, effect=Effect.UNSAFE)
    b.arrive("a")
    (first,) = only(b.read("a"), Send)
    b.end("a", Outcome.FAILED)
    for n in range(12):
        b.arrive(f"b{n}")
        (send,) = only(b.read(f"b{n}"), Send)
        assert send.server != first.server
        b.do(StreamStarted(f"b{n}", 1, send.server, 0.1))
        b.end(f"b{n}", Outcome.OK, closed=True)
    b.now += 31.0  # where nothing can be repeated nobody else would find out that it is well again
    seen = set()
    for n in range(12):
        b.arrive(f"c{n}")
        seen.add(only(b.read(f"c{n}"), Send)[0].server)
    assert first.server in seen


def test_a_server_that_is_gone_for_long_is_forgotten():
    b = Bench()
    b.do(ServersListed(ListKind.CHANGES, (server(13, 1, state=ServerState.GONE),)))
    b.tick(b.now + 29.0)
    assert 13 in b.c.workers
    b.tick(b.now + 2.0)
    assert 13 not in b.c.workers


def test_a_stream_that_comes_back_is_not_refused_for_being_late():
    # All that it had streamed was lost with a refusal, for want of a first token in time.
    b = Bench()
    for w in b.c.workers.values():
        w.limit = 0.0
    b.arrive("busy")
    b.arrive("new")
    b.arrive("back", resumed=True)
    assert [r.id for r in only(b.tick(b.now + 1.5), Refuse)] == ["new"]


def test_some_clients_that_leave_do_not_bound_the_aim_of_the_others():
    # One in four left, and a fifth of all turns were refused, most of them for clients who would have waited.
    b = Bench()
    for n in range(80):
        b.arrive(f"r{n}")
        if n % 4:
            b.read(f"r{n}", after=0.01)
            b.do(StreamStarted(f"r{n}", 1, b.attempts[f"r{n}"][1], 0.02))
        else:
            b.now += 0.1
            b.do(ClientGone(f"r{n}"))
            b.end(f"r{n}", Outcome.CANCELED, after=0.0)
    b.arrive("x")
    assert b.c.requests["x"].first_token_due - b.now == pytest.approx(1.04)
