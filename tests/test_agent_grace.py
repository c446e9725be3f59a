"""How long the agent lets processes that were told to end finish their requests, with real processes."""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path

import pytest
from test_orders import OneRouter

from yewhook.agent.instance import StopReason
from yewhook.operations.orders import Order

EARLIEST_KILL_S = 3.7  # after SIGTERM, as the platform has it


class RouterWithShortGrace(OneRouter):
    """The same, with a grace period of 0.5 s."""

    def write(self, folder: Path) -> Path:
        path = super().write(folder)
        path.write_text(path.read_text().replace("[[instance]]", "grace_s = 0.5\n[[instance]]"))
        return path


@pytest.mark.parametrize("restart", [False, True])
def test_a_process_that_does_not_end_is_killed_after_the_grace_period(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, restart: bool
) -> None:
    # `stop` and `restart` waited for ever for a process that hangs, and now also would for a stream.
    monkeypatch.setattr("yewhook.agent.instance.MIN_KILL_TIMEOUT_S", 0.5)
    router = RouterWithShortGrace(tmp_path)
    router.until(lambda: router.states() == ["ready"])
    pid = router.instance.report()["pid"]
    os.kill(pid, signal.SIGSTOP)
    router.instance.stop(StopReason.OPERATOR, restart)
    router.until(lambda: router.states() == (["ready"] if restart else ["stopped"]))
    assert any(f"instance killed: n1 pid {pid}" in line for line in router.log.lines)
    router.agent.end_all()
    router.agent.close()


def test_a_shutdown_leaves_each_process_the_time_that_the_platform_leaves_it(tmp_path: Path) -> None:
    # A shutdown with a short grace period killed the routers amid their answers, 0.8 s after SIGTERM here.
    router = RouterWithShortGrace(tmp_path)
    router.until(lambda: router.states() == ["ready"])
    os.kill(router.instance.report()["pid"], signal.SIGSTOP)  # as if a stream ran on
    router.sigterm()
    end = time.monotonic() + EARLIEST_KILL_S
    router.until(lambda: time.monotonic() > end)
    assert router.instance.running and not any("killed" in line for line in router.log.lines)
    router.until(lambda: router.service.loop.stopped)
    assert any("instance killed" in line for line in router.log.lines)


def test_the_old_process_of_an_upgrade_has_the_grace_period_of_the_fleet(tmp_path: Path) -> None:
    # It was killed 3.7 s after SIGTERM, whatever the fleet file said (here 20 s).
    router = OneRouter(tmp_path)
    router.until(lambda: router.states() == ["ready"])
    pid = router.instance.report()["pid"]
    ended: list[str] = []
    router.instance.order(Order.UPGRADE, "a test", ended.append)
    router.until(
        lambda: router.instance._successor is None or router.instance._successor.process.link.status != {}
    )
    os.kill(pid, signal.SIGSTOP)  # as if a stream ran on
    router.until(lambda: bool(ended))
    end = time.monotonic() + EARLIEST_KILL_S + 1.0
    router.until(lambda: time.monotonic() > end)
    assert ended == [""] and [old.pid for old in router.instance._replaced] == [pid]
    os.kill(pid, signal.SIGCONT)
    router.until(lambda: not router.instance._replaced)
    assert not any("killed" in line for line in router.log.lines)
    router.agent.end_all()
    router.agent.close()
