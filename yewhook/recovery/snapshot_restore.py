"""Which learned state of an earlier process is still valid, by the trust in snapshots. No I/O."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TypeVar

from hopshed.estimate import Estimate
from hopshed.handover import LearnedState
from hopshed.state import Session

from .restart_scope import Scope
from .trust import FactKind, Source, belief

Dated = TypeVar("Dated", bound=Estimate | Session)


def still_valid(
    known: LearnedState, scope: Scope, shift: float, written_at: float, now: float
) -> LearnedState:
    """The valid part of the learned state, with its times on this process's clock.

    `shift` = seconds to add to times of the earlier process; `written_at` = time of the snapshot on this
    process's clock. After a loss of the whole fleet, the workers' caches are empty and what was learned about
    single workers does not apply any more; what was learned about the clients' requests does.
    """

    def is_valid(kind: FactKind, as_of: float) -> bool:
        return belief(kind, Source.SNAPSHOT, now - as_of) > 0

    def shifted(dated: Dated) -> Dated:
        return replace(dated, at=dated.at + shift)

    workers_ran_on = scope is Scope.THIS_ROUTER
    sessions = [(key, shifted(session)) for key, session in known.sessions if workers_ran_on]
    kept = [(server, key, shifted(used)) for server, key, used in known.kept if workers_ran_on]
    servers_valid = workers_ran_on and is_valid(FactKind.PERFORMANCE, written_at)
    quotas = [(level, at + shift) for level, at in known.quotas]
    return replace(
        known,
        servers={
            n: replace(server, wait_at=server.wait_at + shift)
            for n, server in known.servers.items()
            if servers_valid
        },
        work={},
        sessions=[(key, session) for key, session in sessions if is_valid(FactKind.CACHED_TEXT, session.at)],
        kept=[(server, key, used) for server, key, used in kept if is_valid(FactKind.CACHED_TEXT, used.at)],
        seen=[(key, shifted(seen)) for key, seen in known.seen] if math.isfinite(written_at) else [],
        pace=known.pace if is_valid(FactKind.PERFORMANCE, written_at) else {},
        quotas=[(level, at) for level, at in quotas] if is_valid(FactKind.QUOTA_USE, written_at) else [],
    )
