"""The state machine of an instance, the management endpoint, and drains."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from scenario import FakePeer
from test_platform import FLEET, MESSAGES, Platform, begin

from yewhook.operations.instance import FRONT_MODES, TRANSITIONS, Event, Instance, State, step
from yewhook.operations.management_endpoint import MAX_CONNECTIONS, ManagementEndpoint


class PlatformWithManagement(Platform):
    """The platform front with a management endpoint."""

    def __init__(self) -> None:
        super().__init__(FLEET)
        self.endpoint = ManagementEndpoint(self.service, ("127.0.0.1", 0))
        self.messages = self.messages | {
            "call": lambda path, method="GET": f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode(),
            "half": lambda: b"POST /-/drain HTTP/1.1\r\nHo",
            "long_head": lambda: b"GET /-/ready HTTP/1.1\r\nx: " + b"y" * 5000,
            "long_body": lambda: b"POST /-/drain HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + b"y" * 2000,
            "half_ask": lambda: MESSAGES["ask"](id="half")[:-3],
            "end_ask": lambda: MESSAGES["ask"](id="half")[-3:],
        }

    def call(self, path: str, method: str = "GET", status: str = "200 OK") -> None:
        name = f"operator{len(self.parties)}"
        self.parties[name] = FakePeer(("127.0.0.1", self.endpoint.port))
        self.play(f"{name} send call path={path} method={method}\n{name} expect HTTP/1.1 {status}")
        self.play(f"{name} expect closed")


@pytest.fixture
def platform() -> Iterator[PlatformWithManagement]:
    platform = PlatformWithManagement()
    yield platform
    platform.end()


def test_a_drain_fails_health_checks_at_once_and_still_serves_requests(
    platform: PlatformWithManagement,
) -> None:
    platform.play(begin() + "kept send get path=/healthz\nkept expect 200 OK")
    platform.call("/-/ready")
    platform.call("/-/drain", "POST")
    platform.play("""
        kept send get path=/healthz
        kept expect HTTP/1.1 503
        kept expect closed
        late send get path=/healthz
        late expect HTTP/1.1 503
        late expect closed
        idle send raw text=
    """)
    # The writer has not answered for 0.8 s, so the held state is released. The reader confirms that before
    # the writer is asked again, because the fake peer keeps only its latest connection.
    platform.until(lambda: "DELETE" in platform.parties["reader"].heard, "a release")
    platform.play("""
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
    platform.call("/-/drain", "POST")  # repeating the order changes nothing
    platform.call("/-/resume", "POST")
    platform.play("kept2 send get path=/healthz\nkept2 expect 200 OK\nwait 1")
    assert not platform.parties["kept2"].ended and platform.service.instance.state is State.READY


def test_a_request_still_incomplete_late_in_a_drain_is_refused(platform: PlatformWithManagement) -> None:
    # A request may take 2 s to arrive. 4 s into a drain no request that came in the last 2 s may be held, so
    # one that is incomplete after 2 s of the drain is refused.
    platform.play("client send half_ask")
    platform.call("/-/drain", "POST")
    platform.play("wait 1.7\nclient send end_ask\nreader expect POST\nreader send read\nwriter expect POST")
    platform.play("slow send half_ask\nwait 0.4\nslow expect HTTP/1.1 503\nslow expect closed")
    assert not platform.parties["client"].ended


def test_the_last_of_several_quick_orders_is_in_force(platform: PlatformWithManagement) -> None:
    for path in ("/-/drain", "/-/resume", "/-/drain", "/-/resume", "/-/resume"):
        platform.call(path, "POST")
    platform.play("client send get path=/healthz\nclient expect 200 OK\nwait 1")
    assert not platform.parties["client"].ended and platform.service.instance == Instance(State.READY)


@pytest.mark.parametrize(
    ("request_text", "status"),
    [
        ("call path=/", "404"),
        ("call path=/-/ready method=POST", "405"),
        ("call path=/-/drain", "405"),
        ("raw text=nonsense", "400"),
        ("long_head", "431"),
        ("long_body", "413"),
    ],
)
def test_an_invalid_management_request_is_an_error_and_changes_nothing(
    platform: PlatformWithManagement, request_text: str, status: str
) -> None:
    platform.parties["operator"] = FakePeer(("127.0.0.1", platform.endpoint.port))
    platform.play(f"operator send {request_text}\noperator expect HTTP/1.1 {status}\noperator expect closed")
    assert platform.service.instance == Instance(State.READY)


def test_incomplete_management_requests_do_not_block_others(platform: PlatformWithManagement) -> None:
    for n in range(2 * MAX_CONNECTIONS + 5):
        platform.parties[f"half{n}"] = FakePeer(("127.0.0.1", platform.endpoint.port))
        platform.play(f"half{n} send half")
    platform.call("/-/ready")
    open_now = sum(not platform.parties[f"half{n}"].ended for n in range(2 * MAX_CONNECTIONS + 5))
    assert 0 < open_now <= MAX_CONNECTIONS
    last = f"half{2 * MAX_CONNECTIONS + 4}"
    platform.play(f"wait 5.1\n{last} expect HTTP/1.1 408\n{last} expect closed")


def test_management_requests_are_handled_before_those_of_clients(platform: PlatformWithManagement) -> None:
    order: list[str] = []
    accepted = platform.front.clients.accepted
    platform.front._acceptor._accepted = lambda sock: (order.append("client"), accepted(sock))  # type: ignore[func-returns-value,assignment]
    accept = platform.endpoint._accept

    def accept_first(mask: int) -> None:
        order.append("management")
        accept(mask)

    platform.service.loop.watch(platform.endpoint._listener, 1, accept_first, first=True)
    platform.parties["operator"] = FakePeer(("127.0.0.1", platform.endpoint.port))
    for name in ("client", "operator"):
        platform.parties[name].send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
    platform.until(lambda: len(order) == 2, "both are accepted")
    assert order == ["management", "client"]


def test_the_transitions_cover_every_state_and_event() -> None:
    assert TRANSITIONS.keys() == {(state, event) for state in State for event in Event}
    assert FRONT_MODES.keys() == set(State)


class InstanceModel(RuleBasedStateMachine):
    """Compares an instance with a model that derives each property from the whole history of events."""

    def __init__(self) -> None:
        super().__init__()
        self.start = State.STARTING
        self.history: list[Event] = []
        self.instance = Instance(self.start)

    @rule(event=st.sampled_from(Event))
    def apply(self, event: Event) -> None:
        self.history.append(event)
        self.instance = step(self.instance, event)

    def expected(self) -> tuple[bool, bool, bool, bool]:
        """Whether the instance is able to serve, drained, succeeded and told to end, by the history."""
        able = drained = succeeded = ended = False
        for event in self.history:
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
    def agrees_with_history(self) -> None:
        able, drained, succeeded, ended = self.expected()
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


TestInstance = InstanceModel.TestCase
TestInstance.settings = settings(max_examples=60, stateful_step_count=25, derandomize=True, deadline=None)


def test_after_a_lost_successor_the_instance_serves_again_and_keeps_its_drain() -> None:
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


# Guards against a management request that holds its connection by a body that it states and does not send.
@pytest.mark.parametrize(
    ("framing", "status"),
    [
        (b"Content-Length: 4000000000\r\n\r\n", "413"),
        (b"Transfer-Encoding: chunked\r\n\r\nee6b2800\r\n", "413"),
        (b"Transfer-Encoding: chunked\r\n\r\n" + b"0" * 1100, "400"),
        (b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + b"y" * 4100, "431"),
    ],
)
def test_a_management_request_that_states_too_much_is_answered_at_once(
    platform: PlatformWithManagement, framing: bytes, status: str
) -> None:
    operator = platform.parties["operator"] = FakePeer(("127.0.0.1", platform.endpoint.port))
    operator.send(b"POST /-/drain HTTP/1.1\r\nHost: x\r\n" + framing)
    platform.wait(0.1)
    assert f"HTTP/1.1 {status}" in operator.text
    assert platform.service.instance == Instance(State.READY)
