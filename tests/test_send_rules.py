"""The rules on sending, and the table of servers that they go by."""

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
    MIN_CONNECT_TIME,
    Withheld,
    connect_within,
    may_have_run,
    refusal_is_harmless,
    withheld,
)
from yewhook.core.server_table import ServerStatus, ServerTable

SETTINGS = wire.settings(ENV)
RUNNING = ServerStatus(True, 0.0)


def life(effect: Effect = Effect.SAFE, *endings: Ending | None, reads: bool = False) -> RequestRecord:
    """A request of which attempts have ended so, one a second; None = it may still run."""
    cls = 1 if effect is Effect.UNSAFE else 0
    made = RequestRecord(
        RequestArrived("a", cls, 0, "s", 8.0, 100.0), effect, Client(), None, 108.0, HeldState(1.0)
    )
    made.stage = Stage.DECIDING
    made.attempts = [Attempt(n, 1, reads, 100.0 + n, False, ending) for n, ending in enumerate(endings)]
    return made


@pytest.mark.parametrize(
    ("stage", "why"),
    [
        (Stage.ACCEPTED, Withheld.NOT_ACCEPTED_YET),
        (Stage.ATTEMPT_OUT, Withheld.ATTEMPT_OUT),
        (Stage.STREAMING, Withheld.STREAMING),
        (Stage.ENDED, Withheld.ENDED),
    ],
)
def test_only_a_request_that_is_being_decided_on_is_sent(stage: Stage, why: Withheld) -> None:
    one = life()
    assert withheld(one, RUNNING, SETTINGS, 100.0) is None
    one.stage = stage
    assert withheld(one, RUNNING, SETTINGS, 100.0) is why


def test_time_servers_and_attempts_bound_what_is_sent() -> None:
    assert withheld(life(), RUNNING, SETTINGS, 108.0) is Withheld.DEADLINE_PASSED
    assert withheld(life(), ServerStatus(False, 0.0), SETTINGS, 100.0) is Withheld.UNKNOWN_SERVER
    grace = SETTINGS.drain_grace
    assert withheld(life(), ServerStatus(True, grace), SETTINGS, 100.0) is None
    assert withheld(life(), ServerStatus(True, grace + 0.01), SETTINGS, 100.0) is Withheld.SERVER_DRAINS
    tries = [Ending.TURNED_AWAY] * SETTINGS.max_attempts
    assert withheld(life(Effect.SAFE, *tries), RUNNING, SETTINGS, 101.0) is Withheld.NO_ATTEMPTS_LEFT


@pytest.mark.parametrize("ending", list(Ending))
def test_an_unsafe_request_goes_again_just_where_it_can_not_have_run(ending: Ending) -> None:
    one = life(Effect.UNSAFE, ending)
    ran = may_have_run(one)
    assert (withheld(one, RUNNING, SETTINGS, 101.0) is Withheld.MAY_HAVE_RUN) is ran
    assert refusal_is_harmless(one, SETTINGS) is not ran
    assert not may_have_run(life(Effect.UNSAFE, ending, reads=True))


def test_a_keyed_request_goes_again_within_its_window() -> None:
    one = life(Effect.KEYED, Ending.BROKEN)
    window = SETTINGS.classes[0].dedup_window
    assert withheld(one, RUNNING, SETTINGS, 100.0 + window - 0.01) is None
    assert withheld(one, RUNNING, SETTINGS, 100.0 + window) is Withheld.REPEAT_WINDOW_OVER
    assert connect_within(one, SETTINGS, 100.0 + window - 0.02) == pytest.approx(0.02)


def test_a_held_state_bounds_how_long_a_connection_may_take() -> None:
    one = life()
    assert connect_within(one, SETTINGS, 100.0) == SETTINGS.drain_grace
    one.held.since = 100.0
    assert connect_within(one, SETTINGS, 100.6) == pytest.approx(0.2)
    assert connect_within(one, SETTINGS, 105.0) == MIN_CONNECT_TIME
    one.held.fetched()
    assert one.held.release_at == one.held.due == math.inf


def server(number: int, state: ServerState = ServerState.RUNNING) -> Server:
    return Server(number, 0, 0, 0, state)


def test_a_whole_list_lets_go_of_what_it_does_not_name() -> None:
    table = ServerTable()
    table.update(ListKind.FULL, (server(1), server(2)), 10.0)
    changes = table.update(ListKind.FULL, (server(1),), 11.0)
    assert (changes.withdrawn, changes.gone) == (frozenset({2}), (2,))
    assert table.status(2, 12.5) == ServerStatus(True, 1.5) and table.status(1, 12.5) == RUNNING
    assert [one.id for one in table.present()] == [1]
    assert not table.forget(2, 11.0) and not table.forget(1, 99.0)
    assert table.forget(2, 11.0 + FORGET_AFTER) and not table.status(2, 50.0).known


def test_a_server_that_comes_back_is_told_off_from_its_next_drain_on() -> None:
    table = ServerTable()
    table.update(ListKind.CHANGES, (server(1, ServerState.DRAINING),), 10.0)
    assert not table.update(ListKind.CHANGES, (server(1, ServerState.DRAINING),), 11.0).withdrawn
    table.update(ListKind.CHANGES, (server(1),), 12.0)
    assert table.update(ListKind.CHANGES, (server(1, ServerState.DRAINING),), 13.0).withdrawn == {1}
    assert table.status(1, 13.5).withdrawn_for == 0.5
    table.resume({1: 9.0, 2: 9.0})
    assert table.withdrawn_since == {1: 9.0}
