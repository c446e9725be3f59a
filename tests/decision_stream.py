"""A recorded stream of events for the decision module, and its actions, step by step.

A change that means to alter decisions records them anew: `python tests/decision_stream.py`, run with the
repository on the path, writes the file that `test_decisions.py` compares with.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

from hopshed import Controller, Settings
from hopshed import interface as i

RECORD = Path(__file__).with_name("decision_stream.txt")
A_LINE = 25  # digests in a line of it
STEP = 0.02  # s of virtual time between two calls of the module
STEPS = 1500
CLASSES = (
    i.RequestClass(aim=1.0, aim_per_1k=0.04, token_aim=0.06, patience=5.0, effect=i.Effect.SAFE),
    i.RequestClass(aim=3.0, aim_per_1k=0.12, token_aim=0.08, patience=12.0, effect=i.Effect.UNSAFE),
    i.RequestClass(
        aim=2.0, aim_per_1k=0.04, token_aim=0.07, patience=8.0, effect=i.Effect.KEYED, dedup_window=4.0
    ),
)
ROLES = (i.Role.READER, i.Role.WRITER, i.Role.MIXED)
PLAIN = Settings(
    classes=CLASSES, roles=ROLES, memory_tokens=(200_000.0,) * 3, instances=2, max_attempts=4,
    may_cancel=True, retry_advice=True, max_retry_after=1.0, cold_from=0.3, cold_time=10.0, fall_multiple=2.5,
)  # fmt: skip
TALKATIVE = Settings(
    classes=CLASSES, roles=ROLES, memory_tokens=(200_000.0,) * 3, instances=40, max_attempts=4,
    may_cancel=True, may_probe=True, may_tell=True, may_resume=True, subscribe=True,
    report_fields=("utilization", "memory_share", "queued", "backlog_tokens"), reports_in_answers=True,
    retry_advice=True, max_retry_after=0.5, cold_from=0.25, cold_time=8.0, fall_multiple=3.0,
)  # fmt: skip


@dataclass(order=True)
class _Due:
    at: float
    order: int
    event: i.Event = field(compare=False)


class Recording:
    """Feeds the module from a fleet that behaves at random, the same for each seed."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.random = stream, Random(f"decisions {stream.seed}")
        self.controller = Controller(stream.settings, stream.seed)
        self.now = 100.0
        self._due: list[_Due] = []
        self._order = count()
        self._attempts: dict[str, int] = {}
        self._closed: set[str] = set()
        fleet = [
            i.Server(10 * kind + n, kind, n % 2, n % 3, i.ServerState.RUNNING)
            for kind in range(3)
            for n in range(5)
        ]
        self.fleet = {server.id: server for server in fleet}

    def steps(self) -> Iterator[str]:
        """One digest for each call: of the events and of the actions that came back."""
        events: list[i.Event] = [i.ServersListed(i.ListKind.FULL, tuple(self.fleet.values()))]
        for step in range(STEPS):
            actions = self.controller.handle(self.now, events)
            yield hashlib.blake2b(f"{events!r} {actions!r}".encode(), digest_size=2).hexdigest()
            for action in actions:
                self._carry_out(action)
            self.now = round(self.now + STEP, 6)
            events = self._next(step)

    def _next(self, step: int) -> list[i.Event]:
        events: list[i.Event] = []
        while self._due and self._due[0].at <= self.now:
            event = heapq.heappop(self._due).event
            if not isinstance(event, i.AttemptEnded) or not event.closed or event.id not in self._closed:
                events.append(event)
        if self.random.random() < self.stream.arrivals:
            events.append(self._request(step))
        if self.random.random() < 0.01:
            events.append(self._change())
        return events

    def _request(self, step: int) -> i.Event:
        cls = self.random.randrange(len(CLASSES))
        session = f"s{self.random.randrange(60)}"
        prompt = self.random.choice((300.0, 1500.0, 6000.0))
        prefix = self.random.choice(("", "p1", "p2"))
        if self.random.random() < 0.05:
            self._later(self.random.uniform(0.0, 2.0), i.ClientGone(f"r{step}"))
        patience = CLASSES[cls].patience
        return i.RequestArrived(
            f"r{step}", cls, 0, session, patience, prompt, prefix=prefix, max_tokens=300.0
        )

    def _change(self) -> i.Event:
        """A server drains, goes, or has started anew."""
        number = self.random.choice(list(self.fleet))
        state = self.random.choice((i.ServerState.RUNNING, i.ServerState.RUNNING, i.ServerState.DRAINING))
        started = self.now if self.random.random() < 0.5 else None
        self.fleet[number] = self.fleet[number]._replace(state=state, started=started)
        return i.ServersListed(i.ListKind.CHANGES, (self.fleet[number],))

    def _carry_out(self, action: i.Action) -> None:
        if isinstance(action, i.Send):
            self._attempt(action)
        elif isinstance(action, i.Refuse | i.Fail):
            self._closed.add(action.id)
        elif isinstance(action, i.SetTimer):
            self._later(action.delay, i.TimerFired(action.token))
        elif isinstance(action, i.Probe):
            load = i.Load(utilization=self.random.random(), memory_share=self.random.random())
            self._later(0.02, i.ProbeEnded(action.server, self.random.random() < 0.9, 0.02, load))

    def _attempt(self, action: i.Send) -> None:
        number = self._attempts.get(action.id, -1) + 1
        self._attempts[action.id] = number
        role = ROLES[self.fleet[action.server].kind]
        took = self.random.expovariate(1 / self.stream.pace)
        draw = self.random.random()
        if took > action.timeout:
            return self._end(action, number, i.Outcome.TIMED_OUT, action.timeout)
        if draw < 0.12:
            failed = (i.Outcome.FULL, i.Outcome.FAILED, i.Outcome.UNREACHABLE, i.Outcome.RESET)
            return self._end(action, number, self.random.choice(failed), took)
        if role is i.Role.READER:
            return self._end(action, number, i.Outcome.READ, took, note=self.random.choice((0, 250)))
        self._later(took, i.StreamStarted(action.id, number, action.server, took))
        return self._end(action, number, i.Outcome.OK, took + self.random.uniform(0.5, 3.0), closed=True)

    def _end(
        self,
        action: i.Send,
        number: int,
        outcome: i.Outcome,
        took: float,
        note: int = 0,
        closed: bool = False,
    ) -> None:
        load = i.Load(memory_share=self.random.random(), queued=0.2, backlog_tokens=500.0)
        end = i.AttemptEnded(action.id, number, action.server, outcome, took, closed, note, load)
        self._later(took, end)

    def _later(self, wait: float, event: i.Event) -> None:
        heapq.heappush(self._due, _Due(self.now + wait, next(self._order), event))


@dataclass(frozen=True)
class Stream:
    """What a recording is made of."""

    settings: Settings
    seed: int
    arrivals: float = 0.5  # chance of a request in a step
    pace: float = 0.15  # s that an attempt takes on average until it is read, or begins


STREAMS = {
    "plain 1": Stream(PLAIN, 1),
    "plain 2": Stream(PLAIN, 2),
    "talkative 1": Stream(TALKATIVE, 1),
    "talkative 2": Stream(TALKATIVE, 2),
    "overload 1": Stream(PLAIN, 1, arrivals=0.98, pace=0.8),
    "overload 2": Stream(TALKATIVE, 2, arrivals=0.98, pace=0.8),
}


def digests(name: str) -> list[str]:
    """The digests of one recorded stream."""
    return list(Recording(STREAMS[name]).steps())


def recorded() -> dict[str, list[str]]:
    """The digests that stand in the record, by stream."""
    found: dict[str, list[str]] = {}
    for line in RECORD.read_text().splitlines():
        name, _, row = line.partition(": ")
        found.setdefault(name, []).extend(row.split())
    return found


def record() -> None:
    """Write the record anew."""
    lines = []
    for name in STREAMS:
        found = digests(name)
        rows = [found[n : n + A_LINE] for n in range(0, len(found), A_LINE)]
        lines += [f"{name}: {' '.join(row)}" for row in rows]
    RECORD.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    record()
