"""Limits how often a function runs; the function itself returns how long to pause after each run."""

from __future__ import annotations

from collections.abc import Callable

from .loop import Loop, Timer


class Throttle:
    """Runs a function when triggered; triggers during the pause after a run cause one run at its end."""

    def __init__(self, loop: Loop, call: Callable[[], float]) -> None:
        """`call` returns the pause in seconds before it may run again; 0 = none."""
        self._call, self._pause = call, Timer(loop)
        self._triggered = False

    def trigger(self) -> None:
        """Run now, or at the end of the pause."""
        if self._pause.running:
            self._triggered = True
        else:
            self._run()

    def _run(self) -> None:
        self._triggered = False
        pause = self._call()
        if pause > 0:
            self._pause.set(pause, self._pause_ended)

    def _pause_ended(self) -> None:
        if self._triggered:
            self._run()
