"""Watches of discovery that go on with bytes which never end: a change is told in time by another call."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from cases import Case

from yewlab.processes.endless_answers import WATCH_ANSWERS
from yewlab.processes.operate import Script
from yewlab.processes.testbed import NOTIFIED_WITHIN_S

ROUTERS = len(WATCH_ANSWERS)
TURNS_PER_S = 20.0  # over all routers
WATCH_ANSWERED_S = 2.5  # by the first heartbeat
DRAINED_S = 4.0  # for which servers drain after all routers count as told
FURTHER_CALLS = 1  # that are answered without end too


@pytest.fixture
def case(tmp_path: Path) -> Iterator[Case]:
    played = Case(tmp_path, ROUTERS, TURNS_PER_S)
    yield played
    played.test_bed.close()


# Guards against routers that wait for a message of discovery that never ends, and send to draining servers.
def test_a_drain_is_told_in_time_though_each_watch_goes_on_without_end(case: Case) -> None:
    def script() -> Script:
        yield WATCH_ANSWERED_S
        for endpoint, answer in zip(case.test_bed.discovery_endpoints, WATCH_ANSWERS, strict=True):
            endpoint.spoil_watches(answer, FURTHER_CALLS)
        yield 0.1
        for name in ("w0", "w3"):
            case.test_bed.change_entry(name, lifecycle="draining")
        yield NOTIFIED_WITHIN_S + DRAINED_S

    case.play(script)
