"""Operators' orders for one instance, and the rules for accepting them. Has no clock and does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum


class Order(Enum):
    """What operators can order; the values are written to logs, answers and JSON-RPC methods."""

    DRAIN = "drain"
    RESUME = "resume"
    UPGRADE = "upgrade"


@dataclass(frozen=True, slots=True)
class ActiveOrder:
    """A drain in force, or an upgrade in progress."""

    order: Order
    by: str  # who gave it
    at: float  # seconds on the caller's clock


class OrderRefused(Exception):
    """An order is refused; the text tells the operator why."""


@dataclass(frozen=True, slots=True)
class Orders:
    """The active orders of an instance.

    A drain stays in force when the process ends; an upgrade ends when it succeeds or fails.
    """

    drain: ActiveOrder | None = None
    upgrade: ActiveOrder | None = None

    def with_order(self, order: Order, by: str, now: float) -> Orders:
        """The orders after accepting this one; repeating a drain or resume changes nothing.

        Raises OrderRefused while an upgrade is in progress.
        """
        if self.upgrade is not None:
            elapsed = now - self.upgrade.at
            raise OrderRefused(f"an upgrade by {self.upgrade.by} is under way, started {elapsed:.0f} s ago")
        if order is Order.UPGRADE:
            return replace(self, upgrade=ActiveOrder(order, by, now))
        if order is Order.RESUME:
            return replace(self, drain=None)
        return self if self.drain is not None else replace(self, drain=ActiveOrder(order, by, now))

    def without_upgrade(self) -> Orders:
        """The orders after the upgrade has ended."""
        return replace(self, upgrade=None)
