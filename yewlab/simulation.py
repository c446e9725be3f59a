"""Virtual time: the routers' own deadlines and everybody else's in one sorted structure, a turn at each that
is due."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from yewhook.deadlines import Deadline, Deadlines

TICK = 0.004  # s; what happens within one is decided on together, as a router's loop gathers it


class Turn(Protocol):
    def turn(self, now: float) -> bool: ...


class Time(Protocol):
    """What a model needs of a clock, virtual or real."""

    @property
    def now(self) -> float: ...

    def after(self, seconds: float, call: Callable[[], None]) -> Deadline: ...

    def cancel(self, deadline: Deadline | None) -> None: ...


class Simulation:
    """The same seeds and calls give the same run on every machine: nothing here reads a real clock."""

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start
        self.deadlines = Deadlines()
        self.deciders: list[Turn] = []

    def clock(self) -> float:
        return self.now

    def at(self, time: float, call: Callable[[], None]) -> Deadline:
        """Call at the first tick that is not before this time."""
        ticks = math.ceil(time / TICK - 1e-6)
        return self.deadlines.set(max(self.now, ticks * TICK), call)

    def after(self, seconds: float, call: Callable[[], None]) -> Deadline:
        return self.at(self.now + seconds, call)

    def cancel(self, deadline: Deadline | None) -> None:
        self.deadlines.cancel(deadline)

    def run(self, until: float) -> None:
        while (due := self.deadlines.next_due()) is not None and due <= until:
            # The tick may lie a rounding below what is due, which would then never be taken out.
            self.now = max(self.now, due, math.ceil(due / TICK - 1e-6) * TICK)
            for call in self.deadlines.pop_due(self.now):
                call()
            while any([decider.turn(self.now) for decider in self.deciders]):
                pass
        self.now = max(self.now, until)
