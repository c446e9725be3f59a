"""The level of service of one router.

The governor stands between the core and its decision module. It observes the module's events and actions,
derives the level of service from them, and sets on each arriving request which share of such turns to admit.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from hopshed import interface
from hopshed.interface import Outcome, Role

from .admission import admit
from .capacity import Capacity
from .demand import Demand
from .discovery_health import DiscoveryHealth
from .estimators import DecayingRate, DecayingRatio, Mean, Quantiles
from .level import LEVEL_DESCRIPTIONS, Level, ProcessHealth, Signals
from .level_state import MAX_EVALUATION_GAP_S, Change, LevelStateMachine, Pin
from .settings import Mode, ServiceLevelSettings
from .turns import RefusalLoss, Turn, TurnKind, Turns, top_classes

if TYPE_CHECKING:
    from ..recovery.recovery import Recovery

EVALUATION_INTERVAL_S = 0.25  # between measurements of the signals
LATE_TIME_CONSTANT_S = 5.0  # of the signal `late`
WAITING_TIME_CONSTANT_S = 3.0  # of the signal `waiting`
LOST_TIME_CONSTANT_S = 10.0  # of the signal `lost`
TURN_RATE_TIME_CONSTANT_S = 20.0  # of the rate of turns sent to servers
MIN_WAIT_SAMPLES = 4.0  # turns needed for the signal `waiting`; it is 0 with fewer
MAX_LOAD_SIGNAL = 10.0  # upper bound of the signal `load`
ENTRY_GRACE_S = 5.0  # after a request's patience, until an entry that no event ended is dropped


@dataclass(slots=True)
class _OpenRequest:
    turn: Turn
    session: str
    prompt_tokens: float
    expires_at: float  # s, when the entry is dropped if no answer has begun
    sent: bool = False
    answered_at: float | None = None  # s, when its answer began


# Returns the usage of each role's servers at a given time, in seconds of the loop's clock
RoleUsageSource = Callable[[float], dict[Role, interface.RoleUsage]]


class Governor:
    """Measures the signals, runs the level state machine, and decides the shares to admit."""

    def __init__(
        self,
        settings: interface.Settings,
        level_settings: ServiceLevelSettings,
        seed: int,
        now: float,
        process_health: Callable[[], ProcessHealth] = ProcessHealth,
        changed: Callable[[Change], None] = lambda change: None,
        recovery: Recovery | None = None,
    ) -> None:
        """`changed` is called with each change of level."""
        self.settings, self.level_settings, self.recovery = settings, level_settings, recovery
        self._process_health, self._changed = process_health, changed
        self.level_state = LevelStateMachine(level_settings, Random(f"levels {seed}").random(), now)
        self.signals = Signals()
        self._turns = Turns(settings, level_settings.long_turn)
        self._demand = Demand(settings, now)
        self._discovery = DiscoveryHealth()
        self._late = DecayingRatio(LATE_TIME_CONSTANT_S, 0.0)
        self._late_by_class = [DecayingRatio(LATE_TIME_CONSTANT_S, 0.0) for _ in settings.classes]
        self._lost = DecayingRatio(LOST_TIME_CONSTANT_S, 3.0)  # of at least 3 streams
        self._waits = Quantiles(WAITING_TIME_CONSTANT_S)
        self._capacity = Capacity()
        self._turn_rate = DecayingRate(TURN_RATE_TIME_CONSTANT_S, now)
        self._mean_worth = Mean(0.02)  # weight of a sample
        self._open: dict[str, _OpenRequest] = {}  # by request id
        self._shares: list[dict[TurnKind, float]] = [{} for _ in range(self._demand.tenant_count)]
        self._next_evaluation = self._last_turn = now
        self._last_event: interface.ServiceLevel | None = None  # the last one passed to the module

    # ---- called by the core in each turn of its loop ----

    def filter_events(
        self, now: float, events: Sequence[interface.Event], usage: RoleUsageSource
    ) -> list[interface.Event]:
        """The events to pass to the module: those given, with the share to admit set on each arrival.

        A change of the level comes first. Evaluates the level if that is due.
        """
        if now - self._last_turn > MAX_EVALUATION_GAP_S:
            self._reset_after_stall(now)
        self._last_turn = now
        out: list[interface.Event] = []
        if now >= self._next_evaluation:
            self._evaluate(now, usage(now))
            out += self._level_events(now)
            if self.recovery is not None:
                out += self.recovery.warm_rates()
        for event in events:
            out.append(self._observe(event, now))
        return out

    def observe_actions(self, now: float, actions: Sequence[interface.Action]) -> None:
        """Counts what the module did with the requests."""
        for action in actions:
            if isinstance(action, interface.Send):
                self._request_sent(action, now)
            elif isinstance(action, interface.Refuse | interface.Fail):
                entry = self._open.pop(action.id, None)
                if entry is not None:
                    self._ended_unanswered(entry, now)
                    if not (isinstance(action, interface.Refuse) and action.gave_way):
                        self._count_late(entry.turn, True, now, entry.sent)

    def start_over(self) -> None:
        """Forgets the open requests after the module was replaced; the new one is told the level again."""
        self._open.clear()
        self._last_event = None

    def _reset_after_stall(self, now: float) -> None:
        """Discards the rates: all that arrived during a stall of the process is handled at once."""
        self._demand = Demand(self.settings, now)
        self._shares = [{} for _ in range(self._demand.tenant_count)]
        self._waits = Quantiles(WAITING_TIME_CONSTANT_S)
        self._capacity.discard_interval()
        self._next_evaluation = now + EVALUATION_INTERVAL_S

    # ---- events ----

    def _observe(self, event: interface.Event, now: float) -> interface.Event:
        if self.recovery is not None:
            self.recovery.observe(event, now)
        if isinstance(event, interface.RequestArrived):
            return self._request_arrived(event, now)
        if isinstance(event, interface.StreamStarted):
            entry = self._open.get(event.id)
            if entry is not None and entry.answered_at is None:
                entry.answered_at = now
                self._count_late(entry.turn, now - entry.turn.arrived > entry.turn.aim, now)
        elif isinstance(event, interface.AttemptEnded):
            self._attempt_ended(event, now)
        elif isinstance(event, interface.ClientGone):
            entry = self._open.pop(event.id, None)
            if entry is not None and entry.answered_at is None:
                self._ended_unanswered(entry, now)
                self._count_late(entry.turn, now - entry.turn.arrived > entry.turn.aim, now, entry.sent)
        elif isinstance(event, interface.ServersListed):
            self._discovery.servers_listed(event)
        return event

    def _request_arrived(self, event: interface.RequestArrived, now: float) -> interface.Event:
        turn = self._turns.classify(event, now)
        self._demand.turn_arrived(turn, now)
        self._mean_worth.add(turn.worth)
        self._open[event.id] = _OpenRequest(
            turn, event.session, event.prompt_tokens, now + event.patience + ENTRY_GRACE_S
        )
        share = self._shares[turn.tenant].get(turn.kind, 1.0)
        if self.recovery is not None and self.recovery.active:
            top = top_classes(self.settings, self._turns.mean_work)
            share = min(share, float(self.recovery.admits(turn, top, now)))
        return event._replace(admit=share) if share < 1.0 and self.level_settings.mode is Mode.ON else event

    def _attempt_ended(self, event: interface.AttemptEnded, now: float) -> None:
        self._discovery.attempt_ended(event.server, event.outcome, now)
        entry = self._open.get(event.id)
        if entry is None:
            return
        if event.outcome is Outcome.READ:
            open_session = entry.turn.kind.refusal_loss is RefusalLoss.OPEN_SESSION
            self._turns.prompt_read(entry.turn.kind.cls, open_session, entry.prompt_tokens, event.note)
        if entry.answered_at is not None:
            complete = event.outcome is Outcome.OK
            if event.outcome is not Outcome.CANCELED:
                self._lost.add(1.0, not complete, now)
            if complete:
                self._turns.answer_streamed(entry.turn.kind.cls, now - entry.answered_at)
        if entry.answered_at is not None or event.closed:
            del self._open[event.id]

    def _request_sent(self, action: interface.Send, now: float) -> None:
        entry = self._open.get(action.id)
        if entry is None or entry.sent:
            return
        entry.sent = True
        self._demand.turn_decided(entry.turn, now)
        self._capacity.sent(entry.turn.work, now)
        self._turn_rate.add(1.0, now)
        self._turns.turn_sent(entry.session, now)
        self._waits.add((now - entry.turn.arrived) / entry.turn.aim if entry.turn.aim > 0 else 0.0, now)

    def _ended_unanswered(self, entry: _OpenRequest, now: float) -> None:
        if not entry.sent:
            self._demand.turn_decided(entry.turn, now)

    def _count_late(self, turn: Turn, late: bool, now: float, sent: bool = True) -> None:
        """Counts the worth of a turn as late or in time; `sent` = it was sent to a server at least once.

        The recovery needs `sent`: a turn for which no server had room put no load on any.
        """
        self._late.add(turn.worth, late, now)
        if self.recovery is not None:
            top = turn.kind.cls in top_classes(self.settings, self._turns.mean_work)
            self.recovery.turn_ended(turn, late, sent, top, now)
        self._late_by_class[turn.kind.cls].add(turn.worth, late, now)

    # ---- evaluation ----

    def _evaluate(self, now: float, usage: dict[Role, interface.RoleUsage]) -> None:
        self._next_evaluation = now + EVALUATION_INTERVAL_S
        for request_id in [
            request_id
            for request_id, entry in self._open.items()
            if entry.expires_at < now and entry.answered_at is None
        ]:
            del self._open[request_id]
        self.signals = self._measure(now, usage)
        if self.recovery is not None:
            self.recovery.update(now, usage, self._mean_worth.value_or(1.0))
            if self.recovery.active and self.level_state.pin is None:
                # While service returns, the phase of the recovery decides; the signals do not reflect load.
                self._shares = [{} for _ in range(self._demand.tenant_count)]
                return
        change = self.level_state.step(now, self.signals)
        if change is not None:
            self._changed(change)
        if self.level_state.level is Level.FULL:
            self._shares = [{} for _ in range(self._demand.tenant_count)]
            return
        demand = [self._demand.arrival_rates(tenant, now) for tenant in range(self._demand.tenant_count)]
        possible = self._capacity.work_rate(now)
        capacity = (
            self._demand.arrival_rate(now) if possible is None else possible * self.level_settings.target
        )
        top = top_classes(self.settings, self._turns.mean_work)
        self._shares = admit(self.level_state.level, demand, capacity, self.settings, top, self.signals.late)

    def _measure(self, now: float, usage: dict[Role, interface.RoleUsage]) -> Signals:
        health = self._process_health()
        if not self._discovery.has_list:  # without a list of servers the other signals mean nothing
            return Signals(descriptors=health.descriptors, memory=health.memory)
        self._capacity.update(usage, now)
        mixed = usage[Role.MIXED]
        missing = max(self._missing(usage[Role.READER], mixed), self._missing(usage[Role.WRITER], mixed))
        waiting_now = [
            (now - entry.turn.arrived) / entry.turn.aim
            for entry in self._open.values()
            if not entry.sent and entry.turn.aim > 0
        ]
        waiting = max(
            self._waits.at(0.9, now, MIN_WAIT_SAMPLES),
            0.0 if len(waiting_now) < MIN_WAIT_SAMPLES else min(waiting_now),
        )
        # A total of at least two mean turns, so that one late turn does not count as everything late
        self._late.min_total = 2.0 * self._mean_worth.value_or(1.0)
        return Signals(
            load=self._load(now),
            late=self._late.at(now),
            waiting=waiting,
            missing=missing,
            doubt=self._discovery.doubt(now, health.discovery_age),
            lost=self._lost.at(now),
            descriptors=health.descriptors,
            memory=health.memory,
        )

    @staticmethod
    def _missing(own: interface.RoleUsage, mixed: interface.RoleUsage) -> float:
        """The share of a stage's servers that cannot be used; 1 if none is listed."""
        listed = own.listed + mixed.listed
        return 1.0 - min(1.0, (own.usable + mixed.usable) / listed) if listed else 1.0

    def _load(self, now: float) -> float:
        """The work requested over the work possible; 0 while either is unknown."""
        possible, requested = self._capacity.work_rate(now), self._demand.decided_rate(now)
        if possible is None or requested <= 0:
            return 0.0
        return min(MAX_LOAD_SIGNAL, requested / max(possible, requested / MAX_LOAD_SIGNAL))

    def _level_events(self, now: float) -> list[interface.Event]:
        """The level of service for the module, if it differs from the one passed to it last."""
        level, settings = self.level_state.level, self.level_settings
        event = interface.ServiceLevel()
        if level is not Level.FULL and settings.mode is Mode.ON:
            # Once calm, turns may wait for room again: the level itself is left only after a long calm.
            certain = level is Level.LAST_RESORT and not self.level_state.is_calm
            event = interface.ServiceLevel(level.label, settings.levels[level].retry_after, certain)
        if self.recovery is not None and self.recovery.active and not event.certain:
            event = self.recovery.service_level(now)
        if event == (self._last_event or interface.ServiceLevel()):
            return []
        self._last_event = event
        return [event]

    # ---- operators ----

    def pin(self, level: Level, seconds: float, reason: str, now: float) -> None:
        """Holds a level for so long, whatever the signals."""
        self.level_state.set_pin(Pin(level, now + seconds, reason))
        self._next_evaluation = now

    def unpin(self) -> None:
        """Ends a pin at the next evaluation."""
        self.level_state.set_pin(None)

    def configure(self, level_settings: ServiceLevelSettings, now: float) -> None:
        """Replaces the settings; a level that they do not configure is left at once."""
        self.level_settings = level_settings
        self._turns.long_turn_factor = level_settings.long_turn
        change = self.level_state.configure(level_settings, now)
        if change is not None:
            self._changed(change)
        self._next_evaluation = now

    def turn_rate(self, now: float) -> float:
        """Turns per second that this router sends to servers, as an exponentially weighted rate."""
        return self._turn_rate.at(now)

    def report(self, now: float) -> dict[str, Any]:
        """The level, its signals and the pin for operators, as JSON values."""
        pin = self.level_state.pin
        level = self.level_state.level
        return {
            "mode": self.level_settings.mode.value,
            "level": level.label,
            "meaning": LEVEL_DESCRIPTIONS[level],
            "since_s": round(now - self.level_state.since, 1),
            "signals": {name: round(self.signals.value(name), 3) for name in self.signals.__slots__},
            "late_by_class": [round(share.at(now), 3) for share in self._late_by_class],
            "admitted": [
                round(self._admitted_share(tenant, now), 3) for tenant in range(self._demand.tenant_count)
            ],
            "pin": None if pin is None else {
                "level": pin.level.label, "for_s": round(max(0.0, pin.until - now), 1), "reason": pin.reason
            },
        }  # fmt: skip

    def _admitted_share(self, tenant: int, now: float) -> float:
        """The share of a tenant's work that is admitted."""
        kinds = self._demand.arrival_rates(tenant, now)
        total = sum(kinds.values())
        shares = self._shares[tenant]
        return sum(work * shares.get(kind, 1.0) for kind, work in kinds.items()) / total if total else 1.0
