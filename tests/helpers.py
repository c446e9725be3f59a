"""Short hand-written scripts against the Controller, without any bench."""

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
ROLES = (Role.READER, Role.WRITER, Role.MIXED)


def settings(effect: Effect = Effect.SAFE, group: Group = Group.ALL, **kw: Any) -> Settings:
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
    return Settings(**(base | kw))


def server(
    sid: int,
    kind: int,
    zone: int = 0,
    cell: int = 0,
    state: ServerState = ServerState.RUNNING,
    started: float | None = None,
) -> Server:
    return Server(sid, kind, zone, cell, state, started)


FLEET = (server(1, 0), server(2, 0), server(3, 0), server(11, 1), server(12, 1), server(13, 1))


class Bench:
    """Feeds events and remembers sends, so that a script can say what happened to the last one."""

    def __init__(
        self,
        fleet: Sequence[Server] = FLEET,
        seed: int = 1,
        make: Callable[[Settings, int], Controller] = Controller,
        **kw: Any,
    ) -> None:
        self.c = make(settings(**kw), seed)
        self.now = 100.0
        self.attempts: dict[str, list[int]] = {}
        self.timer = (0.0, 0)
        self.log: list[Any] = []
        self.do(ServersListed(ListKind.SAVED, tuple(fleet)))

    def do(self, *events: Event, at: float | None = None) -> list[Any]:
        if at is not None:
            self.now = at
        acts = self.c.handle(self.now, list(events))
        for act in acts:
            if isinstance(act, Send):
                self.attempts.setdefault(act.id, []).append(act.server)
            elif isinstance(act, SetTimer):
                self.timer = (self.now + act.delay, act.token)
        self.log += acts
        return [a for a in acts if not isinstance(a, SetTimer)]

    def arrive(self, rid: str, session: str | None = None, patience: float = 5.0, **kw: Any) -> list[Any]:
        prompt = kw.pop("prompt_tokens", 1000.0)
        return self.do(
            RequestArrived(
                rid, 0, kw.pop("tenant", 0), session or rid, patience, prompt, max_tokens=200.0, **kw
            )
        )

    def end(
        self, rid: str, outcome: Outcome, after: float = 0.05, closed: bool = False, note: float = 0
    ) -> list[Any]:
        self.now += after
        n = len(self.attempts[rid]) - 1
        return self.do(AttemptEnded(rid, n, self.attempts[rid][n], outcome, after, closed, int(note)))

    def read(self, rid: str, after: float = 0.05) -> list[Any]:
        return self.end(rid, Outcome.READ, after)

    def tick(self, until: float) -> list[Any]:
        out = []
        while self.timer[0] <= until:
            self.now = self.timer[0]
            out += self.do(TimerFired(self.timer[1]))
        self.now = until
        return out


def only(acts: Iterable[Any], kind: type[T]) -> list[T]:
    return [a for a in acts if isinstance(a, kind)]
