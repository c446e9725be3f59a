"""How a process ends: once, however many of its ends fall due together."""

from __future__ import annotations

from collections.abc import Callable

from yewhook.log import Log
from yewhook.loop import Loop
from yewhook.operations.instance import Event, FrontMode
from yewhook.service import Service


class Front:
    """Stands in for a front that is busy for as long as the test says."""

    grace = 3.0
    accept_after_term = 0.0

    def __init__(self) -> None:
        self.busy = True
        self.closed = 0

    def reload(self) -> Callable[[], str]:
        raise AssertionError("nobody reloads here")

    has_workers = True

    def set_mode(self, mode: FrontMode) -> None:
        """Nothing is accepted."""

    def move_streams(self, part: float) -> None:
        """There are no streams."""

    def end_all(self) -> None:
        """There is nothing to break off."""

    def close(self) -> None:
        self.closed += 1


def test_a_process_ends_once_though_two_of_its_ends_fall_due_together() -> None:
    # What it had was finished in the sweep of its last moment: its fronts were closed a second time, and
    # `handler failed` told of a closed socket.
    now = [100.0]
    loop, front = Loop(Log("test"), lambda: now[0]), Front()
    service = Service(loop.log, loop)
    service.fronts.append(front)
    service.begin()
    service.handle_event(Event.TERM)
    while now[0] < 103.3:  # the last moment comes, and its end 0.2 s later
        now[0] += 0.01
        loop.run_turn(0.0)
    front.busy = False
    now[0] += 1.0
    loop.run_turn(0.0)
    assert loop.stopped and front.closed == 1
