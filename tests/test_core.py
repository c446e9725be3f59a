"""The core by itself: endings, stages and the rules that hold on any front."""

from __future__ import annotations

import ast
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from settings import ENV

from hopshed import interface as i
from hopshed import wire
from yewhook.core.ending import OUTCOMES, Ending
from yewhook.core.router import Router
from yewhook.core.spent_ids import KEPT_FOR
from yewhook.core.state_releases import CLOSE_SEEN, RELEASE_FIRST
from yewhook.deadlines import Deadlines
from yewhook.log import Log

CORE = Path(__file__).parent.parent / "yewhook" / "core"
Out = i.Outcome
ROWS = [
    (Ending.SERVED, Out.OK), (Ending.READ, Out.READ), (Ending.ERROR, Out.FAILED),
    (Ending.GARBLED, Out.FAILED),
    (Ending.TURNED_AWAY, Out.FULL), (Ending.STATE_GONE, Out.FULL),
    (Ending.CONNECT_REFUSED, Out.UNREACHABLE),
    (Ending.CONNECT_SILENT, Out.UNREACHABLE), (Ending.NO_SOCKET, Out.UNREACHABLE),
    (Ending.BROKEN_UNSENT, Out.UNREACHABLE), (Ending.UNSENT_IN_TIME, Out.UNREACHABLE),
    (Ending.BROKEN, Out.RESET), (Ending.CLOSED, Out.RESET), (Ending.TIMED_OUT, Out.TIMED_OUT),
    (Ending.CANCELED, Out.CANCELED), (Ending.CLIENT_LEFT, Out.CANCELED), (Ending.MOVED, Out.CANCELED),
    (Ending.CLIENT_STALLED, Out.CANCELED), (Ending.WORKER_STALLED, Out.TIMED_OUT),
    (Ending.TOOL_TIMED_OUT, Out.FAILED), (Ending.TOOL_GONE, Out.FAILED), (Ending.TOOL_ERROR, Out.FAILED),
    (Ending.SERVER_LEFT, Out.NOT_SENT), (Ending.NOT_SENT, Out.NOT_SENT),
]  # fmt: skip


@pytest.mark.parametrize(("ending", "outcome"), ROWS)
def test_each_ending_has_its_outcome(ending: Ending, outcome: i.Outcome) -> None:
    assert OUTCOMES[ending] is outcome


def test_no_ending_is_left_out() -> None:
    assert {ending for ending, _ in ROWS} == set(Ending) == set(OUTCOMES)


def test_endings_become_outcomes_nowhere_else() -> None:
    package = CORE.parent
    texts = {path.name: path.read_text() for path in package.rglob("*.py")}
    assert {name for name, text in texts.items() if "Outcome" in text and "Ending" in text} == {"ending.py"}


def test_the_core_knows_no_wire() -> None:
    wires = {"socket", "selectors", "ssl", "http", "json", "httptools", "dns", "struct"}
    for path in CORE.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            assert not {name.partition(".")[0] for name in names} & wires, f"{path}: {names}"


def test_importing_the_core_brings_in_no_wire_of_ours() -> None:
    code = "import sys, yewhook.core.router; print(*(m for m in sys.modules if m.startswith('yewhook')))"
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, capture_output=True, text=True, check=True, cwd=CORE.parents[1])
    allowed = ("yewhook.core", "yewhook.deadlines", "yewhook.log")
    assert all(name == "yewhook" or name.startswith(allowed) for name in done.stdout.split())


class Client:
    def __init__(self) -> None:
        self.heard: list[str] = []
        self.disconnected = False

    def send_event(self, event: object) -> None:
        self.heard.append(f"event {event}")

    def finish(self) -> None:
        self.heard.append("finish")

    def abort_stream(self, ending: Ending) -> None:
        self.heard.append(f"break off {ending.name}")

    def refuse(self, retry_after: float) -> None:
        self.heard.append("refuse")

    def fail(self, ending: Ending | None) -> None:
        self.heard.append("fail")


class Workers:
    def __init__(self) -> None:
        self.sent: list[tuple[str, int, int]] = []
        self.aborted: list[tuple[str, int]] = []
        self.released: list[str] = []
        self.release_times: list[tuple[float, float]] = []  # from when on, and by when
        self.confirms: list[Callable[[], None]] = []
        self.begins: list[float] = []  # s in which each attempt must be on its way
        self.forgotten: list[int] = []
        self.waiting: set[tuple[str, int]] = set()  # attempts whose connections are not up

    def send(
        self, request_id: str, attempt: int, server: int, call: object, timeout: float, begins: float
    ) -> None:
        self.sent.append((request_id, attempt, server))
        self.begins.append(begins)

    def abort(self, request_id: str, attempt: int) -> bool:
        self.aborted.append((request_id, attempt))
        return True

    def catch_up(self, request_id: str, attempt: int) -> None:
        """Nothing has come that was not told."""

    def withdraw(self, request_id: str, attempt: int) -> bool:
        return (request_id, attempt) in self.waiting

    def release(self, request_id: str, begin_at: float, due: float, done: Callable[[], None]) -> None:
        self.released.append(request_id)
        self.confirms.append(done)
        self.release_times.append((begin_at, due))

    def forget(self, server: int) -> None:
        self.forgotten.append(server)

    def pause(self, request_id: str, attempt: int, paused: bool) -> None:
        raise AssertionError("nothing is slow here")


class Scripted:
    """Stands in for the module: does what the test says, and remembers what it was told."""

    def __init__(self) -> None:
        self.told: list[i.Event] = []
        self.acts: list[i.Action] = []

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        self.told += events
        acts, self.acts = self.acts, []
        return acts


READER, WRITER = 1, 2
FLEET = (
    i.Server(READER, 0, 0, 0, i.ServerState.RUNNING),
    i.Server(WRITER, 1, 0, 0, i.ServerState.RUNNING),
    i.Server(3, 1, 0, 0, i.ServerState.RUNNING),
)


class Core:
    def __init__(self) -> None:
        self.now = 100.0
        self.deadlines, self.workers, self.client, self.module = Deadlines(), Workers(), Client(), Scripted()
        log = Log("test")
        settings = wire.settings(ENV)
        self.router = Router(settings, 1, self.deadlines, lambda: self.now, self.workers, log)
        self.router._module = self.module  # type: ignore[assignment]
        self.router.servers_listed(i.ListKind.FULL, FLEET)

    def take(self, cls: int = 0, request_id: str = "a") -> None:
        arrived = i.RequestArrived(request_id, cls, 0, "s", 8.0, 100.0)
        assert self.router.accept(arrived, self.client, "call")
        self.do()

    def do(self, *acts: i.Action) -> None:
        self.module.acts = list(acts)
        if acts:
            self.router._facts.append(i.TimerFired(0))  # something to decide on
        while self.router.turn(self.now):
            pass

    def wait(self, seconds: float) -> None:
        self.now += seconds
        for call in self.deadlines.pop_due(self.now):
            call()
        self.do()

    def outcomes(self) -> list[i.Outcome]:
        return [e.outcome for e in self.module.told if isinstance(e, i.AttemptEnded)]


@pytest.fixture
def c() -> Core:
    return Core()


def test_one_attempt_at_a_time(c: Core) -> None:
    c.take()
    c.do(i.Send("a", WRITER, 1.0), i.Send("a", 3, 1.0))
    assert c.workers.sent == [("a", 0, WRITER)] and c.outcomes() == [Out.NOT_SENT]


@pytest.mark.parametrize("ending", [Ending.BROKEN, Ending.TIMED_OUT, Ending.ERROR, Ending.CANCELED])
def test_an_unsafe_request_that_may_have_run_is_not_repeated(c: Core, ending: Ending) -> None:
    c.take(cls=1)
    c.do(i.Send("a", WRITER, 1.0))
    c.router.attempt_ended("a", 0, ending)
    c.do(i.Send("a", 3, 1.0))
    assert len(c.workers.sent) == 1
    # Refusing would tell the client that a repeat is harmless.
    c.do(i.Refuse("a"))
    assert c.client.heard == ["fail"]


@pytest.mark.parametrize("ending", [Ending.TURNED_AWAY, Ending.CONNECT_REFUSED, Ending.BROKEN_UNSENT])
def test_an_unsafe_request_that_never_ran_may_go_on(c: Core, ending: Ending) -> None:
    c.take(cls=1)
    c.do(i.Send("a", WRITER, 1.0))
    c.router.attempt_ended("a", 0, ending)
    c.do(i.Send("a", 3, 1.0))
    assert len(c.workers.sent) == 2


def test_an_attempt_at_a_reader_has_no_effect(c: Core) -> None:
    c.take(cls=1)
    c.do(i.Send("a", READER, 1.0))
    c.router.attempt_ended("a", 0, Ending.BROKEN)
    c.do(i.Refuse("a", 0.2))
    assert c.client.heard == ["refuse"]


def test_a_read_that_is_out_is_given_up_before_its_request_is_refused(c: Core, monkeypatch: Any) -> None:
    # A refusal says that nothing runs: a router that ended refused first and gave the read up afterwards.
    c.take(cls=1)
    c.do(i.Send("a", READER, 1.0))
    given_up: list[tuple[str, int]] = []
    monkeypatch.setattr(c.client, "refuse", lambda retry_after: given_up.extend(c.workers.aborted))
    c.router.end_all()
    c.do()
    assert given_up == [("a", 0)] and not c.router.requests


def test_exactly_one_final_answer(c: Core) -> None:
    c.take()
    c.do(i.Refuse("a"), i.Fail("a"), i.Refuse("a"))
    c.router.client_left("a")
    c.wait(20.0)
    assert c.client.heard == ["refuse"] and not c.router.requests


def test_what_the_module_forgets_is_answered_at_the_deadline(c: Core) -> None:
    c.take()
    c.wait(8.1)
    assert c.client.heard == ["refuse"]


def test_a_stream_has_no_deadline_and_belongs_to_the_client(c: Core) -> None:
    c.take()
    c.do(i.Send("a", WRITER, 1.0))
    assert c.router.stream_event("a", 0, "x")
    c.wait(30.0)
    c.do(i.Send("a", 3, 1.0), i.CancelAttempt("a", 0))
    assert c.client.heard == ["event x"] and not c.workers.aborted and len(c.workers.sent) == 1
    c.router.attempt_ended("a", 0, Ending.SERVED)
    c.do()
    assert c.client.heard == ["event x", "finish"] and c.outcomes() == [Out.NOT_SENT, Out.OK]


def test_a_stream_without_an_event_is_no_answer(c: Core) -> None:
    # The module takes OK as the end of a request; without an event the client has no answer yet.
    c.take()
    c.do(i.Send("a", WRITER, 1.0))
    c.router.attempt_ended("a", 0, Ending.SERVED)
    c.do()
    assert c.outcomes() == [Out.FAILED] and not c.client.heard


def test_a_moved_stream_ends_its_attempt(c: Core) -> None:
    c.take()
    c.do(i.Send("a", WRITER, 1.0))
    c.router.stream_event("a", 0, "x")
    c.do(i.MoveStream("a"))
    assert c.client.heard[-1] == "break off MOVED" and c.workers.aborted == [("a", 0)]
    assert c.outcomes() == [Out.CANCELED] and not c.router.requests


def test_a_state_that_nobody_takes_is_let_go_once_within_the_limit(c: Core) -> None:
    c.take()
    c.do(i.Send("a", READER, 1.0))
    c.router.attempt_ended("a", 0, Ending.READ)
    c.do()
    c.wait(0.9)
    c.do(i.Refuse("a"))
    assert c.workers.released == ["a"]


@pytest.mark.parametrize("ending", [Ending.GARBLED, Ending.TIMED_OUT, Ending.TURNED_AWAY])
def test_an_id_of_an_unsafe_request_that_may_have_run_is_not_taken_again(c: Core, ending: Ending) -> None:
    # It came again 5 ms after its end, had no attempts here, and could be refused as harmless or run anew.
    c.take(cls=1)
    c.do(i.Send("a", WRITER, 1.0))
    c.router.attempt_ended("a", 0, ending)
    c.do(i.Fail("a"))
    again = i.RequestArrived("a", 1, 0, "s", 8.0, 100.0)
    ran = ending is not Ending.TURNED_AWAY
    assert c.router.accept(again, Client(), "call") is not ran
    c.router.client_left("a")
    c.do()
    c.wait(KEPT_FOR)
    assert c.router.accept(again, Client(), "call")


def test_an_id_of_a_safe_request_is_taken_again(c: Core) -> None:
    c.take()
    c.do(i.Send("a", WRITER, 1.0))
    c.router.attempt_ended("a", 0, Ending.GARBLED)
    c.do(i.Fail("a"))
    assert c.router.accept(i.RequestArrived("a", 0, 0, "s", 8.0, 100.0), Client(), "call")


def test_a_connection_that_never_comes_up_leaves_the_time_of_a_state_running(c: Core) -> None:
    # The state waited 0.65 s for a writer, and each of three connections took 0.25 s more: 1.40 s in all.
    c.take()
    c.do(i.Send("a", READER, 1.0))
    c.router.attempt_ended("a", 0, Ending.READ)
    c.do()
    c.wait(0.6)
    c.do(i.Send("a", WRITER, 1.0))
    assert c.workers.begins[-1] == pytest.approx(0.2)
    c.wait(0.15)
    c.router.attempt_ended("a", 1, Ending.CONNECT_SILENT)
    c.do(i.Send("a", 3, 1.0))
    assert c.workers.begins[-1] == pytest.approx(0.05)
    c.wait(0.05)
    c.router.attempt_ended("a", 2, Ending.CONNECT_SILENT)
    c.do()
    c.wait(0.001)
    assert c.workers.released == ["a"] and c.workers.release_times[0] == pytest.approx((100.8, 101.0))


def read_then_send(c: Core) -> None:
    """A read has ended at 100.0 and its state is on its way to a writer."""
    c.take()
    c.do(i.Send("a", READER, 1.0))
    c.router.attempt_ended("a", 0, Ending.READ)
    c.do(i.Send("a", WRITER, 4.0))


@pytest.mark.parametrize("ending", [Ending.TURNED_AWAY, Ending.ERROR, Ending.GARBLED])
def test_an_answer_starts_the_time_of_a_state_anew(c: Core, ending: Ending) -> None:
    read_then_send(c)
    c.wait(0.7)
    c.router.attempt_ended("a", 1, ending)
    c.do()
    c.wait(0.7)
    assert not c.workers.released
    c.wait(0.11)
    assert c.workers.released == ["a"] and c.workers.release_times[0][1] == pytest.approx(101.7)


@pytest.mark.parametrize("ending", [Ending.BROKEN, Ending.CLOSED, Ending.TIMED_OUT, Ending.CANCELED])
def test_an_end_without_an_answer_leaves_the_time_of_a_state_running(c: Core, ending: Ending) -> None:
    # The attempt may never have reached the worker, and then it was never out.
    read_then_send(c)
    c.wait(0.7)
    c.router.attempt_ended("a", 1, ending)
    c.do()
    c.wait(0.101)
    assert c.workers.released == ["a"] and c.workers.release_times[0][1] == pytest.approx(101.0)


def test_a_state_is_let_go_in_time_though_an_attempt_is_out(c: Core) -> None:
    read_then_send(c)
    c.wait(0.79)
    assert not c.workers.released
    c.wait(0.02)
    assert c.workers.released == ["a"] and c.workers.release_times[0] == pytest.approx((100.81, 101.0))
    assert i.StateReleased("a") in c.module.told
    assert not c.workers.aborted  # a writer that lives may have it, and answers yet
    assert c.router.stream_event("a", 1, "x") and c.client.heard == ["event x"]
    c.wait(5.0)
    assert c.workers.released == ["a"]


@pytest.mark.parametrize("ending", [Ending.TURNED_AWAY, Ending.BROKEN, Ending.TIMED_OUT])
def test_what_a_late_attempt_waited_for_is_let_go_after_its_end(c: Core, ending: Ending) -> None:
    # Letting go has no effect on a state that an attempt waits for: it is left when that attempt ends.
    read_then_send(c)
    c.wait(2.0)
    c.router.attempt_ended("a", 1, ending)
    c.do()
    c.wait(0.81)
    assert c.workers.released == ["a", "a"] and c.workers.release_times[1][1] == pytest.approx(103.0)


@pytest.mark.parametrize("ending", [Ending.CONNECT_SILENT, Ending.BROKEN_UNSENT])
def test_an_attempt_that_reached_nobody_leaves_nothing_after_its_state_was_let_go(
    c: Core, ending: Ending
) -> None:
    read_then_send(c)
    c.wait(0.81)
    c.router.attempt_ended("a", 1, ending)
    c.do()
    c.wait(2.0)
    assert c.workers.released == ["a"]


def test_a_read_waits_until_what_an_earlier_one_may_have_left_is_let_go(c: Core) -> None:
    # The call undoes a read that is under way, so the state was gone when its writer asked for it.
    c.take()
    c.do(i.Send("a", READER, 0.5))
    c.wait(0.5)
    assert c.outcomes() == [Out.TIMED_OUT]
    c.do(i.Send("a", READER, 4.0))
    assert c.workers.released == ["a"] and c.workers.sent == [("a", 0, READER)]
    c.wait(0.03)
    c.workers.confirms[0]()
    assert c.workers.sent[1:] == [("a", 1, READER)]
    c.wait(1.0)
    assert c.workers.released == ["a"]


def test_a_read_waits_for_the_release_that_its_module_orders(c: Core) -> None:
    read_then_send(c)
    c.router.attempt_ended("a", 1, Ending.STATE_GONE)
    c.do(i.ReleaseState("a"), i.Send("a", READER, 4.0))
    assert len(c.workers.sent) == 2
    c.workers.confirms[0]()
    assert c.workers.sent[2:] == [("a", 2, READER)]


def test_a_read_does_not_wait_for_long_where_nobody_confirms_a_release(c: Core) -> None:
    read_then_send(c)
    c.router.attempt_ended("a", 1, Ending.STATE_GONE)
    c.do(i.ReleaseState("a"), i.Send("a", READER, 4.0))
    c.wait(RELEASE_FIRST + 0.01)
    assert c.workers.sent[2:] == [("a", 2, READER)]
    c.workers.confirms[0]()
    assert len(c.workers.sent) == 3


@pytest.mark.parametrize("ends", ["client leaves", "server drains"])
def test_a_read_that_still_waits_is_not_sent_where_it_must_not_be(c: Core, ends: str) -> None:
    read_then_send(c)
    c.router.attempt_ended("a", 1, Ending.STATE_GONE)
    c.do(i.ReleaseState("a"), i.Send("a", READER, 4.0))
    if ends == "client leaves":
        c.router.client_left("a")
    else:
        c.router.servers_listed(i.ListKind.CHANGES, (FLEET[0]._replace(state=i.ServerState.DRAINING),))
    c.do()
    c.now += 0.01
    for confirm in c.workers.confirms:
        confirm()
    c.wait(RELEASE_FIRST)
    assert len(c.workers.sent) == 2
    assert c.outcomes()[-1] is (Out.CANCELED if ends == "client leaves" else Out.NOT_SENT)


def test_a_read_that_was_given_up_is_released_once_its_close_has_been_seen(c: Core) -> None:
    # At once, the call may overtake the close, and what the read leaves in between stays.
    c.take()
    c.do(i.Send("a", READER, 1.0))
    c.router.client_left("a")
    c.do()
    assert c.workers.release_times[0] == pytest.approx((100.0 + CLOSE_SEEN, 101.0))


def test_a_cancelled_read_may_have_left_a_state(c: Core) -> None:
    # The read may have ended at the very moment its connection closed.
    c.take()
    c.do(i.Send("a", READER, 1.0))
    c.router.client_left("a")
    c.do()
    assert c.workers.aborted == [("a", 0)] and c.workers.released == ["a"]


def test_a_time_out_is_told_and_its_answer_still_given(c: Core) -> None:
    c.take()
    c.do(i.Send("a", WRITER, 0.0))
    c.wait(8.0)
    c.do(i.Fail("a"))
    assert c.outcomes() == [Out.TIMED_OUT] and c.client.heard == ["fail"]


def test_nothing_is_sent_to_a_server_told_to_drain_for_longer_than_the_grace(c: Core) -> None:
    c.router.servers_listed(i.ListKind.CHANGES, (FLEET[1]._replace(state=i.ServerState.DRAINING),))
    c.take()
    c.wait(1.1)
    c.do(i.Send("a", WRITER, 1.0), i.Send("a", 99, 1.0))
    assert not c.workers.sent and c.outcomes() == [Out.NOT_SENT] * 2


def test_deadlines_come_due_in_order_and_can_be_cancelled() -> None:
    deadlines, heard = Deadlines(), list[str]()
    deadlines.set(2.0, lambda: heard.append("b"))
    first = deadlines.set(1.0, lambda: heard.append("a"))
    gone = deadlines.set(1.5, lambda: heard.append("gone"))
    deadlines.cancel(gone)
    assert deadlines.next_due() == first.at
    for call in deadlines.pop_due(2.0):
        call()
    assert heard == ["a", "b"] and deadlines.next_due() is None


def test_a_repeat_by_key_is_given_up_when_its_window_ends(c: Core) -> None:
    # Written to a server that hangs, it may be taken up later; after the window it would run anew.
    keyed = replace(c.router.settings.classes[0], effect=i.Effect.KEYED, dedup_window=2.0)
    c.router.settings = replace(c.router.settings, classes=(keyed, *c.router.settings.classes[1:]))
    c.take()
    c.do(i.Send("a", WRITER, 1.0))
    c.router.attempt_ended("a", 0, Ending.BROKEN)
    c.do()
    c.wait(0.5)
    c.do(i.Send("a", 3, 4.0))
    c.wait(1.4)
    assert not c.workers.aborted
    c.wait(0.11)
    assert c.workers.aborted == [("a", 1)] and c.outcomes() == [Out.RESET, Out.TIMED_OUT]
