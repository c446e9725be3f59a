"""The five rules over random event orders. The checker is also shown to fail on broken controllers."""

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

ENDS = [o for o in Outcome if o is not Outcome.READ]


class Broken(Exception):
    pass


class World:
    """Plays choices against a controller and raises Broken when a rule does not hold."""

    def __init__(self, effect=Effect.SAFE, make=Controller):
        self.b = Bench(effect=effect, group=Group.CELL, make=make, memory_tokens=(9000.0,) * 3)
        self.told = {}  # server -> when we said that it drains
        self.open, self.deadline, self.out, self.held, self.may_run = set(), {}, {}, {}, {}
        self.n = 0

    def note(self, acts):
        now = self.b.now
        for a in acts:
            if isinstance(a, Send):
                if a.id not in self.open:
                    raise Broken("send after the end")
                if self.out.get(a.id):
                    raise Broken("second attempt out")
                if a.server in self.told:
                    raise Broken("send to a draining server")
                if self.may_run.get(a.id):
                    raise Broken("effect may happen twice")
                n = len(self.b.attempts[a.id]) - 1
                self.out[a.id] = (n, a.server)
                self.held.pop(a.id, None)
            elif isinstance(a, (Refuse, Fail)):
                if a.id not in self.open:
                    raise Broken("second answer")
                if isinstance(a, Refuse) and self.may_run.get(a.id):
                    raise Broken("refused what may have run")
                self.open.discard(a.id)
            elif isinstance(a, ReleaseState):
                self.held.pop(a.id, None)
        for rid in list(self.open):
            if now > self.deadline[rid] + 0.008:
                raise Broken("lost request")
        for rid, since in self.held.items():
            if not self.out.get(rid) and now - since > 0.5:
                raise Broken("pinned state")

    def arrive(self, patience):
        self.n += 1
        rid = f"r{self.n}"
        self.open.add(rid)
        self.deadline[rid] = self.b.now + patience
        self.note(self.b.arrive(rid, session=f"s{self.n % 4}", patience=patience))

    def end(self, pick, outcome):
        if not self.out:
            return
        rid = sorted(self.out)[pick % len(self.out)]
        n, srv = self.out.pop(rid)
        reader = srv < 10
        if reader:
            outcome = Outcome.READ if outcome is Outcome.OK else outcome
            if outcome is Outcome.READ:
                self.held[rid] = self.b.now
        elif not outcome.never_ran:
            self.may_run[rid] = self.b.c.settings.classes[0].effect is Effect.UNSAFE
        closed = outcome is Outcome.OK or rid not in self.open
        if outcome is Outcome.OK:
            self.open.discard(rid)
            self.held.pop(rid, None)
        self.note(self.b.do(AttemptEnded(rid, n, srv, outcome, 0.05, closed)))

    def gone(self, pick):
        if self.open:
            rid = sorted(self.open)[pick % len(self.open)]
            self.open.discard(rid)
            self.note(self.b.do(ClientGone(rid)))

    def drain(self, pick):
        srv = FLEET[pick % len(FLEET)]
        self.told[srv.id] = self.b.now
        gone = server(srv.id, srv.kind, state=ServerState.DRAINING)
        self.note(self.b.do(ServersListed(ListKind.CHANGES, (gone,))))

    def wait(self, seconds):
        """Time passes; attempts end by their client's deadline, as a host would end them."""
        end = self.b.now + seconds
        while self.b.now < end:
            for rid in [r for r in sorted(self.out) if self.deadline[r] <= self.b.now]:
                self.end(sorted(self.out).index(rid), Outcome.TIMED_OUT)
            step = min(
                end,
                self.b.timer[0],
                *(self.deadline[r] for r in self.out if self.deadline[r] > self.b.now),
                end,
            )
            self.b.now = step
            for rid in [r for r in sorted(self.out) if self.deadline[r] <= self.b.now]:
                self.end(sorted(self.out).index(rid), Outcome.TIMED_OUT)
            self.note(self.b.tick(step))


STEP = st.one_of(
    st.tuples(st.just("arrive"), st.sampled_from([0.01, 0.3, 2.0])),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from([Outcome.READ, Outcome.OK, *ENDS])),
    st.tuples(st.just("gone"), st.integers(0, 9)),
    st.tuples(st.just("drain"), st.integers(0, 5)),
    st.tuples(st.just("wait"), st.sampled_from([0.02, 0.2, 1.0])),
)


def run(world, steps):
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
    """Does not take in changes to the server list."""

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
    (KeepsStates, "pinned", [("arrive", 2.0), ("gone", 0), ("end", 0, Outcome.OK), ("wait", 1.0)]),
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
