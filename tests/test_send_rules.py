"""The rules on sending requests, and the table of servers that they use."""

from __future__ import annotations

import math

import pytest
from settings import ENV
from test_core import Client

from hopshed import wire
from hopshed.interface import FORGET_AFTER, Effect, ListKind, RequestArrived, Server, ServerState
from yewhook.core.ending import Ending
from yewhook.core.held_state import HeldState
from yewhook.core.request_records import Attempt, RequestRecord, Stage
from yewhook.core.send_rules import (
    MIN_CONNECT_TIMEOUT_S,
    WithholdReason,
    connect_timeout,
    may_have_run,
    refusal_is_harmless,
    withhold_reason,
)
from yewhook.core.server_table import ServerStatus, ServerTable

SETTINGS = wire.settings(ENV)
RUNNING = ServerStatus(True, 0.0)


def record(effect: Effect = Effect.SAFE, *endings: Ending | None, at_reader: bool = False) -> RequestRecord:
    """A request with attempts sent one a second that have ended as given; None = may still run."""
    cls = 1 if effect is Effect.UNSAFE else 0
    new = RequestRecord(
        RequestArrived("a", cls, 0, "s", 8.0, 100.0), effect, Client(), None, 108.0, HeldState(1.0)
    )
    new.stage = Stage.DECIDING
    new.attempts = [Attempt(n, 1, at_reader, 100.0 + n, False, ending) for n, ending in enumerate(endings)]
    return new


@pytest.mark.parametrize(
    ("stage", "reason"),
    [
        (Stage.ACCEPTED, WithholdReason.NOT_ACCEPTED_YET),
        (Stage.ATTEMPT_OUT, WithholdReason.ATTEMPT_OUT),
        (Stage.STREAMING, WithholdReason.STREAMING),
        (Stage.ENDED, WithholdReason.ENDED),
    ],
)
def test_a_request_is_sent_only_in_the_deciding_stage(stage: Stage, reason: WithholdReason) -> None:
    request = record()
    assert withhold_reason(request, RUNNING, SETTINGS, 100.0) is None
    request.stage = stage
    assert withhold_reason(request, RUNNING, SETTINGS, 100.0) is reason


def test_deadline_server_status_and_attempts_limit_what_is_sent() -> None:
    assert withhold_reason(record(), RUNNING, SETTINGS, 108.0) is WithholdReason.DEADLINE_PASSED
    assert (
        withhold_reason(record(), ServerStatus(False, 0.0), SETTINGS, 100.0) is WithholdReason.UNKNOWN_SERVER
    )
    grace = SETTINGS.drain_grace
    assert withhold_reason(record(), ServerStatus(True, grace), SETTINGS, 100.0) is None
    assert (
        withhold_reason(record(), ServerStatus(True, grace + 0.01), SETTINGS, 100.0)
        is WithholdReason.SERVER_DRAINS
    )
    endings = [Ending.TURNED_AWAY] * SETTINGS.max_attempts
    assert (
        withhold_reason(record(Effect.SAFE, *endings), RUNNING, SETTINGS, 101.0)
        is WithholdReason.NO_ATTEMPTS_LEFT
    )


@pytest.mark.parametrize("ending", list(Ending))
def test_an_unsafe_request_is_repeated_only_if_it_cannot_have_run(ending: Ending) -> None:
    request = record(Effect.UNSAFE, ending)
    ran = may_have_run(request)
    assert (withhold_reason(request, RUNNING, SETTINGS, 101.0) is WithholdReason.MAY_HAVE_RUN) is ran
    assert refusal_is_harmless(request, SETTINGS) is not ran
    assert not may_have_run(record(Effect.UNSAFE, ending, at_reader=True))


def test_a_keyed_request_is_repeated_within_its_deduplication_window() -> None:
    request = record(Effect.KEYED, Ending.BROKEN)
    window = SETTINGS.classes[0].dedup_window
    assert withhold_reason(request, RUNNING, SETTINGS, 100.0 + window - 0.01) is None
    assert withhold_reason(request, RUNNING, SETTINGS, 100.0 + window) is WithholdReason.REPEAT_WINDOW_OVER
    assert connect_timeout(request, SETTINGS, 100.0 + window - 0.02) == pytest.approx(0.02)


def test_held_state_limits_the_connect_timeout() -> None:
    request = record()
    assert connect_timeout(request, SETTINGS, 100.0) == SETTINGS.drain_grace
    request.held.since = 100.0
    assert connect_timeout(request, SETTINGS, 100.6) == pytest.approx(0.2)
    assert connect_timeout(request, SETTINGS, 105.0) == MIN_CONNECT_TIMEOUT_S
    request.held.mark_fetched()
    assert request.held.release_at == request.held.due == math.inf


def server(number: int, state: ServerState = ServerState.RUNNING) -> Server:
    """A server as discovery lists it."""
    return Server(number, 0, 0, 0, state)


def test_servers_missing_from_a_whole_list_are_gone() -> None:
    table = ServerTable()
    table.update(ListKind.FULL, (server(1), server(2)), 10.0)
    changes = table.update(ListKind.FULL, (server(1),), 11.0)
    assert (changes.withdrawn, changes.gone) == (frozenset({2}), (2,))
    assert table.status(2, 12.5) == ServerStatus(True, 1.5) and table.status(1, 12.5) == RUNNING
    assert [present.id for present in table.present()] == [1]
    assert not table.forget(2, 11.0) and not table.forget(1, 99.0)
    assert table.forget(2, 11.0 + FORGET_AFTER) and not table.status(2, 50.0).known


def test_a_server_that_comes_back_is_withdrawn_only_since_its_next_drain() -> None:
    table = ServerTable()
    table.update(ListKind.CHANGES, (server(1, ServerState.DRAINING),), 10.0)
    assert not table.update(ListKind.CHANGES, (server(1, ServerState.DRAINING),), 11.0).withdrawn
    table.update(ListKind.CHANGES, (server(1),), 12.0)
    assert table.update(ListKind.CHANGES, (server(1, ServerState.DRAINING),), 13.0).withdrawn == {1}
    assert table.status(1, 13.5).withdrawn_for == 0.5
    table.resume({1: 9.0, 2: 9.0})
    assert table.withdrawn_since == {1: 9.0}
