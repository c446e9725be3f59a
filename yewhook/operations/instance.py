"""The state machine of one router process: events change the state, and each state sets a mode of the fronts.

It has no clock and does no I/O. SIGHUP and the loss of the discovery service change no state: a new
configuration does not affect it, and without discovery the process serves with the last worker list.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple


class State(Enum):
    """The state of a router process; the values are written to logs and answers."""

    STARTING = "starting"  # no predecessor, and no worker list yet
    SUCCEEDING = "succeeding"  # a predecessor serves until this process is ready
    READY = "ready"
    DRAINING = "draining"  # health checks fail; upstream load balancers may not have noticed yet
    DRAINED = "drained"  # requests that still arrive are served, one per connection
    HANDING_OVER = "handing over"  # a successor accepts; requests accepted here are finished here
    LASTING = "lasting"  # told to end, but still serves while new requests can be answered in time
    ENDING = "ending"  # health checks fail; upstream load balancers may not have noticed yet
    LEAVING = "leaving"  # accepts nothing more and finishes what it has


class Event(Enum):
    """What may change the state."""

    WORKERS_KNOWN = auto()  # a worker list is known, or none came in time
    DRAIN = auto()  # an operator's order
    RESUME = auto()  # an operator's order that ends a drain
    DRAIN_PROPAGATED = auto()  # the wait in DRAINING, LASTING or ENDING is over
    SUCCESSOR_READY = auto()
    SUCCESSOR_LOST = auto()
    PREDECESSOR_LOST = auto()
    TERM = auto()  # SIGTERM or SIGINT
    RELOAD = auto()  # SIGHUP
    WORKER_LIST_LOST = auto()  # the discovery service is silent


class FrontMode(NamedTuple):
    """What the fronts do in a state."""

    healthy: bool  # whether `/healthz` answers 200
    accepting: bool  # whether new connections are accepted
    keep_alive: bool  # whether a connection may carry further requests
    close_idle: bool  # whether connections without a request are closed
    shutting_down: bool = False  # whether the process never accepts again


# The mode that each state sets
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

_STATE_CHANGES: dict[State, dict[Event, State]] = {
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

# Each state and event -> the next state, which is the same one unless listed above.
TRANSITIONS = {
    (state, event): changes.get(event, state) for state, changes in _STATE_CHANGES.items() for event in Event
}
DRAINED_BY_ORDER = {Event.DRAIN: True, Event.RESUME: False}  # order -> whether a drain is in force after it
# In these states another process serves or is expected to, so a drain or resume would have no effect.
STATES_REFUSING_ORDERS = frozenset({State.HANDING_OVER, State.LASTING, State.ENDING, State.LEAVING})


@dataclass(frozen=True, slots=True)
class Instance:
    """The state of a router process and the operator's drain order."""

    state: State
    drained: bool = False  # a drain order is in force; survives hand-overs, restarts and a lost successor

    @property
    def front_mode(self) -> FrontMode:
        """The mode of the fronts in this state."""
        return FRONT_MODES[self.state]

    @property
    def serves(self) -> bool:
        """Whether it is able to serve requests, even if drained."""
        return self.state not in (State.STARTING, State.SUCCEEDING, State.LEAVING)

    def accepts(self, event: Event) -> bool:
        """False for an operator's order in a state that refuses orders."""
        return event not in DRAINED_BY_ORDER or self.state not in STATES_REFUSING_ORDERS


def step(instance: Instance, event: Event) -> Instance:
    """The instance after an event; events that a state does not handle change nothing."""
    if not instance.accepts(event):
        return instance
    drained = DRAINED_BY_ORDER.get(event, instance.drained)
    state = TRANSITIONS[instance.state, event]
    if state is State.READY and drained:  # the table does not distinguish a drained instance
        state = State.DRAINING
    return Instance(state, drained)
