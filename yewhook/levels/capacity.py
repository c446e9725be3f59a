"""What the servers can do: work for a server-second in use, learnt slowly, times the servers that are usable
now.

Use alone ends at 1 however much more comes, and work done alone falls when turns are refused. What is done
while a server is in use stays the same in either case, so it tells what could be done of all that comes. It
changes slowly, while the number of usable servers is known at once: a box that drains or is ejected is felt
at the next look.
"""

from __future__ import annotations

from hopshed.estimate import Estimate
from hopshed.interface import Role, RoleUsage

SPAN = 40.0  # s; time constant of what is learnt: some streams' time, for use lags what was sent
ENOUGH = 2.0  # server-seconds in use, below which nothing is known
BUSY_MOST = 2.0  # readers tell of more than they can do; what is beyond this is no use any more


class Stage:
    """Reading or writing."""

    def __init__(self) -> None:
        self._work, self._use = Estimate(), Estimate()
        self._looked: float | None = None
        self._usable = 0.0

    def sent(self, work: float, now: float) -> None:
        self._work.add(work, now, SPAN)

    def look(self, busy: float, usable: float, now: float) -> None:
        """At this moment so many servers are usable, and so much of them is in use."""
        if self._looked is not None:
            self._use.add(min(busy, BUSY_MOST) * usable * (now - self._looked), now, SPAN)
        self._looked, self._usable = now, usable

    def discard_interval(self) -> None:
        """What passed since the last look was not seen."""
        self._looked = None

    def can(self, now: float) -> float | None:
        """Work a second that could be done; None while too little is known."""
        use = self._use.decayed(now, SPAN)
        if use < ENOUGH:
            return None
        return self._work.decayed(now, SPAN) / use * self._usable


class Capacity:
    def __init__(self) -> None:
        self.reading, self.writing = Stage(), Stage()

    def sent(self, work: float, now: float) -> None:
        self.reading.sent(work, now)
        self.writing.sent(work, now)

    def look(self, sight: dict[Role, RoleUsage], now: float) -> None:
        reader, writer, mixed = sight[Role.READER], sight[Role.WRITER], sight[Role.MIXED]
        use = writer.busy * writer.usable + mixed.busy * mixed.usable
        writing = writer.usable + mixed.usable
        self.writing.look(use / writing if writing else 0.0, writing, now)
        # Mixed servers' reading shows in their streams: it slows them.
        self.reading.look(reader.busy, reader.usable, now)

    def discard_interval(self) -> None:
        self.reading.discard_interval()
        self.writing.discard_interval()

    def can(self, now: float) -> float | None:
        """Work a second that the scarcer stage could do; None while too little is known of both."""
        known = [can for stage in (self.reading, self.writing) if (can := stage.can(now)) is not None]
        return min(known, default=None)
