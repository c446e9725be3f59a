"""A power loss of the whole fleet on virtual time: routers, workers and register at once, under load.

Zones return cold and 2 to 20 seconds apart, some workers never, and the register after the first zone; all
clients send requests again within the same seconds. Runs with the recovery and without it are compared.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from hopshed import interface
from hopshed.interface import ListKind, Role
from yewhook.recovery.peer_messages import MessageSchedule, pack, unpack
from yewhook.recovery.recovery import PreviousRun, UsualTraffic, usual_traffic
from yewhook.recovery.settings import RecoverySettings

from .host import HostedRouter
from .levels import ON, process_pool
from .mass import CLIENTS_START_S, FAULTS_START_S, TURNS_PER_WORKER_PER_S, ZONE_COUNT, FleetRun
from .workload import Tally

POWER_OFF_S = (4.0, 8.0)  # from the loss to the first zone's return
ZONE_RETURN_SPREAD_S = (2.0, 20.0)  # from the first zone's return to those of the others
LOST_SHARE = 0.33  # of the workers, which never return
REGISTER_RETURN_S = (1.0, 6.0)  # from the first zone's return until the register answers
LOST_NOTICED_AFTER_S = 5.0  # from the complete return until the register removes lost workers
SURGE_FACTOR = 6.0  # on the usual turns per second, which are half the capacity of a warm fleet
SURGE_FOR_S = 10.0
OBSERVED_AFTER_S = 20.0  # after the complete return
HALF_SHARE = 0.5  # of the worth asked for in a window
FULL_SHARE = 0.9
WINDOW_S = 3.0
SNAPSHOT_AGE_S = 1.0  # at the loss
GENERATION = 1  # of the register's list before the loss; the next one follows after it
MIN_GAIN = 0.05  # in the top class's share of worth answered in time
COMPARED_FIGURES = ("worth", "top_class", "other_class", "half_s", "full_s", "broken")
LOST_MESSAGE_SHARE = 0.3  # of the recovery's messages between routers
MESSAGE_DELAY_S = (0.002, 0.4)  # of these messages, so that they arrive in any order


@dataclass(frozen=True, slots=True)
class ReturnTimes:
    """When the zones and the register return, in seconds after the loss."""

    zones: tuple[float, ...]
    register: float

    @property
    def first(self) -> float:
        """When the first zone returns."""
        return min(self.zones)

    @property
    def complete(self) -> float:
        """When all zones and the register have returned."""
        return max(*self.zones, self.register)


def draw_return_times(random: Random) -> ReturnTimes:
    """Draw the times at which the zones, in random order, and the register return."""
    first = random.uniform(*POWER_OFF_S)
    later = [0.0, *(random.uniform(*ZONE_RETURN_SPREAD_S) for _ in range(ZONE_COUNT - 1))]
    random.shuffle(later)
    return ReturnTimes(tuple(first + delay for delay in later), first + random.uniform(*REGISTER_RETURN_S))


@dataclass(slots=True)
class PowerLossRun(FleetRun):
    """A fleet that loses its power; a router's zone is its number modulo ZONE_COUNT."""

    lost_at: float = field(init=False)
    return_times: ReturnTimes = field(init=False)
    messages_sent: int = 0
    known_servers: tuple[interface.Server, ...] = ()  # as routers know it from before the loss
    register_back: bool = True
    schedules: dict[int, MessageSchedule] = field(default_factory=dict)
    usual_by_router: dict[int, UsualTraffic] = field(default_factory=dict)  # as in routers' snapshots

    def __post_init__(self) -> None:
        self.return_times = draw_return_times(Random(f"power {self.seed}"))
        self.lost_at = self.sim.now + FAULTS_START_S
        FleetRun.__post_init__(self)
        self._schedule_loss()

    @property
    def arrivals_last_s(self) -> float:
        """For how long turns arrive, in seconds."""
        return FAULTS_START_S + self.return_times.complete + OBSERVED_AFTER_S - CLIENTS_START_S

    def rate(self, now: float) -> float:
        """Turns per second at a time: none until the first zone returns, and then a surge."""
        back = self.lost_at + self.return_times.first
        if self.lost_at <= now < back:
            return 0.0
        usual = self.turns_per_worker * self.workers
        return usual * SURGE_FACTOR if back <= now < back + SURGE_FOR_S else usual

    def phase(self, now: float) -> str:
        """The name of the tally for turns at a time: seconds from the first zone's return, rounded."""
        return f"{now - self.lost_at - self.return_times.first:.0f}"

    def _schedule_loss(self) -> None:
        sim, fleet = self.sim, self.fleet
        sim.at(self.lost_at, self._cut_power)
        for number in range(self.routers):
            at = self.lost_at + self.return_times.zones[number % ZONE_COUNT] + self.random.uniform(0.3, 1.0)
            sim.at(at, partial(self._return_router, number))
        lost = set(self.sample_workers(LOST_SHARE))
        for number, machine in fleet.machines.items():
            at = self.lost_at + self.return_times.zones[machine.info.zone] + self.random.uniform(0.5, 2.0)
            if number not in lost:
                sim.at(at, partial(fleet.restart, number))
        sim.at(self.lost_at + self.return_times.register, self._return_register)
        for number in sorted(lost):
            sim.at(
                self.lost_at + self.return_times.complete + LOST_NOTICED_AFTER_S, partial(fleet.stop, number)
            )

    def _cut_power(self) -> None:
        """Cut the power of all workers, routers and the register at once."""
        for number in list(self.fleet.machines):
            self.fleet.cut_power(number)
        for number, hosted in enumerate(self.hosted):
            self.usual_by_router[number] = self._usual_traffic(hosted)
            self.kill(number, None)
        self.known_servers = tuple(machine.info for machine in self.fleet.machines.values())
        self.register_back = False

    def _usual_traffic(self, hosted: HostedRouter) -> UsualTraffic:
        """The usual traffic before the loss, as in the router's snapshot."""
        assert hosted.governor is not None
        infos = [machine.info for machine in self.fleet.machines.values()]
        by_role = {
            role: [info.id for info in infos if self.rules.settings.roles[info.kind] is role] for role in Role
        }
        return usual_traffic(
            hosted.governor.turn_rate(self.sim.now),
            by_role,
            hosted.router.export_learned_state().work,
            self.sim.now,
        )

    def _return_router(self, number: int) -> None:
        hosted = self._start_router(number, register_answers=self.register_back)
        self.hosted[number] = hosted
        self.down.discard(number)
        if not self.register_back:
            hosted.router.servers_listed(ListKind.SAVED, self.known_servers)
        self._start_messages(number, hosted)

    def _start_router(self, number: int, register_answers: bool = True) -> HostedRouter:
        hosted = FleetRun._start_router(self, number, register_answers=False)
        if (
            hosted.governor is not None
            and hosted.governor.recovery is not None
            and number in self.usual_by_router
        ):
            recovery, written_at = hosted.governor.recovery, self.lost_at - SNAPSHOT_AGE_S
            recovery.load_previous_run(PreviousRun(written_at, False, False, GENERATION, self.known_servers))
            recovery.set_usual_traffic(self.usual_by_router[number])
        if register_answers:
            self.subscribe(number, hosted)
        return hosted

    def subscribe(self, number: int, hosted: HostedRouter) -> None:
        """Pass a router the list of workers, merged by its recovery, now and each change from then on."""
        recovery = hosted.governor.recovery if hosted.governor is not None else None

        def listed(kind: ListKind, servers: tuple[interface.Server, ...]) -> None:
            if recovery is not None:
                servers = recovery.merge_list(kind, servers, GENERATION + 1, self.sim.now)
            hosted.router.servers_listed(kind, servers)

        self.fleet.subscribe(number, listed, self.lags[number])

    def _return_register(self) -> None:
        self.register_back = True
        for number, hosted in enumerate(self.hosted):
            if number not in self.down:
                self.subscribe(number, hosted)

    # ---- the recovery's messages between routers ----

    def _start_messages(self, number: int, hosted: HostedRouter) -> None:
        """Send a router's messages from its start on, for as long as its process runs."""
        governor = hosted.governor
        if governor is None or governor.recovery is None:
            return
        recovery, random = governor.recovery, Random(f"words {self.seed} {number} {self.sim.now}")
        schedule = MessageSchedule(self.routers, random, self.sim.now)
        self.schedules[number] = schedule

        def send_if_due() -> None:
            if self.hosted[number] is not hosted or number in self.down:
                return
            asks = schedule.due(self.sim.now, recovery.active)
            if asks is not None:
                self._send_message(number, pack(recovery.message(asks, self.sim.now)), random)
            self.sim.after(0.1, send_if_due)

        self.sim.after(0.1, send_if_due)

    def _send_message(self, sender: int, data: bytes, random: Random) -> None:
        self.messages_sent += 1
        for number in range(self.routers):
            if number != sender and random.random() >= LOST_MESSAGE_SHARE:
                self.sim.after(
                    random.uniform(*MESSAGE_DELAY_S), partial(self._receive_message, number, sender, data)
                )

    def _receive_message(self, number: int, sender: int, data: bytes) -> None:
        governor = self.hosted[number].governor
        if number in self.down or governor is None or governor.recovery is None:
            return
        message = unpack(data)
        governor.recovery.message_received(sender, message, self.sim.now)
        if message.asks and number in self.schedules:
            self.schedules[number].asked(self.sim.now)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one run, from the first zone's return on."""

    figures: dict[str, Any]
    broken: tuple[str, ...]  # rules
    faults: tuple[str, ...]  # that routers logged
    recovery_lines: tuple[str, ...]  # that the router started last logged
    answered: tuple[tuple[float, float], ...]  # seconds from that return, worth / worth asked for


def _seconds_until_warm(run: PowerLossRun, share: float) -> float | None:
    """Seconds from the first zone's return until this share of the returning capacity is warm.

    This is the time at which the scarcer of readers and writers reaches the share; routers cannot serve more
    before. None = it is never reached.
    """
    back = run.lost_at + run.return_times.first
    settings = run.rules.settings
    starts = [
        (machine.server.engine.role, machine.server.started)
        for machine in run.fleet.machines.values()
        if not machine.powered_off
    ]

    def warm_share(role: Role, at: float) -> float:
        ages = [at - start for server_role, start in starts if server_role in (role, Role.MIXED)]
        warm = [min(1.0, age / settings.cold_time) for age in ages if age >= 0]
        return sum(settings.cold_from + (1.0 - settings.cold_from) * level for level in warm) / len(ages)

    seconds = range(round(run.return_times.complete - run.return_times.first + OBSERVED_AFTER_S))
    roles = (Role.READER, Role.WRITER)
    reached = (s for s in seconds if min(warm_share(role, back + s) for role in roles) >= share)
    return next((float(s) for s in reached), None)


def _seconds_until_served(tallies: dict[int, Tally], share: float, last: int) -> float | None:
    """Seconds until this share of the worth asked for is answered, in a window and in the next one too."""

    def answered_share(start: int) -> float:
        window = Tally.for_class_count(2)
        for second in range(start, start + round(WINDOW_S)):
            if second in tallies:
                window.add(tallies[second])
        return window.worth

    found = (
        s for s in range(last) if answered_share(s) >= share and answered_share(s + round(WINDOW_S)) >= share
    )
    return next((float(s) for s in found), None)


def play(
    seed: int, routers: int, workers: int, turns: float = TURNS_PER_WORKER_PER_S, with_recovery: bool = True
) -> Outcome:
    """Run one power loss, with the recovery or without it; the same arguments give the same result.

    `turns` is turns per second for each worker.
    """
    recovery = RecoverySettings() if with_recovery else None
    run = PowerLossRun(seed, routers, workers, turns, levels=ON, recovery=recovery)
    run.sim.run(run.lost_at + run.return_times.complete + OBSERVED_AFTER_S + 16.0)
    seconds = {int(name): tally for name, tally in run.clients.tallies.items()}
    after = Tally.for_settings(run.rules.settings)
    for second, tally in seconds.items():
        if second >= 0:
            after.add(tally)
    top = max(range(len(run.rules.settings.classes)), key=lambda n: run.rules.settings.classes[n].worth)
    last = round(run.return_times.complete - run.return_times.first + OBSERVED_AFTER_S)
    figures = {
        "turns": after.turns, "worth": round(after.worth, 4), "top_class": round(after.in_time_share(top), 4),
        "other_class": round(min(after.in_time_share(n) for n in range(2) if n != top), 4),
        "warm_half_s": _seconds_until_warm(run, HALF_SHARE),
        "warm_full_s": _seconds_until_warm(run, FULL_SHARE),
        "refused": after.refused, "half_s": _seconds_until_served(seconds, HALF_SHARE, last),
        "full_s": _seconds_until_served(seconds, FULL_SHARE, last),
        "broken": len(run.rules.broken), "words": run.messages_sent,
        "cold_pushed_over": sum("pushed over" in what for what in run.rules.broken),
    }  # fmt: skip
    faults = tuple(fault for log in run.logs for fault in log.faults)
    answered = tuple((float(s), seconds[s].worth) for s in sorted(seconds) if 0 <= s < last)
    return Outcome(figures, tuple(run.rules.broken), faults, tuple(run.logs[-1].recovery_lines), answered)


@dataclass(frozen=True, slots=True)
class Comparison:
    """The results of the same power loss with the recovery and without it."""

    ours: Outcome  # with the recovery
    theirs: Outcome

    @property
    def holds(self) -> bool:
        """Whether the recovery breaks no rule, logs no fault and improves the service of the top class."""
        gain = self.ours.figures["top_class"] - self.theirs.figures["top_class"]
        return not self.ours.broken and not self.ours.faults and gain >= MIN_GAIN

    def figures(self) -> dict[str, Any]:
        """The figures that `yewhook lab fleet` prints as JSON for the day `power`."""
        without = {f"{name}_without": self.theirs.figures[name] for name in COMPARED_FIGURES}
        return self.ours.figures | without


def compare(seed: int, routers: int, workers: int, turns: float = TURNS_PER_WORKER_PER_S) -> Comparison:
    """Run the same power loss with the recovery and without it, in two processes."""
    with process_pool() as pool:
        outcomes = [pool.submit(play, seed, routers, workers, turns, recovery) for recovery in (True, False)]
        return Comparison(outcomes[0].result(), outcomes[1].result())
