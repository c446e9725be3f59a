"""Makes the calls that let go of what workers hold; `core/release_call.py` decides whom to ask, and when."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from .config import Address
from .core.release_call import Plan, Ranking, ReleaseCall, Result
from .loop import Loop, Timer

MAX_CALLS = 32  # open at once, of all releases together; each release may have one, however many there are

DoneCallback = Callable[[bool], None]
# Asks one worker to let go of all that is held for a request; returns what gives the call up. Raises OSError.
ReleaseSender = Callable[[Address, str, DoneCallback], Callable[[], None]]


class _Release:
    """The calls of one release that are open, and its timer."""

    def __init__(
        self, releases: Releases, request_id: str, begin_at: float, due: float, done: Callable[[], None]
    ) -> None:
        self._releases, self._request_id, self._done = releases, request_id, done
        self._state = ReleaseCall(begin_at, due)
        self._give_up: dict[Address, Callable[[], None]] = {}
        self._timer = Timer(releases.loop)

    @property
    def calls(self) -> int:
        """How many of its calls are open."""
        return len(self._give_up)

    @property
    def late(self) -> bool:
        """Whether its time is over."""
        return self._state.late

    def advance(self) -> None:
        """Do what is to be done at this time."""
        releases = self._releases
        plan = self._state.advance(releases.candidates(), releases.loop.now, releases.room)
        if plan.missed_due:
            releases.loop.log("release late", f"{self._request_id} after {self._state.asked} calls")
        self._carry_out(plan)

    def _carry_out(self, plan: Plan) -> None:
        for address in plan.give_up:
            self._close(address)
        for address in plan.ask:
            self._call(address)
        if plan.result is not None:
            return self._end(plan.result)
        if plan.wake_at is not None:
            self.wake(plan.wake_at)
        return None

    def _call(self, address: Address) -> None:
        releases = self._releases
        try:
            give_up = releases.ask(address, self._request_id, partial(self._answered, address))
        except OSError:
            releases.loop.after(0.0, partial(self._answered, address, False))
        else:
            self._give_up[address] = give_up

    def _answered(self, address: Address, confirmed: bool) -> None:
        self._give_up.pop(address, None)
        plan = self._state.answered(address, confirmed, self._releases.loop.now)
        if plan is not None:
            self._carry_out(plan)

    def wake(self, at: float) -> None:
        """Come back at a time of the loop's clock."""
        self._timer.set(max(0.0, at - self._releases.loop.now), self.advance)

    def _close(self, address: Address) -> None:
        if (give_up := self._give_up.pop(address, None)) is not None:
            give_up()

    def _end(self, result: Result) -> None:
        self._timer.cancel()
        for address in list(self._give_up):
            self._close(address)
        log = self._releases.loop.log
        if result is Result.ABANDONED:
            log("release not confirmed", f"{self._request_id} after {self._state.asked} calls")
        elif log.detailed:
            log("release confirmed", f"{self._request_id} after {self._state.asked} calls")
        self._releases.ended(self)
        self._done()


class Releases:
    """All releases of a front that no worker has confirmed yet."""

    def __init__(self, loop: Loop, ask: ReleaseSender, candidates: Callable[[], Ranking]) -> None:
        self.loop, self.ask, self.candidates = loop, ask, candidates
        self._open: set[_Release] = set()

    @property
    def room(self) -> int:
        """How many more calls may be begun at once."""
        return MAX_CALLS - sum(release.calls for release in self._open)

    @property
    def busy(self) -> bool:
        """Whether a release may still be confirmed in time."""
        return any(not release.late for release in self._open)

    def release(self, request_id: str, begin_at: float, due: float, done: Callable[[], None]) -> None:
        """Let go of all that is held for a request, from `begin_at` on and by `due` (the loop's clock).

        `done` is called at the end, confirmed or not."""
        release = _Release(self, request_id, begin_at, due, done)
        self._open.add(release)
        if begin_at > self.loop.now:  # whom to ask is looked up when it begins
            release.wake(begin_at)
        else:
            release.advance()

    def ended(self, release: _Release) -> None:
        """It is confirmed, or nothing can be held any more."""
        self._open.discard(release)
