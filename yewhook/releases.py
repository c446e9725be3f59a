"""Makes the calls that release held state; `core/release_call.py` decides which workers to call, and when."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from .config import Address
from .core.release_call import Plan, Ranking, ReleaseCall, Result
from .loop import Loop, Timer

MAX_OPEN_CALLS = 32  # of all releases together; each release may have one call even beyond this

DoneCallback = Callable[[bool], None]  # called at the end of a call with whether the worker confirmed it
# Calls one worker to release all state held for a request; returns a function that closes the call. Raises
# OSError.
ReleaseSender = Callable[[Address, str, DoneCallback], Callable[[], None]]


class _Release:
    """One release: its open calls and its timer."""

    def __init__(
        self, releases: Releases, request_id: str, begin_at: float, due: float, done: Callable[[], None]
    ) -> None:
        self._releases, self._request_id, self._done = releases, request_id, done
        self._state = ReleaseCall(begin_at, due)
        self._close_functions: dict[Address, Callable[[], None]] = {}
        self._timer = Timer(releases.loop)

    @property
    def open_calls(self) -> int:
        """The number of its open calls."""
        return len(self._close_functions)

    @property
    def late(self) -> bool:
        """Whether it is overdue."""
        return self._state.late

    def advance(self) -> None:
        """Make and close the calls that are due now."""
        releases = self._releases
        plan = self._state.advance(releases.ranking(), releases.loop.now, releases.free_calls)
        if plan.missed_due:
            releases.loop.log("release late", f"{self._request_id} after {self._state.calls_made} calls")
        self._carry_out(plan)

    def _carry_out(self, plan: Plan) -> None:
        for address in plan.close:
            self._close(address)
        for address in plan.call:
            self._call(address)
        if plan.result is not None:
            return self._end(plan.result)
        if plan.wake_at is not None:
            self.wake(plan.wake_at)
        return None

    def _call(self, address: Address) -> None:
        releases = self._releases
        try:
            close = releases.send(address, self._request_id, partial(self._call_ended, address))
        except OSError:
            releases.loop.after(0.0, partial(self._call_ended, address, False))
        else:
            self._close_functions[address] = close

    def _call_ended(self, address: Address, confirmed: bool) -> None:
        self._close_functions.pop(address, None)
        plan = self._state.call_ended(address, confirmed, self._releases.loop.now)
        if plan is not None:
            self._carry_out(plan)

    def wake(self, at: float) -> None:
        """Set the timer for the next `advance` to a time in seconds of the loop's clock."""
        self._timer.set(max(0.0, at - self._releases.loop.now), self.advance)

    def _close(self, address: Address) -> None:
        if (close := self._close_functions.pop(address, None)) is not None:
            close()

    def _end(self, result: Result) -> None:
        self._timer.cancel()
        for address in list(self._close_functions):
            self._close(address)
        log = self._releases.loop.log
        if result is Result.ABANDONED:
            log("release not confirmed", f"{self._request_id} after {self._state.calls_made} calls")
        elif log.detailed:
            log("release confirmed", f"{self._request_id} after {self._state.calls_made} calls")
        self._releases.remove(self)
        self._done()


class Releases:
    """All releases of a front that are neither confirmed nor abandoned yet."""

    def __init__(self, loop: Loop, send: ReleaseSender, ranking: Callable[[], Ranking]) -> None:
        """`send` makes one call; `ranking` returns the workers that may be called now."""
        self.loop, self.send, self.ranking = loop, send, ranking
        self._open: set[_Release] = set()

    @property
    def free_calls(self) -> int:
        """How many more calls may be open at once; negative if `MAX_OPEN_CALLS` is exceeded."""
        return MAX_OPEN_CALLS - sum(release.open_calls for release in self._open)

    @property
    def busy(self) -> bool:
        """Whether a release may still be confirmed in time."""
        return any(not release.late for release in self._open)

    def release(self, request_id: str, begin_at: float, due: float, done: Callable[[], None]) -> None:
        """Release all state held for a request; times are seconds of the loop's clock.

        Workers are called from `begin_at` on, and one should be told by `due`. `done` is called at the end,
        whether the release was confirmed or abandoned.
        """
        release = _Release(self, request_id, begin_at, due, done)
        self._open.add(release)
        if begin_at > self.loop.now:  # the workers are ranked only when it begins
            release.wake(begin_at)
        else:
            release.advance()

    def remove(self, release: _Release) -> None:
        """Drop a release that was confirmed or abandoned."""
        self._open.discard(release)
