"""Virtual time: a clock that jumps from one deadline to the next and gives every router a turn at each."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from yewhook.deadlines import Deadline, Deadlines

TICK_S = 0.004  # events within one tick are decided on together, as in one round of a router's event loop


class Decider(Protocol):
    """A router, which decides on its gathered events once per turn."""

    def turn(self, now: float) -> bool:
        """Handle the gathered events; returns whether there were any."""


class Clock(Protocol):
    """The time and the timers that a simulated server needs: virtual or real."""

    @property
    def now(self) -> float:
        """The current time in seconds."""

    def after(self, seconds: float, call: Callable[[], None]) -> Deadline:
        """Have `call` called after so many seconds; returns the handle with which to cancel it."""

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a timer; None, and a timer that is already due or canceled, are ignored."""


class Simulation:
    """Runs timers and routers on virtual time.

    The same seeds and calls give the same run on every machine, since no real clock is read.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start
        self.deadlines = Deadlines()
        self.deciders: list[Decider] = []

    def clock(self) -> float:
        """The current virtual time in seconds, as a function that routers can call."""
        return self.now

    def at(self, time: float, call: Callable[[], None]) -> Deadline:
        """Have `call` called at the first tick that is not before this time."""
        # A time that is less than 1e-6 of a tick above a tick counts as equal to it, because of rounding.
        ticks = math.ceil(time / TICK_S - 1e-6)
        return self.deadlines.set(max(self.now, ticks * TICK_S), call)

    def after(self, seconds: float, call: Callable[[], None]) -> Deadline:
        """Have `call` called at the first tick after so many seconds."""
        return self.at(self.now + seconds, call)

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a timer; None, and a timer that is already due or canceled, are ignored."""
        self.deadlines.cancel(deadline)

    def run(self, until: float) -> None:
        """Run all timers that are due up to this time, and the routers' turns after each tick."""
        while (due := self.deadlines.next_due()) is not None and due <= until:
            # Rounding can put the tick just below the due time; without `due` in the maximum the timer would
            # never be taken out and the loop would not end.
            self.now = max(self.now, due, math.ceil(due / TICK_S - 1e-6) * TICK_S)
            for call in self.deadlines.pop_due(self.now):
                call()
            while any([decider.turn(self.now) for decider in self.deciders]):
                pass
        self.now = max(self.now, until)
