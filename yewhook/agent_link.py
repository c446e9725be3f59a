"""The agent's line to one of its routers: JSON-RPC over a pair of sockets that the router's process
inherits."""

from __future__ import annotations

import socket
from typing import Any

from .jsonrpc import Code, Id, Peer, RpcError
from .levels.level import Level
from .operations.instance import Event
from .service import Service
from .service_level_admin import ServiceLevelAdmin

ORDERS = {"router/drain": Event.DRAIN, "router/resume": Event.RESUME}
PIN_MOST = 7 * 86400.0  # s for which a level may be pinned


class AgentLink:
    """The router's end. Without an agent there is none."""

    def __init__(self, service: Service, descriptor: int, level_admin: ServiceLevelAdmin) -> None:
        self._level_admin, self._service, loop = level_admin, service, service.loop
        self._peer = Peer.accepted(loop, socket.socket(fileno=descriptor), self)

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        if method == "levels/pin":
            self._level_admin.pin(*parse_pin(params))
        elif method == "levels/unpin":
            self._level_admin.unpin()
        elif method in ORDERS:
            if not self._service.instance.accepts(ORDERS[method]):
                raise RpcError(Code.INVALID_REQUEST, f"{self._service.instance.state.value}: too late")
            self._service.handle_event(ORDERS[method])
        elif method != "router/status":
            raise RpcError(Code.METHOD_NOT_FOUND, f"unknown method {method!r}")
        instance = self._service.instance
        told = {"state": instance.state.value, "serves": instance.serves}
        peer.result(request_id, self._level_admin.report() | told)

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """The agent announces nothing."""

    def gone(self, peer: Peer) -> None:
        """The agent has ended; the router serves on."""

    def slow(self, peer: Peer, slow: bool) -> None:
        """Reports are short."""


def parse_pin(params: dict[str, Any]) -> tuple[Level, float, str]:
    """Level, seconds and reason of a request to pin. Raises RpcError."""
    try:
        level = Level.from_label(str(params.get("level")))
    except KeyError:
        names = ", ".join(level.label for level in Level)
        raise RpcError(
            Code.INVALID_PARAMS, f"level: got {params.get('level')!r}, expected one of {names}"
        ) from None
    seconds, reason = params.get("for_s"), params.get("reason")
    if isinstance(seconds, bool) or not isinstance(seconds, int | float) or not 0 < seconds <= PIN_MOST:
        raise RpcError(Code.INVALID_PARAMS, f"for_s: got {seconds!r}, expected seconds up to {PIN_MOST:.0f}")
    if not isinstance(reason, str) or not reason.strip():
        raise RpcError(Code.INVALID_PARAMS, f"reason: got {reason!r}, expected a text")
    return level, float(seconds), reason.strip()
