"""The shutdown of a process: its fronts are closed once."""

from __future__ import annotations

from collections.abc import Callable

from yewhook.log import Log
from yewhook.loop import Loop
from yewhook.operations.instance import Event, FrontMode
from yewhook.service import Service


class Front:
    """A fake front that is busy for as long as the test sets it."""

    grace = 3.0
    accept_after_term = 0.0

    def __init__(self) -> None:
        self.busy = True
        self.closed = 0

    def reload(self) -> Callable[[], str]:
        raise AssertionError("no reload is expected")

    has_workers = True

    def set_mode(self, mode: FrontMode) -> None:
        """Ignored: it accepts nothing."""

    def move_streams(self, part: float) -> None:
        """Ignored: it has no streams."""

    def limit_requests(self) -> None:
        """Ignored: it accepts nothing."""

    def end_all(self) -> None:
        """Ignored: it has no requests."""

    def close(self) -> None:
        self.closed += 1


def test_fronts_are_closed_once_if_both_ends_of_the_shutdown_fall_into_one_turn() -> None:
    # If the last request finishes in the turn in which the flush timeout expires, both stop the process.
    # Closing the fronts a second time would use a closed socket, which is logged as `handler failed`.
    now = [100.0]
    loop, front = Loop(Log("test"), lambda: now[0]), Front()
    service = Service(loop.log, loop)
    service.fronts.append(front)
    service.begin()
    service.handle_event(Event.TERM)
    while now[0] < 103.3:  # all streams are ended now; the flush timeout expires 0.3 s later
        now[0] += 0.01
        loop.run_turn(0.0)
    front.busy = False
    now[0] += 1.0
    loop.run_turn(0.0)
    assert loop.stopped and front.closed == 1
