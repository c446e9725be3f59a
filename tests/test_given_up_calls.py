"""Calls of the tool-calls front that are given up before their last byte is written never arrive later."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from congested_peer import LARGE_PROMPT, MARGIN_S, CongestedPeer, let_arrive, watch
from scenario import FakePeer
from toolcalls_scenario import MESSAGES, STREAM_STARTED, ToolCalls, message

from yewhook.channel import READ_SIZE_BYTES
from yewhook.jsonrpc import MAX_MESSAGE_BYTES
from yewhook.toolcalls.peers import PeerPool

MAX_SEND_S = 5.0  # real time


class Congestion(ToolCalls):
    """A tool-calls front whose workers and tool server can be held up."""

    def __init__(self, folder: Path) -> None:
        self.reader = CongestedPeer()
        self.writer, self.tool = CongestedPeer(small_buffers=True), CongestedPeer(small_buffers=True)
        super().__init__(folder, reader=self.reader, writer=self.writer, tool=self.tool)


def send_too_much(scenario: Congestion, party: CongestedPeer) -> None:
    """Send a message that is too long, as far as the router takes it."""
    assert party.sock is not None
    unsent = b"x" * (MAX_MESSAGE_BYTES + 2 * READ_SIZE_BYTES)
    end = time.monotonic() + MAX_SEND_S
    while unsent and time.monotonic() < end:
        with contextlib.suppress(OSError):  # the buffer is full, or the router has closed the connection
            unsent = unsent[party.sock.send(unsent) :]
        scenario.turn(0.0, 0.001)


@pytest.fixture
def scenario(tmp_path: Path) -> Iterator[Congestion]:
    congestion = Congestion(tmp_path)
    yield congestion
    congestion.end()


def read_prompt(scenario: Congestion, patience_ms: str = "9000", **more: str) -> None:
    """A client's request is read, and the attempt at the writer begins."""
    scenario.parties["client"].send(MESSAGES["ask"](left=patience_ms, **more))
    scenario.play("reader expect chat/completions\nreader send read\nwait 0.03")


def client_cancels(scenario: Congestion) -> None:
    scenario.play("client send cancel id=1\nwait 0.01")


def client_leaves(scenario: Congestion) -> None:
    scenario.play("client close\nwait 0.01")


def record_is_withdrawn(scenario: Congestion) -> None:
    scenario.publish("reader", "tool")
    scenario.front.reload()()


def time_runs_out(scenario: Congestion) -> None:
    scenario.play('wait 0.1\nclient expect "id":1,"error":{"code":-32001')


@pytest.mark.parametrize("give_up", [client_cancels, client_leaves, record_is_withdrawn, time_runs_out])
def test_an_attempt_given_up_while_connecting_is_never_sent(
    scenario: Congestion, give_up: Callable[[Congestion], None]
) -> None:
    # Rule `duplicate`: it counted as never sent, but was sent once the connection came up, and ran twice.
    scenario.writer.hold_connections()
    read_prompt(scenario, "120" if give_up is time_runs_out else "9000")
    give_up(scenario)
    let_arrive(scenario, scenario.writer)
    assert "chat/completions" not in scenario.writer.heard


SERVED_BEFORE = """
    client send ask
    reader expect chat/completions
    reader send read
    writer expect chat/completions
    writer send event text=x
    writer send served
    client expect "id":1,"result"
"""


@pytest.mark.parametrize("earlier", ["", SERVED_BEFORE], ids=["new connection", "kept connection"])
def test_an_attempt_given_up_half_written_is_never_completed(scenario: Congestion, earlier: str) -> None:
    # Rule `duplicate`: a refusal promised that nothing runs, and the rest of the request was written then.
    scenario.play(earlier)
    scenario.writer.heard, scenario.writer.unread = "", True
    number = 2 if earlier else 1
    scenario.parties["client"].send(MESSAGES["ask"](id=str(number), left="120", messages=LARGE_PROMPT))
    scenario.play(f"reader expect chat/completions\nreader send read id={number}")
    scenario.play(f'wait 0.13\nclient expect "id":{number},"error":{{"code":-32001')
    let_arrive(scenario, scenario.writer)
    assert "chat/completions" in scenario.writer.heard and "\n" not in scenario.writer.heard
    assert scenario.writer.connections == 1


def test_a_release_given_up_while_connecting_is_never_made(scenario: Congestion) -> None:
    # Made a second late, it lets go of what a later read of the same request has left, which is read again.
    scenario.play("client send ask\nreader expect chat/completions")
    scenario.reader.hold_connections()
    scenario.play("client send cancel id=1\nwriter expect reservations/release")  # asked after the reader
    scenario.play("writer send ok")
    scenario.until(lambda: not scenario.front.releases.busy, "the end of the release")
    let_arrive(scenario, scenario.reader)
    assert "reservations/release" not in scenario.reader.heard


def tool_call_is_withdrawn(scenario: Congestion) -> None:
    scenario.play("writer send cancel id=7\nclient expect tool_result")


def tool_call_times_out(scenario: Congestion) -> None:
    scenario.play('wait 0.1\nwriter expect "id":7,"error":{"code":-32003')


def set_tool_deadline(scenario: Congestion, seconds: float) -> None:
    """Shorten the time for tool calls by a new configuration."""
    file = scenario.records.with_name("toolcalls.toml")
    file.write_text(file.read_text().replace("tool_deadline_s = 2", f"tool_deadline_s = {seconds}"))
    scenario.front.reload()()


GIVE_UP_TOOL_CALL = [tool_call_is_withdrawn, tool_call_times_out, client_leaves]


@pytest.mark.parametrize("give_up", GIVE_UP_TOOL_CALL)
def test_a_tool_call_given_up_while_connecting_is_never_made(
    scenario: Congestion, give_up: Callable[[Congestion], None]
) -> None:
    # A tool with side effects ran a second after its call had been withdrawn or answered as failed.
    set_tool_deadline(scenario, 0.1)
    scenario.tool.hold_connections()
    scenario.play(STREAM_STARTED + "writer send call\nclient expect notifications/tool_call")
    give_up(scenario)
    let_arrive(scenario, scenario.tool)
    assert "tools/call" not in scenario.tool.heard


@pytest.mark.parametrize("give_up", GIVE_UP_TOOL_CALL)
def test_a_tool_call_given_up_half_written_is_never_completed(
    scenario: Congestion, give_up: Callable[[Congestion], None]
) -> None:
    # The same on a connection that is up: a tool server that read on afterwards got the whole call.
    set_tool_deadline(scenario, 0.1)
    scenario.tool.unread = True
    scenario.play(STREAM_STARTED)
    scenario.writer.send(MESSAGES["call"](meta=LARGE_PROMPT))
    scenario.play("client expect notifications/tool_call")
    scenario.until(lambda: scenario.tool.connections == 1, "a connection to the tool server")
    scenario.turn()
    give_up(scenario)
    let_arrive(scenario, scenario.tool)
    assert "tools/call" in scenario.tool.heard and "\n" not in scenario.tool.heard


UNKNOWN_REQUESTS = 30
UNKNOWN_REQUEST_ID_BYTES = 4000  # each answer has its id


def test_a_written_attempt_may_have_run_whatever_is_unwritten_behind_it(scenario: Congestion) -> None:
    # Rule `duplicate`: it counted as unsent for answers that its worker did not read, and ran once more.
    scenario.parties["writer2"] = FakePeer()
    read_prompt(scenario)
    scenario.play("writer expect chat/completions")
    scenario.writer.unread = True
    for number in range(UNKNOWN_REQUESTS):
        name = f"{number}".zfill(UNKNOWN_REQUEST_ID_BYTES)
        scenario.writer.send(message(id=name, method="logging/setLevel"))
        scenario.turn()
    scenario.publish("reader", "writer2", "tool")
    scenario.front.reload()()
    scenario.play('writer reset\nclient expect "id":1,"error":{"code":-32002\nwait 0.1')
    assert "chat/completions" not in scenario.parties["writer2"].heard


def test_an_attempt_is_never_completed_after_its_worker_broke_the_protocol(scenario: Congestion) -> None:
    # Rule `duplicate`: a request ran at two workers, since the first got the rest after it was given up.
    scenario.parties["writer2"] = FakePeer()
    scenario.writer.unread = True
    read_prompt(scenario, messages=LARGE_PROMPT)
    scenario.publish("reader", "writer2", "tool")
    scenario.front.reload()()
    send_too_much(scenario, scenario.writer)
    scenario.play("writer2 expect chat/completions")
    let_arrive(scenario, scenario.writer)
    assert "chat/completions" in scenario.writer.heard and "\n" not in scenario.writer.heard


def test_a_tool_call_is_never_completed_after_its_server_broke_the_protocol(scenario: Congestion) -> None:
    # A tool ran at two servers, since the first was written the rest of the call after the next one had it.
    scenario.parties["tool2"] = FakePeer()
    scenario.publish("reader", "writer", "tool", "tool2")
    scenario.front.reload()()
    scenario.tool.unread = True
    scenario.play(STREAM_STARTED)
    scenario.writer.send(MESSAGES["call"](meta=LARGE_PROMPT))
    scenario.play("client expect notifications/tool_call")
    scenario.until(lambda: scenario.tool.connections == 1, "a connection to the tool server")
    send_too_much(scenario, scenario.tool)
    scenario.play("tool2 expect tools/call")
    let_arrive(scenario, scenario.tool)
    assert "tools/call" in scenario.tool.heard and "\n" not in scenario.tool.heard


def test_an_attempt_is_never_completed_after_its_worker_turned_it_away(scenario: Congestion) -> None:
    # Rule `duplicate`: a worker that answered before it had read the request got the rest of it, too.
    scenario.parties["writer2"] = FakePeer()
    scenario.writer.unread = True
    read_prompt(scenario, messages=LARGE_PROMPT)
    scenario.publish("reader", "writer2", "tool")
    scenario.front.reload()()
    scenario.play("writer send error id=1 code=-32010\nwriter2 expect chat/completions")
    let_arrive(scenario, scenario.writer)
    assert "chat/completions" in scenario.writer.heard and "\n" not in scenario.writer.heard


def test_a_connection_that_is_being_closed_is_not_used_again(scenario: Congestion) -> None:
    # The next call on it counted as written, though nothing was, and its worker never answered.
    pool = PeerPool(scenario.service.loop, lambda: True, 0.25, 30.0)
    first = pool.acquire(scenario.reader.address)
    first.ask("chat/completions", {}, lambda result, error: pool.give_back(first))
    scenario.play("reader expect chat/completions")
    send_too_much(scenario, scenario.reader)
    watch(scenario, MARGIN_S)
    second = pool.acquire(scenario.reader.address)
    second.ask("reservations/release", {}, lambda result, error: None)
    scenario.play("reader expect reservations/release")


def test_an_attempt_tells_the_time_that_is_left_when_its_connection_comes_up(scenario: Congestion) -> None:
    # The rule on the time that is told: a worker was told the time that had been left when it was chosen.
    scenario.writer.hold_connections()
    read_prompt(scenario, "1000")
    scenario.wait(0.15)
    let_arrive(scenario, scenario.writer)
    left_ms = 1000.0 * (scenario.front.router.requests.popitem()[1].deadline - scenario.clock.now)
    told_ms = int(scenario.writer.heard.partition('"remainingMs":')[2].partition("}")[0])
    assert told_ms == pytest.approx(left_ms, abs=2.0)
