"""Daily operation: the state of an instance, the management endpoint, drains that hold."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from scenario import FakePeer
from test_platform import FLEET, SAYINGS, Platform, begin

from yewhook.operations.instance import FRONT_MODES, TABLE, Event, Instance, State, step
from yewhook.operations.management_endpoint import MAX_CONNECTIONS, ManagementEndpoint


class Door_(Platform):
    """A platform's front with a door beside it."""

    def __init__(self) -> None:
        super().__init__(FLEET)
        self.door = ManagementEndpoint(self.service, ("127.0.0.1", 0))
        self.sayings = self.sayings | {
            "call": lambda path, method="GET": f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode(),
            "half": lambda: b"POST /-/drain HTTP/1.1\r\nHo",
            "long": lambda: b"GET /-/ready HTTP/1.1\r\nx: " + b"y" * 5000,
            "bulky": lambda: b"POST /-/drain HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + b"y" * 2000,
            "half_ask": lambda: SAYINGS["ask"](id="half")[:-3],
            "end_ask": lambda: SAYINGS["ask"](id="half")[-3:],
        }

    def call(self, path: str, method: str = "GET", status: str = "200 OK") -> None:
        name = f"operator{len(self.parties)}"
        self.parties[name] = FakePeer(("127.0.0.1", self.door.port))
        self.play(f"{name} send call path={path} method={method}\n{name} expect HTTP/1.1 {status}")
        self.play(f"{name} expect closed")


@pytest.fixture
def d() -> Iterator[Door_]:
    played = Door_()
    yield played
    played.end()


def test_a_drain_says_no_at_once_and_serves_what_still_comes(d: Door_) -> None:
    d.play(begin() + "kept send get path=/healthz\nkept expect 200 OK")
    d.call("/-/ready")
    d.call("/-/drain", "POST")
    d.play("""
        kept send get path=/healthz
        kept expect HTTP/1.1 503
        kept expect closed
        late send get path=/healthz
        late expect HTTP/1.1 503
        late expect closed
        idle send raw text=
    """)
    # The writer has not answered for 0.8 s, so the state is let go. The reader confirms it before the writer
    # is asked, too: a stand-in forgets its connection over another.
    d.until(lambda: "DELETE" in d.parties["reader"].heard, "a release")
    d.play("""
        reader send status status=204
        wait 1
        idle expect closed
        later send ask id=r2 session=s
        reader expect POST
        reader send read
        writer send stream
        writer send event text=a
        writer send last
        client expect 0\r\n\r\n
        client expect closed
    """)
    d.call("/-/drain", "POST")  # the same order again changes nothing
    d.call("/-/resume", "POST")
    d.play("kept2 send get path=/healthz\nkept2 expect 200 OK\nwait 1")
    assert not d.parties["kept2"].ended and d.service.instance.state is State.READY


def test_what_is_half_written_late_in_a_drain_is_refused(d: Door_) -> None:
    # At 4 s no client may be held with a request of the last 2 s, and one may be written over 2 s.
    d.play("client send half_ask")
    d.call("/-/drain", "POST")
    d.play("wait 1.7\nclient send end_ask\nreader expect POST\nreader send read\nwriter expect POST")
    d.play("slow send half_ask\nwait 0.4\nslow expect HTTP/1.1 503\nslow expect closed")
    assert not d.parties["client"].ended


def test_orders_in_quick_succession_end_in_the_last_one(d: Door_) -> None:
    for path in ("/-/drain", "/-/resume", "/-/drain", "/-/resume", "/-/resume"):
        d.call(path, "POST")
    d.play("client send get path=/healthz\nclient expect 200 OK\nwait 1")
    assert not d.parties["client"].ended and d.service.instance == Instance(State.READY)


@pytest.mark.parametrize(
    ("saying", "status"),
    [
        ("call path=/", "404"),
        ("call path=/-/ready method=POST", "405"),
        ("call path=/-/drain", "405"),
        ("raw text=nonsense", "400"),
        ("long", "431"),
        ("bulky", "413"),
    ],
)
def test_a_wrong_call_is_never_a_yes(d: Door_, saying: str, status: str) -> None:
    d.parties["operator"] = FakePeer(("127.0.0.1", d.door.port))
    d.play(f"operator send {saying}\noperator expect HTTP/1.1 {status}\noperator expect closed")
    assert d.service.instance == Instance(State.READY)


def test_callers_with_half_a_call_keep_nobody_out(d: Door_) -> None:
    for n in range(2 * MAX_CONNECTIONS + 5):
        d.parties[f"half{n}"] = FakePeer(("127.0.0.1", d.door.port))
        d.play(f"half{n} send half")
    d.call("/-/ready")
    open_now = sum(not d.parties[f"half{n}"].ended for n in range(2 * MAX_CONNECTIONS + 5))
    assert 0 < open_now <= MAX_CONNECTIONS
    last = f"half{2 * MAX_CONNECTIONS + 4}"
    d.play(f"wait 5.1\n{last} expect HTTP/1.1 408\n{last} expect closed")


def test_the_door_is_heard_before_the_clients(d: Door_) -> None:
    order: list[str] = []
    received = d.front.clients.accepted
    d.front._acceptor._accepted = lambda sock: (order.append("client"), received(sock))  # type: ignore[func-returns-value,assignment]
    accept = d.door._accept

    def heard(mask: int) -> None:
        order.append("door")
        accept(mask)

    d.service.loop.watch(d.door._listener, 1, heard, first=True)
    d.parties["operator"] = FakePeer(("127.0.0.1", d.door.port))
    for name in ("client", "operator"):
        d.parties[name].send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
    d.until(lambda: len(order) == 2, "both are heard")
    assert order == ["door", "client"]


def test_the_table_names_every_state_and_event() -> None:
    assert TABLE.keys() == {(state, event) for state in State for event in Event}
    assert FRONT_MODES.keys() == set(State)


class Model(RuleBasedStateMachine):
    """An instance beside its whole history, from which each question is answered anew."""

    def __init__(self) -> None:
        super().__init__()
        self.start = State.STARTING
        self.heard: list[Event] = []
        self.instance = Instance(self.start)

    @rule(event=st.sampled_from(Event))
    def hear(self, event: Event) -> None:
        self.heard.append(event)
        self.instance = step(self.instance, event)

    def told(self) -> tuple[bool, bool, bool, bool]:
        """Whether it is able, drained, succeeded and ended, from all that it has heard."""
        able = drained = succeeded = ended = False
        for event in self.heard:
            if event is Event.TERM:
                ended = True
            elif ended:
                continue
            able = able or (event is Event.WORKERS_KNOWN and not succeeded)
            if event in (Event.DRAIN, Event.RESUME) and not succeeded:
                drained = event is Event.DRAIN
            if event is Event.SUCCESSOR_READY:
                succeeded = True
            if event is Event.SUCCESSOR_LOST:
                able, succeeded = able or succeeded, False
        return able, drained, succeeded, ended

    @invariant()
    def it_is_as_told(self) -> None:
        able, drained, succeeded, ended = self.told()
        mode = self.instance.front_mode
        if ended:
            assert self.instance.state in (State.LASTING, State.ENDING, State.LEAVING)
        elif succeeded:
            assert self.instance.state is State.HANDING_OVER and not mode.accepting
        elif not able:
            assert self.instance.state is State.STARTING
        else:
            assert mode.accepting and mode.healthy is not drained and mode.keep_alive is not drained
        assert self.instance.drained is drained
        assert mode.healthy <= (able or succeeded)
        assert mode.close_idle <= (not mode.keep_alive)


TestInstance = Model.TestCase
TestInstance.settings = settings(max_examples=60, stateful_step_count=25, derandomize=True, deadline=None)


def test_a_successor_that_is_lost_gives_the_clients_back_and_keeps_the_order() -> None:
    instance = Instance(State.SUCCEEDING)
    for event, state in (
        (Event.DRAIN, State.SUCCEEDING), (Event.WORKERS_KNOWN, State.DRAINING),
        (Event.DRAIN_PROPAGATED, State.DRAINED),
        (Event.SUCCESSOR_READY, State.HANDING_OVER), (Event.RESUME, State.HANDING_OVER),
        (Event.SUCCESSOR_LOST, State.DRAINING), (Event.RESUME, State.READY),
        (Event.SUCCESSOR_READY, State.HANDING_OVER), (Event.TERM, State.LEAVING),
        (Event.SUCCESSOR_LOST, State.LEAVING),
    ):  # fmt: skip
        instance = step(instance, event)
        assert instance.state is state
