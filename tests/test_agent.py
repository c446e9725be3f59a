"""The agent with real router processes that have the tool-calls front."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from scenario import RecordingLog
from settings import ENV
from typer.testing import CliRunner

from yewhook.agent.agent import Agent
from yewhook.agent.client import ask
from yewhook.agent.fleet_file import read
from yewhook.agent.instance import StopReason
from yewhook.agent.router_link import RouterLink
from yewhook.cli import app
from yewhook.config import ConfigError
from yewhook.dnssd import Records
from yewhook.jsonrpc import RpcError
from yewhook.operations.instance import Event
from yewhook.service import Service
from yewlab.processes.addresses import free_address

TIMEOUT_S = 30.0  # an instance takes about a second to start, and longer on a busy machine


def write_fleet(folder: Path, count: int = 2) -> Path:
    (folder / "settings.json").write_text(json.dumps(ENV))
    (folder / "fleet.zone").write_text("; no workers yet\n")
    text = '[agent]\nlisten = "127.0.0.1:0"\nrecords = "routers.zone"\ndomain = "r.test."\n'
    text += 'service = "_yewhook._tcp"\ngrace_s = 10\n'
    for n in range(count):
        _, port = free_address("127.0.0.1")
        (folder / f"n{n}.toml").write_text(
            f'listen = "127.0.0.1:{port}"\nrecords = "fleet.zone"\ndomain = "f.test."\n'
            'worker_service = "_w._tcp"\ntool_service = "_t._tcp"\nsettings = "settings.json"\n'
        )
        text += f'[[instance]]\nname = "n{n}"\ntoolcalls = "n{n}.toml"\n'
    (folder / "fleet.toml").write_text(text)
    return folder / "fleet.toml"


class RunningAgent:
    """An agent in this process; the test runs its loop, and blocking calls run in a thread meanwhile."""

    def __init__(self, folder: Path, count: int = 2) -> None:
        self.log, self.count = RecordingLog(), count
        self.service = Service(self.log)
        self.fleet = read(self.write(folder))
        path = folder / "fleet.toml"
        self.agent = Agent(self.service.loop, self.fleet, self.sigterm, lambda: read(path))
        self.service.fronts.append(self.agent)
        self.service.begin()
        self.address = ("127.0.0.1", self.agent.port)

    def write(self, folder: Path) -> Path:
        return write_fleet(folder, self.count)

    def sigterm(self) -> None:
        self.service.handle_event(Event.TERM)

    def until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, (self.log.lines, self.states())
            self.service.loop.run_turn(0.05)

    def states(self) -> list[str]:
        return [instance.state.value for instance in self.agent.instances.values()]

    def run_in_thread(self, call: Callable[[], Any]) -> Any:
        results: list[Any] = []
        thread = threading.Thread(target=lambda: results.append(call()))
        thread.start()
        self.until(lambda: not thread.is_alive())
        return results[0]


@pytest.fixture
def running(tmp_path: Path) -> Iterator[RunningAgent]:
    run = RunningAgent(tmp_path)
    yield run
    run.agent.end_all()
    run.agent.close()


def published_names(run: RunningAgent) -> list[str]:
    return [service.name for service in Records(run.fleet.records, "r.test.").browse("_yewhook._tcp")]


def test_instances_are_started_restarted_published_and_drained(running: RunningAgent) -> None:
    run = running
    run.until(lambda: run.states() == ["ready", "ready"])
    assert published_names(run) == ["n0-toolcalls", "n1-toolcalls"]
    first = run.agent.instances["n0"]
    pid = first.report()["pid"]
    os.kill(pid, signal.SIGKILL)
    run.until(lambda: first.restarts == 1)
    assert published_names(run) == ["n1-toolcalls"]  # a crashed router must not be discovered
    run.until(lambda: run.states() == ["ready", "ready"])
    assert first.report()["pid"] != pid
    agent_address = f"{run.address[0]}:{run.address[1]}"
    runner = CliRunner()
    shown = run.run_in_thread(lambda: runner.invoke(app, ["status", "--agent", agent_address]))
    assert shown.exit_code == 0 and "n0" in shown.output and "ready" in shown.output
    stopped = run.run_in_thread(lambda: runner.invoke(app, ["stop", "n1", "--agent", agent_address]))
    assert stopped.exit_code == 0
    run.until(lambda: run.states() == ["ready", "stopped"])
    run.run_in_thread(lambda: ask(run.address, "agent/restart", {"name": "n0"}))
    run.until(lambda: first.state.value == "ready" and first.restarts == 1)
    run.run_in_thread(lambda: ask(run.address, "agent/shutdown", {}))
    run.until(lambda: run.service.loop.stopped)
    assert run.states() == ["stopped", "stopped"] and published_names(run) == []
    assert not any("killed" in line for line in run.log.lines)


def test_a_new_fleet_file_is_applied_at_a_reload(running: RunningAgent) -> None:
    # SIGHUP must not end the agent and orphan its routers, and an invalid file must change nothing.
    run = running
    run.until(lambda: run.states() == ["ready", "ready"])
    kept = run.agent.instances["n0"].report()["pid"]
    path = run.fleet.records.parent / "fleet.toml"
    text = path.read_text()
    path.write_text(text.replace("grace_s", "grace"))
    run.service.reload()
    assert any("reload refused" in line and "'grace'" in line for line in run.log.lines)
    path.write_text(text.replace('"n1"', '"n2"').replace("routers.zone", "other.zone"))
    run.service.reload()
    run.until(lambda: run.states() == ["ready", "ready"] and set(run.agent.instances) == {"n0", "n2"})
    assert run.agent.instances["n0"].report()["pid"] == kept
    assert "n2-toolcalls" in (path.parent / "other.zone").read_text()


def test_levels_are_shown_and_pinned_through_the_agent(running: RunningAgent) -> None:
    run = running
    folder = run.fleet.records.parent
    (folder / "service.toml").write_text('[levels]\nmode = "on"\n')
    path = folder / "fleet.toml"
    path.write_text(path.read_text().replace('name = "n1"\n', 'name = "n1"\nsettings = "service.toml"\n'))
    run.service.reload()
    run.until(lambda: run.states() == ["ready", "ready"])

    def level() -> Any:
        report = run.agent.instances["n1"].report()["levels"]
        return report and report["toolcalls"] and report["toolcalls"]["level"]

    run.until(lambda: level() is not None)
    run.until(lambda: run.agent.instances["n0"].report()["levels"] == {"toolcalls": None})
    agent_address, runner = f"{run.address[0]}:{run.address[1]}", CliRunner()
    words = ["levels", "pin", "essential", "--for", "10m", "--reason", "drill", "--agent", agent_address]
    pinned = run.run_in_thread(lambda: runner.invoke(app, words))
    assert pinned.exit_code == 0 and pinned.output.splitlines() == ["n0 told", "n1 told"]
    run.until(lambda: bool(level() == "essential"))
    shown = run.run_in_thread(lambda: runner.invoke(app, ["levels", "show", "--agent", agent_address]))
    assert "toolcalls=essential for" in shown.output and "pinned for" in shown.output
    assert "n0\ttoolcalls=levels off" in shown.output
    status = run.run_in_thread(lambda: runner.invoke(app, ["status", "--agent", agent_address]))
    assert "toolcalls=essential" in status.output
    bad = run.run_in_thread(lambda: runner.invoke(app, [*words[:2], "worst", *words[3:]]))
    assert bad.exit_code == 1 and "expected one of full, guarded" in bad.output
    # A router that has stopped is reported as not told.
    run.agent.instances["n0"].stop(StopReason.OPERATOR)
    run.until(lambda: run.states()[0] == "stopped")
    ended = run.run_in_thread(lambda: runner.invoke(app, ["levels", "unpin", "--agent", agent_address]))
    assert ended.exit_code == 1 and "n0 could not be told" in ended.output and "n1 told" in ended.output


def test_requests_to_a_router_that_ends_fail(running: RunningAgent) -> None:
    # Closing the connection must complete its requests; otherwise an operator's pin gets no answer.
    results: list[bool] = []
    link = RouterLink(running.service.loop)
    link.tell("levels/unpin", {}, results.append)
    link.close()
    assert results == [False] and link.closed
    link.tell("levels/unpin", {}, results.append)
    link.close_router_end()
    assert results == [False, False]


def test_the_backoff_grows_with_each_restart(running: RunningAgent) -> None:
    run = running
    waits = []
    for n in range(3):
        instance = run.agent.instances["n0"]
        run.until(lambda instance=instance: instance.running)  # type: ignore[misc]
        os.kill(instance.report()["pid"], signal.SIGKILL)
        run.until(lambda instance=instance, n=n: instance.restarts == n + 1)  # type: ignore[misc]
        waits.append(instance._restart_at - run.service.loop.now)
    assert waits[0] < waits[1] < waits[2]


def test_invalid_requests_get_standard_json_rpc_errors(running: RunningAgent) -> None:
    def code(method: str, params: dict[str, Any]) -> int:
        with pytest.raises(RpcError) as error:
            ask(running.address, method, params)
        return error.value.code

    assert running.run_in_thread(lambda: code("agent/stop", {"name": "nobody"})) == -32602
    assert running.run_in_thread(lambda: code("agent/dance", {})) == -32601


@pytest.mark.parametrize(
    ("old", "new", "complaint"),
    [
        ("127.0.0.1:0", "192.0.2.1:7", "loopback only"),
        ('"n1"', '"n0"', "a unique name"),
        ("grace_s", "grace", "unknown key 'grace'"),
        ('toolcalls = "n0.toml"', "", "neither a config nor a toolcalls"),
        ('toolcalls = "n0.toml"', 'toolcalls = "nowhere.toml"', "nowhere.toml"),
    ],
)
def test_an_invalid_fleet_file_is_rejected_with_the_reason(
    tmp_path: Path, old: str, new: str, complaint: str
) -> None:
    path = write_fleet(tmp_path)
    path.write_text(path.read_text().replace(old, new, 1))
    with pytest.raises(ConfigError, match=complaint):
        read(path)


def test_idle_connections_are_closed_when_the_agent_reaches_its_limit(
    running: RunningAgent, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("yewhook.agent.agent.MAX_PEERS", 2)
    silent = [socket.create_connection(running.address) for _ in range(2)]
    assert running.run_in_thread(lambda: ask(running.address, "agent/status", {}))["instances"]
    for sock in silent:
        sock.close()


# Guards against messages to the agent that take memory without end while they do not end.
def test_unfinished_messages_to_the_agent_are_refused_where_they_take_too_much(running: RunningAgent) -> None:
    memory = running.service.loop.memory
    peers = [socket.create_connection(running.address) for _ in range(30)]
    for peer in peers:
        peer.setblocking(False)
        rest = b"x" * 400_000
        while rest:
            with contextlib.suppress(BlockingIOError):
                rest = rest[peer.send(rest) :]
            running.service.loop.run_turn(0.001)
    running.until(lambda: memory.shed_count > 0 and not memory.exceeded)
    for peer in peers:
        peer.close()
