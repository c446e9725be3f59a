"""Tool calls of workers, relayed to the tool servers that DNS-SD records name."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ..dnssd import ServiceInstance, order_instances
from ..jsonrpc import Code, ConnectionLost, Id, Peer, RequestTimedOut, RpcError
from ..loop import Loop, Timer
from .endings import tool_call_error
from .peers import PeerPool

ToolCallback = Callable[[Any, RpcError | None], None]


def offers_tool(instance: ServiceInstance, tool: str) -> bool:
    """Whether the server's TXT record lists the tool, as in `tools=repair-history,parts-stock`."""
    return tool in (name.strip() for name in instance.texts.get("tools", "").split(","))


class ToolCall:
    """One `tools/call` with a deadline.

    The next server is tried only while no server can have started the call: a tool may have side effects.
    """

    def __init__(self, tools: ToolServers, params: dict[str, Any], callback: ToolCallback) -> None:
        self.tools, self.params, self.name = tools, params, str(params["name"])
        self._callback = callback
        self._untried = tools.offering(self.name)
        self._timer = Timer(tools.loop)
        self._peer: Peer | None = None
        self._request_id: Id = 0
        self._finished = False

    def begin(self) -> None:
        """Start the deadline, which also covers connecting, and send the call."""
        self._timer.set(self.tools.call_timeout_s, self._timed_out)
        self._try_next_server()

    def _try_next_server(self) -> None:
        """Send the call to the next server that can be connected to; fail with TOOL_GONE if none is left."""
        while self._untried:
            server = self._untried.pop(0)
            try:
                peer = self.tools.pool.acquire(server.address)
            except OSError as error:
                self.tools.loop.log("no connection to a tool server", f"{server.name}: {error}")
                continue
            self._peer = peer
            self._request_id = peer.ask("tools/call", self.params, self._response_received)
            return
        self._finish(None, RpcError(Code.TOOL_GONE, f"no server for tool {self.name!r}"))

    def _response_received(self, result: Any, error: RpcError | None) -> None:
        if self._finished or self._peer is None:
            return
        peer, self._peer = self._peer, None
        if isinstance(error, ConnectionLost) and not error.sent:
            return self._try_next_server()
        reusable = error is None or error.__class__ is RpcError
        self.tools.pool.give_back(peer) if reusable else self.tools.pool.close_gracefully(peer)
        return self._finish(result, None if error is None else tool_call_error(error, self.name))

    def _timed_out(self) -> None:
        self._withdraw("timed out")
        self._finish(None, tool_call_error(RequestTimedOut(), self.name))

    def _finish(self, result: Any, error: RpcError | None) -> None:
        if self._finished:
            return
        self._finished = True
        self._timer.cancel()
        if error is not None:
            self.tools.loop.log("tool call failed", f"{error.code} {error.message}")
        self._callback(result, error)

    def cancel(self, reason: str) -> None:
        """Cancel the call at its tool server; the callback is not called any more."""
        self._finished = True
        self._timer.cancel()
        self._withdraw(reason)

    def _withdraw(self, reason: str) -> None:
        """End the connection of the call: a late response must not be taken for that of another one."""
        peer, self._peer = self._peer, None
        if peer is not None:
            self.tools.pool.withdraw(peer, self._request_id, reason)


class ToolServers:
    """The known tool servers and the connections to them."""

    def __init__(
        self,
        loop: Loop,
        pool: PeerPool,
        call_timeout_s: float,
        browse: Callable[[], list[ServiceInstance]],
        seed: int,
    ) -> None:
        """`browse` lists the tool servers; `seed` determines the choice among those of equal priority."""
        self.loop, self.pool, self.call_timeout_s = loop, pool, call_timeout_s
        self._browse, self._random = browse, random.Random(seed)

    def offering(self, tool: str) -> list[ServiceInstance]:
        """The servers that offer a tool, in the order in which to try them."""
        return order_instances([s for s in self._browse() if offers_tool(s, tool)], self._random)

    def call(self, params: dict[str, Any], callback: ToolCallback) -> ToolCall:
        """Start a call; the callback may run before this returns."""
        call = ToolCall(self, params, callback)
        call.begin()
        return call
