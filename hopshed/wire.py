"""Translation between the simulator's JSON lines and hopshed's interface. Nothing is decided here."""

from __future__ import annotations

import base64
import json
import math
from typing import Any

from . import interface as i

ROLES = {"read": i.Role.READER, "write": i.Role.WRITER, "both": i.Role.MIXED}
EFFECTS = {"repeatable": i.Effect.SAFE, "by_key": i.Effect.KEYED, "once": i.Effect.UNSAFE}
STATES = {"Running": i.ServerState.RUNNING, "Stopping": i.ServerState.DRAINING, "Deleted": i.ServerState.GONE}
LISTS = {
    "INCREMENTAL": i.ListKind.CHANGES,
    "FULL": i.ListKind.FULL,
    "SAVED": i.ListKind.SAVED,
    "FAILED": i.ListKind.FAILED,
}
OUTCOMES = {
    "Ok": i.Outcome.OK,
    "READ": i.Outcome.READ,
    "Failed": i.Outcome.FAILED,
    "QueueFull": i.Outcome.FULL,
    "TimedOut": i.Outcome.TIMED_OUT,
    "ConnectError": i.Outcome.UNREACHABLE,
    "ResetByPeer": i.Outcome.RESET,
    "Canceled": i.Outcome.CANCELED,
    "Ignored": i.Outcome.NOT_SENT,
}
# wire column -> (field of Load, factor to the interface's unit)
COLUMNS = {
    "active": ("in_flight", 1.0),
    "waiting": ("queued", 1.0),
    "cpu": ("utilization", 1.0),
    "avg_ms": ("service_time", 0.001),
    "rps": ("rate", 1.0),
    "err_rps": ("error_rate", 1.0),
    "x0": ("memory_share", 1.0),
    "x1": ("backlog_tokens", 1000.0),
}
RESUMED_BIT = 16
REPEAT_BIT = 2
HINT_BIT = 1
RELEASE_WITHIN = 1.0  # s for which a state may be held, where the settings name no time


class SettingError(ValueError):
    """A setting makes no sense; it says which, what it is and what was expected."""


def settings(env: dict[str, Any]) -> i.Settings:
    """The settings that a `start` event carries; unknown keys are ignored."""
    caps, extra, contract = env.get("caps", {}), env.get("extra", {}), env.get("contract", {})
    report = env.get("report", {})
    aims = extra.get("aim-us-per-1000-prompt-tokens") or []
    paces = extra.get("token-aim-ms") or []
    classes = tuple(
        i.RequestClass(
            aim=c["promise-ms"] / 1000.0,
            aim_per_1k=(aims[n] if n < len(aims) else 0.0) / 1e6,
            token_aim=(paces[n] if n < len(paces) else 0.0) / 1000.0,
            patience=c["give-up-ms"] / 1000.0,
            worth=c.get("worth", 1.0),
            late_worth=c.get("late-worth", 0.0),
            effect=EFFECTS[c.get("effect", "repeatable")],
            group=i.Group(c.get("group") or "all"),
            dedup_window=(c.get("dedup-window-ms") or 0.0) / 1000.0,
        )
        for n, c in enumerate(env.get("classes", []))
    )
    tenants = tuple(
        i.Tenant(quota_per_s=t.get("quota-per-s") or 0.0, share=t.get("share") or 0.0)
        for t in env.get("customers") or []
    )
    how = report.get("how", "none")
    columns = report.get("columns") or []
    return i.Settings(
        classes=classes,
        roles=tuple(ROLES[r] for r in extra.get("kind-role", [])),
        memory_tokens=tuple(float(m) for m in extra.get("memory-tokens") or []),
        tenants=tenants,
        over_share_worth=env.get("over-share-worth", 1.0),
        instances=max(1, int(env.get("instances", 1))),
        zone=env.get("zone", 0),
        report_fields=() if how == "none" else tuple(COLUMNS[c][0] for c in columns if c in COLUMNS),
        reports_in_answers=how == "answers",
        may_probe=bool(caps.get("probes")),
        may_cancel=bool(caps.get("may-cancel")),
        may_tell=bool(caps.get("may-tell")),
        may_resume=bool(extra.get("resume")),
        second_copies=bool(caps.get("second-copies")),
        retry_advice=bool(caps.get("retry-after")),
        max_retry_after=(caps.get("max-retry-after-ms") or 0.0) / 1000.0,
        max_attempts=int(caps.get("send-cap") or 1),
        subscribe=env.get("membership-mode") == "subscribe",
        worth_by_work=env.get("worth-by") == "work",
        ask_within=(contract.get("ask-within-ms") or 10000.0) / 1000.0,
        drain_grace=(contract.get("stop-sending-within-ms") or 0.0) / 1000.0,
        cold_from=contract.get("cold-from") or 1.0,
        cold_time=(contract.get("cold-ms") or 0.0) / 1000.0,
        fall_multiple=contract.get("fall-multiple") or 1.0,
        fall_window=(contract.get("fall-ms") or 0.0) / 1000.0,
        release_within=_release_within(extra),
        answer_slack=(contract.get("answer-slack-ms") or 0.0) / 1000.0,
    )


def _release_within(extra: dict[str, Any]) -> float:
    """s for which a state may be held; the default where the settings name none. Raises SettingError."""
    told = extra.get("let-go-by-ms")
    if told is None:
        return RELEASE_WITHIN
    number = isinstance(told, int | float) and not isinstance(told, bool)
    if not number or not 0 < told < math.inf:
        raise SettingError(f"extra.let-go-by-ms: got {told!r}, expected a number of milliseconds over 0")
    return float(told) / 1000.0


def columns(env: dict[str, Any]) -> list[str]:
    return list(env.get("report", {}).get("columns") or [])


def load(row: list[Any] | None, names: list[str]) -> i.Load | None:
    if not row:
        return None
    values: dict[str, float] = {}
    for name, value in zip(names, row, strict=False):
        if name in COLUMNS and value is not None:
            field, factor = COLUMNS[name]
            values[field] = value * factor
    return i.Load(**values) if values else None


def server(row: list[Any]) -> i.Server:
    started = row[0] / 1000.0 if row[0] else None
    kind = row[6] if len(row) > 6 and row[6] is not None else 0
    weight = 1.0 if row[2] is None else float(row[2])
    return i.Server(row[1], kind, row[4] or 0, row[3] or 0, STATES[row[5]], started, weight)


def event(msg: list[Any], names: list[str]) -> i.Event | None:
    """One instance event other than start, stop, directory and endpoints; None for kinds not used here."""
    msg = msg + [None] * 14
    match msg[0]:
        case "work-item":
            flags = int(msg[12] or 0)
            hint = msg[7] / 1000.0 if flags & HINT_BIT and msg[7] else None
            return i.RequestArrived(
                msg[2],
                msg[3] or 0,
                msg[4] or 0,
                msg[5] or "",
                (msg[6] or 0.0) / 1000.0,
                msg[9] or 0.0,
                msg[8] or None,
                msg[10] or 0.0,
                msg[11] or 0.0,
                hint,
                bool(flags & RESUMED_BIT),
                bool(flags & REPEAT_BIT),
            )
        case "flowing":
            return i.StreamStarted(msg[2], msg[3], msg[4], (msg[5] or 0.0) / 1000.0)
        case "finished":
            return i.AttemptEnded(
                msg[2],
                msg[3],
                msg[4],
                OUTCOMES[msg[5]],
                (msg[6] or 0.0) / 1000.0,
                bool(msg[7]),
                int(msg[8] or 0),
                load(msg[9], names),
            )
        case "hangup":
            return i.ClientGone(msg[2])
        case "pong":
            return i.ProbeEnded(msg[3], msg[4] == "Ok", (msg[2] or 0.0) / 1000.0, load(msg[5], names))
        case "fired":
            return i.TimerFired(msg[2])
        case "peer-data":
            return i.PeerSaid(msg[2], base64.b64decode(msg[3] or ""))
    return None


def ms(seconds: float) -> float:
    """Milliseconds, kept to the microsecond."""
    return round(seconds * 1000.0, 3)


def action(inst: str, act: i.Action) -> str:
    match act:
        case i.Send(rid, srv, timeout):
            row: list[Any] = ["call-out", inst, rid, srv, ms(timeout)]
        case i.Refuse(rid, after):
            row = ["bounce", inst, rid, ms(after)]
        case i.Fail(rid):
            row = ["error", inst, rid]
        case i.ReleaseState(rid):
            row = ["clear-state", inst, rid]
        case i.CancelAttempt(rid, attempt):
            row = ["stop-attempt", inst, rid, attempt]
        case i.MoveStream(rid):
            row = ["reassign", inst, rid]
        case i.Probe(srv):
            row = ["check", inst, srv]
        case i.SetTimer(delay, token):
            row = ["remind", inst, ms(delay), token]
        case i.Subscribe():
            row = ["tail", inst, True]
        case i.Log(text):
            row = ["print", inst, text]
        case i.Tell(data):
            row = ["share", inst, "all", base64.b64encode(data).decode()]
    return json.dumps(row, separators=(",", ":"))
