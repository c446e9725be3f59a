"""Checkers of the rules, by what crosses between routers, servers and clients. They share no code with a
router."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from hopshed.interface import Effect, Settings

SLACK = 0.05  # s that each limit is longer for what is on its way
# Requests of mean work that chance may add to a budget of N of them: 2 standard deviations of a count whose
# mean is N, and so many more. The standing test's page allows 3 and 3; its operators go by the stricter.
CHANCE, FEW = 2.0, 2.0
SAME_START = 0.01  # s; lists state starts in whole ms of another clock


@dataclass(slots=True)
class _Request:
    deadline: float
    effect: Effect
    answers: int = 0
    out: int = 0
    may_have_run: bool = False
    idle_since: float = 0.0
    streaming: bool = False
    crowded: float | None = None  # since when two attempts seem to be out


@dataclass(slots=True)
class Rules:
    """`broken` names each break; a run with any counts for nothing."""

    settings: Settings
    # s within which an attempt that was given up must be seen to end, though another one has come already: on
    # sockets the two cross on connections that keep no order.
    settles: float = 0.0
    broken: list[str] = field(default_factory=list)
    _open: dict[str, _Request] = field(default_factory=dict)
    _told_off: dict[tuple[int, int], float] = field(default_factory=dict)
    _cold: dict[int, deque[tuple[float, float, bool]]] = field(default_factory=dict)
    _starts: dict[tuple[int, int], float | None] = field(default_factory=dict)

    def _break(self, now: float, what: str) -> None:
        self.broken.append(f"{now:.3f} {what}")

    def _late(self, one: _Request, now: float) -> float:
        """s by which the last moment for an answer has passed; under 0 before it."""
        return now - one.deadline - self.settings.answer_slack - SLACK

    # ---- clients ----

    def came(self, request: str, effect: Effect, deadline: float, now: float) -> None:
        self._open[request] = _Request(deadline, effect, idle_since=now)

    def began(self, request: str, now: float) -> None:
        """Its answer's first event has come."""
        one = self._open.get(request)
        if one is None:
            self._break(now, f"{request} answered, and nobody asks for it")
        elif not one.streaming:
            one.streaming = True
            if self._late(one, now) > 0:
                self._break(now, f"{request} begun {now - one.deadline:.3f} s after its deadline")

    def answered(self, request: str, refused: bool, now: float) -> None:
        """Its final answer; a stream that is whole or broken off counts as one."""
        one = self._open.get(request)
        if one is None:
            return self._break(now, f"{request} answered twice, or never asked")
        one.answers += 1
        if one.answers > 1:
            self._break(now, f"{request} answered twice")
        if not one.streaming and (late := self._late(one, now)) > 0:
            self._break(now, f"{request} answered {late:.3f} s late")
        return self.refused(request, now) if refused else None

    def refused(self, request: str, now: float) -> None:
        """What a refusal says of a request must hold: that it has not run, nor will."""
        one = self._open.get(request)
        if one is not None and one.effect is Effect.UNSAFE and (one.may_have_run or one.out):
            self._break(now, f"{request} refused as harmless though it may have run, or may yet")

    def lost(self, request: str) -> None:
        """Its router's process died: nobody is left to answer it or to let go of anything."""
        self._open.pop(request, None)

    # ---- servers ----

    def sent(self, router: int, request: str, server: int, reads: bool, now: float) -> None:
        one = self._open.get(request)
        if one is None:
            return self._break(now, f"{request} sent, and nobody asks for it")
        one.out += 1
        if one.out > 1 and self.settles <= 0:
            self._break(now, f"{request} has {one.out} attempts out")
        elif one.out > 1 and one.crowded is None:
            one.crowded = now
        if one.effect is Effect.UNSAFE and one.may_have_run:
            self._break(now, f"{request} may not be repeated and was sent again")
        if not reads:
            one.may_have_run = True
        told = self._told_off.get((router, server))
        if told is not None and now - told > self.settings.drain_grace + SLACK:
            self._break(now, f"{request} sent to {server}, told off {now - told:.3f} s before")
        return None

    def ended(self, request: str, never_ran: bool, now: float) -> None:
        if (one := self._open.get(request)) is not None:
            one.out -= 1
            one.crowded = one.crowded if one.out > 1 else None
            one.idle_since = now
            if never_ran:  # there is one attempt out at most, and those before it had not run either
                one.may_have_run = False

    def told(self, router: int, server: int, running: bool, now: float) -> None:
        if running:
            self._told_off.pop((router, server), None)
        else:
            self._told_off.setdefault((router, server), now)

    def started(self, router: int, server: int, at: float | None) -> None:
        """A router was told of a server's latest start."""
        self._starts[router, server] = at

    def cold(
        self, router: int, server: int, started: float, work: float, mean: float, can: float, now: float
    ) -> None:
        """Work reached a cold server, in s of the whole server's time when warm; it can do `can` a second.

        `mean` = work of a mean request there. The rule is broken if two thirds of what pushed it over came
        from routers told of its start.
        """
        window, multiple = self.settings.fall_window, self.settings.fall_multiple
        recent = self._cold.setdefault(server, deque())
        told = self._starts.get((router, server))
        recent.append((now, work, told is not None and abs(told - started) < SAME_START))
        while recent[0][0] < now - window:
            recent.popleft()
        whole = sum(w for _, w, _ in recent)
        informed = sum(w for _, w, told in recent if told)
        allowed = multiple * can * window / mean
        bears = allowed + CHANCE * math.sqrt(allowed) + FEW
        if whole > bears * mean and informed >= whole * 2.0 / 3.0:
            self._break(now, f"cold server {server} pushed over")

    def held(self, request: str, now: float) -> None:
        """A state is held for it at this moment."""
        one = self._open.get(request)
        limit = self.settings.release_within + SLACK + 0.3
        if one is not None and one.out == 0 and now - one.idle_since > limit:
            self._break(now, f"{request} has left a state held for {now - one.idle_since:.3f} s")
            one.idle_since = now  # told once

    def sweep(self, now: float) -> None:
        """Look for what was never answered, and forget what is long over."""
        for request, one in list(self._open.items()):
            if one.crowded is not None and now - one.crowded > self.settles:
                self._break(now, f"{request} has {one.out} attempts out for {now - one.crowded:.3f} s")
                one.crowded = None  # told once
            if one.answers == 0 and not one.streaming and self._late(one, now) > 0:
                self._break(now, f"{request} never answered")
                one.answers = 1
            if one.answers and one.out == 0 and now - one.deadline > 5.0 and now - one.idle_since > 5.0:
                del self._open[request]
