"""Watches a peer that reads slowly, and detects that it does not read at all."""

from __future__ import annotations

from collections.abc import Callable

from .loop import Loop, Timer

STALL_TIMEOUT_S = 10.0  # without reading, after which a slow peer counts as gone
CHECK_INTERVAL_S = 0.25


class SlowReader:
    """Watches one connection from when too many bytes are unsent until they have been taken."""

    __slots__ = (
        "_caught_up", "_last_taken_at", "_last_unsent", "_loop", "_stalled", "_timer", "_unsent",
        "caught_up_at", "watching",
    )  # fmt: skip

    def __init__(
        self, loop: Loop, unsent: Callable[[], int], stalled: Callable[[], None], caught_up_at: int = 0,
        caught_up: Callable[[], None] | None = None,
    ) -> None:  # fmt: skip
        """Create a watch that is not started.

        `unsent` returns the number of bytes not yet taken. `stalled` is called once the peer counts as gone,
        and `caught_up` when fewer than `caught_up_at` bytes are unsent; the watch has stopped by then.
        """
        self._loop, self._timer = loop, Timer(loop)
        self._unsent, self._stalled = unsent, stalled
        self.caught_up_at, self._caught_up = caught_up_at, caught_up
        self.watching = False
        self._last_unsent = 0  # bytes, at the last check
        self._last_taken_at = 0.0

    def start(self) -> None:
        """Start watching: the peer has fallen behind."""
        self.watching = True
        self._last_unsent, self._last_taken_at = self._unsent(), self._loop.now
        self._timer.set(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Stop watching: the peer has taken all, or the connection is closed."""
        self.watching = False
        self._timer.cancel()

    def _check(self) -> None:
        unsent = self._unsent()
        if self._caught_up is not None and unsent < self.caught_up_at:
            self.stop()
            return self._caught_up()
        if unsent < self._last_unsent:
            self._last_taken_at = self._loop.now
        self._last_unsent = unsent
        if self._loop.now - self._last_taken_at > STALL_TIMEOUT_S:
            self.stop()
            return self._stalled()
        return self._timer.set(CHECK_INTERVAL_S, self._check)
