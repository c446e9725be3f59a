"""What clients, operators, workers and tool servers send without end: every wait for it ends in time.

The bytes keep coming, some with each third of a second, on real sockets and virtual time.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from scenario import FakePeer, Play
from test_operations import PlatformWithManagement
from test_platform import FLEET, Platform, ask, begin, chunk
from toolcalls_scenario import TOOL_CALLED, ToolCalls

from yewhook.operations.management_endpoint import REQUEST_TIMEOUT_S as MANAGEMENT_TIMEOUT_S
from yewhook.platform.clients import REQUEST_TIMEOUT_S

INTERVAL_S = 0.3  # between two writes
TURN_S = 0.05  # of the clock
SLACK_S = 0.2
TOOL_DEADLINE_S = 2.0  # of the scenario's configuration
MAX_RELEASE_CALL_S = 1.0
PATIENCE_S = 4.0
ANSWER_SLACK_S = 0.5  # after which an answer is lost
LARGE_BODY_BYTES = 200_000
RECEIVE_BUFFER_BYTES = 4096  # so that the request does not fit into the kernel's buffers
CHAT_HEAD = ask().partition(b"\r\n\r\n")[0]
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKED_CHAT = CHAT_HEAD.replace(b"Content-Length: 15", CHUNKED.removesuffix(b"\r\n\r\n")) + b"\r\n\r\n"
DRAIN = b"POST /-/drain HTTP/1.1\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


def ended_after(play: Play, party: FakePeer, data: bytes, ended: Callable[[], bool], most_s: float) -> float:
    """Repeat bytes until something has ended; returns after how many seconds, `most_s` at the most."""
    began = written_at = play.clock.now
    while not ended() and play.clock.now - began < most_s:
        if play.clock.now - written_at >= INTERVAL_S:
            written_at = play.clock.now
            with contextlib.suppress(OSError):
                party.send(data)
        play.turn(TURN_S)
    return play.clock.now - began


@pytest.mark.parametrize(
    ("opening", "repeated", "answer"),
    [
        (b"POST /v1/chat/completions HTTP/1.1\r\nX: ", b"y", "408"),
        (CHAT_HEAD.replace(b"Content-Length: 15", b"Content-Length: 9000") + b"\r\n\r\n", b" ", "408"),
        (CHUNKED_CHAT, b"1\r\nx\r\n", "408"),
        (CHUNKED_CHAT + b"0", b"0", "408"),
        (CHUNKED_CHAT + b"2\r\n{}\r\n0\r\n", b"X: 1\r\n", "408"),
        (b"\r\n", b"\r\n", ""),
    ],
    ids=["head", "body", "chunks", "size line", "trailers", "blank lines"],
)
def test_a_request_that_never_ends_is_answered_or_closed_in_time(
    p: Platform, opening: bytes, repeated: bytes, answer: str
) -> None:
    client = p.parties["client"]
    client.send(opening)
    ended = ended_after(p, client, repeated, lambda: client.ended or "HTTP/1.1 4" in client.text, 8.0)
    assert ended < REQUEST_TIMEOUT_S + SLACK_S and answer in client.text


@pytest.mark.parametrize(
    ("opening", "repeated"),
    [
        (DRAIN + b"X: ", b"y"),
        (DRAIN + CHUNKED, b"1\r\nx\r\n"),
        (DRAIN + CHUNKED + b"0\r\n", b"X: 1\r\n"),
        (b"\r\n", b"\r\n"),
    ],
    ids=["head", "chunks", "trailers", "blank lines"],
)
def test_a_management_request_that_never_ends_is_answered_in_time(opening: bytes, repeated: bytes) -> None:
    platform = PlatformWithManagement()
    operator = platform.parties["operator"] = FakePeer(("127.0.0.1", platform.endpoint.port))
    operator.send(opening)
    ended = ended_after(platform, operator, repeated, lambda: "HTTP/1.1 408" in operator.text, 9.0)
    assert ended < MANAGEMENT_TIMEOUT_S + SLACK_S
    platform.end()


@pytest.mark.parametrize(
    ("opening", "repeated"),
    [
        (OK + CHUNKED, chunk("x")),
        (OK + b"Content-Length: 100000\r\n\r\n", b"x"),
        (OK + b"X: ", b"y"),
    ],
    ids=["chunks", "body", "head"],
)
def test_an_answer_to_a_release_that_never_ends_is_given_up_for_another_call(
    p: Platform, opening: bytes, repeated: bytes
) -> None:
    p.play(begin() + "client close\n")
    reader = p.parties["reader"]
    p.until(lambda: "DELETE" in reader.heard, "the release")
    reader.send(opening)
    given_up = "worker answer unfinished: r1 release"
    ended = ended_after(
        p, reader, repeated, lambda: any(line.startswith(given_up) for line in p.log.lines), 5.0
    )
    assert ended < MAX_RELEASE_CALL_S


@pytest.mark.parametrize(
    ("opening", "repeated"),
    [
        (b'{"jsonrpc":"2.0","id":1,"result":{"a":"', b"x"),
        (b"\n", b"\n"),
        (b"\n", b'{"jsonrpc":"2.0","id":999,"result":1}\n'),
    ],
    ids=["message", "blank lines", "other replies"],
)
def test_a_tool_server_whose_answer_never_ends_fails_the_call_in_time(
    tmp_path: Path, opening: bytes, repeated: bytes
) -> None:
    scenario = ToolCalls(tmp_path).play(TOOL_CALLED)
    tool, writer = scenario.parties["tool"], scenario.parties["writer"]
    tool.send(opening)
    ended = ended_after(scenario, tool, repeated, lambda: '"code":-3200' in writer.text, 6.0)
    assert ended < TOOL_DEADLINE_S + SLACK_S
    scenario.end()


# Guards against a final answer seconds after the client's time, where a server does not read the request.
@pytest.mark.parametrize("name", ["reader", "writer"])
@pytest.mark.parametrize("bytes_per_s", [0, 20_000])
@pytest.mark.parametrize("lane", ["fault-lookup", "service-log"])
def test_a_large_request_that_a_server_reads_slowly_is_answered_in_its_time(
    name: str, bytes_per_s: int, lane: str
) -> None:
    slow = FakePeer()
    assert slow.listener is not None
    slow.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    slow.unread = True  # it is read below
    p = Platform(FLEET, workers={name: slow})
    client, reader = p.parties["client"], p.parties["reader"]
    body = f'{{"x":"{"y" * LARGE_BODY_BYTES}"}}'
    client.send(ask(lane=lane, left=f"{PATIENCE_S * 1000:.0f}m", body=body))
    began, has_read = p.clock.now, name == "reader"
    while "HTTP/1.1" not in client.text and p.clock.now - began < PATIENCE_S + 2 * ANSWER_SLACK_S:
        p.turn(TURN_S)
        if not has_read and reader.text.endswith('"}'):
            p.play("reader send read")
            has_read = True
        if slow.sock is not None and bytes_per_s:
            with contextlib.suppress(OSError):
                slow.sock.recv(round(bytes_per_s * TURN_S))
    assert "HTTP/1.1 5" in client.text and p.clock.now - began < PATIENCE_S + ANSWER_SLACK_S
    p.end()
