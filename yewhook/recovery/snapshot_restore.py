"""What of an earlier process's knowledge still holds, by the table of trust. No I/O."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TypeVar

from hopshed.estimate import Estimate
from hopshed.handover import LearnedState
from hopshed.state import Session

from .restart_scope import Scope
from .trust import FactKind, Source, belief

K = TypeVar("K", bound=Estimate | Session)


def still_valid(known: LearnedState, scope: Scope, shift: float, wrote: float, now: float) -> LearnedState:
    """`shift` = s that its clock must be moved by to be this process's; `wrote` = when, on the latter.

    After the fleet's loss nothing is kept at workers, and none is as it was; what clients ask is."""

    def holds(kind: FactKind, at: float) -> bool:
        return belief(kind, Source.SNAPSHOT, now - at) > 0

    def moved(one: K) -> K:
        return replace(one, at=one.at + shift)

    alone = scope is Scope.ALONE
    texts = [(key, moved(session)) for key, session in known.sessions if alone]
    kept = [(server, key, moved(used)) for server, key, used in known.kept if alone]
    healthy = alone and holds(FactKind.PACE, wrote)
    spent = [(level, at + shift) for level, at in known.quotas]
    return replace(
        known,
        servers={n: replace(one, wait_at=one.wait_at + shift) for n, one in known.servers.items() if healthy},
        work={},
        sessions=[(key, session) for key, session in texts if holds(FactKind.TEXT, session.at)],
        kept=[(server, key, used) for server, key, used in kept if holds(FactKind.TEXT, used.at)],
        seen=[(key, moved(seen)) for key, seen in known.seen] if math.isfinite(wrote) else [],
        pace=known.pace if holds(FactKind.PACE, wrote) else {},
        quotas=[(level, at) for level, at in spent] if holds(FactKind.SPENT, wrote) else [],
    )
