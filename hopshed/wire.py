"""Translates between the simulator's JSON messages and the types of `interface`. Takes no decisions.

The wire has times in milliseconds; `interface` has them in seconds.
"""

from __future__ import annotations

import base64
import json
import math
from typing import Any

from . import interface

ROLES = {"read": interface.Role.READER, "write": interface.Role.WRITER, "both": interface.Role.MIXED}
EFFECTS = {
    "repeatable": interface.Effect.SAFE,
    "by_key": interface.Effect.KEYED,
    "once": interface.Effect.UNSAFE,
}
SERVER_STATES = {
    "Running": interface.ServerState.RUNNING,
    "Stopping": interface.ServerState.DRAINING,
    "Deleted": interface.ServerState.GONE,
}
LIST_KINDS = {
    "INCREMENTAL": interface.ListKind.CHANGES,
    "FULL": interface.ListKind.FULL,
    "SAVED": interface.ListKind.SAVED,
    "FAILED": interface.ListKind.FAILED,
}
OUTCOMES = {
    "Ok": interface.Outcome.OK,
    "READ": interface.Outcome.READ,
    "Failed": interface.Outcome.FAILED,
    "QueueFull": interface.Outcome.FULL,
    "TimedOut": interface.Outcome.TIMED_OUT,
    "ConnectError": interface.Outcome.UNREACHABLE,
    "ResetByPeer": interface.Outcome.RESET,
    "Canceled": interface.Outcome.CANCELED,
    "Ignored": interface.Outcome.NOT_SENT,
}
# Column of a load report -> (field of Load, factor to the unit of that field)
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
# Bits of the flags in a `work-item` message
RESUMED_BIT = 16  # the client resumes a stream
REPEAT_BIT = 2  # the client repeats a request that was not served
HINT_BIT = 1  # the message has a length hint
DEFAULT_RELEASE_WITHIN_S = 1.0  # time for which state may be held, where the settings have none


class SettingError(ValueError):
    """A setting has an invalid value. The message has its key, its value and what is expected."""


def settings(env: dict[str, Any]) -> interface.Settings:
    """Settings from the environment in a `start` message; unknown keys are ignored.

    Raises SettingError or ValueError for invalid values and KeyError for missing or unknown ones."""
    caps, extra, contract = env.get("caps", {}), env.get("extra", {}), env.get("contract", {})
    report = env.get("report", {})
    aims_per_1k = extra.get("aim-us-per-1000-prompt-tokens") or []
    token_aims = extra.get("token-aim-ms") or []
    classes = tuple(
        interface.RequestClass(
            aim=entry["promise-ms"] / 1000.0,
            aim_per_1k=(aims_per_1k[number] if number < len(aims_per_1k) else 0.0) / 1e6,
            token_aim=(token_aims[number] if number < len(token_aims) else 0.0) / 1000.0,
            patience=entry["give-up-ms"] / 1000.0,
            worth=entry.get("worth", 1.0),
            late_worth=entry.get("late-worth", 0.0),
            effect=EFFECTS[entry.get("effect", "repeatable")],
            group=interface.Group(entry.get("group") or "all"),
            dedup_window=(entry.get("dedup-window-ms") or 0.0) / 1000.0,
        )
        for number, entry in enumerate(env.get("classes", []))
    )
    tenants = tuple(
        interface.Tenant(quota_per_s=entry.get("quota-per-s") or 0.0, share=entry.get("share") or 0.0)
        for entry in env.get("customers") or []
    )
    mode = report.get("how", "none")
    columns = report.get("columns") or []
    return interface.Settings(
        classes=classes,
        roles=tuple(ROLES[role] for role in extra.get("kind-role", [])),
        memory_tokens=tuple(float(tokens) for tokens in extra.get("memory-tokens") or []),
        tenants=tenants,
        over_share_worth=env.get("over-share-worth", 1.0),
        instances=max(1, int(env.get("instances", 1))),
        zone=env.get("zone", 0),
        report_fields=() if mode == "none" else tuple(COLUMNS[key][0] for key in columns if key in COLUMNS),
        reports_in_answers=mode == "answers",
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
    """Seconds for which state may be held; the default where the key is missing. Raises SettingError."""
    value = extra.get("let-go-by-ms")
    if value is None:
        return DEFAULT_RELEASE_WITHIN_S
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value < math.inf:
        raise SettingError(f"extra.let-go-by-ms: got {value!r}, expected a number of milliseconds over 0")
    return float(value) / 1000.0


def columns(env: dict[str, Any]) -> list[str]:
    """Names of the columns of load reports, in their order."""
    return list(env.get("report", {}).get("columns") or [])


def load(row: list[Any] | None, names: list[str]) -> interface.Load | None:
    """A load report from its columns' values; None where it holds nothing known."""
    if not row:
        return None
    values: dict[str, float] = {}
    for name, value in zip(names, row, strict=False):
        if name in COLUMNS and value is not None:
            field, factor = COLUMNS[name]
            values[field] = value * factor
    return interface.Load(**values) if values else None


def server(row: list[Any]) -> interface.Server:
    """A server from an entry of a `directory` message."""
    started = row[0] / 1000.0 if row[0] else None
    kind = row[6] if len(row) > 6 and row[6] is not None else 0
    weight = 1.0 if row[2] is None else float(row[2])
    return interface.Server(row[1], kind, row[4] or 0, row[3] or 0, SERVER_STATES[row[5]], started, weight)


def event(message: list[Any], names: list[str]) -> interface.Event | None:
    """An event of an instance; `names` are the columns of load reports.

    None for messages that are no event of the module. Not for start, stop, directory and endpoints."""
    message = message + [None] * 14
    match message[0]:
        case "work-item":
            flags = int(message[12] or 0)
            hint = message[7] / 1000.0 if flags & HINT_BIT and message[7] else None
            return interface.RequestArrived(
                message[2],
                message[3] or 0,
                message[4] or 0,
                message[5] or "",
                (message[6] or 0.0) / 1000.0,
                message[9] or 0.0,
                message[8] or None,
                message[10] or 0.0,
                message[11] or 0.0,
                hint,
                bool(flags & RESUMED_BIT),
                bool(flags & REPEAT_BIT),
            )
        case "flowing":
            return interface.StreamStarted(message[2], message[3], message[4], (message[5] or 0.0) / 1000.0)
        case "finished":
            return interface.AttemptEnded(
                message[2],
                message[3],
                message[4],
                OUTCOMES[message[5]],
                (message[6] or 0.0) / 1000.0,
                bool(message[7]),
                int(message[8] or 0),
                load(message[9], names),
            )
        case "hangup":
            return interface.ClientGone(message[2])
        case "pong":
            return interface.ProbeEnded(
                message[3], message[4] == "Ok", (message[2] or 0.0) / 1000.0, load(message[5], names)
            )
        case "fired":
            return interface.TimerFired(message[2])
        case "peer-data":
            return interface.PeerSaid(message[2], base64.b64decode(message[3] or ""))
    return None


def to_ms(seconds: float) -> float:
    """Milliseconds, rounded to microseconds."""
    return round(seconds * 1000.0, 3)


def encode_action(instance: str, action: interface.Action) -> str:
    """The JSON line for an action of a router instance."""
    match action:
        case interface.Send(request_id, server_id, timeout):
            row: list[Any] = ["call-out", instance, request_id, server_id, to_ms(timeout)]
        case interface.Refuse(request_id, retry_after):
            row = ["bounce", instance, request_id, to_ms(retry_after)]
        case interface.Fail(request_id):
            row = ["error", instance, request_id]
        case interface.ReleaseState(request_id):
            row = ["clear-state", instance, request_id]
        case interface.CancelAttempt(request_id, attempt):
            row = ["stop-attempt", instance, request_id, attempt]
        case interface.MoveStream(request_id):
            row = ["reassign", instance, request_id]
        case interface.Probe(server_id):
            row = ["check", instance, server_id]
        case interface.SetTimer(delay, token):
            row = ["remind", instance, to_ms(delay), token]
        case interface.Subscribe():
            row = ["tail", instance, True]
        case interface.Log(text):
            row = ["print", instance, text]
        case interface.Tell(data):
            row = ["share", instance, "all", base64.b64encode(data).decode()]
    return json.dumps(row, separators=(",", ":"))
