"""Several real processes and what crosses between them: restarts with requests in flight, watches that end as
workers drain, and many routers on cold servers. Checked by the rules over all of them together."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import pytest
from cases import Case

from hopshed.interface import Role
from yewlab.processes.clients import Way
from yewlab.processes.host import Process
from yewlab.processes.operate import Waits
from yewlab.processes.register import Face
from yewlab.processes.stage import OFFSET, TOLD_WITHIN


@pytest.fixture
def case(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Case]:
    routers, rate, *more = request.param
    played = Case(tmp_path, routers, rate, **dict(more))
    yield played
    played.stage.close()


def in_flight(way: Way) -> bool:
    return any(side.exchange is not None for side in way.sides)


def ended(process: Process) -> bool:
    return not process.running


def healthy(way: Way) -> bool:
    return way.healthy


@pytest.mark.parametrize("case", [(3, 15.0)], indirect=True)
def test_a_rolling_restart_loses_nothing_that_was_in_flight(case: Case) -> None:
    def script() -> Waits:
        for instance, way in zip(case.stage.instances, case.stage.clients.ways, strict=True):
            old = instance.serving
            yield partial(in_flight, way)
            instance.end(old)
            yield partial(ended, old)
            assert not old.killed and old.popen.returncode == 0
            new = instance.start()
            yield from case.operators.yes(instance, new)
            assert new.yes_at is not None and new.yes_at - new.started < 10.0
            yield partial(healthy, way)

    case.play(script)


@pytest.mark.parametrize("case", [(4, 20.0)], indirect=True)
@pytest.mark.parametrize("ending", [Face.forget_watches, Face.lose_watches])
def test_workers_that_drain_as_all_watches_end_get_nothing_new(
    case: Case, ending: Callable[[Face], None]
) -> None:
    def script() -> Waits:
        for face in case.stage.register.faces:
            ending(face)
        case.stage.change("w0", lifecycle="draining")  # a reader, and then a writer
        yield 0.5
        case.stage.change("w3", lifecycle="draining")
        yield TOLD_WITHIN + 2.5
        asked = [case.stage.workers.boxes[name].asked for name in ("w0", "w3")]
        yield 2.0
        assert asked == [case.stage.workers.boxes[name].asked for name in ("w0", "w3")]

    case.play(script)


# With a budget this small, servers that are sent their whole part while they are cold fall at once.
@pytest.mark.parametrize("case", [(20, 30.0, ("fall_multiple", 0.5))], indirect=True)
def test_twenty_routers_together_stay_within_what_cold_servers_bear(case: Case) -> None:
    def script() -> Waits:
        for name in ("w1", "w4", "w6"):  # a reader, a writer and a mixed one come back cold
            worker = case.stage.workers.boxes[name]
            worker.die()
            worker.cool()
            started = round((worker.server.started + OFFSET) * 1000.0)
            case.stage.change(name, lifecycle="up", startedAtMs=started)
            yield 3.0
        yield 3.0

    case.play(script)


# Readers and writers only, and more of these than a request may be sent to.
MANY_WRITERS = (Role.READER,) * 3 + (Role.WRITER,) * 6


@pytest.mark.parametrize("case", [(3, 12.0, ("fleet", MANY_WRITERS))], indirect=True)
def test_most_writers_cut_off_together_three_times_leave_no_state_held(case: Case) -> None:
    # The stage's rules look at each held state four times a second, over all routers.
    links = [link for (_, name), link in case.stage.links.items() if name in ("w4", "w5", "w6", "w7", "w8")]
    assert len(links) == 15

    def script() -> Waits:
        for _ in range(3):
            for link in links:
                link.cut_off()
            yield 3.0
            for link in links:
                link.reconnect()
            yield 2.0

    case.play(script)
    logs = [process for instance in case.stage.instances for process in instance.processes]
    assert not any(process.said("release late") for process in logs)
