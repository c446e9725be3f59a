"""Tests of worker responses with unexpected bytes before, within or after them."""

from __future__ import annotations

import socket

import pytest
from scenario import Clock, RecordingLog
from test_platform import Platform, answer, begin, chunk

from hopshed.interface import Load
from yewhook import load_reports
from yewhook.core.ending import Ending
from yewhook.loop import Loop
from yewhook.platform.workers import WorkerConnection, WorkerPool


def receive(*parts: bytes) -> tuple[list[int], list[str], bool]:
    """Returns what an exchange receives of a response that arrives in these reads.

    That is its statuses, its body parts with its end, and whether its connection is kept.
    """
    loop = Loop(RecordingLog(), Clock())
    pool = WorkerPool(loop, lambda: True, 0.25, 30.0)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        connection = WorkerConnection(pool, listener.getsockname())
        connection.connected()
        received_parts: tuple[list[int], list[str]] = ([], [])

        class RecordingExchange:
            unfinished, event_count, buffered_bytes, label = False, 0, 0, "r1 attempt 0"

            def head_received(self, status: int, headers: dict[str, str]) -> None:
                received_parts[0].append(status)

            def body_received(self, data: bytes) -> None:
                received_parts[1].append(data.decode())

            def completed(self) -> None:
                received_parts[1].append("whole")

            def failed(self, ending: Ending) -> None:
                received_parts[1].append(ending.name)

        connection.request(RecordingExchange(), lambda: b"")
        for part in parts:
            connection.received(part)
        kept = bool(pool._idle)
        connection.close()
    return *received_parts, kept


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST = b"0\r\n\r\n"


@pytest.mark.parametrize(
    ("parts", "statuses", "body_parts", "kept"),
    [
        # An informational response ended the exchange as an error, though the final response followed it.
        ([b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + LAST], [200], ["whole"], True),
        ([b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", HEAD, LAST], [200], ["whole"], True),
        ([b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + HEAD], [], ["GARBLED"], False),
        # The status of a second response in the same read replaced that of the first.
        ([HEAD + LAST + answer("404")], [200], ["whole"], False),
        ([HEAD + LAST + b"noise"], [200], ["whole"], False),
        ([answer("503", turned="1") + HEAD + chunk("x") + LAST], [503], ["whole"], False),
        ([b"\x00\x01\x02"], [], ["GARBLED"], False),
        ([b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000, b"y" * 20_000], [], ["GARBLED"], False),
        ([HEAD + chunk("x") + b"zz\r\n"], [200], ["x", "GARBLED"], False),
        ([HEAD + b"3\r\nabcdef\r\n"], [200], ["abc", "GARBLED"], False),
        ([HEAD + b"FFFFFFFFFFFFFFFFF\r\n"], [200], ["GARBLED"], False),
        ([HEAD + b"0\r\nX-Turned-Away: 1\r\n\r\n"], [200], ["whole"], True),
    ],
)
def test_bytes_outside_a_response_are_not_taken_for_it(
    parts: list[bytes], statuses: list[int], body_parts: list[str], kept: bool
) -> None:
    assert receive(*parts) == (statuses, body_parts, kept)


@pytest.mark.parametrize("how", ["chunk_size text=c0000000", "chunk_size text=zz"])
def test_a_malformed_stream_is_broken_off_and_its_connection_is_not_kept(p: Platform, how: str) -> None:
    # A chunk with a stated size of 3 GB was read until half a megabyte had arrived.
    p.play(begin() + f"writer send stream\nwriter send event text=a\nclient expect a\nwriter send {how}")
    p.play("wait 1.1\nclient expect closed\nwriter expect closed")
    assert "0\r\n\r\n" not in p.parties["client"].text


def test_an_oversized_chunk_is_cut_off(p: Platform) -> None:
    p.play(begin() + "writer send stream\nwriter send event text=a\nclient expect a")
    p.play("writer send chunk_size text=c0000000")
    p.parties["writer"].send(b"x" * 200_000)
    p.play("wait 0.2\nclient expect closed\nwriter expect closed")


def test_a_request_with_a_malformed_response_may_have_run(p: Platform) -> None:
    p.play(begin("lane=service-log") + "writer send raw text=noise\nclient expect HTTP/1.1 502\nwait 1")
    assert p.parties["writer"].heard.count("POST /v1/chat") == 1


def test_a_head_that_is_not_completed_times_out(p: Platform) -> None:
    p.play(begin("lane=service-log"))
    p.parties["writer"].send(b"HTTP/1.1 200 OK\r\nX: y")
    p.play("wait 1.1\nclient expect HTTP/1.1 502")


def test_a_second_response_is_not_taken_for_that_to_the_next_request(p: Platform) -> None:
    # It arrived just after the connection had been kept, and was taken for the response to the next request.
    p.play(begin("id=r1") + "writer send stream\nwriter send event text=a\nwriter send last\nclient expect a")
    p.play("client expect 0\nclient send ask id=r2\nreader expect POST\nreader send read")
    p.parties["writer"].send(HEAD + chunk('data: "stolen"\n\n') + LAST)
    p.play("wait 0.05\nwriter expect X-Txn: r2\nwriter send stream\nwriter send event text=b")
    p.play("client expect b")
    assert "stolen" not in p.parties["client"].heard and p.parties["writer"].connections == 2


@pytest.mark.parametrize(
    "text",
    ["[" * 100_000, "{}", "[1]", '{"latency_ms":"9","x0":1,"x1":1}', '{"latency_ms":9,"x0":NaN,"x1":1}',
     '{"latency_ms":9,"x0":1e999,"x1":1}', '{"latency_ms":9,"x0":-1,"x1":1}', "9" * 5000, '{"x0":true}',
     '{"latency_ms":%s,"x0":1,"x1":1}' % ("9" * 400)],
)  # fmt: skip
def test_a_malformed_load_report_is_ignored(text: str) -> None:
    # Deep nesting and infinities raised exceptions, or distorted every average that they entered.
    assert load_reports.parse_load(load_reports.parse_json(text), ("avg_ms", "x0", "x1")) is None
    assert load_reports.token_count(load_reports.parse_json(text)) == 0


def test_a_load_report_may_use_either_field_name() -> None:
    load = load_reports.parse_load(
        load_reports.parse_json('{"latency_ms":500,"x0":0.5}'), ("avg_ms", "x0", "x1")
    )
    assert load == Load(service_time=0.5, memory_share=0.5)


def test_a_silent_stream_is_broken_off_and_counts_against_its_worker(p: Platform) -> None:
    # A hung machine kept its clients waiting, and the routing module was not informed.
    p.play(begin() + "writer send stream\nwriter send event text=a\nclient expect a\nwait 2\n")
    p.play("writer send event text=b\nclient expect b\nwait 2")
    assert not p.parties["client"].ended
    p.play("wait 0.7\nclient expect closed\nwriter expect closed")
    assert "0\r\n\r\n" not in p.parties["client"].text
    assert max(w.errors for w in p.front.router._module.workers.values()) > 0


SLOW_EVENT = chunk('data: "slowly written"\n\n')


def write_slowly(p: Platform, data: bytes, seconds: float) -> None:
    """The writer sends bytes one by one, evenly over a time."""
    for number in range(len(data)):
        p.parties["writer"].send(data[number : number + 1])
        p.wait(seconds / len(data))


# Guards against streams that are cut off while their server still writes them, slowly.
def test_an_event_that_is_written_slowly_is_forwarded(p: Platform) -> None:
    p.play(begin() + "writer send stream\nwriter send event text=one\nclient expect one\n")
    for _ in range(2):
        write_slowly(p, SLOW_EVENT, 4.0)
        p.play("client expect slowly written")
    p.play("writer send last\nclient expect 0")


def test_a_stream_whose_event_does_not_end_is_broken_off_before_its_client_waits_5_s(p: Platform) -> None:
    p.play(begin() + "writer send stream\nwriter send event text=one\nclient expect one\n")
    write_slowly(p, b"fff\r\n" + b"x" * 40, 4.3)
    assert not p.parties["client"].ended
    p.play("wait 0.6")
    assert p.parties["client"].ended


@pytest.mark.parametrize("size", [b"40001", b"0000040001", b"40001;a=b", b"7fffffffffffffff"])
@pytest.mark.parametrize("cut", [1, 3, 100_000])
def test_a_chunk_that_states_more_than_a_body_may_have_is_refused_where_it_is_stated(
    size: bytes, cut: int
) -> None:
    data = HEAD + chunk("x") + size
    parts = [data[begin : begin + cut] for begin in range(0, len(data), cut)]
    assert receive(*parts) == ([200], ["x", "GARBLED"], False)


def test_the_line_of_a_size_may_not_be_endless() -> None:
    assert receive(HEAD, *[b"0" * 100] * 11) == ([200], ["GARBLED"], False)
    assert receive(HEAD, b"1;", *[b"a" * 100] * 11) == ([200], ["GARBLED"], False)


def test_chunks_of_the_largest_body_and_trailers_are_read_whole() -> None:
    data = "x" * 256 * 1024
    parts = receive(HEAD + b"40000\r\n" + data.encode() + b"\r\n", b"0;a=b\r\nX-T: 1\r\n", b"\r\n")
    assert parts == ([200], [data, "whole"], True)


def test_a_body_by_length_is_refused_where_too_much_is_stated() -> None:
    assert receive(b"HTTP/1.1 200 OK\r\nContent-Length: 262145\r\n\r\n") == ([], ["GARBLED"], False)
    assert receive(b"HTTP/1.1 202 OK\r\nContent-Length: 2\r\n\r\n{", b"}") == (
        [202],
        ["{", "}", "whole"],
        True,
    )


# Guards against a client's time that is stopped by what is no event, so that it is never answered.
@pytest.mark.parametrize(
    "part", ["\n\n", ": comment\n\n", "data:\n\n", "data: null\n\n", "event: a\nid: 1\n\n"]
)
def test_what_has_no_content_does_not_begin_a_response(p: Platform, part: str) -> None:
    p.play(begin("left=2000m") + "writer send stream\n")
    for _ in range(6):
        p.parties["writer"].send(chunk(part))
        p.wait(0.3)
    assert "200 OK" not in p.parties["client"].text
    p.play("wait 0.3\nclient expect HTTP/1.1 503")


def test_comments_within_a_stream_are_forwarded(p: Platform) -> None:
    p.play(begin() + "writer send stream\nwriter send event text=a\nclient expect a\n")
    p.parties["writer"].send(chunk(": comment\n\n") + chunk("\n\n") + chunk("data:[DONE]\n\n") + b"0\r\n\r\n")
    p.play("client expect : comment\nclient expect [DONE]\nclient expect 0")


def test_a_stream_that_goes_on_after_its_last_event_is_ended(p: Platform) -> None:
    p.play(begin() + "writer send stream\nwriter send event text=a\nclient expect a\n")
    for _ in range(16):
        p.parties["writer"].send(chunk("data: [DONE]\n\n"))
        p.wait(0.3)
    p.play("client expect closed")
