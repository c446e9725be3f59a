"""The records of a request's life. `router.py` moves them from stage to stage."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from hopshed.interface import Effect, RequestArrived

from ..deadlines import Deadline
from .ending import Ending
from .held_state import HeldState
from .ports import Client


class Stage(Enum):
    ACCEPTED = auto()  # taken; the module has not been told yet
    DECIDING = auto()  # the module holds it, or chooses where it goes next
    ATTEMPT_OUT = auto()
    STREAMING = auto()  # the answer has begun: the running attempt belongs to the client
    ENDED = auto()  # its one final answer has been given, or nobody waits for it any more


@dataclass(eq=False, slots=True)
class Attempt:
    number: int
    server: int
    reads: bool  # at a reader, where it has no effect however it ends
    sent: float
    live: bool = True
    ending: Ending | None = None
    timer: Deadline | None = None

    def __str__(self) -> str:
        return f"{'read' if self.reads else 'attempt'} {self.number} at {self.server}"


@dataclass(eq=False, slots=True)
class RequestRecord:
    arrived: RequestArrived
    effect: Effect
    client: Client
    call: object  # what the front wants carried to the worker
    deadline: float
    held: HeldState
    stage: Stage = Stage.ACCEPTED
    attempts: list[Attempt] = field(default_factory=list)
    timers: list[Deadline] = field(default_factory=list)
    let_go: Deadline | None = None
    releases: int = 0  # that no worker has confirmed yet
    waiting: Callable[[], None] | None = None  # sends the attempt that waits for them
    reason: str = ""  # why the module does not serve it, for the log

    @property
    def id(self) -> str:
        return self.arrived.id

    @property
    def unanswered(self) -> bool:
        """Whether its one answer has not even begun."""
        return self.stage not in (Stage.STREAMING, Stage.ENDED)

    @property
    def out(self) -> Attempt | None:
        """The attempt that is out; there is never a second one."""
        return next((attempt for attempt in self.attempts if attempt.live), None)
