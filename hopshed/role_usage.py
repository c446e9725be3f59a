"""How much of each role's servers is in use, as seen by a controller; for levels of service and recovery."""

from __future__ import annotations

from .control import Controller
from .interface import Role, RoleUsage
from .slow_start import WORK_RATE_TIME_CONSTANT_S


def role_usage(controller: Controller, now: float) -> dict[Role, RoleUsage]:
    """Each role's servers, and how much of them is in use."""
    return {role: _usage(controller, role, now) for role in Role}


def _usage(controller: Controller, role: Role, now: float) -> RoleUsage:
    pool = controller.pool(role, now)
    usable = sum(controller.slow_start.capacity_share(worker, now) for worker in pool)
    if role is Role.READER:
        read = (
            controller.read_load[role].decayed(now, WORK_RATE_TIME_CONSTANT_S) * controller.settings.instances
        )
        busy = read / max(usable, controller.settings.cold_from)
    else:
        streams = sum(worker.streams for worker in pool)
        busy = streams / (streams + controller.room.total(pool, now)) if streams else 0.0
    return RoleUsage(controller.topology.running[role], usable, busy)
