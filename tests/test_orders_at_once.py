"""Orders and signals that arrive while an upgrade is under way, with real router processes."""

from __future__ import annotations

import json
import os
import signal
import socket
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import pytest
from test_orders import OneRouter

from yewhook.operations.orders import Order
from yewlab.processes.addresses import free_address

END_TIMEOUT_S = 8.0  # far below the grace period of 20 s
MOMENTS_S = (0.0, 0.15, 0.3, 0.45)  # after the upgrade began; it takes about 0.4 s


class UpgradingRouter(OneRouter):
    """The same, with the answers that the operator of an upgrade has got."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.fleet_path = folder / "fleet.toml"
        self.fleet_text = self.fleet_path.read_text()
        self.answers: list[str] = []
        self.until(lambda: self.states() == ["ready"])

    def upgrade(self, wait_s: float) -> None:
        """Begin an upgrade, and wait so long."""
        self.instance.order(Order.UPGRADE, "operator A", self.answers.append)
        self.run_for(wait_s)

    def run_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        self.until(lambda: time.monotonic() >= end)

    def reload(self, text: str) -> None:
        """Have the agent read another fleet file."""
        self.fleet_path.write_text(text)
        self.service.reload()

    def until_in_time(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition that holds long before the grace period is over."""
        began = time.monotonic()
        self.until(condition)
        assert time.monotonic() - began < END_TIMEOUT_S
        assert not any("instance killed" in line for line in self.log.lines)

    def pids(self) -> list[int]:
        """The processes that have been started, in order."""
        lines = [line for line in self.log.lines if line.startswith(("instance started", "upgrade begun"))]
        return [int(line.split("pid ")[1].split()[0]) for line in lines]

    def has_ended(self, pid: int) -> bool:
        return not Path(f"/proc/{pid}").exists()


@pytest.fixture
def router(tmp_path: Path) -> Iterator[UpgradingRouter]:
    run = UpgradingRouter(tmp_path)
    yield run
    run.agent.end_all()
    run.agent.close()


# Guards against a successor that nobody tells to end: it served for the whole grace period, then was killed.
@pytest.mark.parametrize("wait_s", MOMENTS_S)
@pytest.mark.parametrize("signals", [1, 2])
def test_a_shutdown_during_an_upgrade_ends_both_processes(
    router: UpgradingRouter, wait_s: float, signals: int
) -> None:
    router.upgrade(wait_s)
    for _ in range(signals):
        router.sigterm()
        router.run_for(0.05)
    router.until_in_time(lambda: router.service.loop.stopped)
    assert len(router.answers) == 1 and all(map(router.has_ended, router.pids()))


# Guards against an instance that stays "stopping", and serves on, after a new fleet file during an upgrade.
@pytest.mark.parametrize("wait_s", MOMENTS_S)
def test_a_changed_entry_during_an_upgrade_restarts_the_instance_once(
    router: UpgradingRouter, wait_s: float
) -> None:
    router.upgrade(wait_s)
    (router.fleet_path.parent / "service.toml").write_text("")
    router.reload(router.fleet_text.replace('"n1.json"', '"n1.json"\nsettings = "service.toml"'))
    router.until_in_time(lambda: len(router.pids()) == 3 and router.states() == ["ready"])
    before, new = router.pids()[:2], router.pids()[2]
    assert all(map(router.has_ended, before)) and router.instance.report()["pid"] == new
    assert len(router.answers) == 1 and router.instance.restarts == 0 and router.health() == 200


# Guards against a removed instance that serves on, and against one that comes back and stays stopped.
@pytest.mark.parametrize("comes_back", [False, True])
@pytest.mark.parametrize("wait_s", MOMENTS_S)
def test_an_entry_that_is_removed_during_an_upgrade_ends_and_may_come_back(
    router: UpgradingRouter, wait_s: float, comes_back: bool
) -> None:
    router.upgrade(wait_s)
    router.reload(router.fleet_text.replace('"n1"', '"n9"'))  # at the same address
    if comes_back:
        router.reload(router.fleet_text)
    name = "n1" if comes_back else "n9"
    router.until_in_time(lambda: list(router.agent.instances) == [name] and router.states() == ["ready"])
    assert router.health() == 200
    assert len(router.answers) == 1 and all(map(router.has_ended, router.pids()[:2]))


# Guards against an instance that the fleet file has removed and an order starts again.
def test_an_order_for_a_removed_instance_that_still_ends_is_refused(router: UpgradingRouter) -> None:
    (pid,) = router.pids()
    os.kill(pid, signal.SIGSTOP)
    router.reload(router.fleet_text.replace('"n1"', '"n9"'))
    refused = router.command("start", "n1")
    assert refused.exit_code == 1 and "no instance named" in refused.output
    os.kill(pid, signal.SIGCONT)
    router.until_in_time(lambda: list(router.agent.instances) == ["n9"] and router.states() == ["ready"])


# Guards against a reload that only the old process of an upgrade hears.
@pytest.mark.parametrize("wait_s", MOMENTS_S)
def test_a_reload_during_an_upgrade_reaches_the_new_process(
    router: UpgradingRouter, wait_s: float, capfd: pytest.CaptureFixture[str]
) -> None:
    router.upgrade(wait_s)
    router.reload(router.fleet_text)
    router.until(lambda: bool(router.answers))
    heard = ""

    def new_process_has_reloaded() -> bool:
        nonlocal heard
        heard += capfd.readouterr().err
        return "reloaded" in heard.partition("succeeding to ready")[2]

    router.until_in_time(new_process_has_reloaded)
    assert router.answers == [""]
    assert router.health() == 200


# Guards against an agent that starts routers anew while it shuts down, and kills them at its end.
@pytest.mark.parametrize("order", ["start", "restart", "reload"])
def test_an_order_during_a_shutdown_starts_nothing(router: UpgradingRouter, order: str) -> None:
    router.sigterm()
    router.until(lambda: router.states() == ["stopping"])
    if order == "reload":
        _, port = free_address("127.0.0.1")
        config = json.loads(router.config.read_text()) | {"name": "n9", "listen": f"127.0.0.1:{port}"}
        router.config.with_name("n9.json").write_text(json.dumps(config))
        router.reload(router.fleet_text.replace("n1", "n9"))
    else:
        assert router.command(order, "n1").exit_code == 1
    router.until_in_time(lambda: router.service.loop.stopped)
    assert len(router.pids()) == 1


# Guards against connections that a process accepts which was told to end before it serves, and never answers.
def test_a_process_told_to_end_while_it_awaits_its_hand_over_accepts_nothing(router: UpgradingRouter) -> None:
    (old,) = router.pids()
    os.kill(old, signal.SIGSTOP)  # so that the hand-over does not come, and connections wait in the queue
    router.upgrade(0.0)
    successor = router.pids()[1]
    handlers = Path(f"/proc/{successor}/status")
    router.until(lambda: "SigCgt:\t0000000000000000" not in handlers.read_text())
    waiting = router.run_in_thread(lambda: [connect(router.port) for _ in range(5)])
    router.run_for(0.25)
    os.kill(successor, signal.SIGTERM)
    router.until(lambda: bool(router.answers))
    os.kill(old, signal.SIGCONT)
    answers = [router.run_in_thread(partial(sock.recv, 4096)) for sock in waiting]
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)


def connect(port: int) -> socket.socket:
    """A connection on which a request waits."""
    sock = socket.create_connection(("127.0.0.1", port), END_TIMEOUT_S)
    sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    return sock
