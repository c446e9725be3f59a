"""What the core asks of a front: of the client of one request, and of the workers' side."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from hopshed.interface import Action, Event, Load, Role, RoleUsage

from .ending import Ending


class Client(Protocol):
    """The client's end of one request. Exactly one of finish, abort_stream, refuse and fail is called,
    once."""

    @property
    def disconnected(self) -> bool:
        """Whether it can be seen now that it has closed its connection."""

    def send_event(self, event: object) -> None:
        """Pass on one event of the running stream; the first one opens the answer."""

    def finish(self) -> None:
        """The stream is whole."""

    def abort_stream(self, ending: Ending) -> None:
        """The stream ends before it is whole."""

    def refuse(self, retry_after: float) -> None:
        """Not served, and trying again is harmless; 0 = no advice on when."""

    def fail(self, ending: Ending | None) -> None:
        """Not served, nothing promised."""


class Workers(Protocol):
    """The way to the workers. An attempt's end is told to the core, once, by `Router.attempt_ended`."""

    def send(
        self, request_id: str, attempt: int, server: int, call: object, timeout: float, begins: float
    ) -> None:
        """Send one attempt; `call` is what the front handed in with the request, `begins` the s in which its
        first byte must be on its way, or it never may."""

    def abort(self, request_id: str, attempt: int) -> bool:
        """Abandon an attempt; nothing more is told of it. Whether its last byte had been written."""

    def catch_up(self, request_id: str, attempt: int) -> None:
        """Tell what has come of an attempt by now, before it is ended."""

    def withdraw(self, request_id: str, attempt: int) -> bool:
        """Abandon an attempt of which nothing is on its way yet; whether that was so."""

    def release(self, request_id: str, begin_at: float, due: float, done: Callable[[], None]) -> None:
        """Let go of all that is held for the request, at any worker: told from one time on and by another.

        `done` is called once a worker has confirmed it, or nobody has for long."""

    def pause(self, request_id: str, attempt: int, paused: bool) -> None:
        """Stop or go on reading a stream whose client is slow."""

    def forget(self, server: int) -> None:
        """The server has been gone for long."""


class AttemptListener(Protocol):
    """Where the workers' side tells what comes of an attempt: the core's router."""

    def stream_event(self, request_id: str, number: int, data: object) -> bool: ...

    def attempt_ended(
        self, request_id: str, number: int, ending: Ending, note: int = 0, load: Load | None = None
    ) -> None: ...


class Governor(Protocol):
    """Judges the service as a whole, beside the module, which goes on to decide on each request."""

    def filter_events(
        self, now: float, events: Sequence[Event], sight: Callable[[float], dict[Role, RoleUsage]]
    ) -> list[Event]:
        """The events that the module is to hear of this turn."""

    def observe_actions(self, now: float, actions: Sequence[Action]) -> None:
        """What the module did with them."""

    def start_over(self) -> None:
        """The module failed and begins anew."""
