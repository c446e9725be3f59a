"""Which share of the demand a level admits: divided among tenants first, then by worth per unit of work.

The level determines which kinds of turn may be shed. How much of them is shed follows the load and no more,
so that admission does not jump when a threshold is crossed. Kinds that a better level may shed go first, and
among those the ones with the least worth per unit of work.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from hopshed.interface import Settings

from .fairness import max_min
from .level import Level
from .turns import RefusalLoss, TurnKind

# Factor on a turn's worth for what its refusal loses besides: of a resumed stream all that was answered, of
# an open session the cached text. A retry is worth less because it missed its aim before.
REFUSAL_LOSS_FACTOR = {
    RefusalLoss.RESUMED_STREAM: 4.0,
    RefusalLoss.OPEN_SESSION: 1.5,
    RefusalLoss.NEW_SESSION: 1.0,
    RefusalLoss.CLIENT_RETRY: 0.5,
}
# By kind of turn, the share of its work that is admitted, from 0 to 1
Shares = Mapping[TurnKind, float]


def first_shedding_level(kind: TurnKind, top: frozenset[int]) -> Level | None:
    """The best level that may shed a kind of turn; None if no level does. `top` = the top classes."""
    if kind.refusal_loss is RefusalLoss.RESUMED_STREAM:
        return None
    if kind.over_share or kind.refusal_loss is RefusalLoss.CLIENT_RETRY:
        return Level.GUARDED
    if kind.cls not in top:
        if kind.long and kind.refusal_loss is RefusalLoss.NEW_SESSION:
            return Level.THRIFTY
        return Level.ESSENTIAL if kind.refusal_loss is RefusalLoss.NEW_SESSION else Level.LAST_RESORT
    return Level.LAST_RESORT


def worth_per_work(kind: TurnKind, settings: Settings, late: float) -> float:
    """The worth of a unit of work of this kind, when the share `late` of the worth is answered late."""
    cls = settings.classes[kind.cls]
    worth = cls.worth * (1.0 - late + late * cls.late_worth)
    return (
        worth
        * (settings.over_share_worth if kind.over_share else 1.0)
        * REFUSAL_LOSS_FACTOR[kind.refusal_loss]
    )


def admit(
    level: Level,
    demand: Sequence[Mapping[TurnKind, float]],
    capacity: float,
    settings: Settings,
    top: frozenset[int],
    late: float = 0.0,
) -> list[dict[TurnKind, float]]:
    """For each tenant the share, 0 to 1, to admit of each kind of turn that its clients send.

    `demand` is the work per second by tenant and kind, `capacity` the work per second to admit of all of it,
    `top` the top classes, and `late` the share of the worth that is answered late at present.
    """
    requested = [sum(kinds.values()) for kinds in demand]
    weights = [entry.share for entry in settings.tenants] or [1.0]
    if not any(weights):
        weights = [1.0] * len(weights)
    allocated = max_min(requested, weights, capacity)
    return [
        _admit_client(level, kinds, requested[tenant] - allocated[tenant], settings, top, late)
        for tenant, kinds in enumerate(demand)
    ]


def _admit_client(
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
        first = first_shedding_level(kind, top)
        if first is not None and first <= level:
            order.append((first, worth_per_work(kind, settings, late), kind))
    for first, _, kind in sorted(order):
        refused = level >= Level.THRIFTY and first is Level.GUARDED and kind.over_share
        if kinds[kind] <= 0:
            shares[kind] = 0.0 if refused else 1.0
            continue
        shed = kinds[kind] if refused else min(kinds[kind], max(0.0, excess))
        excess -= shed
        shares[kind] = 1.0 - shed / kinds[kind]
    return shares
