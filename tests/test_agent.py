"""The agent with real router processes, on the tool-calls front."""

from __future__ import annotations

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
from yewhook.agent.router_link import RouterLink
from yewhook.cli import app
from yewhook.config import ConfigError
from yewhook.dnssd import Records
from yewhook.jsonrpc import RpcError
from yewhook.operations.instance import Event
from yewhook.service import Service

PATIENCE = 30.0  # s; an instance takes a second or so to start, more on a busy machine


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def write_fleet(folder: Path, count: int = 2) -> Path:
    (folder / "settings.json").write_text(json.dumps(ENV))
    (folder / "fleet.zone").write_text("; no workers yet\n")
    text = '[agent]\nlisten = "127.0.0.1:0"\nrecords = "routers.zone"\ndomain = "r.test."\n'
    text += 'service = "_yewhook._tcp"\ngrace_s = 10\n'
    for n in range(count):
        (folder / f"n{n}.toml").write_text(
            f'listen = "127.0.0.1:{free_port()}"\nrecords = "fleet.zone"\ndomain = "f.test."\n'
            'worker_service = "_w._tcp"\ntool_service = "_t._tcp"\nsettings = "settings.json"\n'
        )
        text += f'[[instance]]\nname = "n{n}"\ntoolcalls = "n{n}.toml"\n'
    (folder / "fleet.toml").write_text(text)
    return folder / "fleet.toml"


class Running:
    """An agent whose loop is turned by the test's own thread or, for the blocking calls, beside it."""

    def __init__(self, folder: Path, count: int = 2) -> None:
        self.log, self.count = RecordingLog(), count
        self.service = Service(self.log)
        self.fleet = read(self.write(folder))
        path = folder / "fleet.toml"
        self.agent = Agent(self.service.loop, self.fleet, self.sigterm, lambda: read(path))
        self.service.fronts.append(self.agent)
        self.service.begin()
        self.place = ("127.0.0.1", self.agent.port)

    def write(self, folder: Path) -> Path:
        return write_fleet(folder, self.count)

    def sigterm(self) -> None:
        self.service.handle_event(Event.TERM)

    def until(self, true: Callable[[], bool]) -> None:
        end = time.monotonic() + PATIENCE
        while not true():
            assert time.monotonic() < end, (self.log.lines, self.states())
            self.service.loop.run_turn(0.05)

    def states(self) -> list[str]:
        return [instance.state.value for instance in self.agent.instances.values()]

    def beside(self, call: Callable[[], Any]) -> Any:
        got: list[Any] = []
        thread = threading.Thread(target=lambda: got.append(call()))
        thread.start()
        self.until(lambda: not thread.is_alive())
        return got[0]


@pytest.fixture
def running(tmp_path: Path) -> Iterator[Running]:
    run = Running(tmp_path)
    yield run
    run.agent.end_all()
    run.agent.close()


def published(run: Running) -> list[str]:
    return [i.name for i in Records(run.fleet.records, "r.test.").browse("_yewhook._tcp")]


def test_instances_are_started_restarted_published_and_drained(running: Running) -> None:
    run = running
    run.until(lambda: run.states() == ["ready", "ready"])
    assert published(run) == ["n0-toolcalls", "n1-toolcalls"]
    first = run.agent.instances["n0"]
    pid = first.report()["pid"]
    os.kill(pid, signal.SIGKILL)
    run.until(lambda: first.restarts == 1)
    assert published(run) == ["n1-toolcalls"]  # a crashed router must not be found
    run.until(lambda: run.states() == ["ready", "ready"])
    assert first.report()["pid"] != pid
    place = f"{run.place[0]}:{run.place[1]}"
    runner = CliRunner()
    shown = run.beside(lambda: runner.invoke(app, ["status", "--agent", place]))
    assert shown.exit_code == 0 and "n0" in shown.output and "ready" in shown.output
    stopped = run.beside(lambda: runner.invoke(app, ["stop", "n1", "--agent", place]))
    assert stopped.exit_code == 0
    run.until(lambda: run.states() == ["ready", "stopped"])
    run.beside(lambda: ask(run.place, "agent/restart", {"name": "n0"}))
    run.until(lambda: first.state.value == "ready" and first.restarts == 1)
    run.beside(lambda: ask(run.place, "agent/shutdown", {}))
    run.until(lambda: run.service.loop.stopped)
    assert run.states() == ["stopped", "stopped"] and published(run) == []
    assert not any("killed" in line for line in run.log.lines)


def test_a_new_fleet_file_is_put_in_force(running: Running) -> None:
    # SIGHUP ended the agent and left its routers behind; a bad file must change nothing.
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


def test_levels_are_shown_and_pinned_through_the_agent(running: Running) -> None:
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
    place, runner = f"{run.place[0]}:{run.place[1]}", CliRunner()
    words = ["levels", "pin", "essential", "--for", "10m", "--reason", "drill", "--agent", place]
    pinned = run.beside(lambda: runner.invoke(app, words))
    assert pinned.exit_code == 0 and pinned.output.splitlines() == ["n0 told", "n1 told"]
    run.until(lambda: bool(level() == "essential"))
    shown = run.beside(lambda: runner.invoke(app, ["levels", "show", "--agent", place]))
    assert "toolcalls=essential for" in shown.output and "pinned for" in shown.output
    assert "n0\ttoolcalls=levels off" in shown.output
    status = run.beside(lambda: runner.invoke(app, ["status", "--agent", place]))
    assert "toolcalls=essential" in status.output
    bad = run.beside(lambda: runner.invoke(app, [*words[:2], "worst", *words[3:]]))
    assert bad.exit_code == 1 and "expected one of full, guarded" in bad.output
    # A router that has gone cannot be told, and that is said.
    run.agent.instances["n0"].stop()
    run.until(lambda: run.states()[0] == "stopped")
    ended = run.beside(lambda: runner.invoke(app, ["levels", "unpin", "--agent", place]))
    assert ended.exit_code == 1 and "n0 could not be told" in ended.output and "n1 told" in ended.output


def test_who_waits_for_a_router_that_ends_is_told(running: Running) -> None:
    # The line was dropped without a word: an operator's pin got no answer at all.
    told: list[bool] = []
    line = RouterLink(running.service.loop)
    line.tell("levels/unpin", {}, told.append)
    line.close()
    assert told == [False] and line.closed
    line.tell("levels/unpin", {}, told.append)
    line.close_router_end()
    assert told == [False, False]


def test_a_restart_waits_longer_each_time(running: Running) -> None:
    run = running
    waits = []
    for n in range(3):
        instance = run.agent.instances["n0"]
        run.until(lambda instance=instance: instance.running)  # type: ignore[misc]
        os.kill(instance.report()["pid"], signal.SIGKILL)
        run.until(lambda instance=instance, n=n: instance.restarts == n + 1)  # type: ignore[misc]
        waits.append(instance._due - run.service.loop.now)
    assert waits[0] < waits[1] < waits[2]


def test_questions_that_make_no_sense_get_the_standards_errors(running: Running) -> None:
    def code(method: str, params: dict[str, Any]) -> int:
        with pytest.raises(RpcError) as error:
            ask(running.place, method, params)
        return error.value.code

    assert running.beside(lambda: code("agent/stop", {"name": "nobody"})) == -32602
    assert running.beside(lambda: code("agent/dance", {})) == -32601


@pytest.mark.parametrize(
    ("old", "new", "complaint"),
    [
        ("127.0.0.1:0", "192.0.2.1:7", "loopback only"),
        ('"n1"', '"n0"', "a name of its own"),
        ("grace_s", "grace", "unknown key 'grace'"),
        ('toolcalls = "n0.toml"', "", "neither a config nor a toolcalls"),
        ('toolcalls = "n0.toml"', 'toolcalls = "nowhere.toml"', "nowhere.toml"),
    ],
)
def test_a_mistake_in_a_fleet_file_is_named_plainly(
    tmp_path: Path, old: str, new: str, complaint: str
) -> None:
    path = write_fleet(tmp_path)
    path.write_text(path.read_text().replace(old, new, 1))
    with pytest.raises(ConfigError, match=complaint):
        read(path)


def test_the_agents_connections_are_limited_and_idle_ones_make_room(
    running: Running, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("yewhook.agent.agent.MAX_PEERS", 2)
    silent = [socket.create_connection(running.place) for _ in range(2)]
    assert running.beside(lambda: ask(running.place, "agent/status", {}))["instances"]
    for sock in silent:
        sock.close()
