"""Rules that hold in all event orders, checked on random ones; broken controllers show that checks fail."""

from __future__ import annotations

import pytest
from helpers import FLEET, Bench, server
from hypothesis import given, settings
from hypothesis import strategies as st

from hopshed.control import Controller
from hopshed.interface import (
    AttemptEnded,
    ClientGone,
    Effect,
    Fail,
    Group,
    ListKind,
    Outcome,
    Refuse,
    ReleaseState,
    Send,
    ServersListed,
    ServerState,
)

ENDS = [outcome for outcome in Outcome if outcome is not Outcome.READ]


class Broken(Exception):
    """A rule does not hold."""


class World:
    """Applies steps to a controller and raises Broken when a rule does not hold."""

    def __init__(self, effect=Effect.SAFE, make=Controller):
        self.bench = Bench(effect=effect, group=Group.CELL, make=make, memory_tokens=(9000.0,) * 3)
        self.draining = {}  # server -> when the controller was told that it drains
        self.open = set()  # requests that are owed an answer
        self.deadline = {}  # request -> its deadline
        self.out = {}  # request -> number and server of its attempt in flight
        self.held = {}  # request -> since when its state is held
        self.may_run = {}  # request -> whether an attempt may have had an effect that must not be repeated
        self.count = 0  # requests so far

    def check_actions(self, actions):
        """Check the actions, and what is overdue."""
        now = self.bench.now
        for action in actions:
            if isinstance(action, Send):
                if action.id not in self.open:
                    raise Broken("send after the end")
                if self.out.get(action.id):
                    raise Broken("second attempt in flight")
                if action.server in self.draining:
                    raise Broken("send to a draining server")
                if self.may_run.get(action.id):
                    raise Broken("effect may happen twice")
                number = len(self.bench.attempts[action.id]) - 1
                self.out[action.id] = (number, action.server)
                self.held.pop(action.id, None)
            elif isinstance(action, (Refuse, Fail)):
                if action.id not in self.open:
                    raise Broken("second answer")
                if isinstance(action, Refuse) and self.may_run.get(action.id):
                    raise Broken("refused what may have run")
                self.open.discard(action.id)
            elif isinstance(action, ReleaseState):
                self.held.pop(action.id, None)
        for request in list(self.open):
            if now > self.deadline[request] + 0.008:
                raise Broken("lost request")
        for request, since in self.held.items():
            if not self.out.get(request) and now - since > 0.5:
                raise Broken("state not released")

    def arrive(self, patience):
        """A request arrives."""
        self.count += 1
        request = f"r{self.count}"
        self.open.add(request)
        self.deadline[request] = self.bench.now + patience
        self.check_actions(self.bench.arrive(request, session=f"s{self.count % 4}", patience=patience))

    def end(self, pick, outcome):
        """One of the attempts in flight ends."""
        if not self.out:
            return
        request = sorted(self.out)[pick % len(self.out)]
        number, sent_to = self.out.pop(request)
        reader = sent_to < 10
        if reader:
            outcome = Outcome.READ if outcome is Outcome.OK else outcome
            if outcome is Outcome.READ:
                self.held[request] = self.bench.now
        elif not outcome.never_ran:
            self.may_run[request] = self.bench.controller.settings.classes[0].effect is Effect.UNSAFE
        closed = outcome is Outcome.OK or request not in self.open
        if outcome is Outcome.OK:
            self.open.discard(request)
            self.held.pop(request, None)
        self.check_actions(self.bench.do(AttemptEnded(request, number, sent_to, outcome, 0.05, closed)))

    def gone(self, pick):
        """The client of an open request leaves."""
        if self.open:
            request = sorted(self.open)[pick % len(self.open)]
            self.open.discard(request)
            self.check_actions(self.bench.do(ClientGone(request)))

    def drain(self, pick):
        """A server begins to drain."""
        info = FLEET[pick % len(FLEET)]
        self.draining[info.id] = self.bench.now
        drained = server(info.id, info.kind, state=ServerState.DRAINING)
        self.check_actions(self.bench.do(ServersListed(ListKind.CHANGES, (drained,))))

    def wait(self, seconds):
        """Time passes; attempts end at their client's deadline, as a router would end them."""
        end = self.bench.now + seconds
        while self.bench.now < end:
            for request in [one for one in sorted(self.out) if self.deadline[one] <= self.bench.now]:
                self.end(sorted(self.out).index(request), Outcome.TIMED_OUT)
            step = min(
                end,
                self.bench.timer[0],
                *(self.deadline[one] for one in self.out if self.deadline[one] > self.bench.now),
                end,
            )
            self.bench.now = step
            for request in [one for one in sorted(self.out) if self.deadline[one] <= self.bench.now]:
                self.end(sorted(self.out).index(request), Outcome.TIMED_OUT)
            self.check_actions(self.bench.tick(step))


STEP = st.one_of(
    st.tuples(st.just("arrive"), st.sampled_from([0.01, 0.3, 2.0])),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from([Outcome.READ, Outcome.OK, *ENDS])),
    st.tuples(st.just("gone"), st.integers(0, 9)),
    st.tuples(st.just("drain"), st.integers(0, 5)),
    st.tuples(st.just("wait"), st.sampled_from([0.02, 0.2, 1.0])),
)


def run(world, steps):
    """Apply the steps, then wait until all requests should have ended."""
    for name, *args in steps:
        if name == "end" and args[1] is Outcome.READ:
            args[1] = Outcome.OK
        getattr(world, name)(*args)
    world.wait(3.0)
    if world.open - set(world.out):
        raise Broken("lost request")


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.sampled_from([Effect.SAFE, Effect.UNSAFE]), st.lists(STEP, max_size=40))
def test_rules_hold_over_random_orders(effect, steps):
    run(World(effect), steps)


class KeepsStates(Controller):
    """Forgets states without releasing them."""

    def _drop(self, request):
        request.state_reader = None
        super()._drop(request)


class IgnoresTimeouts(Controller):
    """Does nothing when its timer fires."""

    def _timer_fired(self, event, now):
        self._set_timer()


class IgnoresChanges(Controller):
    """Ignores changes to the server list."""

    def _servers_listed(self, event, now):
        if event.kind is not ListKind.CHANGES:
            super()._servers_listed(event, now)


class SendsAnyway(Controller):
    """Does not observe the repeat rule."""

    def _may_send(self, request, worker, now):
        return True


class AnswersTwice(Controller):
    """Refuses each request that it closes."""

    def _close(self, request):
        self.actions.append(Refuse(request.event.id))
        super()._close(request)


CASES = [
    (
        KeepsStates,
        "state not released",
        [("arrive", 2.0), ("gone", 0), ("end", 0, Outcome.OK), ("wait", 1.0)],
    ),
    (IgnoresTimeouts, "lost", [*[("arrive", 2.0)] * 60, ("arrive", 0.3), ("wait", 1.0)]),
    (IgnoresChanges, "draining", [*[("drain", n) for n in (0, 1, 2)], ("arrive", 2.0)]),
    (SendsAnyway, "twice", [("arrive", 2.0), ("end", 0, Outcome.OK), ("end", 0, Outcome.FAILED)]),
    (
        AnswersTwice,
        "second answer",
        [*[("drain", n) for n in range(3)], ("arrive", 2.0), ("wait", 1.0), ("wait", 1.0)],
    ),
]


@pytest.mark.parametrize(("make", "what", "steps"), CASES)
def test_the_checker_fails_on_broken_controllers(make, what, steps):
    with pytest.raises(Broken, match=what):
        run(World(Effect.UNSAFE, make), steps)
    run(World(Effect.UNSAFE), steps)
