"""The recovery of one router: estimates what a restart affected, tracks the phase, and admits turns.

It observes the events of the decision module and acts on the module through the governor of the levels of
service, which calls it. "The register" is the service that lists the workers. All times are seconds on the
caller's clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from hopshed import interface
from hopshed.estimate import Estimate
from hopshed.interface import ListKind, Outcome, Role, ServerState
from hopshed.slow_start import WORK_RATE_TIME_CONSTANT_S

from ..levels.estimators import DecayingRatio
from ..levels.turns import RefusalLoss, Turn
from .peer_messages import PeerMessage, WorkerStatus, choose_workers
from .phases import MIN_WARM_SHARE, NEXT_PHASE_CONDITIONS, Phase, PhaseEvidence, PhaseState
from .ramp import LATE_TIME_CONSTANT_S, Ramp, Rank, rank
from .restart_scope import RestartEvidence, Scope, ScopeEstimate, estimate_scope
from .settings import RecoverySettings
from .trust import MIN_RUNNING_BELIEF, Fact, FactKind, FactStore, Source

MIN_LATENESS_TURNS = 2.0  # the late share is taken of at least so many, since few turns are no evidence
DEFAULT_SERVER_TURNS_PER_S = 0.5  # of a usable server for all routers, where no earlier rate is known
ROUTER_LIVENESS_S = 5.0  # after its last message, for which a router counts as serving
UNREACHABLE_REPORT_S = 5.0  # for which other routers are told that a worker was unreachable
OMITTED_RETENTION_S = 30.0  # for which workers are kept that the list of a restarted register omits
LEVEL_NAME = "recovering"  # the level of service that the module is told while service returns
# Outcomes of an attempt by which its worker is known to run, or not to answer
ALIVE_OUTCOMES = frozenset({Outcome.OK, Outcome.READ, Outcome.FULL, Outcome.FAILED})
UNREACHABLE_OUTCOMES = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT})
WorkerCounts = dict[Role, int]  # number of workers by role


@dataclass(frozen=True, slots=True)
class PreviousRun:
    """The process that wrote this router's snapshot; times are on the present process's clock."""

    written_at: float  # s; negative infinity if the age of the snapshot is unknown
    same_boot: bool | None  # whether the machine has not been rebooted since; None = unknown
    clock_went_back: bool  # the wall clock shows an earlier time than the snapshot
    generation: int  # of the register's list
    servers: tuple[interface.Server, ...]


@dataclass(frozen=True, slots=True)
class UsualTraffic:
    """The traffic of this router in full service, before the restart."""

    turns_per_s: float  # sent to servers
    servers: dict[Role, int]  # number of servers by role
    rates: dict[Role, float]  # sends of mean work per second to one server of the role


def usual_traffic(
    turns_per_s: float, servers: Mapping[Role, list[int]], sent: Mapping[int, Estimate], now: float
) -> UsualTraffic:
    """Summarizes the traffic; `sent` = the module's rates of the work sent to each server."""
    rates = {}
    for role, numbers in servers.items():
        known = [sent[n].decayed(now, WORK_RATE_TIME_CONSTANT_S) for n in numbers if n in sent]
        if known:
            rates[role] = sum(known) / len(known)
    return UsualTraffic(turns_per_s, {role: len(numbers) for role, numbers in servers.items()}, rates)


class Recovery:
    """The recovery of one router: merges lists of workers, tracks which of them run, and limits admission."""

    def __init__(
        self,
        settings: RecoverySettings,
        module: interface.Settings,
        now: float,
        random: Random,
        log: Callable[[str, str], None] = lambda event, detail: None,
    ) -> None:
        """`module` = settings of the decision module; `log` writes a log line of an event and its details."""
        self.settings, self._module_settings, self.log, self._random = settings, module, log, random
        self.facts = FactStore()
        self.scope_estimate = ScopeEstimate(Scope.UNKNOWN, ())
        self.phase_state = PhaseState(Phase.NOTHING_KNOWN, now)
        self.ramp = Ramp(settings, [tenant.share for tenant in module.tenants], now)
        self.started_at = now
        self._previous_run: PreviousRun | None = None
        self._servers: dict[int, interface.Server] = {}
        # Start times from the register, of the workers that the snapshot names too
        self._start_times: dict[int, float | None] = {}
        self._generation = 0
        self._generation_went_back = self._register_heard = False
        # Worker that the list of a restarted register omits -> time until which it is kept
        self._omitted_until: dict[int, float] = {}
        self._routers: dict[int, tuple[float, float]] = {}  # other router -> start time, last message
        # Worker confirmed to run -> start of its slow start, used where the list has no start time; negative
        # infinity = already warm
        self._confirmed: dict[int, float] = {}
        # Workers whose start after the snapshot the register has reported, until the list event arrives
        self._restart_reported: set[int] = set()
        self._usual_traffic: UsualTraffic | None = None
        self._rates_sent = True
        self._unreachable_at: dict[int, float] = {}  # worker -> time of the last attempt without a response
        self._warm_share = 0.0
        self._mean_worth = 1.0
        # Other routers are told only of turns of this one, so that reports are not passed on in circles.
        self._own_lateness = DecayingRatio(LATE_TIME_CONSTANT_S, 0.0)

    @property
    def active(self) -> bool:
        """Whether service is still returning: full service has not been reached."""
        return self.phase_state.phase is not Phase.FULL

    # ---- lists of workers ----

    def load_previous_run(self, previous_run: PreviousRun) -> None:
        """Uses the data of this router's snapshot; to be called before the first list."""
        self._previous_run, self._generation = previous_run, previous_run.generation
        for server in previous_run.servers:
            self._record_server(server, Source.SNAPSHOT, previous_run.written_at)

    def initial_servers(
        self, known: tuple[interface.Server, ...], now: float
    ) -> tuple[interface.Server, ...]:
        """The workers to use until the register answers: those of the configuration and of the snapshot."""
        for server in known:
            self._record_server(server, Source.CONFIGURATION, now)
        facts = (
            self.facts.best(FactKind.LISTED, n, now) for n in sorted(self.facts.subjects(FactKind.LISTED))
        )
        return tuple(
            self._with_drain(fact.value, True)
            for fact in facts
            if fact and isinstance(fact.value, interface.Server)
        )

    def _record_server(self, server: interface.Server, source: Source, as_of: float) -> None:
        record, n = self.facts.record, server.id
        record(Fact(FactKind.LISTED, n, server, source, as_of))
        record(Fact(FactKind.START_TIME, n, server.started, source, as_of))
        if server.state is ServerState.DRAINING:
            record(Fact(FactKind.DRAIN, n, server.started, source, as_of))
        elif server.state is ServerState.RUNNING:
            record(Fact(FactKind.RUNNING, n, True, source, as_of))

    def merge_list(
        self, kind: ListKind, servers: tuple[interface.Server, ...], generation: int, now: float
    ) -> tuple[interface.Server, ...]:
        """The list that the module is given in place of the register's.

        A register that restarted begins with a lower generation and an incomplete list. Workers that it omits
        are kept for a while, and a list from before a drain order does not end the drain.
        """
        full = kind is ListKind.FULL
        went_back = full and generation < self._generation
        self._register_heard = True
        self._generation = generation if full else max(generation, self._generation)
        if went_back:
            self._generation_went_back = True
            self.log("register began anew", f"generation {generation}; omitted workers are kept for now")
        known_before = dict(self._servers)
        if self._previous_run is not None:
            known_before = {server.id: server for server in self._previous_run.servers} | known_before
        listed, ids = (
            tuple(self._with_drain(server, went_back) for server in servers),
            {server.id for server in servers},
        )
        kept: tuple[interface.Server, ...] = ()
        if went_back:
            omitted = known_before.keys() - ids
            self._omitted_until = {
                n: now + OMITTED_RETENTION_S for n in omitted if known_before[n].state is not ServerState.GONE
            }
        self._omitted_until = {n: until for n, until in self._omitted_until.items() if n not in ids}
        if full:
            kept = tuple(known_before[n] for n in self._omitted_until)
        if full and self._previous_run is not None:
            # From the register only: the list of the configuration or of the snapshot holds earlier starts.
            previous = {server.id for server in self._previous_run.servers}
            self._start_times = {server.id: server.started for server in listed if server.id in previous}
        for server in listed:
            if server.id in self._start_times:
                self._start_times[server.id] = server.started
            self._record_server(server, Source.REGISTER, now)
            if server.state is ServerState.GONE:
                self.facts.forget(server.id)
            elif self._started_since_snapshot(server):  # registered since the loss
                self._restart_reported.add(server.id)
        return listed + kept

    def _started_since_snapshot(self, server: interface.Server) -> bool:
        """Whether the worker's process started after this router's snapshot was written."""
        return (
            self._previous_run is not None
            and server.started is not None
            and server.started > self._previous_run.written_at
        )

    def _with_drain(self, server: interface.Server, went_back: bool) -> interface.Server:
        """The server, draining if an order to drain is still in force.

        A later list of the register or a new process of the worker ends the order; an older list does not.
        """
        order = self.facts.best(FactKind.DRAIN, server.id, self.started_at)
        if order is None or server.state is not ServerState.RUNNING:
            return server
        restarted = server.started is not None and server.started != order.value
        list_is_older = order.source is Source.SNAPSHOT and self._generation_went_back
        if restarted or not (went_back or list_is_older):
            self.facts.remove(FactKind.DRAIN, server.id)
            return server
        return server._replace(state=ServerState.DRAINING)

    @property
    def draining_workers(self) -> frozenset[int]:
        """Workers that are told to drain."""
        return frozenset(n for n, server in self._servers.items() if server.state is ServerState.DRAINING)

    def expire_omitted(self, now: float) -> tuple[interface.Server, ...]:
        """The workers, now gone, that a restarted register omitted and whose retention has ended."""
        expired = [n for n, until in self._omitted_until.items() if now >= until]
        for n in expired:
            del self._omitted_until[n]
        known = (self._servers[n] for n in expired if n in self._servers)
        return tuple(server._replace(state=ServerState.GONE) for server in known)

    # ---- events and messages ----

    def observe(self, event: interface.Event, now: float) -> None:
        """Takes an event of the decision module into account."""
        if isinstance(event, interface.ServersListed):
            self._servers_listed(event)
        elif isinstance(event, interface.StreamStarted):
            self._worker_answered(event.server, now)
        elif isinstance(event, interface.AttemptEnded):
            if event.outcome in ALIVE_OUTCOMES:
                self._worker_answered(event.server, now)
            elif event.outcome in UNREACHABLE_OUTCOMES:
                self._worker_unreachable(event.server, now)

    def _worker_answered(self, server: int, now: float) -> None:
        self.facts.record(Fact(FactKind.RUNNING, server, True, Source.ANSWERS, now))
        self._unreachable_at.pop(server, None)
        self._confirm(server, now)

    def _confirm(self, number: int, now: float) -> None:
        """A router had an answer: the worker counts as running until it restarts or becomes unreachable."""
        if (server := self._servers.get(number)) is not None and number not in self._confirmed:
            self._confirmed[number] = (
                now if server.started is None and not self._caches_survived else -math.inf
            )

    def _worker_unreachable(self, server: int, now: float) -> None:
        """An attempt had no response; this is ignored if a router had a recent answer of the worker."""
        if self.facts.belief(
            FactKind.RUNNING, server, now
        ) <= MIN_RUNNING_BELIEF / 2 or not self._seen_running(server, now):
            self.facts.remove(FactKind.RUNNING, server)
            self._confirmed.pop(server, None)
            self._unreachable_at[server] = now
        if server in self._omitted_until:
            self._omitted_until[server] = now

    def _servers_listed(self, event: interface.ServersListed) -> None:
        if event.kind is ListKind.FAILED:
            return
        listed = {server.id: server for server in event.servers}
        if event.kind is not ListKind.CHANGES:
            self._servers = {n: server for n, server in self._servers.items() if n in listed}
        for number, server in listed.items():
            old = self._servers.get(number)
            if server.state is not ServerState.RUNNING or (old and old.started != server.started):
                self._confirmed.pop(number, None)
        self._servers |= listed
        for number in self._restart_reported & listed.keys():
            self._confirmed.setdefault(number, -math.inf)
        self._restart_reported -= listed.keys()

    def turn_ended(self, turn: Turn, late: bool, sent: bool, top_class: bool, now: float) -> None:
        """The first token of a turn's answer was sent, late or not, or the turn ended without any.

        A turn that was never sent says nothing about the load, unless it is of the top class: then turns of
        other classes took its place.
        """
        if sent or top_class:
            self.ramp.lateness.add(turn.worth, late, now)
            self._own_lateness.add(turn.worth, late, now)

    def message_received(self, sender: int, message: PeerMessage, now: float) -> None:
        """Takes a message of another router into account."""
        self._routers[sender] = (now - message.uptime, now)
        count = sum(now - heard < ROUTER_LIVENESS_S for _, heard in self._routers.values()) + 1
        self.facts.record(Fact(FactKind.ROUTER_COUNT, 0, count, Source.PEERS, now))
        self.ramp.lateness.add(message.sampled_turns * self._mean_worth * message.late_share, True, now)
        self.ramp.lateness.add(
            message.sampled_turns * self._mean_worth * (1.0 - message.late_share), False, now
        )
        for status in message.workers:
            as_of = now - status.age
            if status.running and status.server in self._servers:
                self.facts.record(Fact(FactKind.RUNNING, status.server, True, Source.PEERS, as_of))
                self._confirm(status.server, now)

    def message(self, asks: bool, now: float) -> PeerMessage:
        """The message to other routers on this one and the workers that it tried lately."""
        running = (self.facts.best(FactKind.RUNNING, n, now) for n in self.facts.subjects(FactKind.RUNNING))
        statuses = [
            WorkerStatus(fact.subject, True, now - fact.as_of)
            for fact in running
            if fact and fact.source is Source.ANSWERS
        ]
        statuses += [
            WorkerStatus(n, False, now - at)
            for n, at in self._unreachable_at.items()
            if now - at < UNREACHABLE_REPORT_S
        ]
        late_share, worth = (
            self._own_lateness.at(now),
            self._own_lateness.all.decayed(now, LATE_TIME_CONSTANT_S),
        )
        workers, turns = choose_workers(statuses, self._random), worth / max(self._mean_worth, 1e-9)
        return PeerMessage(asks, self.phase_state.phase, now - self.started_at, workers, late_share, turns)

    def _seen_running(self, server: int, now: float) -> bool:
        """Whether the best evidence that the worker runs is an answer to this or another router."""
        fact = self.facts.best(FactKind.RUNNING, server, now)
        return fact is not None and fact.source in (Source.ANSWERS, Source.PEERS)

    # ---- evaluation ----

    def set_usual_traffic(self, usual: UsualTraffic) -> None:
        """Sets the traffic before the restart, from this router's snapshot."""
        self._usual_traffic, self._rates_sent = usual, False

    def update(self, now: float, usage: dict[Role, interface.RoleUsage], mean_worth: float) -> None:
        """Updates scope, phase and rate; to be called periodically. `mean_worth` = mean worth of a turn."""
        self._update_scope(now)
        self._mean_worth = mean_worth
        self.ramp.lateness.min_total = MIN_LATENESS_TURNS * mean_worth
        evidence = self._phase_evidence(now, usage)
        before, self.phase_state = (
            self.phase_state,
            self.phase_state.step(evidence, now, self.settings.calm),
        )
        if self.phase_state.phase is not before.phase:
            why = (
                f"after {now - before.since:.1f} s, "
                f"{round(100 * evidence.warm_share)}% of the known capacity is warm"
            )
            self.log("recovery phase", f"{before.phase.label} to {self.phase_state.phase.label}: {why}")
        proven = self._proven_turn_rate(self._warm_capacity(now))
        self.ramp.update(now, proven, self.phase_state.phase >= Phase.TRICKLE)

    def _update_scope(self, now: float) -> None:
        previous_run = self._previous_run
        if previous_run is None or not (self._start_times or self._routers):
            return
        up_since = [up for up, heard in self._routers.values()]
        evidence = RestartEvidence(
            previous_run.written_at,
            previous_run.same_boot,
            previous_run.clock_went_back,
            self._start_times,
            self._generation_went_back,
            sum(up <= previous_run.written_at for up in up_since),
            sum(up > previous_run.written_at for up in up_since),
        )
        estimate = estimate_scope(evidence)
        changed = estimate.scope is not self.scope_estimate.scope or not self.scope_estimate.reasons
        self.scope_estimate = estimate
        if changed:
            self.log("restart judged", str(estimate))

    def _phase_evidence(self, now: float, usage: dict[Role, interface.RoleUsage]) -> PhaseEvidence:
        mixed = usage[Role.MIXED]
        stages = [
            (usage[role].usable + mixed.usable, usage[role].listed + mixed.listed)
            for role in (Role.READER, Role.WRITER)
        ]
        self._warm_share = min(usable / listed if listed else 0.0 for usable, listed in stages)
        alive = self.workers_alive()
        confirmed = bool(alive[Role.MIXED] or (alive[Role.READER] and alive[Role.WRITER]))
        return PhaseEvidence(
            path_listed=all(listed for _, listed in stages),
            path_confirmed=confirmed,
            late=self.ramp.lateness.at(now) >= self.settings.late,
            all_admitted=self.ramp.all_admitted(now),
            warm_share=self._warm_share,
            only_this_router=self.scope_estimate.scope is Scope.THIS_ROUTER or self._joins_warm_fleet(now),
        )

    def _joins_warm_fleet(self, now: float) -> bool:
        """Whether there is no snapshot, and the register lists workers that have been running for long."""
        if self._previous_run is not None or not self._register_heard:
            return False
        start_times = [
            server.started for server in self._servers.values() if server.state is ServerState.RUNNING
        ]
        cold = sum(at is not None and now - at < self._module_settings.cold_time for at in start_times)
        return cold <= (1.0 - MIN_WARM_SHARE) * len(start_times)

    def workers_alive(self) -> WorkerCounts:
        """The number of workers of each role that are confirmed to run, by this router or another one."""
        counts = dict.fromkeys(Role, 0)
        for server in self._confirmed_servers():
            counts[self._module_settings.roles[server.kind]] += 1
        return counts

    def _confirmed_servers(self) -> list[interface.Server]:
        known = (self._servers[n] for n in self._confirmed if n in self._servers)
        return [server for server in known if server.state is ServerState.RUNNING]

    def _warm_capacity(self, now: float) -> dict[Role, float]:
        """A lower bound of the warm capacity of the confirmed workers by role; a warm worker counts as 1."""
        capacity = dict.fromkeys(Role, 0.0)
        settings = self._module_settings
        for server in self._confirmed_servers():
            started = self._confirmed[server.id] if server.started is None else server.started
            progress = min(1.0, (now - started) / (settings.cold_time or 1.0))
            capacity[settings.roles[server.kind]] += (
                settings.cold_from + (1.0 - settings.cold_from) * progress
            )
        return capacity

    def _proven_turn_rate(self, capacity: dict[Role, float]) -> float:
        """Turns per second that this router's part of the warm capacity served before the restart.

        Without data from before, a low default for each worker.
        """
        if self._usual_traffic is None:
            return DEFAULT_SERVER_TURNS_PER_S * sum(capacity.values()) / self._module_settings.instances
        return self._usual_traffic.turns_per_s * min(
            1.0, self._capacity_share(capacity, self._usual_traffic.servers)
        )

    @staticmethod
    def _capacity_share(capacity: dict[Role, float], before: dict[Role, int]) -> float:
        """The warm capacity relative to the number of workers before, at the scarcer of the two stages."""

        def with_mixed(counts: Mapping[Role, float], role: Role) -> float:
            return counts.get(role, 0.0) + counts.get(Role.MIXED, 0.0)

        return min(
            with_mixed(capacity, role) / max(1.0, with_mixed(before, role))
            for role in (Role.READER, Role.WRITER)
        )

    # ---- effects on the module ----

    def admits(self, turn: Turn, top_classes: frozenset[int], now: float) -> bool:
        """Whether an arriving turn is admitted; `top_classes` = classes of the highest worth per work."""
        phase = self.phase_state.phase
        if phase is Phase.FULL:
            return True
        if not self._caches_survived and turn.kind.refusal_loss is RefusalLoss.OPEN_SESSION:
            turn = replace(turn, kind=turn.kind._replace(refusal_loss=RefusalLoss.NEW_SESSION))
        if phase is Phase.NOTHING_KNOWN:
            return rank(turn.kind, top_classes) is Rank.RESUMED_STREAM
        return self.ramp.admits(turn, top_classes, now)

    @property
    def _caches_survived(self) -> bool:
        """Whether workers can still hold the text that was cached before this process started."""
        return self.scope_estimate.scope is Scope.THIS_ROUTER

    def warm_rates(self) -> list[interface.Event]:
        """The event with the earlier rates of warm servers, once; the module limits cold servers by them."""
        if self._rates_sent or self._usual_traffic is None:
            return []
        self._rates_sent = True
        return [interface.WarmRates(tuple(self._usual_traffic.rates.items()))]

    def service_level(self, now: float) -> interface.ServiceLevel:
        """The level of service that the module is told while service returns."""
        shortest, longest = self.ramp.retry_after(now)
        return interface.ServiceLevel(LEVEL_NAME, (round(shortest, 1), round(longest, 1)), False)

    # ---- operators ----

    def report(self, now: float) -> dict[str, Any]:
        """The state of the recovery for operators."""
        previous_run = self._previous_run
        by_source: dict[str, int] = {}
        for number in self.facts.subjects(FactKind.LISTED):
            if (fact := self.facts.best(FactKind.LISTED, number, now)) is not None:
                by_source[fact.source.value] = by_source.get(fact.source.value, 0) + 1
        return {
            "phase": self.phase_state.phase.label,
            "since_s": round(now - self.phase_state.since, 1),
            "waits_for": NEXT_PHASE_CONDITIONS[self.phase_state.phase],
            "judged": str(self.scope_estimate),
            "snapshot_age_s": round(now - previous_run.written_at, 1) if previous_run is not None else None,
            "workers_by_source": by_source,
            "alive": {role.value: count for role, count in self.workers_alive().items()},
            "warm": round(self._warm_share, 3),
            "routers": len(self._routers) + 1,
            "admits": self.ramp.report(now),
        }
