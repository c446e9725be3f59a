"""The records of open requests and their attempts; `router.py` moves them from stage to stage."""

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
    """The stages of a request, in order; a failed attempt leads back to DECIDING."""

    ACCEPTED = auto()  # not yet passed to `hopshed`
    DECIDING = auto()  # `hopshed` holds it, or decides where to send it next
    ATTEMPT_OUT = auto()  # an attempt is out, and the response has not begun
    STREAMING = auto()  # the response has begun; the request is not sent to another server any more
    ENDED = auto()  # the final answer has been given, or the client has left


@dataclass(eq=False, slots=True)
class Attempt:
    """One send of a request to one server; times are seconds of the loop's clock."""

    number: int  # index in the request's attempts, from 0
    server: int  # id
    at_reader: bool  # readers only process the prompt: no ending of such an attempt has an effect
    sent_at: float
    is_out: bool = True
    ending: Ending | None = None
    timer: Deadline | None = None  # its timeout

    def __str__(self) -> str:
        return f"{'read' if self.at_reader else 'attempt'} {self.number} at {self.server}"


@dataclass(eq=False, slots=True)
class RequestRecord:
    """An open request with all its attempts; times are seconds of the loop's clock."""

    arrived: RequestArrived
    effect: Effect
    client: Client
    payload: object  # passed by the front, and handed to `Workers.send` unchanged
    deadline: float
    held: HeldState
    stage: Stage = Stage.ACCEPTED
    attempts: list[Attempt] = field(default_factory=list)
    timers: list[Deadline] = field(default_factory=list)  # canceled when the response begins
    release_timer: Deadline | None = None  # for state that is held too long
    open_releases: int = 0  # neither confirmed nor abandoned yet
    send_waiting: Callable[[], None] | None = None  # sends the read that waits for the open releases
    reason: str = ""  # why the request is not served, for the log

    @property
    def id(self) -> str:
        """The request's id, as given by the front."""
        return self.arrived.id

    @property
    def accepted_at(self) -> float:
        """When the router accepted it."""
        return self.deadline - self.arrived.patience

    @property
    def unanswered(self) -> bool:
        """Whether no response has been begun."""
        return self.stage not in (Stage.STREAMING, Stage.ENDED)

    @property
    def attempt_out(self) -> Attempt | None:
        """The attempt that is out; there is one at most."""
        return next((attempt for attempt in self.attempts if attempt.is_out), None)
