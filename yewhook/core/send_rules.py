"""The rules on sending a request: whether an attempt may be made, and how soon it must be connected.

`hopshed` decides where to send a request; these rules hold whatever it decides. They do no I/O, and times are
seconds of the loop's clock.
"""

from __future__ import annotations

import math
from enum import StrEnum

from hopshed.interface import Effect, Group, Settings

from .ending import OUTCOMES
from .request_records import Attempt, RequestRecord, Stage
from .server_table import ServerStatus

MIN_CONNECT_TIMEOUT_S = 0.05  # lower bound, however short the times in the settings are


class WithholdReason(StrEnum):
    """Why an attempt is not made, as written to the log."""

    NOT_ACCEPTED_YET = "the request has not been passed to the decision module yet"
    STREAMING = "the response has already begun"
    ENDED = "the request has ended"
    ATTEMPT_OUT = "another attempt is out"
    NO_ATTEMPTS_LEFT = "the maximum number of attempts has been made"
    DEADLINE_PASSED = "the deadline of the request has passed"
    UNKNOWN_SERVER = "the server is not in the server list"
    SERVER_DRAINS = "the server is draining or gone"
    MAY_HAVE_RUN = "the request is unsafe to repeat and may have run"
    REPEAT_WINDOW_OVER = "the deduplication window has passed"


REASON_BY_STAGE = {
    Stage.ACCEPTED: WithholdReason.NOT_ACCEPTED_YET,
    Stage.ATTEMPT_OUT: WithholdReason.ATTEMPT_OUT,
    Stage.STREAMING: WithholdReason.STREAMING,
    Stage.ENDED: WithholdReason.ENDED,
}


def withhold_reason(
    record: RequestRecord, server: ServerStatus, settings: Settings, now: float
) -> WithholdReason | None:
    """Why the request may not be sent to the server now; None if it may."""
    if record.stage is not Stage.DECIDING:
        return REASON_BY_STAGE[record.stage]
    if record.attempt_out is not None:
        return WithholdReason.ATTEMPT_OUT
    if len(record.attempts) >= settings.max_attempts:
        return WithholdReason.NO_ATTEMPTS_LEFT
    if now >= record.deadline:
        return WithholdReason.DEADLINE_PASSED
    if not server.known:
        return WithholdReason.UNKNOWN_SERVER
    if server.withdrawn_for > settings.drain_grace:
        return WithholdReason.SERVER_DRAINS
    if not may_have_run(record):
        return None
    if record.effect is Effect.UNSAFE:
        return WithholdReason.MAY_HAVE_RUN
    return WithholdReason.REPEAT_WINDOW_OVER if repeat_window_left(record, settings, now) <= 0 else None


def connect_timeout(record: RequestRecord, settings: Settings, now: float) -> float:
    """Seconds within which the first byte of an attempt must be written, whatever its timeout is.

    After that, its server may have been draining for too long, a repeat may fall out of the deduplication
    window and run again, or the time limit of held state may have run out.
    """
    until_release = max(MIN_CONNECT_TIMEOUT_S, record.held.release_at - now)
    timeout = min(until_release, max(MIN_CONNECT_TIMEOUT_S, settings.drain_grace))
    return min(timeout, repeat_window_left(record, settings, now)) if may_have_run(record) else timeout


def refusal_is_harmless(record: RequestRecord, settings: Settings) -> bool:
    """Whether the request may be refused, which tells the client that it may safely retry."""
    request_class = settings.classes[record.arrived.cls]
    repeatable = request_class.effect is Effect.SAFE or (
        request_class.effect is Effect.KEYED and request_class.group is Group.ALL
    )
    return repeatable or not may_have_run(record)


def may_have_run(record: RequestRecord) -> bool:
    """Whether any attempt of the request may have had an effect."""
    return any(_attempt_may_have_run(attempt) for attempt in record.attempts)


def repeat_window_left(record: RequestRecord, settings: Settings, now: float) -> float:
    """Seconds in which a request that may have run may still be repeated; infinity if it is not keyed."""
    if record.effect is not Effect.KEYED:
        return math.inf
    first = min(attempt.sent_at for attempt in record.attempts if _attempt_may_have_run(attempt))
    return first + settings.classes[record.arrived.cls].dedup_window - now


def _attempt_may_have_run(attempt: Attempt) -> bool:
    """Reads have no effect; any other attempt may have run unless its ending rules that out."""
    never_ran = attempt.ending is not None and OUTCOMES[attempt.ending].never_ran
    return not attempt.at_reader and not never_ran
