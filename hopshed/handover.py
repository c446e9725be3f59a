"""Hands what one controller has learned to another one of the same router, at a restart of the process.

Requests are not handed over: each ends at the controller that took it. Times are those of the controllers'
clock, which both must share. After a hot restart both may still send to a cold server, so each keeps half of
its budget. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from .control import Controller
from .estimate import Estimate
from .interface import Role
from .state import Session

# The most recent entries are kept; each has about 60 bytes.
MAX_SESSIONS = 20_000
MAX_PREFIX_USES = 20_000
# Fields of LearnedServer that a controller takes over when it is already serving after a restart of its own.
MERGED_FIELDS = ("wait", "wait_at", "floor", "limit", "hit", "drag")


@dataclass(frozen=True, slots=True)
class LearnedServer:
    """What was learned about one server. The fields have the names of attributes of `state.Worker`."""

    listed: float  # time at which it was first listed
    wait: float  # learned wait in the server's queue, in seconds
    wait_at: float  # time of `wait`
    floor: float  # shortest time to a first token, in seconds; slowly rises
    limit: float | None  # adaptive concurrency limit, in streams; None = not yet known
    hit: float  # share of the tokens expected in the server's cache that were found there
    drag: float  # mean time of its streams as a multiple of their class's mean over all servers
    errors: float  # moving average of the share of attempts that failed, 0 to 1
    ejected: float  # time at which the latest ejection ends
    ejections: int  # ejections in a row
    trial: bool  # whether it was ejected and has not answered a request since
    failed_at: float  # time of the latest failed attempt
    life: float  # time of the latest sign of life
    cold_level: float  # slow start: level of the token bucket, in sends of mean work
    cold_at: float  # time of `cold_level`


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a controller has learned, as it is encoded for its successor and in snapshots."""

    servers: dict[int, LearnedServer]
    work: dict[int, Estimate]  # by server: work that it has taken, in sends of mean work a second
    sessions: list[tuple[str, Session]]  # in the order of last use, as are `kept` and `seen`
    kept: list[tuple[int, str, Estimate]]  # server, tag of a prefix believed to be in its cache, last use
    seen: list[tuple[str, Estimate]]  # prefix ("" = any), decayed number of requests with it
    waits: dict[Role, Estimate]  # seconds that requests wait at servers of a role
    pace: dict[Role, float]  # seconds that servers of a role need to read a token
    paced: int  # number of reads from which the paces were learned
    # Means: tokens of a prompt, those of them not found cached, tokens of a request (prompt and answer),
    # seconds between arrivals.
    means: tuple[float, float, float, float]
    by_class: list[tuple[float, float]]  # mean time of a stream in seconds, mean tokens of a prompt
    by_tenant: list[tuple[float, float]]  # share of clients that leave, their mean age then in seconds
    quotas: list[tuple[float, float]]  # by tenant, level of the token bucket and time of that level
    # Times of gossip messages by server: failures received, failures sent, waits sent or received.
    words: tuple[dict[int, float], dict[int, float], dict[int, float]]


def split_state(controller: Controller) -> LearnedState:
    """What a controller has learned, for a second one beside it. Halves the budget of each cold server."""
    for worker in controller.workers.values():
        if worker.cold_level > 0:
            worker.cold_level /= 2
    return export_state(controller)


def export_state(controller: Controller) -> LearnedState:
    """What a controller has learned; the controller is not changed."""
    names = [field.name for field in fields(LearnedServer)]
    return LearnedState(
        servers={
            number: LearnedServer(*(getattr(worker, name) for name in names))
            for number, worker in controller.workers.items()
        },
        work={number: worker.work_rate for number, worker in controller.workers.items()},
        sessions=list(controller.sessions.items())[-MAX_SESSIONS:],
        kept=[
            (number, tag, use)
            for (number, tag), use in list(controller.prefix_cache.uses.items())[-MAX_PREFIX_USES:]
        ],
        seen=list(controller.popularity.seen.items()),
        waits=controller.waits.by_role,
        pace=controller.paces.by_role,
        paced=controller.paces.samples,
        means=(
            controller.mean_prompt_tokens,
            controller.mean_fresh_tokens,
            controller.room.mean_request_tokens,
            controller.waits.mean_arrival_gap,
        ),
        by_class=list(zip(controller.mean_stream_time, controller.mean_class_tokens, strict=True)),
        by_tenant=list(zip(controller.leaving_share, controller.mean_leaving_age, strict=True)),
        quotas=[(bucket.level, bucket.at) for bucket in controller.quotas.buckets],
        words=controller.gossip.export(),
    )


def import_state(controller: Controller, state: LearnedState, now: float) -> None:
    """Initialize a controller from a learned state once it has its list of servers, before any other event.

    Raises ValueError where the state was learned with other settings; the controller is not changed then."""
    if len(state.by_class) != len(controller.mean_stream_time) or len(state.by_tenant) != len(
        controller.leaving_share
    ):
        raise ValueError("the learned state is for other classes or tenants")
    for number, learned in state.servers.items():
        if (worker := controller.workers.get(number)) is not None:
            for field in fields(LearnedServer):
                setattr(worker, field.name, getattr(learned, field.name))
            worker.work_rate = state.work.get(number, Estimate())
            worker.was_sent_to = bool(worker.work_rate.value)
            worker.known_usable, worker.cold_grant = False, 0.0
    controller.slow_start.invalidate()
    controller.sessions, controller.popularity.seen = dict(state.sessions), dict(state.seen)
    controller.prefix_cache.uses = {(number, tag): use for number, tag, use in state.kept}
    controller.waits.by_role = controller.waits.by_role | state.waits
    controller.waits.last_arrival = now
    controller.paces.restore(state.pace, state.paced)
    (
        controller.mean_prompt_tokens,
        controller.mean_fresh_tokens,
        controller.room.mean_request_tokens,
        controller.waits.mean_arrival_gap,
    ) = state.means
    controller.mean_stream_time, controller.mean_class_tokens = (
        list(column) for column in zip(*state.by_class, strict=True)
    )
    controller.leaving_share, controller.mean_leaving_age = (
        list(column) for column in zip(*state.by_tenant, strict=True)
    )
    for bucket, level in zip(controller.quotas.buckets, state.quotas, strict=False):
        bucket.level, bucket.at = level
    controller.gossip.restore(state.words)


def merge_state(controller: Controller, state: LearnedState) -> None:
    """Add an earlier controller's learned state to one that serves already; what it has learned itself stays.

    Only servers to which the controller has not yet sent anything are changed."""
    for number, learned in state.servers.items():
        worker = controller.workers.get(number)
        if worker is not None and not worker.was_sent_to:
            for name in MERGED_FIELDS:
                setattr(worker, name, getattr(learned, name))
            worker.known_usable = False
    controller.slow_start.invalidate()
    controller.sessions = dict(state.sessions) | controller.sessions
    controller.prefix_cache.uses = {
        (number, tag): use for number, tag, use in state.kept
    } | controller.prefix_cache.uses
    controller.popularity.seen = dict(state.seen) | controller.popularity.seen
    own_paces = {role: pace for role, pace in controller.paces.by_role.items() if pace}
    controller.paces.restore(state.pace | own_paces, controller.paces.samples or state.paced)
    if len(state.by_class) == len(controller.mean_stream_time):
        times, tokens = zip(*state.by_class, strict=True)
        controller.mean_stream_time = [
            own or other for own, other in zip(controller.mean_stream_time, times, strict=True)
        ]
        controller.mean_class_tokens = [
            own or other for own, other in zip(controller.mean_class_tokens, tokens, strict=True)
        ]
    prompt, fresh, request, _ = state.means
    controller.mean_prompt_tokens = controller.mean_prompt_tokens or prompt
    controller.mean_fresh_tokens = controller.mean_fresh_tokens or fresh
    controller.room.mean_request_tokens = controller.room.mean_request_tokens or request
    for bucket, level in zip(controller.quotas.buckets, state.quotas, strict=False):
        if bucket.at == 0.0:  # not used yet
            bucket.level, bucket.at = level
