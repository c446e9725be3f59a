"""One router's level of service: hears what its decision module hears and does, and says what there is room
for."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from hopshed import interface as i
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

EVALUATION_INTERVAL_S = 0.25  # s between looks
LATE_SPAN, WAIT_SPAN, LOST_SPAN, DONE_SPAN = 5.0, 3.0, 10.0, 20.0  # s; time constants
WAITS_LEAST = 4.0  # waits seen lately, below which they say nothing
LOAD_MOST = 10.0  # whatever more there is
KEPT_AFTER = 5.0  # s after its patience at which an entry that nothing ended is dropped


@dataclass(slots=True)
class _Open:
    turn: Turn
    session: str
    prompt: float
    until: float
    sent: bool = False
    first: float | None = None  # when its answer began


Sight = Callable[[float], dict[Role, i.RoleUsage]]


class Governor:
    def __init__(
        self,
        settings: i.Settings,
        levels: ServiceLevelSettings,
        seed: int,
        now: float,
        vitals: Callable[[], ProcessHealth] = ProcessHealth,
        changed: Callable[[Change], None] = lambda change: None,
        recovery: Recovery | None = None,
    ) -> None:
        self.settings, self.levels, self.recovery = settings, levels, recovery
        self._vitals, self._changed = vitals, changed
        self.level_state = LevelStateMachine(levels, Random(f"levels {seed}").random(), now)
        self.signals = Signals()
        self._turns = Turns(settings, levels.long_turn)
        self._demand = Demand(settings, now)
        self._register = DiscoveryHealth()
        self._late = DecayingRatio(LATE_SPAN, 0.0)
        self._late_by_class = [DecayingRatio(LATE_SPAN, 0.0) for _ in settings.classes]
        self._lost = DecayingRatio(LOST_SPAN, 3.0)
        self._waits = Quantiles(WAIT_SPAN)
        self._capacity = Capacity()
        self._done = DecayingRate(DONE_SPAN, now)
        self._mean_worth = Mean(0.02)
        self._open: dict[str, _Open] = {}
        self._shares: list[dict[TurnKind, float]] = [{} for _ in range(self._demand.tenants)]
        self._next = self._last = now
        self._told: i.ServiceLevel | None = None

    # ---- the core's turn ----

    def filter_events(self, now: float, events: Sequence[i.Event], sight: Sight) -> list[i.Event]:
        """What the module is to hear: the turns' events, with what there is room for of each that arrived."""
        if now - self._last > MAX_EVALUATION_GAP_S:
            self._after_pause(now)
        self._last = now
        out: list[i.Event] = []
        if now >= self._next:
            self._look(now, sight(now))
            out += self._tell(now)
            if self.recovery is not None:
                out += self.recovery.warm_rates()
        for event in events:
            out.append(self._hear(event, now))
        return out

    def observe_actions(self, now: float, actions: Sequence[i.Action]) -> None:
        """What the module did."""
        for act in actions:
            if isinstance(act, i.Send):
                self._sent(act, now)
            elif isinstance(act, i.Refuse | i.Fail):
                entry = self._open.pop(act.id, None)
                if entry is not None:
                    self._missed(entry, now)
                    if not (isinstance(act, i.Refuse) and act.gave_way):
                        self._was_late(entry.turn, True, now, entry.sent)

    def start_over(self) -> None:
        """The module begins anew and is to be told the level again."""
        self._open.clear()
        self._told = None

    def _after_pause(self, now: float) -> None:
        """What came in while the process stood still comes in at once: no rate may be judged by it."""
        self._demand = Demand(self.settings, now)
        self._shares = [{} for _ in range(self._demand.tenants)]
        self._waits = Quantiles(WAIT_SPAN)
        self._capacity.discard_interval()
        self._next = now + EVALUATION_INTERVAL_S

    # ---- what is heard ----

    def _hear(self, event: i.Event, now: float) -> i.Event:
        if self.recovery is not None:
            self.recovery.observe(event, now)
        if isinstance(event, i.RequestArrived):
            return self._arrived(event, now)
        if isinstance(event, i.StreamStarted):
            entry = self._open.get(event.id)
            if entry is not None and entry.first is None:
                entry.first = now
                self._was_late(entry.turn, now - entry.turn.arrived > entry.turn.aim, now)
        elif isinstance(event, i.AttemptEnded):
            self._ended(event, now)
        elif isinstance(event, i.ClientGone):
            entry = self._open.pop(event.id, None)
            if entry is not None and entry.first is None:
                self._missed(entry, now)
                self._was_late(entry.turn, now - entry.turn.arrived > entry.turn.aim, now, entry.sent)
        elif isinstance(event, i.ServersListed):
            self._register.listed(event)
        return event

    def _arrived(self, event: i.RequestArrived, now: float) -> i.Event:
        turn = self._turns.classify(event, now)
        self._demand.came(turn, now)
        self._mean_worth.add(turn.worth)
        self._open[event.id] = _Open(
            turn, event.session, event.prompt_tokens, now + event.patience + KEPT_AFTER
        )
        share = self._shares[turn.tenant].get(turn.kind, 1.0)
        if self.recovery is not None and self.recovery.active:
            top = top_classes(self.settings, self._turns.mean_work)
            share = min(share, float(self.recovery.admits(turn, top, now)))
        return event._replace(admit=share) if share < 1.0 and self.levels.mode is Mode.ON else event

    def _ended(self, event: i.AttemptEnded, now: float) -> None:
        self._register.heard(event.server, event.outcome, now)
        entry = self._open.get(event.id)
        if entry is None:
            return
        if event.outcome is Outcome.READ:
            under_way = entry.turn.kind.refusal_loss is RefusalLoss.OPEN_SESSION
            self._turns.read(entry.turn.kind.cls, under_way, entry.prompt, event.note)
        if entry.first is not None:
            whole = event.outcome is Outcome.OK
            if event.outcome is not Outcome.CANCELED:
                self._lost.add(1.0, not whole, now)
            if whole:
                self._turns.streamed(entry.turn.kind.cls, now - entry.first)
        if entry.first is not None or event.closed:
            del self._open[event.id]

    def _sent(self, act: i.Send, now: float) -> None:
        entry = self._open.get(act.id)
        if entry is None or entry.sent:
            return
        entry.sent = True
        self._demand.decided(entry.turn, now)
        self._capacity.sent(entry.turn.work, now)
        self._done.add(1.0, now)
        self._turns.begun(entry.session, now)
        self._waits.add((now - entry.turn.arrived) / entry.turn.aim if entry.turn.aim > 0 else 0.0, now)

    def _missed(self, entry: _Open, now: float) -> None:
        if not entry.sent:
            self._demand.decided(entry.turn, now)

    def _was_late(self, turn: Turn, late: bool, now: float, sent: bool = True) -> None:
        """`sent` = a server has had it; what none could take at once burdened nobody."""
        self._late.add(turn.worth, late, now)
        if self.recovery is not None:
            top = turn.kind.cls in top_classes(self.settings, self._turns.mean_work)
            self.recovery.turn_ended(turn, late, sent, top, now)
        self._late_by_class[turn.kind.cls].add(turn.worth, late, now)

    # ---- looks ----

    def _look(self, now: float, sight: dict[Role, i.RoleUsage]) -> None:
        self._next = now + EVALUATION_INTERVAL_S
        for rid in [rid for rid, entry in self._open.items() if entry.until < now and entry.first is None]:
            del self._open[rid]
        self.signals = self._judge(now, sight)
        if self.recovery is not None:
            self.recovery.update(now, sight, self._mean_worth.known(1.0))
            if self.recovery.active and self.level_state.pin is None:
                # The phase rules while service returns: what is seen then says nothing of a level.
                self._shares = [{} for _ in range(self._demand.tenants)]
                return
        change = self.level_state.step(now, self.signals)
        if change is not None:
            self._changed(change)
        if self.level_state.level is Level.FULL:
            self._shares = [{} for _ in range(self._demand.tenants)]
            return
        demand = [self._demand.by_kind(tenant, now) for tenant in range(self._demand.tenants)]
        can = self._capacity.can(now)
        capacity = self._demand.all(now) if can is None else can * self.levels.target
        top = top_classes(self.settings, self._turns.mean_work)
        self._shares = admit(self.level_state.level, demand, capacity, self.settings, top, self.signals.late)

    def _judge(self, now: float, sight: dict[Role, i.RoleUsage]) -> Signals:
        vitals = self._vitals()
        if not self._register.known:  # nothing has been listed yet: there is nothing to judge by
            return Signals(descriptors=vitals.descriptors, memory=vitals.memory)
        self._capacity.look(sight, now)
        mixed = sight[Role.MIXED]
        missing = max(self._missing(sight[Role.READER], mixed), self._missing(sight[Role.WRITER], mixed))
        held = [
            (now - e.turn.arrived) / e.turn.aim for e in self._open.values() if not e.sent and e.turn.aim > 0
        ]
        waiting = max(self._waits.at(0.9, now, WAITS_LEAST), 0.0 if len(held) < WAITS_LEAST else min(held))
        self._late.min_total = 2.0 * self._mean_worth.known(1.0)
        return Signals(
            load=self._load(now),
            late=self._late.at(now),
            waiting=waiting,
            missing=missing,
            doubt=self._register.doubt(now, vitals.discovery_age),
            lost=self._lost.at(now),
            descriptors=vitals.descriptors,
            memory=vitals.memory,
        )

    @staticmethod
    def _missing(own: i.RoleUsage, mixed: i.RoleUsage) -> float:
        """Part of a stage's servers that is out of use; all of it where none is listed."""
        listed = own.listed + mixed.listed
        return 1.0 - min(1.0, (own.usable + mixed.usable) / listed) if listed else 1.0

    def _load(self, now: float) -> float:
        """What is asked for over what can be done of it."""
        can, asked = self._capacity.can(now), self._demand.asked(now)
        if can is None or asked <= 0:
            return 0.0
        return min(LOAD_MOST, asked / max(can, asked / LOAD_MOST))

    def _tell(self, now: float) -> list[i.Event]:
        level, settings = self.level_state.level, self.levels
        event = i.ServiceLevel()
        if level is not Level.FULL and settings.mode is Mode.ON:
            # Once calm it holds turns again: the long wait that leaving takes need not be paid for in full.
            certain = level is Level.LAST_RESORT and not self.level_state.is_calm
            event = i.ServiceLevel(level.label, settings.levels[level].retry_after, certain)
        if self.recovery is not None and self.recovery.active and not event.certain:
            event = self.recovery.service_level(now)
        if event == (self._told or i.ServiceLevel()):
            return []
        self._told = event
        return [event]

    # ---- operators ----

    def pin(self, level: Level, seconds: float, reason: str, now: float) -> None:
        self.level_state.set_pin(Pin(level, now + seconds, reason))
        self._next = now

    def unpin(self) -> None:
        self.level_state.set_pin(None)

    def configure(self, levels: ServiceLevelSettings, now: float) -> None:
        """Put other settings in force; a level that they don't know is left at once."""
        self.levels = levels
        self._turns.long_turn = levels.long_turn
        change = self.level_state.configure(levels, now)
        if change is not None:
            self._changed(change)
        self._next = now

    def turn_rate(self, now: float) -> float:
        """Turns a second that this router sends on, over a longer while."""
        return self._done.at(now)

    def report(self, now: float) -> dict[str, Any]:
        """For operators, as JSON holds it."""
        pin = self.level_state.pin
        level = self.level_state.level
        return {
            "mode": self.levels.mode.value,
            "level": level.label,
            "meaning": LEVEL_DESCRIPTIONS[level],
            "since_s": round(now - self.level_state.since, 1),
            "signals": {name: round(self.signals.value(name), 3) for name in self.signals.__slots__},
            "late_by_class": [round(share.at(now), 3) for share in self._late_by_class],
            "admitted": [round(self._admitted(tenant, now), 3) for tenant in range(self._demand.tenants)],
            "pin": None if pin is None else {
                "level": pin.level.label, "for_s": round(max(0.0, pin.until - now), 1), "reason": pin.reason
            },
        }  # fmt: skip

    def _admitted(self, tenant: int, now: float) -> float:
        """Part of a client's work that is admitted."""
        kinds = self._demand.by_kind(tenant, now)
        whole = sum(kinds.values())
        shares = self._shares[tenant]
        return sum(work * shares.get(kind, 1.0) for kind, work in kinds.items()) / whole if whole else 1.0
