"""What operators have ordered of one instance, and why an order can't be taken. No clock, no I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Order(Enum):
    DRAIN = "drain"
    RESUME = "resume"
    UPGRADE = "upgrade"


@dataclass(frozen=True, slots=True)
class ActiveOrder:
    """An order that holds, or is being carried out."""

    order: Order
    by: str
    at: float  # s, on the clock of whoever keeps it


class OrderRefused(Exception):
    """Why an order is not taken, for the operator."""


@dataclass(frozen=True, slots=True)
class Orders:
    """A drain outlives the process; an upgrade is under way until it ends, well or not."""

    drain: ActiveOrder | None = None
    upgrade: ActiveOrder | None = None

    def with_order(self, order: Order, by: str, now: float) -> Orders:
        """What holds once the order is taken; a drain or resume that is ordered again changes nothing."""
        if self.upgrade is not None:
            since = now - self.upgrade.at
            raise OrderRefused(f"an upgrade by {self.upgrade.by} is under way, since {since:.0f} s ago")
        if order is Order.UPGRADE:
            return replace(self, upgrade=ActiveOrder(order, by, now))
        if order is Order.RESUME:
            return replace(self, drain=None)
        return self if self.drain is not None else replace(self, drain=ActiveOrder(order, by, now))

    def without_upgrade(self) -> Orders:
        """The upgrade has ended."""
        return replace(self, upgrade=None)
