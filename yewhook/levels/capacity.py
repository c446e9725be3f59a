"""How much work the servers can do: the work per busy server-second, times the servers usable now.

Utilization alone saturates at 1 however much more is requested, and completed work alone falls when turns are
refused. Work per busy server-second is unaffected by either, so it shows how much of the demand could be
met. It changes slowly and is averaged, while the number of usable servers is known at once: a server that
drains or is ejected lowers the capacity at the next evaluation.
"""

from __future__ import annotations

from hopshed.estimate import Estimate
from hopshed.interface import Role, RoleUsage

TIME_CONSTANT_S = 40.0  # several streams long, because utilization lags behind the work sent
MIN_BUSY_SERVER_S = 2.0  # server-seconds in use below which the capacity is unknown
MAX_BUSY = 2.0  # cap on the reported utilization: readers can report more than they can process


class StageCapacity:
    """The capacity of one stage, reading or writing."""

    def __init__(self) -> None:
        self._work, self._busy_server_seconds = Estimate(), Estimate()
        self._updated_at: float | None = None
        self._usable = 0.0

    def sent(self, work: float, now: float) -> None:
        """Counts work that was sent to the servers."""
        self._work.add(work, now, TIME_CONSTANT_S)

    def update(self, busy: float, usable: float, now: float) -> None:
        """Records how many servers are usable now, and which share of them is in use."""
        if self._updated_at is not None:
            self._busy_server_seconds.add(
                min(busy, MAX_BUSY) * usable * (now - self._updated_at), now, TIME_CONSTANT_S
            )
        self._updated_at, self._usable = now, usable

    def discard_interval(self) -> None:
        """Ignores the time since the last update, during which nothing was observed."""
        self._updated_at = None

    def work_rate(self, now: float) -> float | None:
        """The work per second that could be done; None while too little is known."""
        busy_server_seconds = self._busy_server_seconds.decayed(now, TIME_CONSTANT_S)
        if busy_server_seconds < MIN_BUSY_SERVER_S:
            return None
        return self._work.decayed(now, TIME_CONSTANT_S) / busy_server_seconds * self._usable


class Capacity:
    """The capacity of both stages; a turn passes through both, so the scarcer one limits."""

    def __init__(self) -> None:
        self.reading, self.writing = StageCapacity(), StageCapacity()

    def sent(self, work: float, now: float) -> None:
        """Counts work that was sent to the servers."""
        self.reading.sent(work, now)
        self.writing.sent(work, now)

    def update(self, usage: dict[Role, RoleUsage], now: float) -> None:
        """Records how many servers of each role are usable now, and which share of them is in use."""
        reader, writer, mixed = usage[Role.READER], usage[Role.WRITER], usage[Role.MIXED]
        busy = writer.busy * writer.usable + mixed.busy * mixed.usable
        writing = writer.usable + mixed.usable
        self.writing.update(busy / writing if writing else 0.0, writing, now)
        # Reading on mixed servers is not counted here: it slows their streams and so shows in writing.
        self.reading.update(reader.busy, reader.usable, now)

    def discard_interval(self) -> None:
        """Ignores the time since the last update, during which nothing was observed."""
        self.reading.discard_interval()
        self.writing.discard_interval()

    def work_rate(self, now: float) -> float | None:
        """The work per second of the scarcer stage; None while too little is known of both."""
        known = [rate for stage in (self.reading, self.writing) if (rate := stage.work_rate(now)) is not None]
        return min(known, default=None)
