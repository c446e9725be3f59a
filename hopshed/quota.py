"""Tenants' quotas: which turns exceed them. Used by the controller and by the levels of service."""

from __future__ import annotations

from .interface import Settings
from .state import TokenBucket

BURST_S = 3.0  # seconds of quota that may be used at once
MIN_BURST = 3.0  # turns that may come at once, however small the quota


class Quotas:
    """One router's share of each tenant's quota, as token buckets."""

    def __init__(self, settings: Settings) -> None:
        self._rates = [tenant.quota_per_s / settings.instances for tenant in settings.tenants]
        self.buckets = [TokenBucket() for _ in settings.tenants]

    def over_quota(self, tenant: int, now: float) -> bool:
        """Count one turn of a tenant; returns whether it exceeds the quota. Without a quota none does."""
        if tenant >= len(self._rates) or self._rates[tenant] <= 0:
            return False
        rate = self._rates[tenant]
        return not self.buckets[tenant].take(rate, max(MIN_BURST, rate * BURST_S), now)
