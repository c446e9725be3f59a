"""Tests of clients that send malformed requests, too much or nothing, and of the limits on resources."""

from __future__ import annotations

import contextlib
from collections.abc import Sized

import pytest
from scenario import FakePeer
from test_platform import Platform, ask

from yewhook.config import Limits
from yewhook.connection_limiter import ConnectionActivity, ConnectionStatus, connections_to_close
from yewhook.loop import Timer
from yewhook.memory_budget import CONNECTION_BYTES
from yewhook.platform.http import MAX_FIELDS
from yewhook.resource_budget import ResourceBudget


@pytest.mark.parametrize(
    ("field", "status"),
    [
        ("Content-Length:_3|Transfer-Encoding:_chunked", 400),
        ("Transfer-Encoding:_chunked|Content-Length:_3", 400),
        ("Transfer-Encoding:_gzip,_chunked", 400),
        ("Content-Length:_3|Content-Length:_3", 400),
        ("Content-Length:_+3", 400),
        ("Content-Length:_99999999999999999999999", 400),
        ("Content-Length:_9999999999999", 413),
        ("X-Txn:_a|X-Txn:_b", 400),
    ],
)
def test_a_head_that_allows_request_smuggling_is_refused_and_closed(
    p: Platform, field: str, status: int
) -> None:
    p.play(f"client send raw text=POST_/v1/chat/completions_HTTP/1.1|{field}")
    p.play(f"client expect HTTP/1.1 {status}\nclient expect closed")
    assert p.parties["reader"].connections == 0


@pytest.mark.parametrize(
    "words",
    ["id=²", "left=²m", "left=1e9m", "left=-5m", "X_Labels=prompt_len=²", "X_Labels=prompt_len=999999999",
     "X_Entity=é", "X_Org=nobody", f"X_Entity={'x' * 2000}"],
)  # fmt: skip
def test_values_that_workers_cannot_read_are_not_forwarded(p: Platform, words: str) -> None:
    # "²".isdigit() is true but float("²") raises, and then the request was not answered.
    p.play(f"client send ask {words}\nclient expect HTTP/1.1 400")
    assert p.parties["reader"].connections == 0


def test_an_oversized_head_is_refused(p: Platform) -> None:
    # The parser buffers an incomplete line, whose bytes were not counted.
    client = p.parties["client"]
    client.send(b"GET / HTTP/1.1\r\nX: y")
    for _ in range(3):
        client.send(b"y" * 20_000)
        p.turn()
    p.play("client expect HTTP/1.1 431\nclient expect closed")


SHORT_FIELDS = "".join(f"a{number}: 1\r\n" for number in range(MAX_FIELDS + 2))


# Guards against parsed fields that take ten times the memory of a head's bytes, and as much of the time.
def test_a_head_or_trailers_of_too_many_fields_are_refused(p: Platform) -> None:
    p.parties["client"].send(f"GET / HTTP/1.1\r\n{SHORT_FIELDS}".encode())
    p.play("client expect HTTP/1.1 431\nclient expect closed")
    request = ask(Transfer_Encoding="chunked", body="").replace(b"Content-Length: 0\r\n", b"")
    late = p.parties["late"] = FakePeer(("127.0.0.1", p.front.port))
    late.send(request + f"0\r\n{SHORT_FIELDS}".encode())
    p.play("late expect HTTP/1.1 431\nlate expect closed")
    assert p.parties["reader"].connections == 0


# The same memory is taken by the answers of workers.
def test_an_answer_whose_head_has_too_many_fields_is_not_understood(p: Platform) -> None:
    p.play("client send ask\nreader expect POST")
    p.parties["reader"].send(f"HTTP/1.1 202 Any\r\n{SHORT_FIELDS}\r\n".encode())
    p.until(lambda: any("worker answer not understood" in line for line in p.log.lines), "a log line")


def test_a_body_of_60_megabytes_is_refused_and_discarded(p: Platform) -> None:
    # Closing with unread bytes resets the connection, and the client never receives the response.
    client = p.parties["client"]
    client.send(ask(Content_Length="60000000", body=""))
    client.sock.setblocking(False)  # type: ignore[union-attr]
    sent = 0
    while sent < 60_000_000:
        with contextlib.suppress(BlockingIOError):
            sent += client.sock.send(b"x" * 1_000_000)  # type: ignore[union-attr]
        p.turn()
    p.play("client expect HTTP/1.1 413\nclient expect closed")


def test_a_connection_without_a_request_is_closed(p: Platform) -> None:
    p.parties["client"].send(b"")
    p.play("wait 2\nwait 0.3\nclient expect closed")


def test_an_idle_connection_is_closed_in_time(p: Platform) -> None:
    p.play("client send get path=/healthz\nclient expect 200 OK\nwait 8")
    assert not p.parties["client"].ended
    p.play("wait 4\nclient expect closed")


def test_too_many_pipelined_requests_are_answered_with_errors_at_once(p: Platform) -> None:
    # The error response waited for as long as the stream of the first request took.
    p.parties["client"].send(b"".join(ask(id=f"r{n}") for n in range(100)))
    p.play("client expect HTTP/1.1 503\nclient expect HTTP/1.1 400\nclient expect closed")
    p.until(lambda: not p.front.busy, "nothing left")
    assert data_bytes(p) == 0


def test_garbage_after_a_request_is_answered_at_once(p: Platform) -> None:
    # A length that is too small splits a body, and the rest of it is not a valid request.
    p.parties["client"].send(ask(lane="service-log", Content_Length="4"))
    p.play("client expect HTTP/1.1 503\nclient expect HTTP/1.1 400\nclient expect closed")


def test_a_client_that_repeats_invalid_requests_is_read_less_often(p: Platform) -> None:
    # A client that retried invalid requests at once, and was answered at once, delayed all others.
    p.play("client send ask lane=x\nclient expect HTTP/1.1 400\nclient send ask lane=x\nwait 0.4")
    assert p.parties["client"].text.count("HTTP/1.1") == 0
    p.play("wait 0.2\nclient expect HTTP/1.1 400")


JUNK = "x" * 50_000


# Guards against attempts for a client that has closed its connection with data on it that is not read yet.
def test_nothing_is_sent_for_a_client_that_closed_behind_unread_data(wide: Platform) -> None:
    # Reading is paused after an invalid request, so the end of the stream is not read for a while.
    wide.parties["client"].send(ask(id="r1", lane="nobody") + ask(id="r2"))
    wide.play("client expect HTTP/1.1 400")
    wide.until(lambda: "POST" in readers_heard(wide), "an attempt")
    wide.parties["client"].send(JUNK.encode())
    wide.play("client close\nwait 0.15")
    for name in ("reader", "reader2"):
        if "POST" in wide.parties[name].heard:
            wide.play(f"{name} send status status=503 turned=1")
    wide.play("wait 0.8")
    assert readers_heard(wide).count("POST") == 1


def test_a_request_is_not_forwarded_before_what_follows_it_is_read(p: Platform) -> None:
    client = p.parties["client"]
    client.send(ask(id="r1", lane="nobody") + ask(id="r2") + JUNK.encode())
    p.play("client expect HTTP/1.1 400\nwait 0.2\nclient close\nwait 0.8")
    assert "POST" not in p.parties["reader"].heard and not p.front.busy


def readers_heard(p: Platform) -> str:
    """What both readers have received so far."""
    return p.parties["reader"].heard + p.parties["reader2"].heard


def data_bytes(p: Platform) -> int:
    """What is charged for data, besides the connections themselves."""
    loop = p.service.loop
    return loop.memory.charged - CONNECTION_BYTES * loop.sockets


def test_buffered_bodies_are_limited_and_freed(p: Platform) -> None:
    p.service.loop.memory.limit = p.service.loop.memory.charged + 150_000
    p.play(f"client send ask body={'x' * 60_000}\nreader expect POST")
    p.play(f"late send ask id=r2 body={'x' * 60_000}\nlate expect HTTP/1.1 503")
    unfinished = f"ask id=r3 Content_Length=70000 body={'x' * 60_000}"
    p.play(f"last send {unfinished}\nlast expect HTTP/1.1 503\nlast expect closed")
    p.play("client close\nwait 0.1")
    assert data_bytes(p) == 0


def test_resource_limits_come_from_the_configuration(p: Platform) -> None:
    # With 256 descriptors, client connections could use so many that none were left for calls to workers.
    room = ResourceBudget(p.service.loop, Limits(256, 32 << 20))
    p.service.loop.sockets = p.service.loop.accepted = 150
    memory = p.service.loop.memory
    assert room.can_open_client() and memory.limit == 4 << 20
    room.process_started(22 << 20)
    assert 6 << 20 < memory.limit < 7 << 20
    room.process_started(40 << 20)
    assert memory.limit == 1 << 20
    room.process_started(22 << 20)
    p.service.loop.sockets = p.service.loop.accepted = 160
    assert not room.can_open_client() and room.can_open_worker()
    p.service.loop.sockets = 240
    assert not room.can_open_worker()


def table_sizes(p: Platform) -> list[int]:
    """Returns the sizes of the tables whose entries must be removed in the end."""
    module, router, worker_list = p.front.router._module, p.front.router, p.front.worker_list
    tables: list[Sized] = [
        module.workers, module.requests, module.prefix_cache.uses, module.popularity.seen, module.sessions,
        router.requests, router.servers, router.table.withdrawn_since,
        worker_list.addresses, worker_list.states, p.front.pool._idle, p.front.workers._pending,
        p.front.clients.connections,
        p.service.loop.deadlines._due,
    ]  # fmt: skip
    return [len(table) for table in tables]


def wait_400_s(p: Platform) -> None:
    """Let 400 s pass, after which everything that has gone must have been forgotten."""
    for _ in range(400):
        p.turn(1.0, 0.0)


def test_entries_of_what_has_long_gone_are_removed(p: Platform) -> None:
    # Workers, clients and prompt prefixes come and go for months under new ids; each left an entry behind.
    def generation(n: int, full: bool) -> None:
        old = {"lifecycle": "removed", "instanceId": f"s-{n - 1}"}
        new = {"instanceId": f"s-{n}", "hostPort": f"127.0.0.1:{20000 + n}"}
        entries = [p.entry("writer") | new] + ([p.entry("writer"), p.entry("reader")] if full else
                                               [p.entry("writer") | old])  # fmt: skip
        message = {"generation": n, "reset": full, "instances": entries}
        watch = p.front.watch
        watch.message_received(watch._active or watch._unanswered[-1], message)
        p.wait(0.01)

    generation(10, True)
    for n in range(3):
        p.play(f"a{n} send ask id=a{n} X_Labels=prefix=p{n},prompt_len=9,prefix_len=5\nreader expect POST")
        p.play(f"reader send status status=500\na{n} close\nwait 0.1")
    p.play("reader send status status=204\nwriter close")
    wait_400_s(p)
    before = table_sizes(p)
    for n in range(11, 40):
        generation(n, n % 7 == 0)
        name = f"b{n}"
        p.play(f"{name} send ask id=b{n} X_Labels=prefix=q{n},prompt_len=9,prefix_len=5\nwait 0.05")
        p.play(f"{name} close\nwait 0.05")
    assert sum(table_sizes(p)) > sum(before) + 20
    wait_400_s(p)
    assert table_sizes(p) == before


def test_a_timer_cancelled_in_the_turn_in_which_it_is_due_does_not_run(p: Platform) -> None:
    called: list[str] = []
    first, second = Timer(p.service.loop), Timer(p.service.loop)
    first.set(0.1, second.cancel)
    second.set(0.1, lambda: called.append("second"))
    p.wait(0.2)
    assert not called and not first.running and not second.running


def test_connections_that_lose_least_are_closed_first() -> None:
    statuses = [
        (ConnectionStatus(ConnectionActivity.SERVING, 0.0), "busy"),
        (ConnectionStatus(ConnectionActivity.READING_REQUEST, 1.0), "half"),
        (ConnectionStatus(ConnectionActivity.READING_REQUEST, 9.5), "writing"),
        (ConnectionStatus(ConnectionActivity.NOTHING_RECEIVED, 9.0), "silent"),
        (ConnectionStatus(ConnectionActivity.NOTHING_RECEIVED, 9.9), "new"),
        (ConnectionStatus(ConnectionActivity.ANSWERED, 9.6), "younger"),
        (ConnectionStatus(ConnectionActivity.ANSWERED, 9.5), "answered"),
        (ConnectionStatus(ConnectionActivity.ANSWERED, 9.97), "just now"),
    ]
    assert connections_to_close(statuses, 10.0, 9) == ["answered", "younger", "silent", "half"]
    assert connections_to_close(statuses, 10.0, 1) == ["answered"] and connections_to_close([], 10.0, 9) == []


# Guards against a client that is answered late, or holds its connection, by a body that it states in chunks.
@pytest.mark.parametrize("size", ["40001", "ee6b2800", "000040001;a=b", "0" * 1100])
def test_a_chunk_of_a_request_that_states_too_much_is_answered_where_it_is_stated(
    p: Platform, size: str
) -> None:
    head = ask().partition(b"\r\n\r\n")[0].replace(b"Content-Length: 15", b"Transfer-Encoding: chunked")
    p.parties["client"].send(head + b"\r\n\r\n2\r\n{}\r\n" + size.encode())
    p.wait(0.1)
    assert ("HTTP/1.1 400" if set(size) == {"0"} else "HTTP/1.1 413") in p.parties["client"].text
