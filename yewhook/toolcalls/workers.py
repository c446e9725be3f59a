"""The workers' side: one attempt a connection, and the tool calls that a worker makes in its stream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from .. import load_reports
from ..config import Address
from ..core.ending import Ending
from ..front import PendingAttempts, ReleaseFunction
from ..jsonrpc import Code, Id, Peer, RequestTimedOut, RpcError
from ..loop import Loop
from ..releases import DoneCallback
from ..worker_list import WorkerList
from .endings import of_worker
from .peers import PeerPool
from .tools import ToolCall, Tools

OPEN_CALLS = 8  # tool calls that one stream may have open at once
WITHDRAWN = RpcError(Code.TOOL_ERROR, "withdrawn by the worker")


class Shown(NamedTuple):
    """What a client is shown of a running stream, in order."""

    method: str
    params: dict[str, Any]


class WorkerAttempt:
    """One attempt at one worker, from its request to its end; it hears what the worker says meanwhile."""

    def __init__(self, workers: RpcWorkers, request_id: str, number: int) -> None:
        self.workers, self.request_id, self.number = workers, request_id, number
        self.peer: Peer | None = None
        self.asked: Id = 0
        self._calls: dict[Id, ToolCall | None] = {}
        self._heard = workers.loop.now
        self._streaming = False

    def begin(self, address: Address, params: dict[str, Any], within: float) -> None:
        """Raises OSError where there is no connection."""
        self.peer = peer = self.workers.pool.acquire(address)
        peer.limit_connect_time(within)
        peer.handler = self
        self.asked = peer.ask("chat/completions", params, self._replied)

    # ---- what the worker says ----

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        if method == "notifications/event":
            self._show(Shown(method, {"event": params.get("event")}))
        elif method == "notifications/cancelled":
            self._withdrawn(params.get("requestId"))

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        if method != "tools/call":
            raise RpcError(Code.METHOD_NOT_FOUND, f"unknown method {method!r}")
        if not isinstance(params.get("name"), str) or not isinstance(params.get("arguments", {}), dict):
            raise RpcError(Code.INVALID_PARAMS, "expected a name and, where there are any, arguments")
        if len(self._calls) >= OPEN_CALLS:
            raise RpcError(Code.REFUSED, "too many tool calls open in this stream")
        asked = {"name": params["name"], "arguments": params.get("arguments", {})}
        if not self._show(Shown("notifications/tool_call", {"callId": request_id} | asked)):
            raise RpcError(Code.INVALID_REQUEST, "there is no stream to call a tool in")
        self._calls[request_id] = None
        call = self.workers.tools.call(
            params, lambda result, error: self._tool_answered(request_id, result, error)
        )
        if request_id in self._calls:
            self._calls[request_id] = call

    def _tool_answered(self, call_id: Id, result: Any, error: RpcError | None) -> None:
        del self._calls[call_id]
        outcome = {"result": result} if error is None else {"error": error.as_object()}
        self._show(Shown("notifications/tool_result", {"callId": call_id} | outcome))
        if self.peer is not None:
            self.peer.result(call_id, result) if error is None else self.peer.error(call_id, error)

    def _withdrawn(self, call_id: Any) -> None:
        if isinstance(call_id, str | int) and (call := self._calls.pop(call_id, None)) is not None:
            call.cancel("withdrawn by the worker")
            if self.peer is not None:
                self.peer.open_requests.discard(call_id)
            shown = {"callId": call_id, "error": WITHDRAWN.as_object()}
            self._show(Shown("notifications/tool_result", shown))

    def _show(self, shown: Shown) -> bool:
        self._heard = self.workers.loop.now
        passed = self.workers.listener.stream_event(self.request_id, self.number, shown)
        if passed and not self._streaming:
            self._streaming = True
            self._watch()
        return passed

    def _watch(self) -> None:
        """A running stream has no deadline, so a worker that falls silent in it is given up at some time."""
        if self.peer is None:
            return None
        now, silence = self.workers.loop.now, self.workers.silence
        if self._calls:
            self._heard = now  # the tool's own deadline runs
        if now - self._heard >= silence:
            self.workers.loop.log("worker fell silent in a stream", self.request_id)
            self.give_up("silent")
            return self.workers.end(self, Ending.WORKER_STALLED)
        wait = max(0.01, self._heard + silence - now)
        return self.workers.loop.after(wait, self._watch)

    def slow(self, peer: Peer, slow: bool) -> None:
        """A worker reads what we write at its leisure."""

    def gone(self, peer: Peer) -> None:
        """Told by the reply that the loss gives."""

    def _replied(self, result: Any, error: RpcError | None) -> None:
        peer, self.peer = self.peer, None
        if peer is None:
            return
        self._drop_calls("the stream has ended")
        self.workers.pool.give_back(peer)
        if error is not None:
            return self.workers.end(self, of_worker(error))
        body = result if isinstance(result, dict) else {}
        ending = Ending.READ if body.get("read") is True else Ending.SERVED
        load = load_reports.parse_load(body.get("load"), self.workers.columns)
        return self.workers.end(self, ending, load_reports.token_count(body.get("cachedTokens")), load)

    # ---- giving up ----

    def give_up(self, reason: str = "no longer wanted") -> bool:
        """Cancel the attempt at the worker, and its calls at their tools; whether it had been written."""
        peer, self.peer = self.peer, None
        self._drop_calls(reason)
        if peer is None:
            return False
        written = peer.written
        peer.cancel(self.asked, reason)
        self.workers.pool.close_gracefully(peer)
        return written

    def pause(self, paused: bool) -> None:
        if self.peer is not None:
            self.peer.channel.pause(paused)

    def catch_up(self) -> None:
        if self.peer is not None:
            self.peer.channel.catch_up()

    @property
    def on_its_way(self) -> bool:
        return self.peer is not None and self.peer.is_connected

    def _drop_calls(self, reason: str) -> None:
        calls, self._calls = self._calls, {}
        for call in calls.values():
            if call is not None:
                call.cancel(reason)


class RpcWorkers(PendingAttempts[WorkerAttempt]):
    """The core's `Workers` over JSON-RPC."""

    def __init__(
        self,
        loop: Loop,
        pool: PeerPool,
        tools: Tools,
        columns: tuple[str, ...],
        worker_list: WorkerList,
        release: ReleaseFunction,
        silence: float,
    ) -> None:
        super().__init__(loop, worker_list, release)
        self.pool, self.tools, self.columns, self.silence = pool, tools, columns, silence

    def send(
        self, request_id: str, attempt: int, server: int, call: object, timeout: float, begins: float
    ) -> None:
        assert isinstance(call, dict)
        params = call | {"requestId": request_id, "remainingMs": max(1, round(timeout * 1000))}
        out = WorkerAttempt(self, request_id, attempt)
        self.begin(out, server, lambda address: out.begin(address, params, begins))


def let_go(pool: PeerPool, address: Address, request_id: str, done: DoneCallback) -> Callable[[], None]:
    """Ask a worker to let go of all that is held for a request."""
    peer = pool.acquire(address)

    def replied(result: Any, error: RpcError | None) -> None:
        pool.give_back(peer) if not isinstance(error, RequestTimedOut) else pool.close_gracefully(peer)
        done(error is None)

    asked = peer.ask("reservations/release", {"requestId": request_id}, replied)

    def give_up() -> None:
        peer.cancel(asked, "no reply in time")
        pool.close_gracefully(peer)

    return give_up
