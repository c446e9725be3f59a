"""The tool-calls front against fake clients, workers and tool servers."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path

import pytest
from scenario import FakePeer
from toolcalls_scenario import MESSAGES, STREAM_STARTED, TOOL_CALLED, ToolCalls

from yewhook.jsonrpc import PARTIAL_TIMEOUT_S, PAUSED_TIMEOUT_S, SLOW_PEER_BYTES
from yewhook.memory_budget import CONNECTION_BYTES
from yewhook.operations.instance import Event


@pytest.fixture
def scenario(tmp_path: Path) -> Iterator[ToolCalls]:
    toolcalls = ToolCalls(tmp_path)
    yield toolcalls
    toolcalls.end()


def ran_once(scenario: ToolCalls) -> bool:
    """Whether the writer got exactly one attempt, and the router has no request open."""
    return (
        scenario.parties["writer"].heard.count("chat/completions") == 1 and not scenario.front.router.requests
    )


def test_a_tool_call_is_relayed_within_the_stream_in_order(scenario: ToolCalls) -> None:
    scenario.play(
        TOOL_CALLED
        + """
        tool send found
        client expect "method":"notifications/tool_result"
        writer expect {"jsonrpc":"2.0","id":7,"result":{"content":[{"text":"replaced"}]}}
        writer send event text=after
        writer send served
        client expect "event":"after"
        client expect {"jsonrpc":"2.0","id":1,"result":{"status":"served"}}
    """
    )
    assert not scenario.front.router.requests
    # A second request reuses the connections: nothing of the first exchange is left on them.
    scenario.play("client send ask id=2\nreader expect chat\nreader send read id=2\nwriter expect chat")
    scenario.play('writer send event text=x\nwriter send served id=2\nclient expect "id":2,"result"')
    assert [scenario.parties[n].connections for n in ("reader", "writer", "tool")] == [1, 1, 1]


@pytest.mark.parametrize(
    ("failure", "code"),
    [
        ("wait 2.1", -32003),  # the tool does not answer
        ("tool send error id=1 code=-32603", -32005),
        ("tool reset", -32004),
        ("tool close", -32004),
    ],
)
def test_a_failed_tool_call_is_reported_and_the_stream_continues(
    scenario: ToolCalls, failure: str, code: int
) -> None:
    scenario.play(
        TOOL_CALLED
        + f"""
        {failure}
        writer expect "id":7,"error":{{"code":{code}
        client expect "method":"notifications/tool_result"
        writer send event text=sorry
        writer send served
        client expect "event":"sorry"
        client expect "id":1,"result"
    """
    )
    assert scenario.parties["writer"].connections == scenario.parties["tool"].connections == 1


@pytest.mark.parametrize("code", [-32003, -32004, -32005])
def test_a_worker_that_fails_over_a_tool_gives_one_answer_with_its_code(
    scenario: ToolCalls, code: int
) -> None:
    scenario.play(TOOL_CALLED + f"tool reset\nwriter expect error\nwriter send error id=1 code={code}")
    scenario.play(f'client expect "id":1,"error":{{"code":{code}\nwait 1')
    # The class service-log is unsafe: the request must not run again, though its stream failed.
    assert ran_once(scenario)
    assert '"id":1' not in scenario.parties["client"].text


def test_an_unknown_tool_is_reported_at_once(scenario: ToolCalls) -> None:
    scenario.play(STREAM_STARTED + 'writer send call tool=magic\nwriter expect "id":7,"error":{"code":-32004')
    assert scenario.parties["tool"].connections == 0


def test_an_unreachable_tool_server_is_skipped(scenario: ToolCalls) -> None:
    scenario.parties["tool2"] = FakePeer()
    scenario.publish("reader", "writer", "tool", "tool2")
    scenario.play(
        "tool close listening\nwait 0.6\n" + STREAM_STARTED + "writer send call\ntool2 expect tools/call"
    )
    scenario.play("tool2 send found\nwriter expect replaced")


def test_a_tool_call_that_may_have_run_is_not_retried(scenario: ToolCalls) -> None:
    scenario.parties["tool2"] = FakePeer()
    scenario.publish("reader", "writer", "tool", "tool2")
    scenario.play("wait 0.6\n" + TOOL_CALLED + 'tool reset\nwriter expect "code":-32004')
    assert scenario.parties["tool2"].connections == 0


def test_late_and_duplicate_tool_responses_are_ignored(scenario: ToolCalls) -> None:
    scenario.play(
        TOOL_CALLED
        + """
        wait 2.1
        tool expect "method":"notifications/cancelled"
        tool send found text=late
        writer expect "code":-32003
        writer send call id=8
        tool expect tools/call
        tool send found text=once
        tool send found text=twice
        writer expect once
        writer send event text=end
        writer send served
        client expect "event":"end"
        client expect "id":1,"result"
        wait 0.1
    """
    )
    told = scenario.parties["writer"].text + scenario.parties["client"].text
    assert "late" not in told and "twice" not in told


def test_a_client_that_disconnects_cancels_its_call_at_worker_and_tool(scenario: ToolCalls) -> None:
    scenario.play(
        TOOL_CALLED
        + """
        client close
        tool expect "method":"notifications/cancelled","params":{"requestId":1
        tool expect closed
        writer expect "method":"notifications/cancelled","params":{"requestId":1
        writer expect closed
        wait 1
    """
    )
    assert not scenario.front.router.requests and scenario.parties["writer"].connections == 1


def test_a_cancelled_request_gets_no_answer_and_the_connection_stays_open(scenario: ToolCalls) -> None:
    scenario.play(
        TOOL_CALLED + "client send cancel id=1\nwriter expect cancelled\ntool expect cancelled\nwait 0.1"
    )
    assert '"id":1' not in scenario.parties["client"].text
    scenario.play('client send method name=ping\nclient expect "id":5,"result":{}')


def test_a_call_cancelled_by_its_worker_is_cancelled_at_the_tool(scenario: ToolCalls) -> None:
    scenario.play(TOOL_CALLED + "writer send cancel id=7\ntool expect cancelled\nclient expect tool_result")
    scenario.play('writer send event text=x\nwriter send served\nclient expect "id":1,"result"')


@pytest.mark.parametrize("how", ["reset", "close"])
def test_a_worker_lost_during_a_call_ends_the_stream_once(scenario: ToolCalls, how: str) -> None:
    scenario.play(TOOL_CALLED + f'writer {how}\nclient expect "id":1,"error":{{"code":-32006')
    scenario.play("tool expect cancelled\nwait 1")
    assert ran_once(scenario) and '"id":1' not in scenario.parties["client"].text


def test_the_stream_of_a_silent_worker_is_aborted(scenario: ToolCalls) -> None:
    scenario.play(
        STREAM_STARTED + 'wait 5.2\nclient expect "id":1,"error":{"code":-32006\nwriter expect cancelled'
    )


def test_a_refused_request_gets_retry_after(scenario: ToolCalls) -> None:
    scenario.play("reader close listening\nclient send ask")
    scenario.play('client expect "id":1,"error":{"code":-32001\nclient expect "retry_after":0.')


def test_an_unsafe_request_fails_when_its_writer_is_lost_before_the_stream(scenario: ToolCalls) -> None:
    scenario.play("client send ask\nreader expect chat\nreader send read\nwriter expect chat\nwriter reset")
    scenario.play('client expect "id":1,"error":{"code":-32002\nwait 1')
    assert ran_once(scenario)


def test_a_request_without_a_stream_ends_at_its_deadline(scenario: ToolCalls) -> None:
    scenario.play(
        "client send ask left=800\nreader expect chat\nreader send read\nwriter expect chat\nwait 0.8"
    )
    scenario.play('client expect "id":1,"error"\nwriter expect cancelled')


def test_a_client_that_leaves_during_the_read_releases_the_state(scenario: ToolCalls) -> None:
    scenario.play("client send ask\nreader expect chat\nclient close\nreader expect cancelled")
    scenario.play('writer expect "method":"reservations/release"\nwriter send ok')
    scenario.until(lambda: not scenario.front.busy, "all state released")


def test_a_tool_call_of_a_reader_is_rejected(scenario: ToolCalls) -> None:
    scenario.play("client send ask\nreader expect chat\nreader send call")
    scenario.play('reader expect "id":7,"error":{"code":-32600')
    assert scenario.parties["tool"].connections == 0


@pytest.mark.parametrize(
    ("malformed", "code"),
    [
        ("raw text={", -32700),
        ("raw text=[]", -32600),
        ('raw text={"jsonrpc":"2.0","method":3,"id":1}', -32600),
        ("method name=nothing", -32601),
        ("ask lane=unknown", -32602),
        ("ask session=", -32602),
        ('raw text={"jsonrpc":"2.0","method":"ping","params":[],"id":1}', -32602),
        ("raw text=" + "x" * 600_000, -32600),
    ],
)
def test_malformed_messages_get_standard_json_rpc_errors(
    scenario: ToolCalls, malformed: str, code: int
) -> None:
    scenario.play(f'client send {malformed}\nclient expect "error":{{"code":{code}')
    scenario.play("client2 send method name=ping\nclient2 expect result")


def test_reusing_an_open_id_does_not_end_the_open_request(scenario: ToolCalls) -> None:
    scenario.play(STREAM_STARTED + 'client send ask\nclient expect "id":null,"error":{"code":-32600')
    scenario.play('writer send event text=x\nwriter send served\nclient expect "id":1,"result"')


def test_open_requests_finish_during_a_drain(scenario: ToolCalls) -> None:
    scenario.play(TOOL_CALLED)
    scenario.sigterm()
    scenario.play(
        "wait 0.6\ntool send found\nwriter expect replaced\nwriter send event text=x\nwriter send served"
    )
    scenario.play('client expect "id":1,"result"\nclient expect closed')
    scenario.until(lambda: scenario.service.loop.stopped, "the end")


def test_a_reload_switches_to_other_records(scenario: ToolCalls) -> None:
    scenario.records = scenario.records.with_name("other.zone")
    scenario.publish("writer", "tool")
    file = scenario.records.with_name("toolcalls.toml")
    file.write_text(file.read_text().replace("fleet.zone", "other.zone"))
    scenario.service.reload()
    scenario.play('client send ask\nclient expect "code":-32001')
    file.write_text(file.read_text().replace("other.zone", "none.zone"))
    scenario.service.reload()
    assert any("reload refused" in line for line in scenario.log.lines)


def test_a_worker_removed_from_the_records_gets_no_new_requests(scenario: ToolCalls) -> None:
    scenario.publish("writer", "tool")
    scenario.play('wait 0.6\nclient send ask\nclient expect "code":-32001')


def test_an_incomplete_message_times_out(scenario: ToolCalls) -> None:
    # Without a time limit, a client that sends part of a message would hold its connection forever.
    scenario.parties["client"].send(b'{"jsonrpc":')
    scenario.play('wait 2.3\nclient expect "error":{"code":-32600\nclient expect closed')


def test_the_connection_of_a_peer_that_does_not_read_is_closed(scenario: ToolCalls) -> None:
    client = scenario.parties["client"]
    client.poll = lambda: None  # type: ignore[method-assign]
    client.send(MESSAGES["method"](name="x" * 100_000))
    scenario.turn()
    peer = next(iter(scenario.front.clients.connections)).peer
    for n in range(200):
        peer.notify("x" * 100_000, {"n": n})
    assert peer.channel.closed and peer.channel.unsent == 0 and not scenario.front.clients.connections


# Guards against streams that are cut off while their server still writes them, slowly.
def test_a_message_that_a_worker_writes_slowly_is_forwarded(scenario: ToolCalls) -> None:
    scenario.play(STREAM_STARTED)
    data = MESSAGES["event"](text="slowly")
    for number in range(len(data)):
        scenario.parties["writer"].send(data[number : number + 1])
        scenario.wait(4.0 / len(data))
    scenario.play("client expect slowly")


@pytest.mark.parametrize(
    "message",
    [
        b'{"jsonrpc":"2.0","id":"%s","method":"ping"}\n' % (b"x" * 300),
        b'{"jsonrpc":"2.0","id":1,"method":"ping","params":{"all":[' + b"[]," * 20_000 + b"[]]}}\n",
    ],
    ids=["a long id", "many elements"],
)
def test_a_message_that_costs_much_is_refused_and_the_connection_goes_on(
    scenario: ToolCalls, message: bytes
) -> None:
    scenario.parties["client"].send(message)
    scenario.play('client expect "code":-32600')
    scenario.parties["client"].send(b'{"jsonrpc":"2.0","id":2,"method":"ping"}\n')
    scenario.play('client expect {"jsonrpc":"2.0","id":2,"result":{}}')


def test_open_requests_and_unfinished_messages_are_charged_and_given_back(scenario: ToolCalls) -> None:
    memory = scenario.service.loop.memory
    scenario.play("client send ask\nreader expect chat")
    scenario.parties["client"].send(b"x" * 100_000)
    scenario.wait(0.05)
    assert memory.charged - CONNECTION_BYTES * scenario.service.loop.sockets > 150_000
    scenario.play("client close\nwait 0.2")
    assert memory.charged == CONNECTION_BYTES * scenario.service.loop.sockets


# Guards against unsent answers that grow with each request of a client that reads none of them.
def test_a_client_that_reads_no_answers_is_not_read_either(scenario: ToolCalls) -> None:
    client = scenario.parties["client"]
    client.unread = True
    client.send(b"")
    assert client.sock is not None
    client.sock.setblocking(False)
    ping, sent = b'{"jsonrpc":"2.0","id":1,"method":"ping"}\n' * 100, 0
    for _ in range(3000):
        with contextlib.suppress(BlockingIOError):
            sent += client.sock.send(ping)
        scenario.turn(0.0, 0.0)
    (connection,) = scenario.front.clients.connections
    assert sent > 1_000_000 and connection.peer.channel.paused
    assert connection.peer.channel.unsent < 2 * SLOW_PEER_BYTES


# Guards against memory that thousands of small open requests take together.
def test_further_small_requests_of_a_connection_are_refused_where_memory_is_short(
    scenario: ToolCalls,
) -> None:
    memory = scenario.service.loop.memory
    scenario.play("client send ask\nreader expect chat")
    memory.limit = memory.charged
    scenario.play('client send ask id=2\nclient expect "id":2,"error":{"code":-32001')
    scenario.play('other send ask id=3\nother expect "id":3')
    assert "no memory" in scenario.parties["client"].heard
    assert "no memory" not in scenario.parties["other"].heard


WORKER_SILENCE_S = 5.0  # of the scenario's configuration
HALF_MESSAGE = b'{"jsonrpc":"2.0","id":2,"method":"chat/comp'
STREAM_FINISHED = (
    'writer send event text=after\nwriter send served\nclient expect after\nclient expect "id":1,"result"'
)


# Guards against running requests that end without an answer since memory is short for another message.
def test_a_message_that_is_shed_leaves_the_running_requests_of_its_connection(scenario: ToolCalls) -> None:
    scenario.play(STREAM_STARTED)
    scenario.parties["client"].send(HALF_MESSAGE + b" " * 100_000)
    scenario.wait(0.05)
    memory = scenario.service.loop.memory
    memory.limit = memory.charged - 50_000
    scenario.service.loop.relieve_memory()
    scenario.play(
        'client expect "id":null,"error":{"code":-32600\n' + STREAM_FINISHED + "\nclient expect closed"
    )
    assert memory.shed_count == 1 and memory.charged <= memory.limit


# Guards against requests that are read after a bad message and never answered, and cancellations unheard.
@pytest.mark.parametrize("rest", [b'letions"}\n', b"\n"])
def test_requests_after_a_message_that_came_too_late_are_refused_and_cancellations_heard(
    scenario: ToolCalls, rest: bytes
) -> None:
    client = scenario.parties["client"]
    scenario.play(STREAM_STARTED)
    client.send(HALF_MESSAGE)
    scenario.play('wait 2.3\nclient expect "id":null,"error"')
    client.send(rest + MESSAGES["ask"](id="4"))
    scenario.play(
        'client expect "id":4,"error":{"code":-32001\nwriter send event text=more\nclient expect more'
    )
    scenario.play("client send cancel id=1\nwriter expect notifications/cancelled\nclient expect closed")
    assert client.heard.count('"id":null') == 1


# Guards against a worker's stream cut off since this end has stopped to read it for a slow client.
def test_a_message_whose_reading_is_paused_is_not_late(scenario: ToolCalls) -> None:
    scenario.play(STREAM_STARTED)
    event = MESSAGES["event"](text="slowly")
    scenario.parties["writer"].send(event[:40])
    scenario.wait(0.1)
    (attempt,) = scenario.front._workers._pending.values()
    attempt.pause(True)
    scenario.parties["writer"].send(event[40:])
    scenario.wait(WORKER_SILENCE_S + 1.0)
    attempt.pause(False)
    scenario.play("client expect slowly\n" + STREAM_FINISHED)


# Guards against half a message that is kept for ever since its client reads nothing either.
def test_half_a_message_of_a_client_that_reads_nothing_is_refused(scenario: ToolCalls) -> None:
    client = scenario.parties["client"]
    client.unread = True
    client.send(HALF_MESSAGE)
    scenario.wait(0.05)
    (connection,) = scenario.front.clients.connections
    connection.peer.channel.pause(True)
    scenario.wait(PAUSED_TIMEOUT_S - 2.0)
    assert connection.peer.channel.is_open
    scenario.wait(2.0 + PARTIAL_TIMEOUT_S + 0.1)
    assert not connection.peer.channel.is_open and not scenario.front.clients.connections


# Guards against requests that are read while the last one of a connection ends, and are never answered.
def test_a_request_that_arrives_as_the_last_one_ends_in_a_drain_is_answered(scenario: ToolCalls) -> None:
    scenario.play(STREAM_STARTED)
    whole = MESSAGES["ask"](id="2")
    scenario.parties["client"].send(whole[:40])
    scenario.wait(0.05)
    scenario.service.handle_event(Event.DRAIN)
    scenario.wait(0.6)
    scenario.play(STREAM_FINISHED)
    scenario.parties["client"].send(whole[40:])
    scenario.play('reader expect chat\nreader send error id=2 code=-32602\nclient expect "id":2,"error"')
    scenario.play("client expect closed")
