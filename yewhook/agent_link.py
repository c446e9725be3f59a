"""The router's end of the connection to its agent: JSON-RPC over an inherited socket."""

from __future__ import annotations

import socket
from typing import Any

from .jsonrpc import Code, Id, Peer, RpcError
from .levels.level import Level
from .operations.instance import Event
from .service import Service
from .service_level_admin import ServiceLevelAdmin

ORDERS = {"router/drain": Event.DRAIN, "router/resume": Event.RESUME}
MAX_PIN_S = 7 * 86400.0  # a week


class AgentLink:
    """Answers the agent's requests; exists only in a router that an agent has started."""

    def __init__(self, service: Service, descriptor: int, level_admin: ServiceLevelAdmin) -> None:
        """`descriptor` = the inherited end of the pair of sockets."""
        self._level_admin, self._service, loop = level_admin, service, service.loop
        self._peer = Peer.accepted(loop, socket.socket(fileno=descriptor), self)

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Carry out a request and answer with the router's status. Raises RpcError."""
        if method == "levels/pin":
            self._level_admin.pin(*parse_pin(params))
        elif method == "levels/unpin":
            self._level_admin.unpin()
        elif method in ORDERS:
            if not self._service.instance.accepts(ORDERS[method]):
                raise RpcError(
                    Code.INVALID_REQUEST,
                    f"{self._service.instance.state.value}: this process accepts no more orders",
                )
            self._service.handle_event(ORDERS[method])
        elif method != "router/status":
            raise RpcError(Code.METHOD_NOT_FOUND, f"unknown method {method!r}")
        instance = self._service.instance
        status = {"state": instance.state.value, "serves": instance.serves}
        peer.result(request_id, self._level_admin.report() | status)

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Ignored: no notification is defined."""

    def gone(self, peer: Peer) -> None:
        """The agent has ended; the router continues to serve."""

    def slow(self, peer: Peer, slow: bool) -> None:
        """Ignored: answers are small."""


def parse_pin(params: dict[str, Any]) -> tuple[Level, float, str]:
    """The level, duration in seconds and reason of a request to pin a level. Raises RpcError."""
    try:
        level = Level.from_label(str(params.get("level")))
    except KeyError:
        names = ", ".join(level.label for level in Level)
        raise RpcError(
            Code.INVALID_PARAMS, f"level: got {params.get('level')!r}, expected one of {names}"
        ) from None
    seconds, reason = params.get("for_s"), params.get("reason")
    if isinstance(seconds, bool) or not isinstance(seconds, int | float) or not 0 < seconds <= MAX_PIN_S:
        raise RpcError(Code.INVALID_PARAMS, f"for_s: got {seconds!r}, expected seconds up to {MAX_PIN_S:.0f}")
    if not isinstance(reason, str) or not reason.strip():
        raise RpcError(Code.INVALID_PARAMS, f"reason: got {reason!r}, expected a text")
    return level, float(seconds), reason.strip()
