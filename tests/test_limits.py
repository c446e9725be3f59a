"""Clients that send what makes no sense, too much of it, or nothing at all."""

from __future__ import annotations

import contextlib
from collections.abc import Sized

import pytest
from test_platform import Platform, ask

from yewhook.config import Limits
from yewhook.connection_limiter import ConnectionActivity, ConnectionStatus, connections_to_close
from yewhook.loop import Timer
from yewhook.service import ResourceBudget


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
def test_a_head_that_could_hide_a_request_is_refused_and_closed(p: Platform, field: str, status: int) -> None:
    p.play(f"client send raw text=POST_/v1/chat/completions_HTTP/1.1|{field}")
    p.play(f"client expect HTTP/1.1 {status}\nclient expect closed")
    assert p.parties["reader"].connections == 0


@pytest.mark.parametrize(
    "words",
    ["id=²", "left=²m", "left=1e9m", "left=-5m", "X_Labels=prompt_len=²", "X_Labels=prompt_len=999999999",
     "X_Entity=é", "X_Org=nobody", f"X_Entity={'x' * 2000}"],
)  # fmt: skip
def test_values_that_no_worker_can_read_are_not_passed_on(p: Platform, words: str) -> None:
    # `²`.isdigit() holds and float("²") raises; the request then got no answer at all.
    p.play(f"client send ask {words}\nclient expect HTTP/1.1 400")
    assert p.parties["reader"].connections == 0


def test_a_head_without_end_is_cut_off(p: Platform) -> None:
    # The parser keeps a line that has no end, and nothing counted it.
    client = p.parties["client"]
    client.send(b"GET / HTTP/1.1\r\nX: y")
    for _ in range(3):
        client.send(b"y" * 20_000)
        p.turn()
    p.play("client expect HTTP/1.1 431\nclient expect closed")


def test_a_body_of_60_megabytes_is_refused_and_read_off(p: Platform) -> None:
    # Closing with bytes unread resets the connection, and the client never sees why.
    client = p.parties["client"]
    client.send(ask(Content_Length="60000000", body=""))
    client.sock.setblocking(False)  # type: ignore[union-attr]
    sent = 0
    while sent < 60_000_000:
        with contextlib.suppress(BlockingIOError):
            sent += client.sock.send(b"x" * 1_000_000)  # type: ignore[union-attr]
        p.turn()
    p.play("client expect HTTP/1.1 413\nclient expect closed")


def test_a_connection_that_says_nothing_is_closed(p: Platform) -> None:
    p.parties["client"].send(b"")
    p.play("wait 2\nwait 0.3\nclient expect closed")


def test_a_kept_connection_on_which_nothing_is_asked_is_closed_in_time(p: Platform) -> None:
    p.play("client send get path=/healthz\nclient expect 200 OK\nwait 8")
    assert not p.parties["client"].ended
    p.play("wait 4\nclient expect closed")


def test_many_requests_at_once_get_their_errors_at_once(p: Platform) -> None:
    # The error waited behind the stream of the first one, for as long as that took.
    p.parties["client"].send(b"".join(ask(id=f"r{n}") for n in range(100)))
    p.play("client expect HTTP/1.1 503\nclient expect HTTP/1.1 400\nclient expect closed")
    p.until(lambda: not p.front.busy, "nothing left")
    assert p.front.clients.buffered_body_bytes == 0


def test_garbage_behind_a_request_answers_it_at_once(p: Platform) -> None:
    # A length that is too small cuts a body in two, and what is left of it is no request.
    p.parties["client"].send(ask(lane="service-log", Content_Length="4"))
    p.play("client expect HTTP/1.1 503\nclient expect HTTP/1.1 400\nclient expect closed")


def test_a_client_that_asks_nonsense_again_and_again_is_read_less_often(p: Platform) -> None:
    # Answered as fast as it asked, one such client took the time of all the others.
    p.play("client send ask lane=x\nclient expect HTTP/1.1 400\nclient send ask lane=x\nwait 0.4")
    assert p.parties["client"].text.count("HTTP/1.1") == 0
    p.play("wait 0.2\nclient expect HTTP/1.1 400")


def test_bodies_in_memory_are_limited_and_let_go_of(p: Platform) -> None:
    p.front.clients.max_buffered_body_bytes = 100_000
    p.play(f"client send ask body={'x' * 60_000}\nreader expect POST")
    p.play(f"late send ask id=r2 body={'x' * 60_000}\nlate expect HTTP/1.1 503\nlate expect closed")
    p.play("client close\nwait 0.1")
    assert p.front.clients.buffered_body_bytes == 0


def test_limits_come_from_the_configuration(p: Platform) -> None:
    # With 256 descriptors, clients could take so many that nothing was left for their own requests.
    room = ResourceBudget(p.service.loop, Limits(256, 32 << 20))
    p.service.loop.sockets = p.service.loop.accepted = 150
    assert room.can_open_client() and room.body_bytes == 4 << 20
    p.service.loop.sockets = p.service.loop.accepted = 160
    assert not room.can_open_client() and room.can_open_worker()
    p.service.loop.sockets = 240
    assert not room.can_open_worker()


def sizes(p: Platform) -> list[int]:
    module, router, worker_list = p.front.router._module, p.front.router, p.front.worker_list
    tables: list[Sized] = [
        module.workers, module.requests, module.prefix_cache.uses, module.popularity.seen, module.sessions,
        router.requests, router.servers, router.table.withdrawn_since,
        worker_list.addresses, worker_list.states, p.front.pool._idle, p.front.workers._out,
        p.front.clients.connections,
        p.service.loop.deadlines._due,
    ]  # fmt: skip
    return [len(table) for table in tables]


def later(p: Platform) -> None:
    for _ in range(400):
        p.turn(1.0, 0.0)


def test_what_is_gone_for_long_is_forgotten(p: Platform) -> None:
    # Workers, clients and openings come and go for months under ever new ids, and each left something behind.
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
    later(p)
    before = sizes(p)
    for n in range(11, 40):
        generation(n, n % 7 == 0)
        name = f"b{n}"
        p.play(f"{name} send ask id=b{n} X_Labels=prefix=q{n},prompt_len=9,prefix_len=5\nwait 0.05")
        p.play(f"{name} close\nwait 0.05")
    assert sum(sizes(p)) > sum(before) + 20
    later(p)
    assert sizes(p) == before


def test_a_timer_called_off_in_the_sweep_in_which_it_falls_due_does_not_call(p: Platform) -> None:
    called: list[str] = []
    first, second = Timer(p.service.loop), Timer(p.service.loop)
    first.set(0.1, second.cancel)
    second.set(0.1, lambda: called.append("second"))
    p.wait(0.2)
    assert not called and not first.running and not second.running


def test_connections_give_way_in_the_order_of_what_they_lose() -> None:
    standings = [
        (ConnectionStatus(ConnectionActivity.SERVING, 0.0), "busy"),
        (ConnectionStatus(ConnectionActivity.READING_REQUEST, 1.0), "half"),
        (ConnectionStatus(ConnectionActivity.READING_REQUEST, 9.5), "writing"),
        (ConnectionStatus(ConnectionActivity.NOTHING_RECEIVED, 9.0), "silent"),
        (ConnectionStatus(ConnectionActivity.NOTHING_RECEIVED, 9.9), "new"),
        (ConnectionStatus(ConnectionActivity.ANSWERED, 9.6), "younger"),
        (ConnectionStatus(ConnectionActivity.ANSWERED, 9.5), "answered"),
        (ConnectionStatus(ConnectionActivity.ANSWERED, 9.97), "just now"),
    ]
    assert connections_to_close(standings, 10.0, 9) == ["answered", "younger", "silent", "half"]
    assert (
        connections_to_close(standings, 10.0, 1) == ["answered"] and connections_to_close([], 10.0, 9) == []
    )
