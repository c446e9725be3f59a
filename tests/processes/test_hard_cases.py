"""One instance, several real processes of it, and what may happen to them on the way. Checked by the rules
over all of them together: whatever is told to one holds for the other."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from yewlab.processes.host import Instance, Process
from yewlab.processes.net import ClientSide
from yewlab.processes.operate import Operators, Play, Waits
from yewlab.processes.stage import Stage

MOST = 30.0  # s for one case
RATE = 12.0  # turns a second
CROWD, CALLERS = 2000, 64


class Case:
    """A stage with one instance that serves clients, and a script that is played on it."""

    def __init__(self, folder: Path) -> None:
        self.stage = Stage(folder, 1, seed=5, rate=RATE)
        self.loop, self.operators = self.stage.loop, Operators(self.stage)
        self.instance: Instance = self.stage.instances[0]
        self.way = self.stage.clients.ways[0]

    def play(self, script: Callable[[Process], Waits]) -> None:
        """Serve, play the script, let everything end; then all that must hold is asked."""

        def whole() -> Waits:
            first = self.instance.start()
            yield from self.operators.yes(self.instance, first)
            yield lambda: self.way.healthy
            self.stage.clients.begin()
            yield 1.0
            yield from script(first)
            yield 0.5
            self.stage.clients.stopped = True
            yield lambda: not self.stage.clients.open

        self.operators.begin()
        done = Play(self.loop).whole(self.stage, whole(), MOST)
        tally, count = self.stage.clients.tally, self.operators.count
        assert done, self.operators.story
        assert self.stage.rules.broken == []
        assert tally.requests == tally.answered_once + tally.lost_with_process > 0
        assert (tally.unread, count.held, count.late_yes) == (0, 0, 0)
        assert (count.door_late, count.door_wrong) == (0, 0)
        for process in self.instance.processes:
            assert not process.said("turn failed") and not process.said("handler failed")

    def yes(self, process: Process) -> Waits:
        yield from self.operators.yes(self.instance, process)
        assert process.yes_at is not None

    def end(self, process: Process) -> Waits:
        self.instance.end(process)
        yield lambda: not process.running
        assert not process.killed

    def call(self, process: Process, path: str, wanted: int = 200) -> Waits:
        yield from self.operators.call(process, "POST", path, wanted)

    def until(self, process: Process, event: str) -> Waits:
        end = self.loop.now + 5.0
        yield lambda: process.said(event) > 0 or self.loop.now > end
        assert process.said(event), process.log.read_text()


@pytest.fixture
def case(tmp_path: Path) -> Iterator[Case]:
    played = Case(tmp_path)
    yield played
    played.stage.close()


def test_two_upgrades_in_a_row(case: Case) -> None:
    def script(first: Process) -> Waits:
        second = case.instance.start()
        yield from case.yes(second)
        third = case.instance.start()  # while the first one is still there
        yield from case.yes(third)
        yield from case.until(second, "state: ready to handing over")
        yield from case.end(first)
        yield from case.end(second)
        assert third.said("hand-over taken") and second.said("hand-over taken")
        yield from case.call(third, "/-/drain")
        yield from case.call(third, "/-/resume")

    case.play(script)


@pytest.mark.parametrize("order", ["term drain hup", "hup drain term", "drain hup term"])
def test_signals_and_orders_during_an_overlap(case: Case, order: str) -> None:
    def script(first: Process) -> Waits:
        second = case.instance.start()
        yield from case.until(second, "serving")
        yield from case.yes(second)
        yield from case.until(first, "state: ready to handing over")
        for what in order.split():
            if what == "term":
                case.instance.end(first)
            elif what == "hup":
                first.signal(signal.SIGHUP)
                second.signal(signal.SIGHUP)
            else:
                yield from case.call(second, "/-/drain")
        if "drain" in order:
            yield from case.call(second, "/-/resume")
        yield lambda: not first.running
        assert second.said("reloaded") == 1

    case.play(script)


def test_a_drain_holds_while_the_register_is_silent_and_the_process_is_replaced(case: Case) -> None:
    def script(first: Process) -> Waits:
        case.stage.faces[0].silent = True
        yield from case.call(first, "/-/drain")
        yield 0.5
        second = case.instance.start()
        yield from case.yes(second)
        yield from case.end(first)
        yield 0.3
        assert not case.way.healthy and second.said("state: succeeding to draining")
        yield from case.call(second, "/-/resume")
        end = case.loop.now + 2.0
        yield lambda: case.way.healthy or case.loop.now > end
        assert case.way.healthy
        case.stage.faces[0].silent = False

    case.play(script)


def test_a_resume_before_the_drain_is_over(case: Case) -> None:
    def script(first: Process) -> Waits:
        for wait in (0.0, 0.2, 0.6):
            yield from case.call(first, "/-/drain")
            yield wait
            yield from case.call(first, "/-/resume")
            yield 0.3
            assert case.way.healthy

    case.play(script)


def test_half_calls_and_a_crowd_keep_no_operator_waiting(case: Case) -> None:
    def script(first: Process) -> Waits:
        case.stage.clients.stopped = True  # the crowd takes what room there is
        yield lambda: not case.stage.clients.open
        crowd = [ClientSide(case.loop, case.instance.address) for _ in range(CROWD // 2)]
        halves = [ClientSide(case.loop, first.door) for _ in range(CALLERS)]
        for half in halves:
            half.channel.send(b"POST /-/drain HTTP/1.1\r\nHo")
        crowd += [ClientSide(case.loop, case.instance.address) for _ in range(CROWD // 2)]
        for path in ("/-/drain", "/-/resume") * 5:
            yield from case.call(first, path)
            yield 0.05
        for side in (*halves, *crowd):
            side.close()
        yield lambda: case.way.healthy

    case.play(script)


def test_a_worker_told_to_drain_to_the_old_process_only(case: Case) -> None:
    def script(first: Process) -> Waits:
        case.stage.register.put("w0", lifecycle="draining")
        yield 0.3
        case.stage.faces[0].silent = True  # the new one hears nothing, and its configuration says `up`
        second = case.instance.start()
        yield from case.yes(second)
        yield from case.end(first)
        yield 2.0  # the rules hold it to what its predecessor was told
        case.stage.faces[0].silent = False

    case.play(script)


def test_a_list_older_than_the_one_handed_over_is_not_believed(case: Case) -> None:
    def script(first: Process) -> Waits:
        case.stage.register.put("w0", lifecycle="draining")
        yield 0.3
        second = case.instance.start()
        case.stage.faces[0].behind = case.stage.register.generation - 1
        yield from case.yes(second)
        yield from case.until(second, "discovery watch lost: not understood: a list of generation")
        case.stage.faces[0].behind = None
        yield from case.end(first)
        yield 1.5

    case.play(script)


def test_an_unsafe_request_whose_last_byte_comes_late(case: Case) -> None:
    """Written in two parts, with a step of the upgrade between them: answered once by whoever has it."""
    turns: list[Half] = []

    def script(first: Process) -> Waits:
        turns.append(Half(case))
        second = case.instance.start()
        turns.append(Half(case))
        yield from case.until(second, "door open")
        turns[0].end()
        yield from case.yes(second)
        turns[1].end()
        turns.append(Half(case))
        yield from case.until(first, "state: ready to handing over")
        turns.append(Half(case))
        case.instance.end(first)
        turns[2].end()
        yield 0.2
        turns[3].end()
        yield lambda: not first.running and all(turn.status for turn in turns)
        assert not first.killed and {turn.status for turn in turns} == {200}

    case.play(script)


class Half:
    """An unsafe request whose last bytes wait for `end`."""

    def __init__(self, case: Case) -> None:
        clients = case.stage.clients
        self.status, self._case, self._id = 0, case, clients.next_id()
        self._rest = b"}"
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Txn: {self._id}\r\nX-Lane: service-log\r\n"
            f"X-Org: {clients.tenants[0]}\r\nX-Entity: {self._id}\r\nX-Remaining: 9000m\r\n"
            "X-Labels: prompt_len=800,max_out=200\r\nContent-Length: 15\r\n\r\n"
        )
        effect = clients.settings.classes[1].effect
        case.stage.rules.came(self._id, effect, case.loop.now + 9.0, case.loop.now)
        self._side = ClientSide(case.loop, case.instance.address)
        self._side.ask(self, head.encode() + b'{"stream":true')

    def end(self) -> None:
        self._side.channel.send(self._rest)

    def begun(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self._case.stage.rules.began(self._id, self._case.loop.now)

    def data(self, data: bytes) -> None:
        """Its end tells."""

    def whole(self) -> None:
        self._case.stage.rules.answered(self._id, self.status == 503, self._case.loop.now)

    def lost(self, error: OSError | None) -> None:
        if self.status == 200:  # moved
            return self._case.stage.rules.answered(self._id, False, self._case.loop.now)
        self.status = -1
        return None
