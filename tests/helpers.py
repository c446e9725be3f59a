"""A driver for scripted tests of the Controller: it feeds events and keeps the actions."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any, TypeVar

from hopshed.control import Controller
from hopshed.interface import (
    AttemptEnded,
    Effect,
    Event,
    Group,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Role,
    Send,
    Server,
    ServersListed,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
)

T = TypeVar("T")
ROLES = (Role.READER, Role.WRITER, Role.MIXED)  # by server kind


def settings(effect: Effect = Effect.SAFE, group: Group = Group.ALL, **changes: Any) -> Settings:
    """Settings with one request class; `changes` replaces fields."""
    cls = RequestClass(
        aim=1.0, aim_per_1k=0.04, token_aim=0.06, patience=5.0, effect=effect, group=group, dedup_window=2.0
    )
    base: dict[str, Any] = {
        "classes": (cls,),
        "roles": ROLES,
        "memory_tokens": (200000.0,) * 3,
        "instances": 2,
        "max_attempts": 6,
        "may_cancel": True,
        "release_within": 0.5,
        "cold_from": 0.3,
        "cold_time": 10.0,
        "fall_multiple": 2.5,
        "fall_window": 2.0,
        "drain_grace": 1.0,
    }
    return Settings(**(base | changes))


def server(
    number: int,
    kind: int,
    zone: int = 0,
    cell: int = 0,
    state: ServerState = ServerState.RUNNING,
    started: float | None = None,
) -> Server:
    """A server of the list; `kind` as in ROLES."""
    return Server(number, kind, zone, cell, state, started)


FLEET = (server(1, 0), server(2, 0), server(3, 0), server(11, 1), server(12, 1), server(13, 1))


class Bench:
    """A controller with a clock. It remembers each request's sends, so that a test can end the latest one."""

    def __init__(
        self,
        fleet: Sequence[Server] = FLEET,
        seed: int = 1,
        make: Callable[[Settings, int], Controller] = Controller,
        **changes: Any,
    ) -> None:
        """`changes` replaces fields of the settings."""
        self.controller = make(settings(**changes), seed)
        self.now = 100.0
        self.attempts: dict[str, list[int]] = {}  # request -> the servers it was sent to
        self.timer = (0.0, 0)  # when it fires, and its token
        self.log: list[Any] = []  # all actions
        self.do(ServersListed(ListKind.SAVED, tuple(fleet)))

    def do(self, *events: Event, at: float | None = None) -> list[Any]:
        """Handle events now, or `at` a later time; returns the actions without timers."""
        if at is not None:
            self.now = at
        actions = self.controller.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, Send):
                self.attempts.setdefault(action.id, []).append(action.server)
            elif isinstance(action, SetTimer):
                self.timer = (self.now + action.delay, action.token)
        self.log += actions
        return [action for action in actions if not isinstance(action, SetTimer)]

    def arrive(
        self, request: str, session: str | None = None, patience: float = 5.0, **fields: Any
    ) -> list[Any]:
        """A request arrives, in a session of its own unless one is given."""
        prompt = fields.pop("prompt_tokens", 1000.0)
        return self.do(
            RequestArrived(
                request,
                0,
                fields.pop("tenant", 0),
                session or request,
                patience,
                prompt,
                max_tokens=200.0,
                **fields,
            )
        )

    def end(
        self, request: str, outcome: Outcome, after: float = 0.05, closed: bool = False, note: float = 0
    ) -> list[Any]:
        """The latest attempt of a request ends, `after` seconds from now."""
        self.now += after
        number = len(self.attempts[request]) - 1
        return self.do(
            AttemptEnded(request, number, self.attempts[request][number], outcome, after, closed, int(note))
        )

    def read(self, request: str, after: float = 0.05) -> list[Any]:
        """The read of a request ends, `after` seconds from now."""
        return self.end(request, Outcome.READ, after)

    def tick(self, until: float) -> list[Any]:
        """Move the clock to `until`, with the timers on the way."""
        actions = []
        while self.timer[0] <= until:
            self.now = self.timer[0]
            actions += self.do(TimerFired(self.timer[1]))
        self.now = until
        return actions


def only(actions: Iterable[Any], kind: type[T]) -> list[T]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]
