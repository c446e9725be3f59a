"""Races between several real processes, with the rules checked over all of them together.

Restarts with requests in flight, watches that end as workers drain, and many routers on cold workers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import pytest
from cases import Case

from hopshed.interface import Role
from yewlab.processes.clients import Route
from yewlab.processes.discovery import DiscoveryEndpoint
from yewlab.processes.instances import Process
from yewlab.processes.operate import Script
from yewlab.processes.testbed import NOTIFIED_WITHIN_S, UNIX_OFFSET_S


@pytest.fixture
def case(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Case]:
    routers, turns_per_s, *more = request.param
    played = Case(tmp_path, routers, turns_per_s, **dict(more))
    yield played
    played.test_bed.close()


def in_flight(route: Route) -> bool:
    return any(side.handler is not None for side in route.connections)


def ended(process: Process) -> bool:
    return not process.running


def healthy(route: Route) -> bool:
    return route.healthy


@pytest.mark.parametrize("case", [(3, 15.0)], indirect=True)
def test_a_rolling_restart_loses_nothing_that_was_in_flight(case: Case) -> None:
    def script() -> Script:
        for instance, route in zip(case.test_bed.instances, case.test_bed.clients.routes, strict=True):
            old = instance.serving_process
            yield partial(in_flight, route)
            instance.terminate(old)
            yield partial(ended, old)
            assert not old.killed and old.popen.returncode == 0
            new = instance.start_process()
            yield from case.operators.wait_ready(instance, new)
            assert new.ready_at is not None and new.ready_at - new.started_at < 10.0
            yield partial(healthy, route)

    case.play(script)


@pytest.mark.parametrize("case", [(4, 20.0)], indirect=True)
@pytest.mark.parametrize("ending", [DiscoveryEndpoint.silence_watches, DiscoveryEndpoint.abort_watches])
def test_workers_that_drain_as_all_watches_end_get_no_new_requests(
    case: Case, ending: Callable[[DiscoveryEndpoint], None]
) -> None:
    def script() -> Script:
        for face in case.test_bed.discovery.endpoints:
            ending(face)
        case.test_bed.change_entry("w0", lifecycle="draining")  # w0 is a reader, w3 a writer
        yield 0.5
        case.test_bed.change_entry("w3", lifecycle="draining")
        yield NOTIFIED_WITHIN_S + 2.5
        asked = [case.test_bed.workers.by_name[name].attempts_received for name in ("w0", "w3")]
        yield 2.0
        assert asked == [case.test_bed.workers.by_name[name].attempts_received for name in ("w0", "w3")]

    case.play(script)


# With a limit this low, cold workers fail at once if each router sends them their full share.
@pytest.mark.parametrize("case", [(20, 30.0, ("fall_multiple", 0.5))], indirect=True)
def test_twenty_routers_together_stay_within_what_cold_servers_bear(case: Case) -> None:
    def script() -> Script:
        for name in ("w1", "w4", "w6"):  # a reader, a writer and a mixed worker restart cold
            worker = case.test_bed.workers.by_name[name]
            worker.restart()
            worker.begin_slow_start()
            started = round((worker.server.started + UNIX_OFFSET_S) * 1000.0)
            case.test_bed.change_entry(name, lifecycle="up", startedAtMs=started)
            yield 3.0
        yield 3.0

    case.play(script)


# Readers and writers only, with more writers than a request may be sent to.
MANY_WRITERS = (Role.READER,) * 3 + (Role.WRITER,) * 6


@pytest.mark.parametrize("case", [(3, 12.0, ("roles", MANY_WRITERS))], indirect=True)
def test_isolating_most_writers_repeatedly_leaves_no_state_held(case: Case) -> None:
    # The test bed checks each held state against the rules four times a second.
    links = [
        link for (_, name), link in case.test_bed.links.items() if name in ("w4", "w5", "w6", "w7", "w8")
    ]
    assert len(links) == 15

    def script() -> Script:
        for _ in range(3):
            for link in links:
                link.isolate()
            yield 3.0
            for link in links:
                link.reconnect()
            yield 2.0

    case.play(script)
    logs = [process for instance in case.test_bed.instances for process in instance.processes]
    assert not any(process.count_log_lines("release late") for process in logs)
