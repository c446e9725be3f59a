"""Streams of events for the controller, and digests of the actions that it returns at each step.

`test_decisions.py` compares the digests with a recorded file. After a change that alters decisions
on purpose, `python tests/decision_stream.py`, run with the repository on the path, writes that file anew.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

from hopshed import Controller, Settings, interface

RECORD = Path(__file__).with_name("decision_stream.txt")
DIGESTS_PER_LINE = 25  # in the recorded file
STEP = 0.02  # s; virtual time between two calls of the controller
STEPS = 1500  # calls in a stream
CLASSES = (
    interface.RequestClass(
        aim=1.0, aim_per_1k=0.04, token_aim=0.06, patience=5.0, effect=interface.Effect.SAFE
    ),
    interface.RequestClass(
        aim=3.0, aim_per_1k=0.12, token_aim=0.08, patience=12.0, effect=interface.Effect.UNSAFE
    ),
    interface.RequestClass(
        aim=2.0,
        aim_per_1k=0.04,
        token_aim=0.07,
        patience=8.0,
        effect=interface.Effect.KEYED,
        dedup_window=4.0,
    ),
)
ROLES = (interface.Role.READER, interface.Role.WRITER, interface.Role.MIXED)
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
class _DueEvent:
    """An event that the controller gets at a time."""

    at: float
    order: int  # among events of the same time
    event: interface.Event = field(compare=False)


class Recording:
    """A controller with clients and servers that behave at random, in the same way for each seed."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.random = stream, Random(f"decisions {stream.seed}")
        self.controller = Controller(stream.settings, stream.seed)
        self.now = 100.0
        self._due: list[_DueEvent] = []
        self._order = count()
        self._attempts: dict[str, int] = {}
        self._closed: set[str] = set()
        fleet = [
            interface.Server(10 * kind + n, kind, n % 2, n % 3, interface.ServerState.RUNNING)
            for kind in range(3)
            for n in range(5)
        ]
        self.fleet = {server.id: server for server in fleet}

    def steps(self) -> Iterator[str]:
        """Yield a digest for each call, of its events and the actions returned."""
        events: list[interface.Event] = [
            interface.ServersListed(interface.ListKind.FULL, tuple(self.fleet.values()))
        ]
        for step in range(STEPS):
            actions = self.controller.handle(self.now, events)
            yield hashlib.blake2b(f"{events!r} {actions!r}".encode(), digest_size=2).hexdigest()
            for action in actions:
                self._carry_out(action)
            self.now = round(self.now + STEP, 6)
            events = self._next(step)

    def _next(self, step: int) -> list[interface.Event]:
        events: list[interface.Event] = []
        while self._due and self._due[0].at <= self.now:
            event = heapq.heappop(self._due).event
            if (
                not isinstance(event, interface.AttemptEnded)
                or not event.closed
                or event.id not in self._closed
            ):
                events.append(event)
        if self.random.random() < self.stream.arrivals:
            events.append(self._request(step))
        if self.random.random() < 0.01:
            events.append(self._change())
        return events

    def _request(self, step: int) -> interface.Event:
        cls = self.random.randrange(len(CLASSES))
        session = f"s{self.random.randrange(60)}"
        prompt = self.random.choice((300.0, 1500.0, 6000.0))
        prefix = self.random.choice(("", "p1", "p2"))
        if self.random.random() < 0.05:
            self._later(self.random.uniform(0.0, 2.0), interface.ClientGone(f"r{step}"))
        patience = CLASSES[cls].patience
        return interface.RequestArrived(
            f"r{step}", cls, 0, session, patience, prompt, prefix=prefix, max_tokens=300.0
        )

    def _change(self) -> interface.Event:
        """A server begins to drain, runs again, or was restarted."""
        number = self.random.choice(list(self.fleet))
        state = self.random.choice(
            (interface.ServerState.RUNNING, interface.ServerState.RUNNING, interface.ServerState.DRAINING)
        )
        started = self.now if self.random.random() < 0.5 else None
        self.fleet[number] = self.fleet[number]._replace(state=state, started=started)
        return interface.ServersListed(interface.ListKind.CHANGES, (self.fleet[number],))

    def _carry_out(self, action: interface.Action) -> None:
        if isinstance(action, interface.Send):
            self._attempt(action)
        elif isinstance(action, interface.Refuse | interface.Fail):
            self._closed.add(action.id)
        elif isinstance(action, interface.SetTimer):
            self._later(action.delay, interface.TimerFired(action.token))
        elif isinstance(action, interface.Probe):
            load = interface.Load(utilization=self.random.random(), memory_share=self.random.random())
            self._later(0.02, interface.ProbeEnded(action.server, self.random.random() < 0.9, 0.02, load))

    def _attempt(self, action: interface.Send) -> None:
        number = self._attempts.get(action.id, -1) + 1
        self._attempts[action.id] = number
        role = ROLES[self.fleet[action.server].kind]
        took = self.random.expovariate(1 / self.stream.pace)
        draw = self.random.random()
        if took > action.timeout:
            return self._end(action, number, interface.Outcome.TIMED_OUT, action.timeout)
        if draw < 0.12:
            failed = (
                interface.Outcome.FULL,
                interface.Outcome.FAILED,
                interface.Outcome.UNREACHABLE,
                interface.Outcome.RESET,
            )
            return self._end(action, number, self.random.choice(failed), took)
        if role is interface.Role.READER:
            return self._end(action, number, interface.Outcome.READ, took, note=self.random.choice((0, 250)))
        self._later(took, interface.StreamStarted(action.id, number, action.server, took))
        return self._end(
            action, number, interface.Outcome.OK, took + self.random.uniform(0.5, 3.0), closed=True
        )

    def _end(
        self,
        action: interface.Send,
        number: int,
        outcome: interface.Outcome,
        took: float,
        note: int = 0,
        closed: bool = False,
    ) -> None:
        load = interface.Load(memory_share=self.random.random(), queued=0.2, backlog_tokens=500.0)
        end = interface.AttemptEnded(action.id, number, action.server, outcome, took, closed, note, load)
        self._later(took, end)

    def _later(self, wait: float, event: interface.Event) -> None:
        heapq.heappush(self._due, _DueEvent(self.now + wait, next(self._order), event))


@dataclass(frozen=True)
class Stream:
    """The parameters of a recording."""

    settings: Settings
    seed: int
    arrivals: float = 0.5  # probability of a request in a step
    pace: float = 0.15  # s; mean time of a read, or until the first token


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
    """The digests in the recorded file, by stream."""
    found: dict[str, list[str]] = {}
    for line in RECORD.read_text().splitlines():
        name, _, row = line.partition(": ")
        found.setdefault(name, []).extend(row.split())
    return found


def record() -> None:
    """Write the recorded file anew."""
    lines = []
    for name in STREAMS:
        found = digests(name)
        rows = [found[n : n + DIGESTS_PER_LINE] for n in range(0, len(found), DIGESTS_PER_LINE)]
        lines += [f"{name}: {' '.join(row)}" for row in rows]
    RECORD.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    record()
