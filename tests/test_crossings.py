"""Tests of races between two events, on real connections and always in the unfavourable order.

docs/design/crossings.md lists them.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import pytest
from scenario import FakePeer
from settings import ENV
from test_platform import FLEET, MESSAGES, Platform, ask, chunk

from hopshed.interface import ServerState
from yewhook.channel import Channel
from yewhook.loop import Timer
from yewhook.operations.instance import State
from yewhook.platform.clients import ClientConnection

NO_RESUME_ENV = {
    "extra": ENV["extra"] | {"resume": False}
}  # without it, streams go on to their end or to the kill
RESUME_ENV = {"extra": ENV["extra"] | {"resume": True}}


def start_stream(p: Platform, request: str = "r1", client: str = "client") -> None:
    """Send a request and let its stream begin."""
    p.play(f"""
        {client} send ask id={request}
        reader expect {{"stream":true}}
        reader send read
        writer expect {{"stream":true}}
        writer send stream
        writer send event text=one
        {client} expect "one"
    """)


# ---- clients that disconnect ----


@pytest.mark.parametrize("body", ['{"stream":true}', "x" * 200_000])
@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_asked_and_left_before_it_was_read_gets_no_attempt(
    p: Platform, body: str, reset: bool
) -> None:
    # The request was read and forwarded in one turn of the loop, and the disconnect was read in the next one.
    start_stream(p)  # leaves a reusable connection to the reader
    p.play("writer send last\nclient expect 0\nwait 0.1")
    client = p.parties["client"]
    client.begin(socket.create_connection(client.address))
    p.turn()  # accepted, and nothing has arrived yet
    size = 0
    data = ask("r2", body=body)
    while size < len(data):  # the router must read all but the last part to make room in the kernel
        assert client.sock is not None
        size += client.sock.send(data[size : size + 32768])
        if size < len(data):
            p.turn()
    client.close(reset=reset)
    p.wait(0.2)
    assert "r2" not in p.parties["reader"].heard.replace("reservations/r2", "")
    assert not p.front.router.requests and not p.front.router._module.requests


def test_a_client_that_left_before_it_was_accepted_gets_no_attempt(p: Platform) -> None:
    p.play("client send ask\nclient close\nwait 0.3")
    assert "POST" not in p.parties["reader"].heard


def test_a_client_that_leaves_in_the_moment_of_an_attempts_end_gets_no_further_one(p: Platform) -> None:
    p.play("""
        client send ask
        reader expect {"stream":true}
        reader send read
        client close
        wait 0.3
    """)
    assert "POST" not in p.parties["writer"].heard


def test_what_a_client_that_left_had_waiting_leaves_the_modules_queues(p: Platform) -> None:
    module = p.front.router._module
    for n in range(3):
        p.play(f"c{n} send ask id=r{n}\nwait 0.02")
    for n in range(3):
        p.play(f"c{n} close\nwait 0.02")
    assert not module.requests and not module.queue.count
    assert not any(request.held for request in module.queue)


# ---- the end of a process ----


# Router time from SIGTERM until no more connections are accepted: 1.5 s in which it serves on, and 0.5 s
LEAVES_WITHIN_S = 2.2


def run_until_leaving(p: Platform) -> None:
    """Run until the process accepts no more connections, after a SIGTERM if it has had none."""
    if p.service.instance.state is State.READY:
        p.sigterm()
    end = p.clock.now + LEAVES_WITHIN_S
    while p.service.instance.state is not State.LEAVING and p.clock.now < end:
        p.turn(0.002)
    assert p.service.instance.state is State.LEAVING


def test_a_request_that_comes_after_the_last_answers_is_refused(p: Platform) -> None:
    # For another 0.2 s requests were accepted and sent to workers, and then the process exited.
    start_stream(p)
    p.sigterm()
    p.wait(1.8)
    half, late = ask("r2"), FakePeer(p.parties["client"].address)
    p.parties["late"] = late
    late.send(half[:-2])
    run_until_leaving(p)
    while not p.parties["client"].ended:  # until the stream is moved, up to 0.2 s before the last moment
        p.play("writer send event text=on") if not p.parties["writer"].ended else None
        p.wait(0.05)
    p.wait(0.25)
    with contextlib.suppress(OSError):
        late.send(half[-2:])
    p.play("late expect HTTP/1.1 503\nlate expect closed\nwait 0.4")
    assert p.service.loop.stopped and p.parties["reader"].heard.count("POST") == 1


def test_a_resting_connection_is_not_closed_over_a_request_that_has_just_come(p: Platform) -> None:
    # A request that arrived between the polling of the sockets and the sweep of idle connections was lost.
    p.play("client send get path=/healthz\nclient expect ok")
    p.wait(9.9)
    sweep, sent = p.front.clients._sweep, list[bool]()

    def arrive_then_sweep() -> None:
        if not sent:
            p.parties["client"].send(MESSAGES["get"](path="/healthz"))
            sent.append(True)
            p.clock.now += 0.2  # longer than the idle timeout
            p.service.loop.now = p.clock.now
        sweep()

    Timer(p.service.loop).set(0.05, arrive_then_sweep)
    p.play("wait 0.1\nclient expect 200 OK")


def test_a_first_request_that_arrives_at_its_timeout_is_read(p: Platform) -> None:
    # A connection without bytes for 2.2 s was closed though a request arrived after the sockets were polled.
    client = p.parties["client"]
    client.begin(socket.create_connection(client.address))
    p.wait(2.1)
    late, sent = ClientConnection._request_timed_out, list[bool]()

    def arrive_then_late(self: ClientConnection) -> None:
        if not sent:
            client.send(MESSAGES["get"](path="/healthz"))
            sent.append(True)
        late(self)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ClientConnection, "_request_timed_out", arrive_then_late)
        connection = next(iter(p.front.clients.connections))
        connection._timer.set(0.05, connection._request_timed_out)
        p.play("wait 0.2\nclient expect 200 OK")
    assert sent


def test_what_waits_to_be_accepted_when_the_listener_closes_is_answered(p: Platform) -> None:
    # The kernel resets connections that have not been accepted when the listener closes.
    start_stream(p)
    stop, arrived = p.front._acceptor.stop, list[object]()

    def arrive_then_stop() -> None:
        if not arrived:
            arrived.append(p.play("late send ask id=r2\nsecond send get path=/healthz"))
        stop()

    p.front._acceptor.stop = arrive_then_stop  # type: ignore[method-assign]
    run_until_leaving(p)
    p.play("reader expect X-Txn: r2\nlate close\nsecond expect HTTP/1.1 503\nsecond expect closed")


def test_a_process_stays_until_its_last_answer_is_taken(p: Platform) -> None:
    # The process exited as soon as the kernel had the answer. Unread bytes from the client then reset the
    # connection, and the answer was lost.
    start_stream(p)
    run_until_leaving(p)
    client = p.parties["client"]
    client.poll = lambda: None  # type: ignore[method-assign]
    p.play("writer send event text=two\nwriter send last\nwait 0.2")
    assert client.sock is not None and not p.service.loop.stopped
    client.sock.send(ask("r2"))  # sent while the router closes
    p.wait(0.2)
    del client.poll
    p.play('client expect data: "two"\nclient expect 0\nclient expect closed\nclient close\nwait 0.1')
    assert p.service.loop.stopped and "r2" not in p.parties["reader"].heard


def test_a_connection_that_is_ended_while_it_is_not_read_is_read_to_its_end(p: Platform) -> None:
    # After an invalid request a connection is not read for a while. When it was closed then, the unread bytes
    # reset it, and its answer was lost.
    p.play("client send ask lane=unknown\nclient expect HTTP/1.1 400")
    connection = next(iter(p.front.clients.connections))
    assert connection.channel.paused
    p.play("client send ask id=r2")
    connection.close_gracefully()
    p.wait(0.05)
    assert not connection.channel.unread and "POST" not in p.parties["reader"].heard
    p.play("client expect closed")


@pytest.mark.parametrize(("env", "method"), [(NO_RESUME_ENV, "end_all"), (RESUME_ENV, "_move")])
def test_a_stream_that_its_worker_has_finished_is_forwarded_whole_at_the_end(
    env: dict[str, Any], method: str
) -> None:
    # The last chunk arrived just before the stream was broken off.
    p = Platform(FLEET, env=env)
    start_stream(p)
    cut, sent = getattr(p.front.router, method), list[object]()

    def end_then_cut(*arguments: object) -> None:
        if not sent:
            sent.append(p.play("writer send event text=two\nwriter send last"))
        cut(*arguments)

    setattr(p.front.router, method, end_then_cut)
    run_until_leaving(p)
    while not sent:
        p.play("writer send event text=on\nwait 0.1")
    p.play('client expect data: "two"\nclient expect 0\nclient expect closed')
    p.end()


@pytest.mark.parametrize("patience", [0.3, 0.8, 1.2, 12.0])
@pytest.mark.parametrize("routers", [1, 2, 4, 200])
def test_the_last_moment_comes_before_the_kill_however_short_deadlines_are(
    patience: float, routers: int
) -> None:
    # With a deadline of 1.2 s and two routers, streams were ended after 2 s, but the platform kills a process
    # after 1.9 s.
    classes = [c | {"give-up-ms": 1000 * patience} for c in ENV["classes"]]
    p = Platform(FLEET, routers=routers, env={"classes": classes})
    start_stream(p)
    p.sigterm()
    kill = p.clock.now + min(3.0, patience) + 0.7
    while p.clock.now < kill and not p.service.loop.stopped:
        p.play("writer send event text=on\nwait 0.1") if not p.parties["writer"].ended else p.wait(0.05)
    assert p.service.loop.stopped
    p.play("client expect closed")
    assert "0\r\n\r\n" not in p.parties["client"].heard
    p.end()


# ---- streams ----


@pytest.mark.parametrize("trickle", ["part text=x", "part text=:|", "event"])
def test_a_stream_that_goes_on_and_says_nothing_new_is_broken_off(p: Platform, trickle: str) -> None:
    # Any bytes counted as progress, so the client waited for as long as they arrived.
    start_stream(p)
    for _ in range(30):
        if p.parties["writer"].ended:
            break
        p.parties["writer"].send(chunk(": still here\n\n") if trickle == "event" else chunk("x"))
        p.wait(0.1)
    p.play("client expect closed")


def test_a_stream_whose_events_come_slowly_goes_on(p: Platform) -> None:
    start_stream(p)
    for n in range(4):
        p.play(f'wait 2\nwriter send event text=e{n}\nclient expect data: "e{n}"')
    p.play("writer send last\nclient expect 0")


# ---- repeats ----


@pytest.mark.parametrize("how", ["reset", "close"])
def test_an_unsafe_request_whose_last_byte_was_not_written_goes_elsewhere(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Unwritten bytes were dropped before they were looked at, so the attempt counted as one that may have
    # run, and the request failed.
    ready = Channel._ready

    def shrink_send_buffer(self: Channel, mask: int) -> None:
        if self._connecting:  # else the router's kernel buffer would take all of it
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        ready(self, mask)

    monkeypatch.setattr(Channel, "_ready", shrink_send_buffer)
    p = Platform({"one": "mixed", "two": "mixed"})
    for name in ("one", "two"):
        listener = p.parties[name].listener
        assert listener is not None
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        p.parties[name].unread = True  # it reads nothing
    p.play("client send ask lane=service-log body=" + "x" * 260_000)
    p.until(lambda: any(p.parties[n].connections for n in ("one", "two")), "a connection")
    first, second = ("one", "two") if p.parties["one"].connections else ("two", "one")
    p.wait(0.05)
    out = next(iter(p.front.workers._pending.values())).connection
    assert out is not None and out.channel.unsent
    p.parties[second].unread = False
    p.play(f"{first} {how}\n{second} expect x-lane: service-log")
    p.end()


KEYED = {"effect": "by_key", "dedup-window-ms": 1000.0, "group": "all"}


@pytest.fixture
def keyed() -> Iterator[Platform]:
    """A router whose workers recognize repeats by their key for one second."""
    classes = [c | KEYED for c in ENV["classes"]]
    platform = Platform({"one": "mixed", "two": "mixed"}, env={"classes": classes})
    yield platform
    platform.end()


def attempted_and_other(p: Platform) -> tuple[str, str]:
    """Returns the name of the worker that has received the first attempt, and that of the other."""
    p.until(lambda: any("stream" in p.parties[n].text for n in ("one", "two")), "an attempt")
    first = "one" if "stream" in p.parties["one"].text else "two"
    return first, "two" if first == "one" else "one"


def delay_next_connection(monkeypatch: pytest.MonkeyPatch) -> list[Channel]:
    """Keep the next connection that a router opens from coming up; returns a list that will contain it."""
    late: list[Channel] = []
    ready = Channel._ready

    def delay(self: Channel, mask: int) -> None:
        if self._connecting and not late:
            late.append(self)
        if self not in late:
            ready(self, mask)
        else:
            self.loop.watch(self._sock, 0, self._ready)

    monkeypatch.setattr(Channel, "_ready", delay)
    return late


def test_nothing_is_written_to_a_server_told_to_drain_over_a_late_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The drain grace was checked when the attempt began, but its connection may take another 0.25 s.
    p = Platform(FLEET, env={"contract": ENV["contract"] | {"stop-sending-within-ms": 100.0}})
    p.play("discovery expect GET\ndiscovery send watch\nwait 0.1")
    late = delay_next_connection(monkeypatch)
    p.play("client send ask")
    p.until(lambda: bool(late), "a connection that is coming up")
    p.play("discovery send list name=reader state=draining\nwait 0.13")
    assert late[0].closed and not p.parties["reader"].heard
    p.play("client expect HTTP/1.1 503")
    p.end()


@pytest.mark.parametrize("state", ["draining", "removed"])
def test_an_attempt_that_is_not_on_its_way_when_its_server_drains_goes_elsewhere(
    wide: Platform, monkeypatch: pytest.MonkeyPatch, state: str
) -> None:
    # The connection came up 0.25 s later, and the request was sent to a server whose grace had ended.
    p = wide
    p.play("discovery expect GET\ndiscovery send watch\nwait 0.1")
    late = delay_next_connection(monkeypatch)
    p.play("client send ask lane=service-log")
    p.until(lambda: bool(late), "a connection that is coming up")
    out = next(iter(p.front.workers._pending.values()))
    assert out.connection is not None
    first = next(n for n in ("reader", "reader2") if p.parties[n].address == out.connection.address)
    second = "reader2" if first == "reader" else "reader"
    p.parties["discovery"].send(p.listed(first, state))
    list_sent_at = p.clock.now
    p.play(f'{second} expect {{"stream":true}}')
    assert p.clock.now - list_sent_at < 0.2  # earlier than the connect timeout
    assert late[0].closed and "POST" not in p.parties[first].heard
    w = next(w for w in p.front.router._module.workers.values() if w.info.state is not ServerState.RUNNING)
    assert not w.pending and not w.reads


@pytest.mark.parametrize(("after", "again"), [(0.5, True), (0.95, False), (1.2, False)])
def test_a_request_known_by_its_key_is_repeated_only_inside_its_window(
    keyed: Platform, after: float, again: bool
) -> None:
    keyed.play("client send ask")
    first, second = attempted_and_other(keyed)
    keyed.play(f"wait {after}\n{first} reset\nwait 0.3")
    assert ("POST" in keyed.parties[second].heard) is again
    if not again:
        keyed.play("client expect HTTP/1.1 503")


def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_sent(
    keyed: Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The deduplication window was checked when the repeat began, but its connection may take another 0.25 s.
    keyed.play("client send ask")
    first, second = attempted_and_other(keyed)
    keyed.wait(0.85)
    late = delay_next_connection(monkeypatch)
    keyed.play(f"{first} reset\nwait 0.2")
    assert late and late[0].closed  # at the window's end, before the usual 0.25 s
    assert "POST" not in keyed.parties[second].heard
    keyed.play("client expect HTTP/1.1 503")
