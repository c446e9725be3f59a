"""How much of what comes is admitted at a level: by client first, then by worth for a unit of work.

The level says which kinds may give way; how much of them does is what load asks for and no more, so that at a
threshold nothing changes at once. What may give way at a better level goes first, and within that the least
worth.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from hopshed.interface import Settings

from .fairness import max_min
from .level import Level
from .turns import RefusalLoss, TurnKind

# What refusing a turn loses besides its own worth, as a factor on that: a stream that comes back loses what
# was answered, a session under way the text kept for it; a repeat has lost its aim once before.
LOSS = {
    RefusalLoss.RESUMED_STREAM: 4.0,
    RefusalLoss.OPEN_SESSION: 1.5,
    RefusalLoss.NEW_SESSION: 1.0,
    RefusalLoss.CLIENT_RETRY: 0.5,
}
Shares = Mapping[TurnKind, float]


def first_level(kind: TurnKind, top: frozenset[int]) -> Level | None:
    """The best level at which a kind may give way; None for what none refuses."""
    if kind.refusal_loss is RefusalLoss.RESUMED_STREAM:
        return None
    if kind.over_share or kind.refusal_loss is RefusalLoss.CLIENT_RETRY:
        return Level.GUARDED
    if kind.cls not in top:
        if kind.long and kind.refusal_loss is RefusalLoss.NEW_SESSION:
            return Level.THRIFTY
        return Level.ESSENTIAL if kind.refusal_loss is RefusalLoss.NEW_SESSION else Level.LAST_RESORT
    return Level.LAST_RESORT


def value(kind: TurnKind, settings: Settings, late: float) -> float:
    """What a unit of its work is worth: its class's worth, by how much of it is answered late at present."""
    cls = settings.classes[kind.cls]
    worth = cls.worth * (1.0 - late + late * cls.late_worth)
    return worth * (settings.over_share_worth if kind.over_share else 1.0) * LOSS[kind.refusal_loss]


def admit(
    level: Level,
    demand: Sequence[Mapping[TurnKind, float]],
    capacity: float,
    settings: Settings,
    top: frozenset[int],
    late: float = 0.0,
) -> list[dict[TurnKind, float]]:
    """For each client the share admitted of each kind of turn that it sends.

    `demand` is work a second by client and kind, `capacity` the work a second that can be done of all of it.
    """
    asked = [sum(kinds.values()) for kinds in demand]
    weights = [tenant.share for tenant in settings.tenants] or [1.0]
    if not any(weights):
        weights = [1.0] * len(weights)
    given = max_min(asked, weights, capacity)
    return [_client(level, kinds, asked[n] - given[n], settings, top, late) for n, kinds in enumerate(demand)]


def _client(
    level: Level,
    kinds: Mapping[TurnKind, float],
    excess: float,
    settings: Settings,
    top: frozenset[int],
    late: float,
) -> dict[TurnKind, float]:
    shares = dict.fromkeys(kinds, 1.0)
    order = []
    for kind in kinds:
        first = first_level(kind, top)
        if first is not None and first <= level:
            order.append((first, value(kind, settings, late), kind))
    for first, _, kind in sorted(order):
        refused = level >= Level.THRIFTY and first is Level.GUARDED and kind.over_share
        if kinds[kind] <= 0:
            shares[kind] = 0.0 if refused else 1.0
            continue
        gone = kinds[kind] if refused else min(kinds[kind], max(0.0, excess))
        excess -= gone
        shares[kind] = 1.0 - gone / kinds[kind]
    return shares
