"""One router's recovery: hears what its module hears, judges who was lost, holds the phase.

It speaks to the module through the levels' governor, which asks it; it keeps no clock of its own.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from hopshed import interface as i
from hopshed.estimate import Estimate
from hopshed.interface import ListKind, Outcome, Role, ServerState
from hopshed.slow_start import WORK_RATE_TIME_CONSTANT_S

from ..levels.estimators import DecayingRatio
from ..levels.turns import RefusalLoss, Turn
from .peer_messages import PeerMessage, Seen, choose
from .phases import WAITS_FOR, WARM, Phase, PhaseEvidence, PhaseState
from .ramp import LATE_SPAN, Ramp, Rank, rank
from .restart_scope import Evidence, Scope, ScopeEstimate, estimate_scope
from .settings import RecoverySettings
from .trust import LIVES, Fact, FactKind, Ledger, Source

FEW = 2.0  # turns, below which lateness says little
FIRST_TURNS = 0.5  # turns a second for each usable server over all routers, where no pace is known
ROUTER_HEARD = 5.0  # s for which a router's word counts it among those that serve
LOST_FOR = 5.0  # s for which other routers are told of a worker from which nothing came back
MISSED_FOR = 30.0  # s for which workers that a register's new beginning leaves out are kept
LEVEL = "recovering"  # the module's word for why turns give way
SEEN_ALIVE = frozenset({Outcome.OK, Outcome.READ, Outcome.FULL, Outcome.FAILED})
SEEN_GONE = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT})
Alive = dict[Role, int]


@dataclass(frozen=True, slots=True)
class PreviousRun:
    """What this router's snapshot says, on the clock of now."""

    wrote: float
    same_boot: bool | None
    clock_back: bool
    generation: int
    servers: tuple[i.Server, ...]


@dataclass(frozen=True, slots=True)
class UsualTraffic:
    """What this router did before, in full service."""

    turns: float  # a second that it sent on
    servers: dict[Role, int]  # that there were
    rates: dict[Role, float]  # sends of mean work a second to one of them


def usual_traffic(
    turns: float, servers: Mapping[Role, list[int]], sent: Mapping[int, Estimate], now: float
) -> UsualTraffic:
    """`turns` a second that the router sent on; `sent` = the module's rates of what went to each server."""
    rates = {}
    for role, numbers in servers.items():
        known = [sent[n].decayed(now, WORK_RATE_TIME_CONSTANT_S) for n in numbers if n in sent]
        if known:
            rates[role] = sum(known) / len(known)
    return UsualTraffic(turns, {role: len(numbers) for role, numbers in servers.items()}, rates)


class Recovery:
    def __init__(
        self,
        settings: RecoverySettings,
        module: i.Settings,
        now: float,
        random: Random,
        say: Callable[[str, str], None] = lambda event, detail: None,
    ) -> None:
        """`say` = a line of the log."""
        self.settings, self._module, self._say, self._random = settings, module, say, random
        self.ledger = Ledger()
        self.scope_estimate = ScopeEstimate(Scope.UNKNOWN, ())
        self.phase_state = PhaseState(Phase.NOTHING, now)
        self.ramp = Ramp(settings, [tenant.share for tenant in module.tenants], now)
        self.began = now
        self._past: PreviousRun | None = None
        self._servers: dict[int, i.Server] = {}
        self._starts: dict[int, float | None] = {}  # by the register, of workers that the past knows
        self._generation = 0
        self._generation_back = self._register_spoke = False
        self._missed: dict[int, float] = {}  # worker that a new beginning left out -> until when it is kept
        self._routers: dict[int, tuple[float, float]] = {}  # other router -> up since, heard
        self._proven: dict[int, float] = {}  # worker -> since when it warms up, where no list says
        self._restarted: set[int] = set()  # workers that the register has told of since the loss
        self._usual: UsualTraffic | None = None
        self._rates_told = True
        self._lost: dict[int, float] = {}  # worker -> when nothing came back from it
        self._warm = 0.0
        self._mean_worth = 1.0
        self._own_late = DecayingRatio(
            LATE_SPAN, 0.0
        )  # what other routers are told; theirs must not come round

    @property
    def active(self) -> bool:
        return self.phase_state.phase is not Phase.FULL

    # ---- what is known from before ----

    def load_previous_run(self, past: PreviousRun) -> None:
        """Take this router's own snapshot into account; before the first list."""
        self._past, self._generation = past, past.generation
        for server in past.servers:
            self._note_server(server, Source.SNAPSHOT, past.wrote)

    def begin(self, known: tuple[i.Server, ...], now: float) -> tuple[i.Server, ...]:
        """What to begin with, before the register has spoken: the configuration's list and the snapshot's."""
        for server in known:
            self._note_server(server, Source.KNOWN, now)
        facts = (
            self.ledger.best(FactKind.LISTED, n, now) for n in sorted(self.ledger.about(FactKind.LISTED))
        )
        return tuple(self._drained(f.value, True) for f in facts if f and isinstance(f.value, i.Server))

    def _note_server(self, server: i.Server, source: Source, at: float) -> None:
        note, n = self.ledger.note, server.id
        note(Fact(FactKind.LISTED, n, server, source, at))
        note(Fact(FactKind.STARTED, n, server.started, source, at))
        if server.state is ServerState.DRAINING:
            note(Fact(FactKind.DRAIN, n, server.started, source, at))
        elif server.state is ServerState.RUNNING:
            note(Fact(FactKind.RUNS, n, True, source, at))

    def merge_list(
        self, kind: ListKind, servers: tuple[i.Server, ...], generation: int, now: float
    ) -> tuple[i.Server, ...]:
        """What the module is to take for the register's list.

        A register that begins anew (it numbers from below, and leaves out most of what was held) does not
        end workers by leaving them out, and a list from before a drain order does not end that."""
        whole = kind is ListKind.FULL
        back = whole and generation < self._generation
        self._register_spoke = True
        self._generation = generation if whole else max(generation, self._generation)
        if back:
            self._generation_back = True
            self._say("register began anew", f"generation {generation}; what it leaves out is kept for now")
        held = dict(self._servers)
        if self._past is not None:
            held = {s.id: s for s in self._past.servers} | held
        named, ids = tuple(self._drained(server, back) for server in servers), {s.id for s in servers}
        kept: tuple[i.Server, ...] = ()
        if back:
            left = held.keys() - ids
            self._missed = {n: now + MISSED_FOR for n in left if held[n].state is not ServerState.GONE}
        self._missed = {n: at for n, at in self._missed.items() if n not in ids}
        if whole:
            kept = tuple(held[n] for n in self._missed)
        if whole and self._past is not None:
            # Only what the register says: a list kept from before tells of the starts of before.
            before = {server.id for server in self._past.servers}
            self._starts = {server.id: server.started for server in named if server.id in before}
        for server in named:
            if server.id in self._starts:
                self._starts[server.id] = server.started
            self._note_server(server, Source.REGISTER, now)
            if server.state is ServerState.GONE:
                self.ledger.forget(server.id)
            elif self._began_since(server):  # somebody has told the register of it since the loss
                self._restarted.add(server.id)
        return named + kept

    def _began_since(self, server: i.Server) -> bool:
        """Whether its process is a new one since this router's snapshot."""
        return self._past is not None and server.started is not None and server.started > self._past.wrote

    def _drained(self, server: i.Server, back: bool) -> i.Server:
        """A drain ends by the register's later word or with its process, not by a list from before it."""
        order = self.ledger.best(FactKind.DRAIN, server.id, self.began)
        if order is None or server.state is not ServerState.RUNNING:
            return server
        began_after = server.started is not None and server.started != order.value
        from_before = order.source is Source.SNAPSHOT and self._generation_back
        if began_after or not (back or from_before):
            self.ledger.end(FactKind.DRAIN, server.id)
            return server
        return server._replace(state=ServerState.DRAINING)

    @property
    def draining_workers(self) -> frozenset[int]:
        """Workers that are told to drain."""
        return frozenset(n for n, s in self._servers.items() if s.state is ServerState.DRAINING)

    def missed(self, now: float) -> tuple[i.Server, ...]:
        """Workers whose time is over that a register's new beginning left out: they are gone."""
        over = [n for n, until in self._missed.items() if now >= until]
        for n in over:
            del self._missed[n]
        known = (self._servers[n] for n in over if n in self._servers)
        return tuple(server._replace(state=ServerState.GONE) for server in known)

    # ---- what is heard ----

    def observe(self, event: i.Event, now: float) -> None:
        if isinstance(event, i.ServersListed):
            self._listed(event)
        elif isinstance(event, i.StreamStarted):
            self._alive(event.server, now)
        elif isinstance(event, i.AttemptEnded):
            if event.outcome in SEEN_ALIVE:
                self._alive(event.server, now)
            elif event.outcome in SEEN_GONE:
                self._gone(event.server, now)

    def _alive(self, server: int, now: float) -> None:
        self.ledger.note(Fact(FactKind.RUNS, server, True, Source.ANSWERS, now))
        self._lost.pop(server, None)
        self._prove(server, now)

    def _prove(self, number: int, now: float) -> None:
        """It has answered somebody: it counts as one that runs until it is listed anew, or found gone."""
        if (server := self._servers.get(number)) is not None and number not in self._proven:
            self._proven[number] = now if server.started is None and not self._text_stands else -math.inf

    def _gone(self, server: int, now: float) -> None:
        """Nothing came back; of a worker that has answered somebody lately, that says little."""
        if self.ledger.belief(FactKind.RUNS, server, now) <= LIVES / 2 or not self._shown(server, now):
            self.ledger.end(FactKind.RUNS, server)
            self._proven.pop(server, None)
            self._lost[server] = now
        if server in self._missed:
            self._missed[server] = now

    def _listed(self, event: i.ServersListed) -> None:
        if event.kind is ListKind.FAILED:
            return
        named = {server.id: server for server in event.servers}
        if event.kind is not ListKind.CHANGES:
            self._servers = {n: s for n, s in self._servers.items() if n in named}
        for number, server in named.items():
            old = self._servers.get(number)
            if server.state is not ServerState.RUNNING or (old and old.started != server.started):
                self._proven.pop(number, None)
        self._servers |= named
        for number in self._restarted & named.keys():
            self._proven.setdefault(number, -math.inf)
        self._restarted -= named.keys()

    def turn_ended(self, turn: Turn, late: bool, sent: bool, top: bool, now: float) -> None:
        """A turn's first answer has come, late or not, or never. Of the lesser ones what no server had says
        nothing; of the worthiest, it says that others took their place."""
        if sent or top:
            self.ramp.late.add(turn.worth, late, now)
            self._own_late.add(turn.worth, late, now)

    def message_received(self, sender: int, word: PeerMessage, now: float) -> None:
        """Another router's word."""
        self._routers[sender] = (now - word.up_for, now)
        count = sum(now - heard < ROUTER_HEARD for _, heard in self._routers.values()) + 1
        self.ledger.note(Fact(FactKind.ROUTERS, 0, count, Source.PEERS, now))
        self.ramp.late.add(word.turns * self._mean_worth * word.late, True, now)
        self.ramp.late.add(word.turns * self._mean_worth * (1.0 - word.late), False, now)
        for seen in word.workers:
            at = now - seen.age
            if seen.runs and seen.server in self._servers:
                self.ledger.note(Fact(FactKind.RUNS, seen.server, True, Source.PEERS, at))
                self._prove(seen.server, now)

    def message(self, asks: bool, now: float) -> PeerMessage:
        """What this router tells of itself and of the workers that it has met lately."""
        met = (self.ledger.best(FactKind.RUNS, n, now) for n in self.ledger.about(FactKind.RUNS))
        seen = [Seen(f.about, True, now - f.at) for f in met if f and f.source is Source.ANSWERS]
        seen += [Seen(n, False, now - at) for n, at in self._lost.items() if now - at < LOST_FOR]
        late, worth = self._own_late.at(now), self._own_late.all.decayed(now, LATE_SPAN)
        workers, turns = choose(seen, self._random), worth / max(self._mean_worth, 1e-9)
        return PeerMessage(asks, self.phase_state.phase, now - self.began, workers, late, turns)

    def _shown(self, server: int, now: float) -> bool:
        fact = self.ledger.best(FactKind.RUNS, server, now)
        return fact is not None and fact.source in (Source.ANSWERS, Source.PEERS)

    # ---- looks ----

    def set_usual_traffic(self, usual: UsualTraffic) -> None:
        """What was usual before, by this router's snapshot."""
        self._usual, self._rates_told = usual, False

    def update(self, now: float, sight: dict[Role, i.RoleUsage], mean_worth: float) -> None:
        self._judge(now)
        self._mean_worth = mean_worth
        self.ramp.late.min_total = FEW * mean_worth
        seen = self._sight(now, sight)
        before, self.phase_state = self.phase_state, self.phase_state.step(seen, now, self.settings.calm)
        if self.phase_state.phase is not before.phase:
            why = f"after {now - before.since:.1f} s, {round(100 * seen.warm)}% of what is known is warm"
            self._say("recovery phase", f"{before.phase.label} to {self.phase_state.phase.label}: {why}")
        warm = self._shown_to_do(self._able(now))
        self.ramp.look(now, warm, self.phase_state.phase >= Phase.TRICKLE)

    def _judge(self, now: float) -> None:
        past = self._past
        if past is None or not (self._starts or self._routers):
            return
        since = [up for up, heard in self._routers.values()]
        evidence = Evidence(
            past.wrote, past.same_boot, past.clock_back, self._starts, self._generation_back,
            sum(up <= past.wrote for up in since), sum(up > past.wrote for up in since),
        )  # fmt: skip
        verdict = estimate_scope(evidence)
        changed = verdict.scope is not self.scope_estimate.scope or not self.scope_estimate.why
        self.scope_estimate = verdict
        if changed:
            self._say("restart judged", str(verdict))

    def _sight(self, now: float, sight: dict[Role, i.RoleUsage]) -> PhaseEvidence:
        mixed = sight[Role.MIXED]
        stages = [(sight[role].usable + mixed.usable, sight[role].listed + mixed.listed)
                  for role in (Role.READER, Role.WRITER)]  # fmt: skip
        self._warm = min(usable / listed if listed else 0.0 for usable, listed in stages)
        alive = self.workers_alive()
        proven = bool(alive[Role.MIXED] or (alive[Role.READER] and alive[Role.WRITER]))
        return PhaseEvidence(
            path=all(listed for _, listed in stages),
            proven=proven,
            late=self.ramp.late.at(now) >= self.settings.late,
            fits=self.ramp.fits(now),
            warm=self._warm,
            alone=self.scope_estimate.scope is Scope.ALONE or self._first_start(now),
        )

    def _first_start(self, now: float) -> bool:
        """Nothing is known of before, and by the register the fleet has run for long."""
        if self._past is not None or not self._register_spoke:
            return False
        began = [s.started for s in self._servers.values() if s.state is ServerState.RUNNING]
        cold = sum(at is not None and now - at < self._module.cold_time for at in began)
        return cold <= (1.0 - WARM) * len(began)

    def workers_alive(self) -> Alive:
        """Workers of each role that have shown themselves, to this router or to another one."""
        found = dict.fromkeys(Role, 0)
        for server in self._shown_servers():
            found[self._module.roles[server.kind]] += 1
        return found

    def _shown_servers(self) -> list[i.Server]:
        known = (self._servers[n] for n in self._proven if n in self._servers)
        return [server for server in known if server.state is ServerState.RUNNING]

    def _able(self, now: float) -> dict[Role, float]:
        """Of those the least part of their capacity that is warm by now."""
        found = dict.fromkeys(Role, 0.0)
        s = self._module
        for server in self._shown_servers():
            began = self._proven[server.id] if server.started is None else server.started
            warm = min(1.0, (now - began) / (s.cold_time or 1.0))
            found[s.roles[server.kind]] += s.cold_from + (1.0 - s.cold_from) * warm
        return found

    def _shown_to_do(self, able: dict[Role, float]) -> float:
        """Turns a second that this router's part of the warm servers has been shown to do; where nothing is
        known from before, a turn now and then for each."""
        if self._usual is None:
            return FIRST_TURNS * sum(able.values()) / self._module.instances
        return self._usual.turns * min(1.0, self._part(able, self._usual.servers))

    @staticmethod
    def _part(able: dict[Role, float], before: dict[Role, int]) -> float:
        """What is warm over what there was before, at the scarcer stage."""

        def both(of: Mapping[Role, float], role: Role) -> float:
            return of.get(role, 0.0) + of.get(Role.MIXED, 0.0)

        return min(both(able, role) / max(1.0, both(before, role)) for role in (Role.READER, Role.WRITER))

    # ---- what it asks of the module ----

    def admits(self, turn: Turn, top: frozenset[int], now: float) -> bool:
        phase = self.phase_state.phase
        if phase is Phase.FULL:
            return True
        if not self._text_stands and turn.kind.refusal_loss is RefusalLoss.OPEN_SESSION:
            turn = replace(turn, kind=turn.kind._replace(refusal_loss=RefusalLoss.NEW_SESSION))
        if phase is Phase.NOTHING:
            return rank(turn.kind, top) is Rank.BACK
        return self.ramp.admits(turn, top, now)

    @property
    def _text_stands(self) -> bool:
        """Whether what was kept before this start can be there still."""
        return self.scope_estimate.scope is Scope.ALONE

    def warm_rates(self) -> list[i.Event]:
        """What the module is to know of before, once; its budgets for cold workers go by warm ones."""
        if self._rates_told or self._usual is None:
            return []
        self._rates_told = True
        return [i.WarmRates(tuple(self._usual.rates.items()))]

    def service_level(self, now: float) -> i.ServiceLevel:
        """What the module goes by while service returns."""
        least, most = self.ramp.retry_after(now)
        return i.ServiceLevel(LEVEL, (round(least, 1), round(most, 1)), False)

    # ---- operators ----

    def report(self, now: float) -> dict[str, Any]:
        past = self._past
        by_source: dict[str, int] = {}
        for number in self.ledger.about(FactKind.LISTED):
            if (fact := self.ledger.best(FactKind.LISTED, number, now)) is not None:
                by_source[fact.source.value] = by_source.get(fact.source.value, 0) + 1
        return {
            "phase": self.phase_state.phase.label,
            "since_s": round(now - self.phase_state.since, 1),
            "waits_for": WAITS_FOR[self.phase_state.phase],
            "judged": str(self.scope_estimate),
            "snapshot_age_s": round(now - past.wrote, 1) if past is not None else None,
            "workers_by_source": by_source,
            "alive": {role.value: count for role, count in self.workers_alive().items()},
            "warm": round(self._warm, 3),
            "routers": len(self._routers) + 1,
            "admits": self.ramp.figures(now),
        }
