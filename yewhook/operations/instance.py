"""The state of one instance, as a pure machine: what it is told moves it, and each state is one mode of
the fronts. No clock, no I/O.

SIGHUP and a list of workers that goes away move nothing: the configuration is not the state, and an instance
whose register is silent serves by the last list that it heard.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple


class State(Enum):
    STARTING = "starting"  # no predecessor, and no list of workers yet
    SUCCEEDING = "succeeding"  # a predecessor serves, and goes on until this process is able to
    READY = "ready"
    DRAINING = "draining"  # told to drain; the front may not have heard the no yet
    DRAINED = "drained"  # what still comes is served, one request a connection
    HANDING_OVER = "handing over"  # a successor accepts; what was taken here ends here
    LASTING = "lasting"  # told to end; serves on for as long as what it takes can still be answered
    ENDING = "ending"  # it has said no; the front may not have heard that yet
    LEAVING = "leaving"  # nothing is accepted any more


class Event(Enum):
    WORKERS_KNOWN = auto()  # it knows a list of workers
    DRAIN = auto()  # an operator's order
    RESUME = auto()  # its end
    DRAIN_PROPAGATED = auto()  # the front has had time to hear the no and to stop sending
    SUCCESSOR_READY = auto()
    SUCCESSOR_LOST = auto()
    PREDECESSOR_LOST = auto()
    TERM = auto()  # SIGTERM or SIGINT
    RELOAD = auto()  # SIGHUP
    LIST_GONE = auto()  # the register has fallen silent


class FrontMode(NamedTuple):
    """What the fronts do."""

    healthy: bool  # `/healthz` says yes
    accepting: bool
    keep_alive: bool  # a connection may bring a further request
    close_idle: bool  # connections on which nothing is asked are closed
    shutting_down: bool = False  # for good


FRONT_MODES = {
    State.STARTING: FrontMode(healthy=False, accepting=True, keep_alive=True, close_idle=False),
    State.SUCCEEDING: FrontMode(healthy=False, accepting=False, keep_alive=True, close_idle=False),
    State.READY: FrontMode(healthy=True, accepting=True, keep_alive=True, close_idle=False),
    State.DRAINING: FrontMode(healthy=False, accepting=True, keep_alive=False, close_idle=False),
    State.DRAINED: FrontMode(healthy=False, accepting=True, keep_alive=False, close_idle=True),
    State.HANDING_OVER: FrontMode(healthy=True, accepting=False, keep_alive=False, close_idle=True),
    State.LASTING: FrontMode(healthy=True, accepting=True, keep_alive=True, close_idle=False),
    State.ENDING: FrontMode(healthy=False, accepting=True, keep_alive=False, close_idle=False),
    State.LEAVING: FrontMode(
        healthy=False, accepting=False, keep_alive=False, close_idle=True, shutting_down=True
    ),
}

_MOVES: dict[State, dict[Event, State]] = {
    State.STARTING: {
        Event.WORKERS_KNOWN: State.READY, Event.SUCCESSOR_READY: State.HANDING_OVER, Event.TERM: State.ENDING,
    },
    State.SUCCEEDING: {
        Event.WORKERS_KNOWN: State.READY, Event.PREDECESSOR_LOST: State.STARTING,
        Event.SUCCESSOR_READY: State.HANDING_OVER, Event.TERM: State.LEAVING,
    },
    State.READY: {
        Event.DRAIN: State.DRAINING, Event.SUCCESSOR_READY: State.HANDING_OVER, Event.TERM: State.LASTING,
    },
    State.DRAINING: {
        Event.RESUME: State.READY, Event.DRAIN_PROPAGATED: State.DRAINED,
        Event.SUCCESSOR_READY: State.HANDING_OVER, Event.TERM: State.ENDING,
    },
    State.DRAINED: {
        Event.RESUME: State.READY, Event.SUCCESSOR_READY: State.HANDING_OVER, Event.TERM: State.ENDING,
    },
    State.HANDING_OVER: {Event.SUCCESSOR_LOST: State.READY, Event.TERM: State.LEAVING},
    State.LASTING: {Event.DRAIN_PROPAGATED: State.ENDING, Event.SUCCESSOR_READY: State.LEAVING},
    State.ENDING: {Event.DRAIN_PROPAGATED: State.LEAVING, Event.SUCCESSOR_READY: State.LEAVING},
    State.LEAVING: {},
}  # fmt: skip

TABLE = {(state, event): moves.get(event, state) for state, moves in _MOVES.items() for event in Event}
ORDERED = {Event.DRAIN: True, Event.RESUME: False}
# Orders come too late: another process serves, or is to.
DEAF = frozenset({State.HANDING_OVER, State.LASTING, State.ENDING, State.LEAVING})


@dataclass(frozen=True, slots=True)
class Instance:
    state: State
    drained: bool = False  # an operator's order: it outlives a hand-over, a restart, a successor that is lost

    @property
    def front_mode(self) -> FrontMode:
        return FRONT_MODES[self.state]

    @property
    def serves(self) -> bool:
        """Whether it can serve, though it may be told not to."""
        return self.state not in (State.STARTING, State.SUCCEEDING, State.LEAVING)

    def accepts(self, event: Event) -> bool:
        """Whether an operator's order means anything to it still."""
        return event not in ORDERED or self.state not in DEAF


def step(instance: Instance, event: Event) -> Instance:
    if not instance.accepts(event):
        return instance
    drained = ORDERED.get(event, instance.drained)
    state = TABLE[instance.state, event]
    if state is State.READY and drained:  # READY stands in the table for "serve, unless told otherwise"
        state = State.DRAINING
    return Instance(state, drained)
