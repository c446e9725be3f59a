"""A loss of power on real processes, with the recovery and without it.

Agent, routers, workers, discovery and links fail at once under load. They come back in an order and with
faults that a seed draws.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from hopshed.interface import Role
from yewhook.operations.handover_encoding import DecodeError, decode_checked
from yewhook.recovery.snapshot import NAME, Snapshot, pack
from yewhook.worker_list import server_id

from .agent import AgentProcess
from .clients import Tally
from .operate import Script, ScriptRunner
from .testbed import UNIX_OFFSET_S, ZONES, ProcessTestBed

ROUTERS = 6
TURNS_PER_S = 18.0  # 60 % of what the workers can serve
ROLES = (Role.READER, Role.WRITER, Role.MIXED, Role.READER, Role.WRITER, Role.READER,
         Role.WRITER, Role.READER, Role.WRITER)  # fmt: skip
START_TIMEOUT_S = 20.0  # for all routers to become healthy at first
LOAD_BEFORE_S = 8.0  # load before the loss
ORDERS_BEFORE_LOSS_S = 2.5  # how long before the loss a router and a worker are drained
OUTAGE_S = 2.0
# Between the returns of two zones; the design allows for up to 20 seconds, here it has to fit a test.
ZONE_INTERVAL_S = (2.0, 7.0)
DISCOVERY_DELAY_S = (0.5, 4.0)  # after the first zone
REMOVAL_DELAY_S = 3.0  # discovery removes missing workers this long after the last return
# When a router is healthy again, clients send a burst of turns within a second, then more than usual.
BURST_TURNS = 60
SURGE_FACTOR = 1.2
SURGE_S = 8.0
MEASURED_AFTER_S = 20.0  # load after the last return
FINISH_WITHIN_S = 14.0  # limit for the requests that are open at the end
SECOND_LOSS_DELAY_S = (3.0, 5.0)  # from the return of the first zone to a second loss of power
MAX_RUN_S = 88.0
# Recovery is measured as the time until these shares of the worth asked for are answered in a window.
HALF_SHARE = 0.5
FULL_SHARE = 0.9
WINDOW_S = 3
# How discovery returns: with its list, with an empty one, or with an old one in which nothing drains.
DISCOVERY_FAULTS = ("register-late", "register-empty", "register-old")
# second-loss: the power fails again during the return.
# cut-snapshot: the next snapshot of each router is written in part.
# stale-snapshot: the snapshot of one router is an hour old.
# clock: discovery's clock is 2 seconds off, and the snapshot of one router is two hours in the future.
# parted: no datagrams pass between two halves of the routers.
# alone: the snapshot of one router has the present boot id.
# new-ids: two workers return under new ids.
# one-class: after the loss, all turns are in the lane with the greatest worth.
OTHER_FAULTS = (
    "second-loss",
    "cut-snapshot",
    "stale-snapshot",
    "clock",
    "parted",
    "alone",
    "new-ids",
    "one-class",
)
# never: some workers do not return. drain: a router and a worker are drained before the loss.
FAULTS_OF_EVERY_SEED = ("never", "drain")
FAULTS = (*FAULTS_OF_EVERY_SEED, *DISCOVERY_FAULTS, *OTHER_FAULTS)
DRAINED_ROUTER = "n5"
DRAINED_WORKER = "w7"
AGENT_SETTINGS = 'state = "state"\nat_a_time = 2\n'
LEVELS_SETTINGS = '[levels]\nmode = "on"\n'
RECOVERY_SETTINGS = """
[recovery]
mode = "on"
folder = "kept-{number}"
boot_id = "boot"
every_s = 0.5
"""


@dataclass(frozen=True, slots=True)
class Plan:
    """The faults and times that a seed draws; times are in seconds after the return of the first zone."""

    faults: frozenset[str]
    zone_delays: tuple[float, ...]
    discovery_delay: float
    second_loss_delay: float
    missing_workers: frozenset[str]
    seed: int
    measured_after: float = MEASURED_AFTER_S

    @property
    def last_return(self) -> float:
        """When the last zone or discovery is back."""
        return max(*self.zone_delays, self.discovery_delay)


def draw(seed: int, asked: tuple[str, ...] = ()) -> Plan:
    """Draw the plan of a seed; `asked` replaces the drawn faults."""
    random = Random(f"power {seed}")
    drawn = {*FAULTS_OF_EVERY_SEED, random.choice(DISCOVERY_FAULTS), *random.sample(OTHER_FAULTS, 2)}
    first, second = 0.0, random.uniform(*ZONE_INTERVAL_S)
    zone_delays = [first, second, second + random.uniform(*ZONE_INTERVAL_S)]
    discovery_delay = random.uniform(*DISCOVERY_DELAY_S)
    second_loss_delay = random.uniform(*SECOND_LOSS_DELAY_S)
    # One worker per zone; no role loses all its workers, and the draining worker stays.
    missing = frozenset({"w0", "w4", "w8"})
    faults = frozenset(asked or drawn)
    return Plan(
        faults,
        tuple(zone_delays),
        discovery_delay,
        second_loss_delay,
        missing if "never" in faults else frozenset(),
        seed,
    )


@dataclass(slots=True)
class PowerLossRun:
    """One run: the test bed, its agent, and the loss of power."""

    plan: Plan
    folder: Path
    with_recovery: bool
    test_bed: ProcessTestBed = field(init=False)
    agent: AgentProcess = field(init=False)
    pids: list[int] = field(default_factory=list)
    failed_orders: list[str] = field(default_factory=list)
    powered_off: set[str] = field(default_factory=set)
    sent_to_drained: int = 0
    power_back_at: float = 0.0  # time of the first zone's return
    tally_after: Tally = field(default_factory=Tally)
    tally_before: Tally = field(init=False)
    drained_asked: int = 0
    boot_count: int = 0

    def __post_init__(self) -> None:
        self._write_boot_id()
        self.test_bed = ProcessTestBed(self.folder, ROUTERS, self.plan.seed, TURNS_PER_S, ROLES, len(ZONES))
        if "parted" in self.plan.faults:
            halves = [(i, j) for i in range(ROUTERS) for j in range(ROUTERS) if i % 2 != j % 2]
            self.test_bed.peer_network.blocked |= set(halves)
        lines = AGENT_SETTINGS if self.with_recovery else ""
        self.agent = AgentProcess(self.test_bed, self.folder, lines, self._settings_file)

    def _settings_file(self, number: int) -> str:
        return LEVELS_SETTINGS + (RECOVERY_SETTINGS.format(number=number) if self.with_recovery else "")

    def _write_boot_id(self) -> None:
        self.boot_count += 1
        (self.folder / "boot").write_text(f"run {self.boot_count}\n")

    # ---- script ----

    def script(self) -> Script:
        """Serve, lose power, return, and wait for the open requests."""
        test_bed, plan = self.test_bed, self.plan
        clients, loop = test_bed.clients, test_bed.loop
        end = loop.now + START_TIMEOUT_S
        yield lambda: all(route.healthy for route in clients.routes) or loop.now > end
        clients.start()
        yield LOAD_BEFORE_S - ORDERS_BEFORE_LOSS_S
        if "drain" in plan.faults:
            yield from self.agent.send_order(
                "drain", DRAINED_ROUTER, "the night shift", self.failed_orders.append
            )
            test_bed.discovery.put(DRAINED_WORKER, lifecycle="draining")
        yield ORDERS_BEFORE_LOSS_S
        yield from self.agent.status(self._note_pids)
        self.tally_before = clients.tally
        entries = {name: dict(entry) for name, entry in test_bed.discovery.entries.items()}
        self._cut_power()
        yield OUTAGE_S
        self._damage_snapshots()
        yield from self._restore_power(entries)
        if "second-loss" in plan.faults:
            yield max(0.0, self.power_back_at + plan.second_loss_delay - loop.now)
            yield from self.agent.status(self._note_pids)
            again = self._cut_power(first=False)
            yield OUTAGE_S / 2
            self._write_boot_id()
            self._restore_after_second_loss(again)
        yield max(0.0, self.power_back_at + plan.last_return + REMOVAL_DELAY_S - loop.now)
        for name in sorted(plan.missing_workers):
            if name in test_bed.discovery.entries:
                test_bed.discovery.put(name, lifecycle="removed")
        yield max(0.0, self.power_back_at + plan.last_return + plan.measured_after - loop.now)
        clients.stopped = True
        end = loop.now + FINISH_WITHIN_S
        yield lambda: not clients.open_requests or loop.now > end

    def _note_pids(self, status: list[dict[str, Any]]) -> None:
        self.pids = [one["pid"] for one in status if one["pid"]]

    def _cut_power(self, first: bool = True) -> list[str]:
        """Cut the power of everything at once; return the workers that had power."""
        test_bed = self.test_bed
        test_bed.clients.paused = first
        for route in test_bed.clients.routes:
            route.healthy, route.killed_at = False, test_bed.loop.now
        self.agent.kill_all(self.pids)
        had_power = [name for name in test_bed.workers.by_name if name not in self.powered_off]
        for name in had_power:
            self._worker_off(name)
        for (_, name), link in test_bed.links.items():
            if name == "discovery":
                link.power_off()
        return had_power

    def _worker_off(self, name: str) -> None:
        self.powered_off.add(name)
        for number in range(ROUTERS):
            self.test_bed.links[number, name].power_off()
        self.test_bed.workers.by_name[name].restart()

    def _worker_on(self, name: str) -> None:
        worker = self.test_bed.workers.by_name[name]
        if "new-ids" in self.plan.faults and name in ("w2", "w5"):
            self._replace_id(name)
        self.powered_off.discard(name)
        worker.begin_slow_start()
        for number in range(ROUTERS):
            self.test_bed.links[number, name].power_on()
        if self.discovery_current:
            self._report_start(name)

    discovery_up: bool = False
    # Whether discovery reports restarts of workers; with an old list it does so later.
    discovery_current: bool = False
    new_ids: dict[str, str] = field(default_factory=dict)

    def _replace_id(self, name: str) -> None:
        """Give the worker a new id at the same address."""
        new = f"{name}-again"
        if name not in self.new_ids:
            self.new_ids[name] = new
            for number in range(ROUTERS):
                self.test_bed.links[number, new] = self.test_bed.links[number, name]
            self.test_bed.workers.by_name[name].server_id = server_id(new)

    def _started_ms(self, name: str) -> float:
        skew = 0.0
        if "clock" in self.plan.faults:  # discovery's clock is 2 seconds off
            skew = 2.0 if self.plan.seed % 2 else -2.0
        return round((self.test_bed.workers.by_name[name].server.started + UNIX_OFFSET_S + skew) * 1000.0)

    def _report_start(self, name: str) -> None:
        discovery, new = self.test_bed.discovery, self.new_ids.get(name)
        if new is None:
            drains = name == DRAINED_WORKER and "drain" in self.plan.faults
            state = "draining" if drains else "up"
            discovery.put(name, **self._entry(name), lifecycle=state, startedAtMs=self._started_ms(name))
            return
        if name in discovery.entries:
            discovery.put(name, lifecycle="removed")
        entry = self._entry(name) | {"instanceId": new}
        discovery.put(new, **entry, lifecycle="up", startedAtMs=self._started_ms(name))

    def _entry(self, name: str) -> dict[str, Any]:
        """Return the fields of a worker that discovery had before the loss, without its state."""
        kept = ("zone", "cell", "machineType", "weight")
        return {key: self.entries_before[name][key] for key in kept}

    entries_before: dict[str, dict[str, Any]] = field(default_factory=dict)

    def _damage_snapshots(self) -> None:
        """Write a new boot id and apply the faults of the plan to the stored snapshots."""
        self._write_boot_id()
        random, faults = Random(f"damage {self.plan.seed}"), self.plan.faults
        for number in range(ROUTERS):
            path = self.folder / f"kept-{number}" / "snapshot"
            if not path.exists():
                continue
            data = path.read_bytes()
            if "cut-snapshot" in faults:  # as if power failed during the next write
                path.with_name("snapshot.new").write_bytes(data[: random.randrange(len(data))])
            try:
                snapshot = decode_checked(NAME, "snapshot", data, Snapshot)
            except DecodeError:
                continue
            if "stale-snapshot" in faults and number == 0:
                path.write_bytes(pack(replace(snapshot, wall=snapshot.wall - 3600.0)))
            if "clock" in faults and number == 2:
                path.write_bytes(pack(replace(snapshot, wall=snapshot.wall + 7200.0)))
            if "alone" in faults and number == 1:
                boot = (self.folder / "boot").read_text().strip()
                path.write_bytes(pack(replace(snapshot, boot=boot)))

    def _restore_power(self, entries: dict[str, dict[str, Any]]) -> Script:
        """Schedule the return of zones and discovery, restart the agent, and start the surge of load."""
        test_bed, plan = self.test_bed, self.plan
        self.entries_before, self.power_back_at = entries, test_bed.loop.now
        test_bed.clients.tally = self.tally_after
        test_bed.clients.routes[int(DRAINED_ROUTER[1:])].requests_sent = 0
        self.drained_worker_attempts_before = test_bed.workers.by_name[DRAINED_WORKER].attempts_received
        if "one-class" in plan.faults:
            test_bed.clients.only_lane = max(
                test_bed.clients.lanes, key=lambda lane: test_bed.clients.class_of(lane).worth
            )
        for zone, at in enumerate(plan.zone_delays):
            names = [f"w{n}" for n in range(len(ROLES)) if n % len(ZONES) == zone]
            up = [name for name in names if name not in plan.missing_workers]
            test_bed.loop.after(at, lambda up=up: self._workers_on(up))  # type: ignore[misc]
        test_bed.loop.after(plan.discovery_delay, self._start_discovery)
        self.agent.restart()
        yield lambda: any(route.healthy for route in test_bed.clients.routes)
        self._surge()

    drained_worker_attempts_before: int = 0

    def _workers_on(self, names: list[str]) -> None:
        for name in names:
            self._worker_on(name)

    def _restore_after_second_loss(self, names: list[str]) -> None:
        """Return the power of everything at once after the second loss, without a surge of load."""
        for name in names:
            self._worker_on(name)
        if self.discovery_up:
            self._open_discovery_links()
        self.agent.restart()

    def _open_discovery_links(self) -> None:
        for (_, name), link in self.test_bed.links.items():
            if name == "discovery":
                link.power_on()

    def _start_discovery(self) -> None:
        """Start discovery with the list from before the loss, an empty one or an old one."""
        test_bed, faults = self.test_bed, self.plan.faults
        self.discovery_up = True
        generation = 1 if {"register-empty", "register-old"} & faults else test_bed.discovery.generation
        entries: dict[str, dict[str, Any]] = {}
        if "register-empty" not in faults:
            entries = {name: dict(entry) for name, entry in self.entries_before.items()}
        if "register-old" in faults:
            for entry in entries.values():
                entry["lifecycle"] = "up"  # as before the drain
        test_bed.discovery.restart(generation, entries)
        self._open_discovery_links()
        behind = max(0.0, self.plan.zone_delays[1] - self.plan.discovery_delay) + REMOVAL_DELAY_S
        test_bed.loop.after(behind if "register-old" in faults else 0.0, self._report_all_starts)

    def _report_all_starts(self) -> None:
        """Report the restarts of all workers that have power."""
        self.discovery_current = True
        for name in self.test_bed.workers.by_name:
            if name not in self.powered_off:
                self._report_start(name)

    def _surge(self) -> None:
        """Start a burst of turns within a second, and a higher rate for SURGE_S."""
        clients, loop = self.test_bed.clients, self.test_bed.loop
        random = Random(f"surge {self.plan.seed}")
        for _ in range(BURST_TURNS):
            loop.after(random.uniform(0.0, 1.0), clients.start_turn)
        clients.paused, clients.turns_per_s = False, SURGE_FACTOR * TURNS_PER_S
        loop.after(SURGE_S, lambda: setattr(clients, "turns_per_s", TURNS_PER_S))

    # ---- figures ----

    def figures(self) -> dict[str, Any]:
        """Return the figures of the time after the loss."""
        test_bed, tally = self.test_bed, self.tally_after
        broken = test_bed.rules.broken
        drains = "drain" in self.plan.faults
        sent_to_gone = sum("told off" in what for what in broken)
        # An old list may say that the drained worker is up; then the rules expect no drain, but this does.
        sent_to_drained = (
            test_bed.workers.by_name[DRAINED_WORKER].attempts_received - self.drained_worker_attempts_before
            if drains
            else 0
        )
        taken_by_drained = test_bed.clients.routes[int(DRAINED_ROUTER[1:])].requests_sent if drains else 0
        top_lane = max(test_bed.clients.lanes, key=lambda lane: test_bed.clients.class_of(lane).worth)
        asked = sum(tally.asked.values()) or 1.0
        last = int(self.power_back_at + self.plan.last_return + self.plan.measured_after)
        return {
            "requests": tally.requests,
            "answered_once": tally.answered_once,
            "lost_with_their_process": tally.lost_with_process,
            "rules_broken": len(broken),
            "cold_pushed_over": sum("pushed over" in what for what in broken),
            "sends_to_gone_or_drained": sent_to_gone + sent_to_drained,
            "taken_by_drained": taken_by_drained,
            "duplicates_of_unsafe": sum("may not be repeated" in what for what in broken),
            "half_s": _time_to_share(tally.seconds, self.power_back_at, last, HALF_SHARE),
            "full_s": _time_to_share(tally.seconds, self.power_back_at, last, FULL_SHARE),
            "worth": round(sum(tally.answered.values()) / asked, 4),
            "top_class": round(tally.in_time.get(top_lane, 0.0) / (tally.asked.get(top_lane) or 1.0), 4),
            "unread": tally.unanswered_on_new,
            "faults": len(self.failed_orders),
        }

    def close(self) -> None:
        """End the agent and the routers, and close the test bed."""
        self.agent.kill_all(self.pids) if not self.agent.running else self.agent.close()
        self.test_bed.close()


def _time_to_share(
    seconds: dict[tuple[int, str], list[float]], begin: float, last: int, share: float
) -> float | None:
    """Return the seconds until this share of worth is answered in two windows in a row.

    They count from the return of power, `begin`. None if that does not happen before `last`.
    """

    def answered(at: int) -> float:
        window = [one for (second, _), one in seconds.items() if at <= second < at + WINDOW_S]
        return sum(one[1] for one in window) / max(1e-9, sum(one[0] for one in window))

    first = int(begin)
    found = (s for s in range(first, last) if min(answered(s), answered(s + WINDOW_S)) >= share)
    return next((round(s - begin, 1) for s in found), None)


@dataclass(frozen=True, slots=True)
class Result:
    """The figures of both runs, and the log lines of the run with the recovery."""

    figures: dict[str, Any]
    log_lines: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Whether no rule was broken, nothing was lost, and the recovery brings a gain."""
        figures = self.figures
        none = ("rules_broken", "cold_pushed_over", "sends_to_gone_or_drained", "duplicates_of_unsafe",
                "taken_by_drained", "faults")  # fmt: skip
        return (
            not any(figures[name] for name in none)
            and figures["requests"]
            == figures["answered_once"] + figures["lost_with_their_process"] + figures["unread"]
            and figures["requests"] > 0
            and figures["worth"] >= figures["worth_without"]
            and figures["top_class"] >= figures["top_class_without"] + 0.05
        )


def play(plan: Plan, with_recovery: bool) -> tuple[dict[str, Any], list[str]]:
    """Run a plan once; return the figures, and broken rules, failed orders and notable log lines."""
    with tempfile.TemporaryDirectory(prefix="yewhook-power-") as folder:
        run = PowerLossRun(plan, Path(folder), with_recovery)
        runner, loop = ScriptRunner(run.test_bed.loop), run.test_bed.loop
        end = loop.now + MAX_RUN_S
        try:
            runner.start(run.script())
            while runner.running and loop.now < end:
                run.test_bed.run(loop.now + 0.1)
            lines = [*run.test_bed.rules.broken, *run.failed_orders]
            lines += [line for line in run.agent.log_lines if any(word in line for word in SHOWN_EVENTS)]
            return run.figures(), lines
        finally:
            run.close()


SHOWN_EVENTS = ("recovery phase", "restart judged", "snapshot", "recalled", "register began", "workers gone",
         "wanted state", "turn failed", "levels failed", "handler failed")  # fmt: skip
COMPARED_FIGURES = ("half_s", "full_s", "worth", "top_class")


def experiment(
    seed: int, faults: tuple[str, ...] = (), say: Callable[[str], None] = lambda line: None
) -> Result:
    """Run the plan of a seed with the recovery and without it, and compare."""
    plan = draw(seed, faults)
    began = time.monotonic()
    say(f"faults {', '.join(sorted(plan.faults))}; zones after {[round(d, 1) for d in plan.zone_delays]} s, "
        f"discovery after {plan.discovery_delay:.1f} s")  # fmt: skip
    with_figures, lines = play(plan, True)
    without_figures, _ = play(plan, False)
    figures = {"processes": 2 * ROUTERS + 2} | with_figures
    figures |= {f"{name}_without": without_figures[name] for name in COMPARED_FIGURES}
    figures["took_s"] = round(time.monotonic() - began, 1)
    return Result(figures, tuple(lines))
