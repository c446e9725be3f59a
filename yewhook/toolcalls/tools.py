"""Calls to tool servers: found by their records, relayed once, each with a deadline."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ..dnssd import ServiceInstance, order_instances
from ..jsonrpc import Code, ConnectionLost, Id, Peer, RpcError
from ..loop import Loop
from .endings import of_tool
from .peers import PeerPool

Answered = Callable[[Any, RpcError | None], None]


def offers(instance: ServiceInstance, tool: str) -> bool:
    """A tool server's TXT record lists its tools: `tools=repair-history,parts-stock`."""
    return tool in (name.strip() for name in instance.texts.get("tools", "").split(","))


class ToolCall:
    """One `tools/call`: asked at one server; at the next only while none can have begun on it."""

    def __init__(self, tools: Tools, params: dict[str, Any], answered: Answered) -> None:
        self.tools, self.params, self.name = tools, params, str(params["name"])
        self._answered = answered
        self._left = tools.servers(self.name)
        self._until = tools.loop.now + tools.deadline
        self._peer: Peer | None = None
        self._asked: Id = 0
        self._over = False

    def next(self) -> None:
        while self._left:
            server = self._left.pop(0)
            try:
                peer = self.tools.pool.acquire(server.address)
            except OSError as error:
                self.tools.loop.log("no connection to a tool server", f"{server.name}: {error}")
                continue
            self._peer = peer
            left = max(0.001, self._until - self.tools.loop.now)
            self._asked = peer.ask("tools/call", self.params, self._replied, left)
            return
        self._end(None, RpcError(Code.TOOL_GONE, f"no server for tool {self.name!r}"))

    def _replied(self, result: Any, error: RpcError | None) -> None:
        if self._over or self._peer is None:
            return
        peer, self._peer = self._peer, None
        if isinstance(error, ConnectionLost) and not error.sent:
            return self.next()
        # After a time-out a late reply could still come, so the connection is not used again.
        clean = error is None or error.__class__ is RpcError
        self.tools.pool.give_back(peer) if clean else self.tools.pool.close_gracefully(peer)
        if error is not None:
            error = of_tool(error, self.name)
            self.tools.loop.log("tool call failed", f"{error.code} {error.message}")
        return self._end(result, error)

    def _end(self, result: Any, error: RpcError | None) -> None:
        if not self._over:
            self._over = True
            self._answered(result, error)

    def cancel(self, reason: str) -> None:
        """Nobody waits for the answer any more."""
        self._over = True
        if self._peer is not None:
            self._peer.cancel(self._asked, reason)
            self.tools.pool.close_gracefully(self._peer)
            self._peer = None


class Tools:
    def __init__(
        self,
        loop: Loop,
        pool: PeerPool,
        deadline: float,
        browse: Callable[[], list[ServiceInstance]],
        seed: int,
    ) -> None:
        self.loop, self.pool, self.deadline = loop, pool, deadline
        self._browse, self._random = browse, random.Random(seed)

    def servers(self, tool: str) -> list[ServiceInstance]:
        return order_instances([s for s in self._browse() if offers(s, tool)], self._random)

    def call(self, params: dict[str, Any], answered: Answered) -> ToolCall:
        """Begin a call; it may be answered before this returns."""
        call = ToolCall(self, params, answered)
        call.next()
        return call
