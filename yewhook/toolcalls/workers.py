"""Attempts at workers, one per connection, and the tool calls that workers make during a stream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from .. import load_reports
from ..config import Address
from ..core.ending import Ending
from ..core.ports import OutgoingAttempt
from ..front import PendingAttempts, ReleaseFunction
from ..jsonrpc import Code, Id, Params, Peer, RpcError
from ..loop import Loop
from ..releases import DoneCallback
from ..worker_list import WorkerList
from .endings import ending_of_error
from .peers import PeerPool
from .tools import ToolCall, ToolServers

MAX_OPEN_TOOL_CALLS = 8  # per stream
EMPTY_EVENTS: tuple[object, ...] = (None, "", {}, [])  # not forwarded: they bring a stream no further
TOOL_CALL_CANCELLED = RpcError(Code.TOOL_ERROR, "withdrawn by the worker")


class StreamNotification(NamedTuple):
    """A notification that is forwarded to the client during a stream."""

    method: str
    params: dict[str, Any]


class WorkerAttempt:
    """One attempt at one worker; handles the worker's messages from its request to its end."""

    def __init__(self, workers: RpcWorkers, request_id: str, number: int) -> None:
        self.workers, self.request_id, self.number = workers, request_id, number
        self.peer: Peer | None = None
        self.rpc_id: Id = 0
        self._tool_calls: dict[Id, ToolCall | None] = {}
        self._heard_at = workers.loop.now
        self._streaming = False
        self._event_count = 0  # passed on to the client

    def begin(self, address: Address, compose: Callable[[], Params], connect_timeout: float) -> None:
        """Send the attempt; `connect_timeout` in seconds. Raises OSError if no connection can be opened.

        `compose` is called as it is sent, so that the remaining time in it is exact.
        """
        self.peer = peer = self.workers.pool.acquire(address)
        peer.limit_connect_time(connect_timeout)
        peer.handler = self
        self.rpc_id = peer.ask("chat/completions", compose, self._response_received)

    # ---- messages of the worker ----

    def notification(self, peer: Peer, method: str, params: dict[str, Any]) -> None:
        """Handle an event of the stream or the cancellation of a tool call."""
        if method == "notifications/event":
            if (event := params.get("event")) not in EMPTY_EVENTS:
                self._forward(StreamNotification(method, {"event": event}))
        elif method == "notifications/cancelled":
            self._cancel_tool_call(params.get("requestId"))

    def request(self, peer: Peer, request_id: Id, method: str, params: dict[str, Any]) -> None:
        """Start a tool call and report it to the client. Raises RpcError."""
        if method != "tools/call":
            raise RpcError(Code.METHOD_NOT_FOUND, f"unknown method {method!r}")
        if not isinstance(params.get("name"), str) or not isinstance(params.get("arguments", {}), dict):
            raise RpcError(Code.INVALID_PARAMS, "expected a name and, where there are any, arguments")
        if len(self._tool_calls) >= MAX_OPEN_TOOL_CALLS:
            raise RpcError(Code.REFUSED, "too many tool calls open in this stream")
        call_params = {"name": params["name"], "arguments": params.get("arguments", {})}
        if not self._forward(
            StreamNotification("notifications/tool_call", {"callId": request_id} | call_params)
        ):
            raise RpcError(Code.INVALID_REQUEST, "there is no stream to call a tool in")
        self._tool_calls[request_id] = None
        call = self.workers.tools.call(
            params, lambda result, error: self._tool_call_finished(request_id, result, error)
        )
        if request_id in self._tool_calls:
            self._tool_calls[request_id] = call

    def _tool_call_finished(self, call_id: Id, result: Any, error: RpcError | None) -> None:
        del self._tool_calls[call_id]
        outcome = {"result": result} if error is None else {"error": error.as_object()}
        self._forward(StreamNotification("notifications/tool_result", {"callId": call_id} | outcome))
        if self.peer is not None:
            self.peer.result(call_id, result) if error is None else self.peer.error(call_id, error)

    def _cancel_tool_call(self, call_id: Any) -> None:
        if isinstance(call_id, str | int) and (call := self._tool_calls.pop(call_id, None)) is not None:
            call.cancel("withdrawn by the worker")
            if self.peer is not None:
                self.peer.forget_request(call_id)
            params = {"callId": call_id, "error": TOOL_CALL_CANCELLED.as_object()}
            self._forward(StreamNotification("notifications/tool_result", params))

    def _forward(self, notification: StreamNotification) -> bool:
        self._heard_at = self.workers.loop.now
        forwarded = self.workers.listener.stream_event(self.request_id, self.number, notification)
        self._event_count += forwarded
        if forwarded and not self._streaming:
            self._streaming = True
            self._check_silence()
        return forwarded

    def _check_silence(self) -> None:
        """End the stream of a silent worker.

        A running stream has no deadline, so without this check a silent worker would hold it open forever.
        """
        if self.peer is None:
            return None
        now, silence_timeout_s = self.workers.loop.now, self.workers.silence_timeout_s
        if self._tool_calls or self.peer.channel.paused:
            self._heard_at = now  # the deadline of the tool call, or the client's reading, applies instead
        if now - self._heard_at >= silence_timeout_s:
            host, port = self.peer.address
            silent_s = now - self._heard_at
            self.workers.loop.log(
                "worker fell silent in a stream",
                f"{self.request_id} attempt {self.number} at {host}:{port}: {self._event_count} events, "
                f"the last one {silent_s:.3f} s ago",
            )
            self.give_up("silent")
            return self.workers.end(self, Ending.WORKER_STALLED)
        wait = max(0.01, self._heard_at + silence_timeout_s - now)
        return self.workers.loop.after(wait, self._check_silence)

    def slow(self, peer: Peer, slow: bool) -> None:
        """Ignored: a worker may read at any pace; nothing is paused for it."""

    def gone(self, peer: Peer) -> None:
        """Ignored: `_response_received` is called with ConnectionLost."""

    def _response_received(self, result: Any, error: RpcError | None) -> None:
        peer, self.peer = self.peer, None
        if peer is None:
            return
        self._cancel_tool_calls("the stream has ended")
        self.workers.pool.give_back(peer)
        if error is not None:
            return self.workers.end(self, ending_of_error(error))
        body = result if isinstance(result, dict) else {}
        ending = Ending.READ if body.get("read") is True else Ending.SERVED
        load = load_reports.parse_load(body.get("load"), self.workers.columns)
        return self.workers.end(self, ending, load_reports.token_count(body.get("cachedTokens")), load)

    # ---- cancellation ----

    def give_up(self, reason: str = "no longer wanted") -> bool:
        """Cancel the attempt and its tool calls; returns whether the request had been written completely."""
        peer, self.peer = self.peer, None
        self._cancel_tool_calls(reason)
        if peer is None:
            return False
        return self.workers.pool.withdraw(peer, self.rpc_id, reason)

    def pause(self, paused: bool) -> None:
        """Pause or resume reading from the worker."""
        if self.peer is not None:
            self.peer.channel.pause(paused)

    def catch_up(self) -> None:
        """Handle what has arrived so far, before the next turn of the event loop."""
        if self.peer is not None:
            self.peer.channel.catch_up()

    @property
    def on_its_way(self) -> bool:
        """Whether a byte of the attempt may have been sent."""
        return self.peer is not None and self.peer.is_connected

    def _cancel_tool_calls(self, reason: str) -> None:
        calls, self._tool_calls = self._tool_calls, {}
        for call in calls.values():
            if call is not None:
                call.cancel(reason)


class RpcWorkers(PendingAttempts[WorkerAttempt]):
    """Implements `Workers` of core/ports.py over JSON-RPC."""

    def __init__(
        self,
        loop: Loop,
        pool: PeerPool,
        tools: ToolServers,
        columns: tuple[str, ...],
        worker_list: WorkerList,
        release: ReleaseFunction,
        silence_timeout_s: float,
    ) -> None:
        """`columns` are the columns of load reports; for `silence_timeout_s` see `ToolCallsConfig`."""
        super().__init__(loop, worker_list, release)
        self.pool, self.tools, self.columns = pool, tools, columns
        self.silence_timeout_s = silence_timeout_s

    def send(self, attempt: OutgoingAttempt) -> None:
        """Send one attempt, whose payload is the params of the client's request."""
        client_params = attempt.payload
        assert isinstance(client_params, dict)
        expires = self.loop.now + attempt.timeout

        def compose() -> Params:
            remaining_ms = max(1, round((expires - self.loop.now) * 1000))
            return client_params | {"requestId": attempt.request_id, "remainingMs": remaining_ms}

        exchange = WorkerAttempt(self, attempt.request_id, attempt.number)
        self.begin(
            exchange,
            attempt.server,
            lambda address: exchange.begin(address, compose, attempt.connect_timeout),
        )


def release_state(
    pool: PeerPool, address: Address, request_id: str, done: DoneCallback
) -> Callable[[], None]:
    """Ask a worker to release the state held for a request; returns a function that cancels the call.

    `done` is called with whether the worker confirmed it. Raises OSError if no connection can be opened.
    """
    peer = pool.acquire(address)

    def response_received(result: Any, error: RpcError | None) -> None:
        pool.give_back(peer)
        done(error is None)

    rpc_id = peer.ask("reservations/release", {"requestId": request_id}, response_received)

    def cancel() -> None:
        pool.withdraw(peer, rpc_id, "no reply in time")

    return cancel
