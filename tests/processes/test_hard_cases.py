"""One router instance with several real processes: upgrades, signals, drains and stale lists.

The rules are checked over all processes together: what one process was told also binds its successor.
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from yewlab.processes.http_connections import ClientConnection
from yewlab.processes.instances import Instance, Process
from yewlab.processes.operate import Operators, Script, ScriptRunner
from yewlab.processes.testbed import ProcessTestBed

MAX_RUN_S = 30.0  # for one case
TURNS_PER_S = 12.0
IDLE_CONNECTIONS = 2000
INCOMPLETE_CALLS = 64


class Case:
    """One instance that serves clients on a test bed, and a script that is run on it."""

    def __init__(self, folder: Path) -> None:
        self.test_bed = ProcessTestBed(folder, 1, seed=5, turns_per_s=TURNS_PER_S)
        self.loop, self.operators = self.test_bed.loop, Operators(self.test_bed)
        self.instance: Instance = self.test_bed.instances[0]
        self.route = self.test_bed.clients.routes[0]

    def play(self, script: Callable[[Process], Script]) -> None:
        """Serve, run the script, wait for the open requests, and check all that must hold."""

        def whole_script() -> Script:
            first = self.instance.start_process()
            yield from self.operators.wait_ready(self.instance, first)
            yield lambda: self.route.healthy
            self.test_bed.clients.start()
            yield 1.0
            yield from script(first)
            yield 0.5
            self.test_bed.clients.stopped = True
            yield lambda: not self.test_bed.clients.open_requests

        self.operators.start_clock()
        done = ScriptRunner(self.loop).run(self.test_bed, whole_script(), MAX_RUN_S)
        tally, count = self.test_bed.clients.tally, self.operators.counts
        assert done, self.operators.timeline
        assert self.test_bed.rules.broken == []
        assert tally.requests == tally.answered_once + tally.lost_with_process > 0
        assert (tally.unanswered_on_new, count.drain_violations, count.late_ready) == (0, 0, 0)
        assert (count.mgmt_timeouts, count.mgmt_wrong_status) == (0, 0)
        for process in self.instance.processes:
            assert not process.count_log_lines("turn failed") and not process.count_log_lines(
                "handler failed"
            )

    def wait_ready(self, process: Process) -> Script:
        yield from self.operators.wait_ready(self.instance, process)
        assert process.ready_at is not None

    def end(self, process: Process) -> Script:
        self.instance.terminate(process)
        yield lambda: not process.running
        assert not process.killed

    def call(self, process: Process, path: str, wanted: int = 200) -> Script:
        yield from self.operators.call_mgmt(process, "POST", path, wanted)

    def until(self, process: Process, event: str) -> Script:
        end = self.loop.now + 5.0
        yield lambda: process.count_log_lines(event) > 0 or self.loop.now > end
        assert process.count_log_lines(event), process.log_path.read_text()


@pytest.fixture
def case(tmp_path: Path) -> Iterator[Case]:
    played = Case(tmp_path)
    yield played
    played.test_bed.close()


def test_two_upgrades_in_a_row(case: Case) -> None:
    def script(first: Process) -> Script:
        second = case.instance.start_process()
        yield from case.wait_ready(second)
        third = case.instance.start_process()  # while the first one still runs
        yield from case.wait_ready(third)
        yield from case.until(second, "state: ready to handing over")
        yield from case.end(first)
        yield from case.end(second)
        assert third.count_log_lines("hand-over taken") and second.count_log_lines("hand-over taken")
        yield from case.call(third, "/-/drain")
        yield from case.call(third, "/-/resume")

    case.play(script)


@pytest.mark.parametrize("order", ["term drain hup", "hup drain term", "drain hup term"])
def test_signals_and_orders_during_an_overlap(case: Case, order: str) -> None:
    def script(first: Process) -> Script:
        second = case.instance.start_process()
        yield from case.until(second, "serving")
        yield from case.wait_ready(second)
        yield from case.until(first, "state: ready to handing over")
        for step in order.split():
            if step == "term":
                case.instance.terminate(first)
            elif step == "hup":
                first.send_signal(signal.SIGHUP)
                second.send_signal(signal.SIGHUP)
            else:
                yield from case.call(second, "/-/drain")
        if "drain" in order:
            yield from case.call(second, "/-/resume")
        yield lambda: not first.running
        assert second.count_log_lines("reloaded") == 1

    case.play(script)


def test_a_drain_outlasts_a_silent_discovery_and_an_upgrade(case: Case) -> None:
    def script(first: Process) -> Script:
        case.test_bed.discovery_endpoints[0].silent = True
        yield from case.call(first, "/-/drain")
        yield 0.5
        second = case.instance.start_process()
        yield from case.wait_ready(second)
        yield from case.end(first)
        yield 0.3
        assert not case.route.healthy and second.count_log_lines("state: succeeding to draining")
        yield from case.call(second, "/-/resume")
        end = case.loop.now + 2.0
        yield lambda: case.route.healthy or case.loop.now > end
        assert case.route.healthy
        case.test_bed.discovery_endpoints[0].silent = False

    case.play(script)


def test_a_resume_before_the_drain_is_over(case: Case) -> None:
    def script(first: Process) -> Script:
        for wait in (0.0, 0.2, 0.6):
            yield from case.call(first, "/-/drain")
            yield wait
            yield from case.call(first, "/-/resume")
            yield 0.3
            assert case.route.healthy

    case.play(script)


def test_incomplete_calls_and_idle_connections_do_not_block_operators(case: Case) -> None:
    def script(first: Process) -> Script:
        case.test_bed.clients.stopped = True  # the idle connections take all the room
        yield lambda: not case.test_bed.clients.open_requests
        idle = [ClientConnection(case.loop, case.instance.address) for _ in range(IDLE_CONNECTIONS // 2)]
        incomplete = [ClientConnection(case.loop, first.mgmt_address) for _ in range(INCOMPLETE_CALLS)]
        for connection in incomplete:
            connection.channel.send(b"POST /-/drain HTTP/1.1\r\nHo")
        idle += [ClientConnection(case.loop, case.instance.address) for _ in range(IDLE_CONNECTIONS // 2)]
        for path in ("/-/drain", "/-/resume") * 5:
            yield from case.call(first, path)
            yield 0.05
        for connection in (*incomplete, *idle):
            connection.close()
        yield lambda: case.route.healthy

    case.play(script)


def test_a_worker_drain_known_only_to_the_old_process(case: Case) -> None:
    def script(first: Process) -> Script:
        case.test_bed.discovery.put("w0", lifecycle="draining")
        yield 0.3
        case.test_bed.discovery_endpoints[
            0
        ].silent = True  # the new process gets no list, and its configuration says `up`
        second = case.instance.start_process()
        yield from case.wait_ready(second)
        yield from case.end(first)
        yield 2.0  # the rules hold it to what the old process was told
        case.test_bed.discovery_endpoints[0].silent = False

    case.play(script)


def test_a_list_older_than_the_one_handed_over_is_rejected(case: Case) -> None:
    def script(first: Process) -> Script:
        case.test_bed.discovery.put("w0", lifecycle="draining")
        yield 0.3
        second = case.instance.start_process()
        case.test_bed.discovery_endpoints[0].stale_generation = case.test_bed.discovery.generation - 1
        yield from case.wait_ready(second)
        yield from case.until(second, "discovery watch lost: not understood: a list of generation")
        case.test_bed.discovery_endpoints[0].stale_generation = None
        yield from case.end(first)
        yield 1.5

    case.play(script)


def test_an_unsafe_request_whose_last_byte_comes_late(case: Case) -> None:
    """Sent in two parts, with a step of an upgrade between them: answered once by the process that has it."""
    turns: list[PartialRequest] = []

    def script(first: Process) -> Script:
        turns.append(PartialRequest(case))
        second = case.instance.start_process()
        turns.append(PartialRequest(case))
        yield from case.until(second, "door open")
        turns[0].send_rest()
        yield from case.wait_ready(second)
        turns[1].send_rest()
        turns.append(PartialRequest(case))
        yield from case.until(first, "state: ready to handing over")
        turns.append(PartialRequest(case))
        case.instance.terminate(first)
        turns[2].send_rest()
        yield 0.2
        turns[3].send_rest()
        yield lambda: not first.running and all(turn.status for turn in turns)
        assert not first.killed and {turn.status for turn in turns} == {200}

    case.play(script)


class PartialRequest:
    """An unsafe request whose last byte is held back until `send_rest`."""

    def __init__(self, case: Case) -> None:
        clients = case.test_bed.clients
        self.status, self._case, self._id = 0, case, clients.new_request_id()
        self._rest = b"}"
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Txn: {self._id}\r\nX-Lane: service-log\r\n"
            f"X-Org: {clients.tenants[0]}\r\nX-Entity: {self._id}\r\nX-Remaining: 9000m\r\n"
            "X-Labels: prompt_len=800,max_out=200\r\nContent-Length: 15\r\n\r\n"
        )
        effect = clients.settings.classes[1].effect
        case.test_bed.rules.came(self._id, effect, case.loop.now + 9.0, case.loop.now)
        self._connection = ClientConnection(case.loop, case.instance.address)
        self._connection.send_request(self, head.encode() + b'{"stream":true')

    def send_rest(self) -> None:
        self._connection.channel.send(self._rest)

    def headers_received(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self._case.test_bed.rules.began(self._id, self._case.loop.now)

    def body_received(self, data: bytes) -> None:
        """Ignore the body."""

    def completed(self) -> None:
        self._case.test_bed.rules.answered(self._id, self.status == 503, self._case.loop.now)

    def connection_lost(self, error: OSError | None) -> None:
        if self.status == 200:  # the stream was moved
            return self._case.test_bed.rules.answered(self._id, False, self._case.loop.now)
        self.status = -1
        return None
