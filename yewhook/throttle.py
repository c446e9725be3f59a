"""Runs a call at once when it is asked for, but no more often than the call itself says."""

from __future__ import annotations

from collections.abc import Callable

from .loop import Loop, Timer


class Throttle:
    """What is asked for during the pause after a run is done once, at the end of the pause."""

    def __init__(self, loop: Loop, call: Callable[[], float]) -> None:
        """`call` returns the s that have to pass until it may run again; 0 = it may at once."""
        self._call, self._pause = call, Timer(loop)
        self._asked = False

    def trigger(self) -> None:
        """Run now, or at the end of the pause."""
        if self._pause.running:
            self._asked = True
        else:
            self._run()

    def _run(self) -> None:
        self._asked = False
        pause = self._call()
        if pause > 0:
            self._pause.set(pause, self._over)

    def _over(self) -> None:
        if self._asked:
            self._run()
