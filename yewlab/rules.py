"""Checks the rules on what passes between routers, servers and clients; shares no code with a router."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from hopshed.interface import Effect, Settings

SLACK_S = 0.05  # added to each time limit, for messages in flight
# A cold server's budget of N requests of mean work may be exceeded by chance: by 2 standard deviations of a
# count whose mean is N, and 2 more requests. The page of the standing test allows 3 and 3, but its operators
# apply the stricter figures.
CHANCE_DEVIATIONS, CHANCE_REQUESTS = 2.0, 2.0
LEFT_GRACE_S = 0.1  # after a client has closed, within which an attempt may still begin
MAX_WAIT_AFTER_EVENT_S = 5.0  # of a client, after the last event of a server that runs
SAME_START_S = 0.01  # tolerance, since lists state starts in whole milliseconds of another clock


@dataclass(slots=True)
class _Request:
    deadline: float
    effect: Effect
    answers: int = 0
    attempts_out: int = 0
    may_have_run: bool = False
    idle_since: float = 0.0
    streaming: bool = False
    overlap_since: float | None = None  # since when more than one attempt has been out
    left_at: float | None = None  # when its client closed its connection
    last_event_at: float | None = None  # of an answer that never ends


@dataclass(slots=True)
class Rules:
    """Records each broken rule in `broken`; a run with any is a failure.

    Times are in seconds of the run's clock.
    """

    settings: Settings
    # How long two attempts of a request may overlap at the servers: on sockets, the end of a canceled attempt
    # and the next attempt arrive on different connections, in either order.
    overlap_allowed_s: float = 0.0
    broken: list[str] = field(default_factory=list)
    _open: dict[str, _Request] = field(default_factory=dict)
    _not_running_since: dict[tuple[int, int], float] = field(default_factory=dict)
    _cold_work: dict[int, deque[tuple[float, float, bool]]] = field(default_factory=dict)
    _starts: dict[tuple[int, int], float | None] = field(default_factory=dict)

    def _report(self, now: float, what: str) -> None:
        self.broken.append(f"{now:.3f} {what}")

    def _lateness(self, entry: _Request, now: float) -> float:
        """Seconds since the last permitted moment for an answer; negative before it."""
        return now - entry.deadline - self.settings.answer_slack - SLACK_S

    # ---- clients ----

    def came(self, request: str, effect: Effect, deadline: float, now: float) -> None:
        """A client sent a request."""
        self._open[request] = _Request(deadline, effect, idle_since=now)

    def began(self, request: str, now: float) -> None:
        """The first event of the answer arrived at the client."""
        entry = self._open.get(request)
        if entry is None:
            self._report(now, f"{request} answered, but it is not open")
        elif not entry.streaming:
            entry.streaming = True
            if self._lateness(entry, now) > 0:
                self._report(now, f"{request} first answered {now - entry.deadline:.3f} s after its deadline")

    def answered(self, request: str, refused: bool, now: float) -> None:
        """The answer ended at the client; the end of a stream, complete or not, counts as an answer."""
        entry = self._open.get(request)
        if entry is None:
            return self._report(now, f"{request} answered, but it is not open")
        entry.answers += 1
        if entry.answers > 1:
            self._report(now, f"{request} answered twice")
        if not entry.streaming and (late := self._lateness(entry, now)) > 0:
            self._report(now, f"{request} answered {late:.3f} s late")
        self._check_wait(request, entry, now)
        return self.refused(request, now) if refused else None

    def _check_wait(self, request: str, entry: _Request, now: float) -> None:
        """Check how long the client has waited since the last event of an answer that never ends."""
        if entry.last_event_at is None:
            return
        waited = now - entry.last_event_at
        if waited > MAX_WAIT_AFTER_EVENT_S + SLACK_S:
            self._report(now, f"{request} was left open for {waited:.3f} s after its last event")
            entry.last_event_at = None  # so that it is reported once

    def refused(self, request: str, now: float) -> None:
        """The client was told that the request did not run, which must be true of an unsafe one."""
        entry = self._open.get(request)
        if entry is not None and entry.effect is Effect.UNSAFE and (entry.may_have_run or entry.attempts_out):
            self._report(now, f"{request} refused as safe to retry, but it may have run or may still run")

    def lost(self, request: str) -> None:
        """The process of the request's router died, so that neither an answer nor a release can follow."""
        self._open.pop(request, None)

    def left(self, request: str, now: float) -> None:
        """The client of a request closed its connection, so that it is owed nothing more."""
        if (entry := self._open.get(request)) is not None:
            entry.left_at, entry.answers = now, max(1, entry.answers)

    def came_again(self, request: str) -> None:
        """The id of a request whose client has left was sent again; what may have run must not run again."""
        if (entry := self._open.get(request)) is not None:
            entry.left_at = None

    # ---- servers ----

    def sent(self, router: int, request: str, server: int, reads: bool, now: float) -> None:
        """A router sent an attempt; `reads` = to a reader, where it has no effect."""
        entry = self._open.get(request)
        if entry is None:
            return self._report(now, f"{request} sent, but it is not open")
        entry.attempts_out += 1
        if entry.left_at is not None and now - entry.left_at > LEFT_GRACE_S + SLACK_S:
            self._report(now, f"{request} sent {now - entry.left_at:.3f} s after its client had left")
        if entry.attempts_out > 1 and self.overlap_allowed_s <= 0:
            self._report(now, f"{request} has {entry.attempts_out} attempts out")
        elif entry.attempts_out > 1 and entry.overlap_since is None:
            entry.overlap_since = now
        if entry.effect is Effect.UNSAFE and entry.may_have_run:
            self._report(now, f"{request} may not be repeated and was sent again")
        if not reads:
            entry.may_have_run = True
        since = self._not_running_since.get((router, server))
        if since is not None and now - since > self.settings.drain_grace + SLACK_S:
            self._report(now, f"{request} sent to {server}, told off {now - since:.3f} s before")
        return None

    def last_event(self, request: str, now: float) -> None:
        """A server wrote an event of an answer that never ends, perhaps its last one.

        Clients of a crowd have no deadline and do not report the end of their answers.
        """
        entry = self._open.get(request)
        if entry is not None and not entry.answers and entry.deadline < math.inf:
            entry.last_event_at = now

    def ended(self, request: str, never_ran: bool, now: float) -> None:
        """An attempt of the request ended; `never_ran` = it had no effect at its server."""
        if (entry := self._open.get(request)) is not None:
            entry.attempts_out -= 1
            entry.overlap_since = entry.overlap_since if entry.attempts_out > 1 else None
            entry.idle_since = now
            if never_ran:  # at most one attempt is out, and those before it did not run either
                entry.may_have_run = False

    def told(self, router: int, server: int, running: bool, now: float) -> None:
        """A router learned whether a server is running, as opposed to draining or gone."""
        if running:
            self._not_running_since.pop((router, server), None)
        else:
            self._not_running_since.setdefault((router, server), now)

    def started(self, router: int, server: int, at: float | None) -> None:
        """A router learned of a server's latest start; None = the start is unknown."""
        self._starts[router, server] = at

    def cold(
        self,
        router: int,
        server: int,
        started: float,
        work: float,
        mean_work: float,
        capacity: float,
        now: float,
    ) -> None:
        """An attempt reached a cold server that started at `started`.

        `work` is that of the attempt, `mean_work` that of a mean request there, in seconds of the whole
        server when warm; `capacity` is the work that the server can do per second now. The rule is broken if
        the recent work exceeds the server's budget and at least two thirds of it came from routers that knew
        of the start.
        """
        window, multiple = self.settings.fall_window, self.settings.fall_multiple
        recent = self._cold_work.setdefault(server, deque())
        known = self._starts.get((router, server))
        recent.append((now, work, known is not None and abs(known - started) < SAME_START_S))
        while recent[0][0] < now - window:
            recent.popleft()
        total = sum(part for _, part, _ in recent)
        informed = sum(part for _, part, knew_start in recent if knew_start)
        budget = multiple * capacity * window / mean_work
        limit = budget + CHANCE_DEVIATIONS * math.sqrt(budget) + CHANCE_REQUESTS
        if total > limit * mean_work and informed >= total * 2.0 / 3.0:
            self._report(now, f"cold server {server} pushed over")

    def held(self, request: str, now: float) -> None:
        """A server holds state for the request at this moment."""
        entry = self._open.get(request)
        limit = self.settings.release_within + SLACK_S + 0.3
        if entry is not None and entry.attempts_out == 0 and now - entry.idle_since > limit:
            self._report(now, f"{request} has had unreleased state for {now - entry.idle_since:.3f} s")
            entry.idle_since = now  # so that it is reported once

    def sweep(self, now: float) -> None:
        """Check for unanswered requests and lasting overlaps; forget requests that ended long ago."""
        for request, entry in list(self._open.items()):
            if entry.overlap_since is not None and now - entry.overlap_since > self.overlap_allowed_s:
                self._report(
                    now,
                    f"{request} has {entry.attempts_out} attempts out for {now - entry.overlap_since:.3f} s",
                )
                entry.overlap_since = None  # so that it is reported once
            if entry.answers == 0:
                self._check_wait(request, entry, now)
            if entry.answers == 0 and not entry.streaming and self._lateness(entry, now) > 0:
                self._report(now, f"{request} was never answered")
                entry.answers = 1
            if (
                entry.answers
                and entry.attempts_out == 0
                and now - entry.deadline > 5.0
                and now - entry.idle_since > 5.0
            ):
                del self._open[request]
