"""Clients' quotas: which turns are beyond them. The module and the levels of service ask alike."""

from __future__ import annotations

from .interface import Settings
from .state import TokenBucket

BURST, LEAST = 3.0, 3.0  # s of quota, turns at least, at once


class Quotas:
    """One router's part of each client's quota, in token buckets; no clock is kept."""

    def __init__(self, settings: Settings) -> None:
        self._rates = [tenant.quota_per_s / settings.instances for tenant in settings.tenants]
        self.buckets = [TokenBucket() for _ in settings.tenants]

    def over_quota(self, tenant: int, now: float) -> bool:
        """Book one turn of a client; whether it is beyond its quota. A client without one never is."""
        if tenant >= len(self._rates) or self._rates[tenant] <= 0:
            return False
        rate = self._rates[tenant]
        return not self.buckets[tenant].take(rate, max(LEAST, rate * BURST), now)
