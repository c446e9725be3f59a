"""Stateful test of an instance: orders, fleet files and the ends of processes in any sequence.

The instance is the agent's own; its processes, their links and the probes are stand-ins on a clock that the
test advances. The test reaches each cell of the table in docs/design/orders.md.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from scenario import Clock, RecordingLog

from yewhook.agent.fleet_file import InstanceSpec
from yewhook.agent.instance import MIN_KILL_TIMEOUT_S, Instance, State, StopReason
from yewhook.agent.router_process import RouterProcess
from yewhook.loop import Loop
from yewhook.operations.orders import Order, OrderRefused

GRACE_S = 6.0
POLL_INTERVAL_S = 0.1
BOOT_S = 0.3  # until a process has its signal handlers
ANSWERS_S = 2.0  # for which a process that is told to end has answers to finish
SETTLE_S = 60.0  # in which an instance whose processes work is what its last order says
LONG_WAITS_S = (0.1, 0.4, 1.5, 4.0, 11.0)
MAX_EXAMPLES, STEPS = 1500, 30

# Rows and columns of the table
COLUMNS = ("stopped", "due, waiting", "up", "upgrading", "stopping")
EVERYWHERE = {
    "start", "stop", "restart", "drain", "resume", "upgrade", "unchanged", "changed", "removed", "shutdown",
}  # fmt: skip
CELLS = {(row, column) for row in EVERYWHERE for column in COLUMNS} | {
    ("named again", "stopping"),
    ("named again", "stopped"),
    ("serving process exits", "up"),
    ("serving process exits", "upgrading"),
    ("successor exits", "upgrading"),
    ("successor serves", "upgrading"),
    ("successor is late", "upgrading"),
    ("last stopping process exits", "stopping"),
    ("hangs", "up"),
    ("hangs", "upgrading"),
    ("hangs", "stopping"),
}


class FakeRouter:
    """A router process and its link: signals act on it as on a real one."""

    def __init__(self, clock: Clock, pid: int) -> None:
        self._clock, self.pid, self.started_at = clock, pid, clock.now
        self.status: dict[str, Any] = {}
        self.code: int | None = None
        self.hangs, self.pending_signals = False, list[int]()
        self.told_at: float | None = None  # when SIGTERM was sent to it
        self.ending_since: float | None = None  # when it noticed that
        self.reloads_sent, self.reloads_owed = 0, 0

    @property
    def booted(self) -> bool:
        return self._clock.now - self.started_at >= BOOT_S

    def poll(self) -> int | None:
        return self.code

    def wait(self) -> int:
        assert self.code is not None, "the agent waits for a process that runs"
        return self.code

    def send_signal(self, sig: int) -> None:
        if self.code is not None:
            return
        if sig == signal.SIGKILL:
            self.code = -sig
        elif sig == signal.SIGHUP:
            assert self.booted and self.told_at is None, "SIGHUP to a process that may not handle it"
            self.reloads_sent += 1
        else:
            assert self.told_at is None, "a second SIGTERM"
            self.told_at = self._clock.now
        if sig != signal.SIGKILL:
            self.pending_signals.append(sig)
            self.step()

    def step(self) -> None:
        """Handle signals and finish answers, as far as time has passed."""
        if self.code is not None or self.hangs:
            return
        if signal.SIGTERM in self.pending_signals and self.ending_since is None:
            self.ending_since = self._clock.now
            if not self.booted:
                self.code = -signal.SIGTERM
        if self.ending_since is not None and self._clock.now - self.ending_since >= ANSWERS_S:
            self.code = 0

    def request_status(self) -> None:
        if self.code is None and not self.hangs and self.booted:
            state = "ready" if self.ending_since is None else "ending"
            self.status = {"serves": True, "state": state}

    def tell(self, method: str, params: dict[str, Any], done: Callable[[bool], None]) -> None:
        done(self.code is None and not self.hangs)

    def close(self) -> None:
        """Nothing is connected."""


class FakeLauncher:
    """Starts the stand-ins."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.started: list[FakeRouter] = []
        self.specs: list[InstanceSpec] = []
        self.listening = False

    def launch(self, spec: InstanceSpec, drained: bool) -> RouterProcess:
        self.listening = True
        router = FakeRouter(self._clock, len(self.started) + 1)
        self.started.append(router)
        self.specs.append(spec)
        return RouterProcess(router, router)

    def close_listener(self) -> None:
        self.listening = False


def spec(version: int) -> InstanceSpec:
    """An entry of the fleet file; another version is a changed one."""
    return InstanceSpec("n1", Path(f"{version}.json"), None, None, {"platform": ("127.0.0.1", 9)})


class OrdersModel(RuleBasedStateMachine):
    """What the last order says, beside the instance that carries the orders out."""

    reached: set[tuple[str, str]] = set()  # noqa: RUF012 - cells, over all examples

    def __init__(self) -> None:
        super().__init__()
        self.clock, self.log = Clock(), RecordingLog()
        self.loop = Loop(self.log, self.clock)
        self.launcher = FakeLauncher(self.clock)
        self.version = 1
        self.should_run, self.named, self.shut_down = True, True, False
        self.upgrades: list[list[str]] = []  # what the operator of each has been told
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr("yewhook.agent.instance.Probe", self._probe)
        self.instance = Instance(
            self.loop, spec(1), lambda: None, self.launcher, lambda *_: None, lambda: GRACE_S
        )
        self.instance.wait_for_start()

    def teardown(self) -> None:
        for router in self.launcher.started:
            router.hangs = False
            router.step()
        self._settle()
        self.patch.undo()

    def _probe(self, loop: Loop, front: str, address: object, drained: bool, answered: Any) -> None:
        """A probe comes to any process that accepts."""
        able = [r for r in self._alive() if r.booted and not r.hangs and r.ending_since is None]
        answered(bool(able))

    # ---- what the model knows ----

    def _alive(self) -> list[FakeRouter]:
        return [router for router in self.launcher.started if router.code is None]

    def _column(self) -> str:
        if self.instance.orders.upgrade is not None:
            return "upgrading"
        names = {State.STOPPED: "stopped", State.STOPPING: "stopping"}
        waiting = self.instance.state in (State.DUE, State.WAITING)
        return names.get(self.instance.state, "due, waiting" if waiting else "up")

    def _reach(self, row: str) -> None:
        OrdersModel.reached.add((row, self._column()))

    def _poll(self) -> None:
        """One poll of the agent: it starts what is due and drops what is gone from the fleet file."""
        for router in self.launcher.started:
            router.step()
        if self.instance.state is State.DUE:
            self.instance.start()
        serving = self.instance._process
        old = self.launcher.started[serving.pid - 1] if serving is not None else FakeRouter(self.clock, 0)
        late = self.instance._successor is not None and self.clock.now >= self.instance._successor.deadline
        upgrading, column = self.instance.orders.upgrade is not None, self._column()
        ended = len(self.upgrades) and len(self.upgrades[-1])
        self.instance.poll()
        if upgrading and not ended and self.upgrades[-1] == [""]:
            OrdersModel.reached.add(("successor serves", "upgrading"))
            said = self.launcher.started[-1].status.get("state")
            assert old.code is not None or said == "ready", "replaced by one that ends"
        elif upgrading and late:
            OrdersModel.reached.add(("successor is late", "upgrading"))
        if column == "stopping" and self.instance.state is not State.STOPPING:
            OrdersModel.reached.add(("last stopping process exits", "stopping"))

    def _pass(self, seconds: float) -> None:
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now = min(end, self.clock.now + POLL_INTERVAL_S)
            self.loop.run_turn(0.0)
            self._poll()

    def _settle(self) -> None:
        """Without further trouble, the instance becomes what its last order says."""
        self._pass(SETTLE_S)
        alive, runs = self._alive(), self.should_run and self.named and not self.shut_down
        assert len(alive) == int(runs), (self.instance.state, self.log.lines)
        expected = State.STOPPED
        if runs:
            expected = State.READY if self.instance.orders.drain is None else State.DRAINED
            index = alive[0].pid - 1
            assert self.launcher.specs[index] == spec(self.version), "it runs with an old entry"
            assert alive[0].reloads_owed <= alive[0].reloads_sent
        assert self.instance.state is expected, (self.instance.state, self.log.lines)
        assert all(len(answers) == 1 for answers in self.upgrades)
        assert self.instance.running == runs and self.launcher.listening == runs

    # ---- orders, as the agent passes them on ----

    @rule(order=st.sampled_from(["start", "stop", "restart"]))
    def give_order(self, order: str) -> None:
        self._reach(order)
        if self.shut_down or not self.named or self.instance.orders.upgrade is not None:
            return  # refused by the agent
        self.should_run = self.instance.wanted = order != "stop"
        if order == "start":
            self.instance.start()
        else:
            self.instance.stop(StopReason.OPERATOR, restart=order == "restart")

    @rule(order=st.sampled_from(Order))
    def give_named_order(self, order: Order) -> None:
        self._reach(order.value)
        if self.shut_down or not self.named:
            return
        answers: list[str] = []
        try:
            self.instance.order(order, "somebody", answers.append)
        except OrderRefused:
            assert not answers
        else:
            if order is Order.UPGRADE:
                self.upgrades.append(answers)

    @precondition(lambda self: self.named and not self.shut_down)
    @rule()
    def begin_upgrade(self) -> None:
        """Begin an upgrade once the instance serves, which a random sequence reaches seldom."""
        self.give_order("start")
        self._pass(BOOT_S + 2.0)
        self.give_named_order(Order.UPGRADE)

    @precondition(lambda self: self.named and not self.shut_down)
    @rule(changed=st.booleans())
    def read_fleet_file(self, changed: bool) -> None:
        self._reach("changed" if changed else "unchanged")
        self.version += changed
        upgrading = self.instance.orders.upgrade is not None
        if not changed:
            for router in self._alive():
                if router.told_at is None:
                    router.reloads_owed = 1
                    router.reloads_sent = 0
        self.instance.reload(spec(self.version))
        self._check_broken_off(upgrading and changed)

    def _check_broken_off(self, was_upgrading: bool) -> None:
        """The operator of the upgrade that was under way has been told why it was broken off."""
        assert not was_upgrading or self.upgrades[-1][0].startswith("broken off: ")

    @precondition(lambda self: self.named and not self.shut_down)
    @rule()
    def remove_from_fleet_file(self) -> None:
        self._reach("removed")
        self.named = False
        upgrading = self.instance.orders.upgrade is not None
        self.instance.remove()
        self._check_broken_off(upgrading)

    @precondition(lambda self: not self.named and not self.shut_down)
    @rule(changed=st.booleans())
    def name_again(self, changed: bool) -> None:
        self._reach("named again")
        self.named = True
        self.version += changed
        self.instance.reload(spec(self.version))

    @precondition(lambda self: not self.shut_down)
    @rule(sure=st.integers(0, 9))
    def shut_agent_down(self, sure: int) -> None:
        if sure == 0:  # it ends most of what follows, so it is rare
            self._reach("shutdown")
            self.shut_down = True
            upgrading = self.instance.orders.upgrade is not None
            self.instance.stop(StopReason.SHUTDOWN)
            self._check_broken_off(upgrading)

    # ---- what happens to processes ----

    @precondition(lambda self: self._alive())
    @rule(which=st.integers(0, 9))
    def kill_process(self, which: int) -> None:
        router = self._alive()[which % len(self._alive())]
        successor = self.instance._successor
        if successor is not None and successor.process.pid == router.pid:
            self._reach("successor exits")
        elif router.told_at is None:
            self._reach("serving process exits")
        router.code = -signal.SIGKILL

    @precondition(lambda self: self._alive())
    @rule(which=st.integers(0, 9))
    def hang(self, which: int) -> None:
        self._reach("hangs")
        self._alive()[which % len(self._alive())].hangs = True

    @precondition(lambda self: any(router.hangs for router in self._alive()))
    @rule()
    def go_on(self) -> None:
        for router in self._alive():
            router.hangs = False
            router.step()

    @precondition(lambda self: self._alive())
    @rule(which=st.integers(0, 9))
    def end_from_outside(self, which: int) -> None:
        """Somebody else sends SIGTERM."""
        router = self._alive()[which % len(self._alive())]
        if router.told_at is None and router.ending_since is None:
            router.pending_signals.append(signal.SIGTERM)
            router.step()

    @rule(seconds=st.sampled_from(LONG_WAITS_S))
    def let_time_pass(self, seconds: float) -> None:
        self._pass(seconds)

    # ---- what always holds ----

    @invariant()
    def no_process_is_forgotten(self) -> None:
        known = {process.pid for process in self.instance._processes}
        assert {router.pid for router in self._alive()} <= known

    @invariant()
    def each_process_has_the_last_order(self) -> None:
        serving = [router for router in self._alive() if router.told_at is None]
        if self.shut_down or not self.named or not self.should_run or self.instance.state is State.STOPPING:
            assert not serving, self.log.lines
        assert len(serving) <= 1 + (self.instance.orders.upgrade is not None)

    @invariant()
    def only_processes_that_do_not_end_are_killed(self) -> None:
        least = max(GRACE_S, MIN_KILL_TIMEOUT_S)
        for router in self._alive():
            assert router.told_at is None or self.clock.now - router.told_at <= least + 2 * POLL_INTERVAL_S
            ending_s = self.clock.now - router.ending_since if router.ending_since is not None else 0.0
            assert router.hangs or ending_s <= ANSWERS_S + 2 * POLL_INTERVAL_S
        killed = sum(line.startswith("instance killed") for line in self.log.lines)
        assert killed <= sum(router.code == -signal.SIGKILL for router in self.launcher.started)

    @invariant()
    def the_operator_of_an_upgrade_hears_its_end_once(self) -> None:
        under_way = self.instance._successor is not None
        assert under_way == (self.instance.orders.upgrade is not None)
        open_upgrades = sum(not answers for answers in self.upgrades)
        assert open_upgrades == int(under_way) and all(len(answers) <= 1 for answers in self.upgrades)


# Guards against an instance that an operator has stopped and a new fleet file starts.
def test_a_changed_entry_starts_no_stopped_instance_while_a_replaced_process_runs() -> None:
    model = OrdersModel()
    model.begin_upgrade()
    model.hang(0)
    model.let_time_pass(1.5)
    model.give_order("stop")
    model.let_time_pass(4.0)
    assert model.instance.state is State.STOPPED and model.instance.running
    model.read_fleet_file(changed=True)
    model.let_time_pass(0.4)
    model.each_process_has_the_last_order()
    model.teardown()


def test_each_process_gets_the_last_order_whatever_came_before() -> None:
    OrdersModel.reached = set()
    run_state_machine_as_test(
        OrdersModel,
        settings=settings(
            max_examples=MAX_EXAMPLES, stateful_step_count=STEPS, deadline=None, derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )  # fmt: skip
    assert CELLS - OrdersModel.reached == set()
