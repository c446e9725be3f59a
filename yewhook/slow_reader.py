"""A peer that takes slowly what is written to it, and how it is found out that it takes nothing at all."""

from __future__ import annotations

from collections.abc import Callable

from .loop import Loop, Timer

STALL_TIMEOUT = 10.0  # s in which a slow peer takes nothing, after which it counts as gone
CHECK_INTERVAL = 0.25  # s


class SlowReader:
    """Watches one connection from when too much is unsent until that has been taken."""

    def __init__(
        self, loop: Loop, unsent: Callable[[], int], stalled: Callable[[], None], caught_up_at: int = 0,
        caught_up: Callable[[], None] | None = None,
    ) -> None:  # fmt: skip
        """`unsent` = bytes written and not yet taken; `stalled` is called once the peer counts as gone, and
        `caught_up` when fewer than `caught_up_at` bytes are left. The watch is over by then."""
        self._loop, self._timer = loop, Timer(loop)
        self._unsent, self._stalled = unsent, stalled
        self._caught_up_at, self._caught_up = caught_up_at, caught_up
        self.watching = False
        self._left = 0  # bytes unsent at the last look
        self._taken_at = 0.0  # when the peer last took something

    def start(self) -> None:
        """The peer has fallen behind."""
        self.watching = True
        self._left, self._taken_at = self._unsent(), self._loop.now
        self._timer.set(CHECK_INTERVAL, self._check)

    def stop(self) -> None:
        """It has taken all, or the connection is over."""
        self.watching = False
        self._timer.cancel()

    def _check(self) -> None:
        left = self._unsent()
        if self._caught_up is not None and left < self._caught_up_at:
            self.stop()
            return self._caught_up()
        if left < self._left:
            self._taken_at = self._loop.now
        self._left = left
        if self._loop.now - self._taken_at > STALL_TIMEOUT:
            self.stop()
            return self._stalled()
        return self._timer.set(CHECK_INTERVAL, self._check)
