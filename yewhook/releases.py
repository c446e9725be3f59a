"""Letting go of what workers hold: any running worker takes the call, so one after another is asked."""

from __future__ import annotations

from collections.abc import Callable

from .config import Address
from .loop import Loop

PATIENCE = 0.15  # s for one worker's answer
TRIES = 6

Done = Callable[[bool], None]
# Asks one worker to let go of all that is held for a request; returns what gives the call up. Raises OSError.
Ask = Callable[[Address, str, Done], Callable[[], None]]


class _Release:
    def __init__(self, releases: Releases, request_id: str) -> None:
        self._all, self._id = releases, request_id
        self._tried: list[Address] = []
        self._give_up: Callable[[], None] | None = None

    def next(self) -> None:
        address = self._all.choose(self._tried)
        if address is None or len(self._tried) >= TRIES:
            self._all.loop.log("release not confirmed", f"{self._id} after {len(self._tried)} workers")
            return self._all.done(self)
        self._tried.append(address)
        tries = len(self._tried)
        try:
            self._give_up = self._all.ask(address, self._id, lambda taken: self._answered(tries, taken))
        except OSError:
            return self._all.loop.after(0.01, self.next)
        return self._all.loop.after(PATIENCE, lambda: self._silent(tries))

    def _answered(self, tries: int, taken: bool) -> None:
        if tries == len(self._tried):
            self._give_up = None
            self._all.done(self) if taken else self.next()

    def _silent(self, tries: int) -> None:
        if self._give_up is not None and tries == len(self._tried):
            self._give_up()
            self._give_up = None
            self.next()


class Releases:
    def __init__(
        self,
        loop: Loop,
        ask: Ask,
        latest: Callable[[], list[Address]],
        running: Callable[[], list[Address]],
    ) -> None:
        self.loop, self.ask = loop, ask
        self._latest, self._running = latest, running
        self._open: set[_Release] = set()

    @property
    def busy(self) -> bool:
        return bool(self._open)

    def release(self, request_id: str) -> None:
        release = _Release(self, request_id)
        self._open.add(release)
        release.next()

    def choose(self, tried: list[Address]) -> Address | None:
        """A worker that lives, by its latest answer; else the next that discovery calls running."""
        running = self._running()
        order = [a for a in self._latest() if a in running] + running
        return next((a for a in order if a not in tried), None)

    def done(self, release: _Release) -> None:
        self._open.discard(release)
