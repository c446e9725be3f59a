"""What the levels of service and the recovery judge by: a controller's belief about each role's servers."""

from __future__ import annotations

from .control import Controller
from .interface import Role, RoleUsage
from .slow_start import WORK_RATE_TIME_CONSTANT_S


def role_usage(c: Controller, now: float) -> dict[Role, RoleUsage]:
    """Each role's servers, and how much of them is in use."""
    return {role: _usage(c, role, now) for role in Role}


def _usage(c: Controller, role: Role, now: float) -> RoleUsage:
    pool = c.pool(role, now)
    usable = sum(c.slow_start.capacity_share(w, now) for w in pool)
    if role is Role.READER:
        read = c.read_load[role].decayed(now, WORK_RATE_TIME_CONSTANT_S) * c.settings.instances
        busy = read / max(usable, c.settings.cold_from)
    else:
        out = sum(w.streams for w in pool)
        busy = out / (out + c.room.total(pool, now)) if out else 0.0
    return RoleUsage(c.topology.running[role], usable, busy)
