"""The rules on sending a request: whether an attempt may be made, and how soon it must be on its way.

The module decides; these rules hold whatever it decides. They are free of I/O, and times are s of the loop's
clock.
"""

from __future__ import annotations

import math
from enum import StrEnum

from hopshed.interface import Effect, Group, Settings

from .ending import OUTCOMES
from .request_records import Attempt, RequestRecord, Stage
from .server_table import ServerStatus

MIN_CONNECT_TIME = 0.05  # s that a connection has to come up, however short the times of the settings are


class Withheld(StrEnum):
    """Why an attempt is not made."""

    NOT_ACCEPTED_YET = "the request is accepted"
    STREAMING = "the request is streaming"
    ENDED = "the request is ended"
    ATTEMPT_OUT = "an attempt is out"
    NO_ATTEMPTS_LEFT = "no attempts left"
    DEADLINE_PASSED = "its time has run out"
    UNKNOWN_SERVER = "a server that no list has named"
    SERVER_DRAINS = "the server drains or is gone"
    MAY_HAVE_RUN = "it may have run already"
    REPEAT_WINDOW_OVER = "its window for repeats is over"


STAGES = {
    Stage.ACCEPTED: Withheld.NOT_ACCEPTED_YET,
    Stage.ATTEMPT_OUT: Withheld.ATTEMPT_OUT,
    Stage.STREAMING: Withheld.STREAMING,
    Stage.ENDED: Withheld.ENDED,
}


def withheld(life: RequestRecord, server: ServerStatus, settings: Settings, now: float) -> Withheld | None:
    """Why a request may not be sent to a server now; None where it may."""
    if life.stage is not Stage.DECIDING:
        return STAGES[life.stage]
    if life.out is not None:
        return Withheld.ATTEMPT_OUT
    if len(life.attempts) >= settings.max_attempts:
        return Withheld.NO_ATTEMPTS_LEFT
    if now >= life.deadline:
        return Withheld.DEADLINE_PASSED
    if not server.known:
        return Withheld.UNKNOWN_SERVER
    if server.withdrawn_for > settings.drain_grace:
        return Withheld.SERVER_DRAINS
    if not may_have_run(life):
        return None
    if life.effect is Effect.UNSAFE:
        return Withheld.MAY_HAVE_RUN
    return Withheld.REPEAT_WINDOW_OVER if repeat_window_left(life, settings, now) <= 0 else None


def connect_within(life: RequestRecord, settings: Settings, now: float) -> float:
    """s in which an attempt must be on its way, however long a connection may take to come up.

    A server told to drain meanwhile gets nothing later, a repeat after its window runs anew, and the time in
    which a state may be held goes on.
    """
    held = max(MIN_CONNECT_TIME, life.held.release_at - now)
    within = min(held, max(MIN_CONNECT_TIME, settings.drain_grace))
    return min(within, repeat_window_left(life, settings, now)) if may_have_run(life) else within


def refusal_is_harmless(life: RequestRecord, settings: Settings) -> bool:
    """Whether a refusal, which promises that a repeat is harmless, may be given."""
    cls = settings.classes[life.arrived.cls]
    repeatable = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
    return repeatable or not may_have_run(life)


def may_have_run(life: RequestRecord) -> bool:
    """Whether an attempt of it may have had an effect."""
    return any(_may_have_run(attempt) for attempt in life.attempts)


def repeat_window_left(life: RequestRecord, settings: Settings, now: float) -> float:
    """s in which a request that may have run may go out again; infinity where no window is set."""
    if life.effect is not Effect.KEYED:
        return math.inf
    first = min(attempt.sent for attempt in life.attempts if _may_have_run(attempt))
    return first + settings.classes[life.arrived.cls].dedup_window - now


def _may_have_run(attempt: Attempt) -> bool:
    """An attempt at a reader has no effect; any other may have run unless its ending rules that out."""
    never = attempt.ending is not None and OUTCOMES[attempt.ending].never_ran
    return not attempt.reads and not never
