"""Calls of the platform front that are given up before their last byte is written never arrive later."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from congested_peer import CongestedPeer, let_arrive
from test_platform import FLEET, MESSAGES, Platform

LARGE_BODY = '{"stream":true,"messages":"' + "x" * 200_000 + '"}'


class Congestion(Platform):
    """A platform front whose workers can be held up."""

    def __init__(self) -> None:
        self.reader, self.writer = CongestedPeer(), CongestedPeer(small_buffers=True)
        super().__init__(FLEET, workers={"reader": self.reader, "writer": self.writer})
        self.play("discovery send watch\ndiscovery send empty\nwait 0.01")


@pytest.fixture
def scenario() -> Iterator[Congestion]:
    congestion = Congestion()
    yield congestion
    congestion.end()


def read_prompt(scenario: Congestion, patience_ms: int = 8000, **more: str) -> None:
    """A client's request of a class that may run once is read, and the attempt at the writer begins."""
    scenario.parties["client"].send(MESSAGES["ask"](lane="service-log", left=f"{patience_ms}m", **more))
    scenario.play("reader expect POST /v1/chat/completions\nreader send read\nwait 0.03")


def client_leaves(scenario: Congestion) -> None:
    scenario.play("client close\nwait 0.01")


def writer_drains(scenario: Congestion) -> None:
    scenario.play("discovery send list name=writer state=draining\nwait 0.01")


def time_runs_out(scenario: Congestion) -> None:
    scenario.play("wait 0.1\nclient expect HTTP/1.1 503")


@pytest.mark.parametrize("give_up", [client_leaves, writer_drains, time_runs_out])
def test_an_attempt_given_up_while_connecting_is_never_sent(
    scenario: Congestion, give_up: Callable[[Congestion], None]
) -> None:
    # Rule `duplicate`: an attempt that counts as never sent runs when its connection comes up.
    scenario.writer.hold_connections()
    read_prompt(scenario, 120 if give_up is time_runs_out else 8000)
    give_up(scenario)
    let_arrive(scenario, scenario.writer)
    assert "POST" not in scenario.writer.heard


@pytest.mark.parametrize("give_up", [client_leaves, time_runs_out])
def test_an_attempt_given_up_half_written_is_never_completed(
    scenario: Congestion, give_up: Callable[[Congestion], None]
) -> None:
    # Rule `duplicate`: an attempt that counts as never sent runs when its worker reads on.
    scenario.writer.unread = True
    read_prompt(scenario, 120, body=LARGE_BODY)
    give_up(scenario)
    let_arrive(scenario, scenario.writer)
    assert "POST" in scenario.writer.heard and '"}' not in scenario.writer.heard


def test_a_release_given_up_while_connecting_is_never_made(scenario: Congestion) -> None:
    # Made late, it lets go of what a later read of the same request has left, which is read again.
    scenario.play("client send ask\nreader expect POST /v1/chat/completions")
    scenario.reader.hold_connections()
    scenario.play("client close\nwriter expect DELETE /internal/reservations/\nwriter send status status=204")
    scenario.until(lambda: not scenario.front.releases.busy, "the end of the release")
    let_arrive(scenario, scenario.reader)
    assert "DELETE" not in scenario.reader.heard
