"""The interfaces between the core and a front: its clients, its workers and the level-of-service governor."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from hopshed.interface import Action, Event, Load, Role, RoleUsage

from .ending import Ending


class Client(Protocol):
    """The client of one request. Exactly one of finish, abort_stream, refuse and fail is called, once."""

    @property
    def disconnected(self) -> bool:
        """Whether the client is known to have closed its connection."""

    def send_event(self, event: object) -> None:
        """Pass on one event of the stream; the first one begins the response."""

    def finish(self) -> None:
        """End the response: the stream is complete."""

    def abort_stream(self, ending: Ending) -> None:
        """End the response before the stream is complete."""

    def refuse(self, retry_after: float) -> None:
        """Answer that the request was not served and may safely be retried.

        `retry_after` is the advised delay in seconds; 0 = no advice.
        """

    def fail(self, ending: Ending | None) -> None:
        """Answer that the request was not served, and may have had an effect.

        `ending` is that of the last attempt, None if there was none.
        """


@dataclass(frozen=True, slots=True)
class OutgoingAttempt:
    """One attempt that is to be sent to a worker; the timeouts are in seconds from now."""

    request_id: str
    number: int  # index in the request's attempts, from 0
    server: int  # id
    payload: object  # what the front passed to `Router.accept`
    timeout: float  # for the response to begin
    connect_timeout: float  # for the first byte to be written; nothing may be sent after it


class Workers(Protocol):
    """Sends attempts to workers; the end of each is reported once, to `AttemptListener.attempt_ended`."""

    def send(self, attempt: OutgoingAttempt) -> None:
        """Send one attempt."""

    def abort(self, request_id: str, attempt: int) -> bool:
        """Abort an attempt, of which nothing more is reported; returns whether its last byte was written."""

    def catch_up(self, request_id: str, attempt: int) -> None:
        """Read and report what has already arrived for an attempt, before it is ended."""

    def withdraw(self, request_id: str, attempt: int) -> bool:
        """Abort an attempt if no byte of it has been written yet; returns whether it was aborted."""

    def release(self, request_id: str, begin_at: float, due: float, done: Callable[[], None]) -> None:
        """Release all state that workers hold for the request; it is enough that one worker confirms.

        Workers are called between `begin_at` and `due`, both in seconds of the loop's clock. `done` is called
        once a worker has confirmed, or the release has been abandoned.
        """

    def pause(self, request_id: str, attempt: int, paused: bool) -> None:
        """Pause or resume reading a stream whose client reads slowly."""

    def forget(self, server: int) -> None:
        """Drop what is kept for a server that has been gone for `FORGET_AFTER`."""


class AttemptListener(Protocol):
    """Receives the stream events and the end of each attempt; implemented by `Router`."""

    def stream_event(self, request_id: str, number: int, data: object) -> bool:
        """Process one event of the attempt's stream; returns False where it is not passed to the client."""

    def attempt_ended(
        self, request_id: str, number: int, ending: Ending, note: int = 0, load: Load | None = None
    ) -> None:
        """Process the end of an attempt; called once for each."""


class Governor(Protocol):
    """Chooses the level of service for all requests together; `hopshed` still decides on each one."""

    def filter_events(
        self, now: float, events: Sequence[Event], role_usage: Callable[[float], dict[Role, RoleUsage]]
    ) -> list[Event]:
        """Return the events that `hopshed` is to handle in this turn."""

    def observe_actions(self, now: float, actions: Sequence[Action]) -> None:
        """Observe the actions with which `hopshed` answered them."""

    def start_over(self) -> None:
        """Forget all open requests and report the level anew: `hopshed` failed and has been restarted."""
