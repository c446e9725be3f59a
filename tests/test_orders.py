"""Operators' orders through the agent: drains that are kept through a crash, and upgrades."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from settings import ENV
from test_agent import RunningAgent, published_names
from typer.testing import CliRunner

from yewhook.cli import app
from yewhook.operations.orders import Order, OrderRefused, Orders
from yewlab.processes.addresses import free_address


class OneRouter(RunningAgent):
    """An agent with one router that has the platform front."""

    def __init__(self, folder: Path) -> None:
        entry = {
            "instanceId": "s-1", "hostPort": "127.0.0.1:9", "zone": "hall-a", "cell": 1,
            "machineType": "prefill", "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip
        _, self.port = free_address("127.0.0.1")
        self.config = folder / "n1.json"
        known = {"generation": 1, "reset": True, "instances": [entry]}
        raw = {"name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": "127.0.0.1:1", "seed": "1"}
        self.config.write_text(json.dumps(raw | {"settings": ENV, "known": known}))
        super().__init__(folder)
        self.instance = self.agent.instances["n1"]
        self.agent_address = f"{self.address[0]}:{self.address[1]}"

    def write(self, folder: Path) -> Path:
        path = folder / "fleet.toml"
        path.write_text(
            '[agent]\nlisten = "127.0.0.1:0"\nrecords = "routers.zone"\ndomain = "r.test."\n'
            'service = "_yewhook._tcp"\n[[instance]]\nname = "n1"\nconfig = "n1.json"\n'
        )
        return path

    def command(self, *words: str) -> Any:
        return self.run_in_thread(lambda: CliRunner().invoke(app, [*words, "--agent", self.agent_address]))

    def health(self) -> int:
        def ask() -> int:
            connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
            connection.request("GET", "/healthz", headers={"Connection": "close"})
            return connection.getresponse().status

        return int(self.run_in_thread(ask))


@pytest.fixture
def router(tmp_path: Path) -> Iterator[OneRouter]:
    run = OneRouter(tmp_path)
    yield run
    run.agent.end_all()
    run.agent.close()


def test_connections_to_a_stopped_router_are_refused(router: OneRouter) -> None:
    # If the agent keeps the listening socket open, connections are established and never read.
    router.until(lambda: router.states() == ["ready"])
    assert router.command("stop", "n1").exit_code == 0
    router.until(lambda: router.states() == ["stopped"])
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", router.port))
    assert router.command("start", "n1").exit_code == 0
    router.until(lambda: router.states() == ["ready"])
    assert router.health() == 200


def test_a_drain_is_kept_through_a_crash_until_the_resume(router: OneRouter) -> None:
    router.until(lambda: router.states() == ["ready"])
    done = router.command("drain", "n1", "--by", "the night shift")
    assert done.exit_code == 0 and "drained" in done.output
    assert router.health() == 503 and published_names(router) == []
    pid = router.instance.report()["pid"]
    os.kill(pid, signal.SIGKILL)
    router.until(lambda: router.instance.restarts == 1 and router.states() == ["drained"])
    assert router.health() == 503 and router.instance.report()["pid"] != pid
    shown = json.loads(router.command("status", "--json").output)[0]
    assert shown["orders"][0]["order"] == "drain" and shown["orders"][0]["by"] == "the night shift"
    assert router.command("resume", "n1").exit_code == 0
    router.until(lambda: router.states() == ["ready"])
    assert router.health() == 200 and published_names(router) == ["n1-platform"]


def test_an_upgrade_replaces_the_process_and_keeps_the_address(router: OneRouter) -> None:
    router.until(lambda: router.states() == ["ready"])
    pid = router.instance.report()["pid"]
    done = router.command("upgrade", "n1")
    assert done.exit_code == 0 and str(router.instance.report()["pid"]) in done.output
    assert router.instance.report()["pid"] != pid and router.health() == 200
    router.until(lambda: not router.instance._replaced)
    assert router.instance.restarts == 0 and any("upgraded" in line for line in router.log.lines)


def test_an_upgrade_that_fails_leaves_the_old_process_serving(router: OneRouter) -> None:
    router.until(lambda: router.states() == ["ready"])
    pid = router.instance.report()["pid"]
    router.config.write_text("{")
    done = router.command("upgrade", "n1")
    assert done.exit_code == 1 and "the old one keeps serving" in done.output
    assert router.instance.report()["pid"] == pid and router.health() == 200
    assert router.instance.orders == Orders()


def test_an_upgrade_completes_if_the_old_process_is_killed_meanwhile(router: OneRouter) -> None:
    router.until(lambda: router.states() == ["ready"])
    pid = router.instance.report()["pid"]
    ended: list[str] = []
    router.instance.order(Order.UPGRADE, "a test", ended.append)
    os.kill(pid, signal.SIGKILL)
    router.until(lambda: bool(ended) and router.states() == ["ready"])
    assert ended == [""] and router.instance.report()["pid"] != pid and router.health() == 200


def test_an_order_during_an_upgrade_is_refused_and_names_its_operator(router: OneRouter) -> None:
    router.until(lambda: router.states() == ["ready"])
    router.instance.order(Order.UPGRADE, "the day shift", lambda failure: None)
    for words in (("drain", "n1"), ("upgrade", "n1"), ("stop", "n1")):
        done = router.command(*words)
        if router.instance.orders.upgrade is None:
            break  # the upgrade ended before the order arrived
        assert done.exit_code == 1 and "an upgrade by the day shift is under way" in done.output
    router.until(lambda: router.instance.orders.upgrade is None)


def test_an_upgrade_of_a_tool_calls_front_is_refused(running_toolcalls: RunningAgent) -> None:
    run = running_toolcalls
    run.until(lambda: run.states() == ["ready"])
    with pytest.raises(OrderRefused, match="tool-calls front"):
        run.agent.instances["n0"].order(Order.UPGRADE, "x", lambda failure: None)


@pytest.fixture
def running_toolcalls(tmp_path: Path) -> Iterator[RunningAgent]:
    run = RunningAgent(tmp_path, count=1)
    yield run
    run.agent.end_all()
    run.agent.close()


def test_orders_stay_in_force_until_they_are_revoked() -> None:
    orders = Orders().with_order(Order.DRAIN, "a", 1.0)
    assert orders.with_order(Order.DRAIN, "b", 2.0) == orders and orders.drain is not None
    upgrading = orders.with_order(Order.UPGRADE, "c", 3.0)
    for order in Order:
        with pytest.raises(OrderRefused, match="by c is under way, started 4 s ago"):
            upgrading.with_order(order, "d", 7.0)
    assert upgrading.without_upgrade() == orders and orders.with_order(Order.RESUME, "e", 9.0) == Orders()


class RouterWithStoredState(OneRouter):
    """The same, with a folder in which the orders are stored."""

    def write(self, folder: Path) -> Path:
        path = super().write(folder)
        lines = 'state = "state"\nat_a_time = 1\n[[instance]]'
        path.write_text(path.read_text().replace("[[instance]]", lines))
        return path


def test_a_drain_and_a_stop_survive_the_loss_of_agent_and_routers(tmp_path: Path) -> None:
    first = RouterWithStoredState(tmp_path)
    first.until(lambda: first.states() == ["ready"])
    assert first.command("drain", "n1", "--by", "the night shift").exit_code == 0
    pid = first.instance.report()["pid"]
    # As at a power loss: nothing shuts down in order, and the next agent has only the folder.
    os.kill(pid, signal.SIGKILL)
    first.agent.close()

    second = RouterWithStoredState(tmp_path)
    second.until(lambda: second.states() == ["drained"])
    shown = json.loads(second.command("status", "--json").output)[0]
    assert shown["orders"][0]["by"] == "the night shift" and second.health() == 503
    assert second.command("resume", "n1").exit_code == 0
    second.until(lambda: second.states() == ["ready"])
    assert second.command("stop", "n1").exit_code == 0
    second.until(lambda: second.states() == ["stopped"])
    second.agent.close()

    third = RouterWithStoredState(tmp_path)
    third.service.loop.run_turn(0.2)
    assert third.states() == ["stopped"]
    third.agent.close()


def test_an_order_that_cannot_be_stored_is_refused(tmp_path: Path) -> None:
    run = RouterWithStoredState(tmp_path)
    run.until(lambda: run.states() == ["ready"])
    (tmp_path / "state" / "wanted.new").mkdir()  # so that the temporary file cannot be created
    failed = run.command("drain", "n1")
    assert failed.exit_code == 1 and "could not be stored" in failed.output
    assert run.states() == ["ready"] and run.health() == 200
    run.agent.end_all()
    run.agent.close()


def test_the_number_of_instances_that_start_at_once_is_limited(tmp_path: Path) -> None:
    class StartsOneAtATime(RunningAgent):
        def write(self, folder: Path) -> Path:
            path = super().write(folder)
            path.write_text(path.read_text().replace("grace_s", "at_a_time = 1\ngrace_s"))
            return path

    run = StartsOneAtATime(tmp_path)
    run.service.loop.run_turn(0.0)
    assert run.states() == ["starting", "due"]
    run.until(lambda: run.states()[0] == "ready")
    run.until(lambda: run.states() == ["ready", "ready"])
    run.agent.end_all()
    run.agent.close()


def test_the_recovery_of_routers_is_shown(tmp_path: Path) -> None:
    run = OneRouter(tmp_path)
    text = '[levels]\nmode = "on"\n[recovery]\nmode = "on"\nfolder = "kept"\n'
    (tmp_path / "service.toml").write_text(text)
    path = tmp_path / "fleet.toml"
    line = 'config = "n1.json"'
    path.write_text(path.read_text().replace(line, f'{line}\nsettings = "service.toml"'))
    run.service.reload()
    run.until(lambda: run.states() == ["ready"] and bool(run.instance.report()["recovery"]))
    shown = run.command("recovery", "show")
    assert shown.exit_code == 0 and "n1\tready\tnothing known for" in shown.output
    assert "waits for a list with a reader and a writer" in shown.output
    run.until(lambda: (tmp_path / "kept" / "snapshot").exists())
    run.agent.end_all()
    run.agent.close()


# Guards against operators who do not hear how an upgrade ended since another message of theirs is bad.
def test_an_upgrade_is_answered_though_half_a_message_follows_it(router: OneRouter) -> None:
    router.until(lambda: router.states() == ["ready"])
    with socket.create_connection(router.address) as operator:
        call = {"jsonrpc": "2.0", "id": 1, "method": "agent/upgrade", "params": {"name": "n1"}}
        operator.sendall(json.dumps(call).encode() + b"\n" + b'{"jsonrpc":"2.0","id":2')
        lines = operator.makefile("rb")
        router.until(lambda: router.instance._successor is not None)
        assert router.instance._successor is not None
        pid = router.instance._successor.process.pid
        os.kill(pid, signal.SIGSTOP)  # so that the upgrade is open when the half message is refused
        assert json.loads(router.run_in_thread(lines.readline))["id"] is None
        os.kill(pid, signal.SIGCONT)
        answer = json.loads(router.run_in_thread(lines.readline))
        assert answer["id"] == 1 and answer["result"]["pid"] == pid
        assert router.run_in_thread(lines.readline) == b""
