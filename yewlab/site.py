"""The lab's site: classes, traffic and servers of a small fleet, with round figures."""

from __future__ import annotations

from hopshed import interface
from hopshed.interface import Role

from .engines import Engine
from .workload import Traffic

CLASSES = (
    interface.RequestClass(
        aim=2.0, aim_per_1k=0.04, token_aim=0.07, patience=10.0, worth=2.0, late_worth=0.1
    ),
    interface.RequestClass(
        aim=2.5, aim_per_1k=0.04, token_aim=0.08, patience=12.0, worth=5.0, late_worth=0.3,
        effect=interface.Effect.UNSAFE,
    ),
)  # fmt: skip
LOOKUP, LOG = 0, 1  # indexes of the classes fault-lookup and service-log
TRAFFIC = (
    Traffic(
        part=0.57,
        turns=(1.5, 2.3),
        prompt_growth=(230, 520),
        answer=(170, 290),
        prefix_share=0.7,
        prefix_tokens=(510, 2200),
    ),
    Traffic(
        part=0.43,
        turns=(3.4, 6.4),
        prompt_growth=(290, 770),
        answer=(73, 140),
        prefix_share=0.8,
        prefix_tokens=(2800, 7500),
    ),
)
ENGINES = {
    Role.READER: Engine(Role.READER, read_rate=9_000.0, queue=24),
    Role.WRITER: Engine(Role.WRITER, queue=16, slots=48, memory=60_000.0),
    Role.MIXED: Engine(Role.MIXED, read_rate=6_000.0, queue=16, slots=48, memory=60_000.0),
}
TENANT_SHARES = (0.59, 0.23, 0.18)


def settings(quota: float, instances: int = 1) -> interface.Settings:
    """The settings of a router; `quota` is the sum of all tenants' quotas, in turns per second."""
    return interface.Settings(
        classes=CLASSES,
        roles=(Role.READER, Role.WRITER, Role.MIXED),
        memory_tokens=tuple(ENGINES[role].memory for role in (Role.READER, Role.WRITER, Role.MIXED)),
        tenants=tuple(interface.Tenant(quota_per_s=quota * share, share=share) for share in TENANT_SHARES),
        over_share_worth=0.1,
        worth_by_work=True,
        instances=instances,
        report_fields=("memory_share", "backlog_tokens"),
        reports_in_answers=True,
        may_cancel=True,
        may_resume=False,
        retry_advice=True,
        max_retry_after=2.0,
        max_attempts=4,
        drain_grace=1.0,
        cold_from=0.25,
        cold_time=13.0,
        fall_multiple=2.5,
        fall_window=1.0,
        release_within=1.0,
        answer_slack=0.016,
    )
