"""What one controller has learnt, for the one that takes its place in the same instance. No I/O.

Requests are not handed over: each ends where it was taken. Times are those of the controllers' clock, which
both must share. Of a cold server's budget each of the two keeps half, for both may still send to it.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from .control import Controller
from .estimate import Estimate
from .interface import Role
from .state import Session

SESSIONS_MOST, KEPT_MOST = 20_000, 20_000  # the latest; each is some 60 bytes
REMINDED = ("wait", "wait_at", "floor", "limit", "hit", "drag")  # of a server, after this one's own restart


@dataclass(frozen=True, slots=True)
class LearnedServer:
    """Of one server, under the names of `state.Worker`."""

    listed: float
    wait: float
    wait_at: float
    floor: float
    limit: float | None
    hit: float
    drag: float
    errors: float
    ejected: float
    ejections: int
    trial: bool
    failed_at: float
    life: float
    cold_level: float
    cold_at: float


@dataclass(frozen=True, slots=True)
class LearnedState:
    servers: dict[int, LearnedServer]
    work: dict[int, Estimate]  # server -> rate of work sent there
    sessions: list[tuple[str, Session]]  # in the order of last use, as the next two
    kept: list[tuple[int, str, Estimate]]  # server, beginning
    seen: list[tuple[str, Estimate]]  # beginning
    waits: dict[Role, Estimate]
    pace: dict[Role, float]
    paced: int
    means: tuple[float, float, float, float]  # prompt, fresh, context, gap between arrivals
    by_class: list[tuple[float, float]]  # stream time, tokens
    by_tenant: list[tuple[float, float]]  # part that leaves, its age
    quotas: list[tuple[float, float]]  # level, at
    words: tuple[dict[int, float], dict[int, float], dict[int, float]]  # failing heard, said; waits


def split_state(c: Controller) -> LearnedState:
    """What a controller knows, for one beside it; half of each cold server's budget goes with it."""
    for worker in c.workers.values():
        if worker.cold_level > 0:
            worker.cold_level /= 2
    return export_state(c)


def export_state(c: Controller) -> LearnedState:
    """What a controller knows; it goes on with all of it."""
    names = [field.name for field in fields(LearnedServer)]
    return LearnedState(
        servers={n: LearnedServer(*(getattr(w, name) for name in names)) for n, w in c.workers.items()},
        work={n: w.work_rate for n, w in c.workers.items()},
        sessions=list(c.sessions.items())[-SESSIONS_MOST:],
        kept=[(n, key, used) for (n, key), used in list(c.prefix_cache.uses.items())[-KEPT_MOST:]],
        seen=list(c.popularity.seen.items()),
        waits=c.waits.by_role,
        pace=c.paces.by_role,
        paced=c.paces.samples,
        means=(
            c.mean_prompt_tokens,
            c.mean_fresh_tokens,
            c.room.mean_request_tokens,
            c.waits.mean_arrival_gap,
        ),
        by_class=list(zip(c.mean_stream_time, c.mean_class_tokens, strict=True)),
        by_tenant=list(zip(c.leaving_share, c.mean_leaving_age, strict=True)),
        quotas=[(bucket.level, bucket.at) for bucket in c.quotas.buckets],
        words=c.gossip.export(),
    )


def import_state(c: Controller, known: LearnedState, now: float) -> None:
    """Let a controller that has heard its list, and nothing else, go on from another's knowledge.

    Raises ValueError where the two were made for other settings; then nothing has changed."""
    if len(known.by_class) != len(c.mean_stream_time) or len(known.by_tenant) != len(c.leaving_share):
        raise ValueError("other classes or tenants")
    for number, learnt in known.servers.items():
        if (worker := c.workers.get(number)) is not None:
            for field in fields(LearnedServer):
                setattr(worker, field.name, getattr(learnt, field.name))
            worker.work_rate = known.work.get(number, Estimate())
            worker.known_usable = False
    c.slow_start.invalidate()
    c.sessions, c.popularity.seen = dict(known.sessions), dict(known.seen)
    c.prefix_cache.uses = {(number, key): used for number, key, used in known.kept}
    c.waits.by_role, c.waits.last_arrival = c.waits.by_role | known.waits, now
    c.paces.restore(known.pace, known.paced)
    c.mean_prompt_tokens, c.mean_fresh_tokens, c.room.mean_request_tokens, c.waits.mean_arrival_gap = (
        known.means
    )
    c.mean_stream_time, c.mean_class_tokens = (list(part) for part in zip(*known.by_class, strict=True))
    c.leaving_share, c.mean_leaving_age = (list(part) for part in zip(*known.by_tenant, strict=True))
    for bucket, told in zip(c.quotas.buckets, known.quotas, strict=False):
        bucket.level, bucket.at = told
    c.gossip.restore(known.words)


def merge_state(c: Controller, known: LearnedState) -> None:
    """Let a controller that serves already know what an earlier one knew; what it has learnt itself stands.

    Of servers only those count that it has not met yet."""
    for number, learnt in known.servers.items():
        worker = c.workers.get(number)
        if worker is not None and not worker.work_rate.value:
            for name in REMINDED:
                setattr(worker, name, getattr(learnt, name))
            worker.known_usable = False
    c.slow_start.invalidate()
    c.sessions = dict(known.sessions) | c.sessions
    c.prefix_cache.uses = {(number, key): used for number, key, used in known.kept} | c.prefix_cache.uses
    c.popularity.seen = dict(known.seen) | c.popularity.seen
    mine = {role: pace for role, pace in c.paces.by_role.items() if pace}
    c.paces.restore(known.pace | mine, c.paces.samples or known.paced)
    if len(known.by_class) == len(c.mean_stream_time):
        times, tokens = zip(*known.by_class, strict=True)
        c.mean_stream_time = [mine or theirs for mine, theirs in zip(c.mean_stream_time, times, strict=True)]
        c.mean_class_tokens = [
            mine or theirs for mine, theirs in zip(c.mean_class_tokens, tokens, strict=True)
        ]
    prompt, fresh, context, _ = known.means
    c.mean_prompt_tokens, c.mean_fresh_tokens = c.mean_prompt_tokens or prompt, c.mean_fresh_tokens or fresh
    c.room.mean_request_tokens = c.room.mean_request_tokens or context
    for bucket, told in zip(c.quotas.buckets, known.quotas, strict=False):
        if bucket.at == 0.0:  # untouched
            bucket.level, bucket.at = told
