"""A soak test: random faults on real processes, with the rules checked over all of them together.

A seed draws the workers, a list with a few servers or thousands, the time for which states may be held, and a
script of faults: workers that hang with their connections open, connections that break or are not
established, watches that end, drains, cold starts, rolling restarts with a second SIGTERM, failing system
calls and a stepping wall clock. In some seeds two faults overlap. In others (`strain.py`) each fault comes
beside a crowd of clients that write slowly, never finish or read slowly, clients that leave, or servers that
write slowly, at processes with the least memory, or beside servers and discovery whose answers never end
(`endless_strains.py`).
"""

from __future__ import annotations

import signal
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from hopshed.interface import Role

from .endless_strains import EndlessStrains, has_endless_answers
from .http_connections import ClientConnection
from .instances import Process
from .operate import FAULT_EVENTS, Operators, Script, ScriptRunner
from .strain import LEAST_MEMORY_MB, SOCKETS, Strains, has_strains
from .testbed import NOTIFIED_WITHIN_S, UNIX_OFFSET_S, ProcessTestBed

SETTLE_S = 1.0  # load before the first fault
PAUSE_S = (0.5, 2.0)  # between faults
PAIR_OFFSET_S = (0.0, 1.5)  # between the starts of two overlapping faults
HANG_S = (3.0, 5.0)
ISOLATION_S = (1.0, 3.0)
SUSPENSION_S = (0.05, 0.15)
# Every fifth seed opens idle client connections.
IDLE_CONNECTIONS = 300
IDLE_CONNECTION_SEEDS = 5
# Seeds with `seed % LONG_LIST_SEEDS == LONG_LIST_REST` list this many servers for each worker.
MANY_ENTRIES = 300
LONG_LIST_SEEDS = 4
LONG_LIST_REST = 3
# Seeds with `seed % PAIR_SEEDS == PAIR_REST` overlap two faults each time.
PAIR_SEEDS = 3
PAIR_REST = 2
SHIM_FOLDER = Path(__file__).parent / "shim"


@dataclass(frozen=True, slots=True)
class Result:
    """The outcome of one seed."""

    seed: int
    timeline: tuple[str, ...]
    broken: tuple[str, ...]  # broken rules, with times and requests
    requests: int
    served: int
    unanswered: int  # requests without an answer of any kind

    @property
    def holds(self) -> bool:
        """Whether no rule was broken and every request was answered."""
        return not self.broken and not self.unanswered and self.served > 0


class Soak:
    """The test bed and the script of one seed."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.random = Random(f"soak {seed}")
        roles = (Role.READER,) * self.random.randint(4, 6) + (Role.WRITER,) * self.random.randint(5, 7)
        self.readers = [f"w{n}" for n, role in enumerate(roles) if role is Role.READER]
        self.writers = [f"w{n}" for n, role in enumerate(roles) if role is Role.WRITER]
        extra: dict[str, float] = {
            "let-go-by-ms": self.random.choice((500.0, 1000.0)), "resume": self.random.random() < 0.5,
        }  # fmt: skip
        self.long_list = seed % LONG_LIST_SEEDS == LONG_LIST_REST
        environment: dict[str, str] = {}
        if self.random.random() < 0.5:
            environment = {"PYTHONPATH": str(SHIM_FOLDER), "YEWLAB_FAULTS": str(seed)}
        limits = {"sockets": SOCKETS} if has_strains(seed) else {}
        if limits and not self.long_list:
            limits["memory_mb"] = LEAST_MEMORY_MB
        self.test_bed = ProcessTestBed(
            folder,
            self.random.randint(2, 4),
            seed,
            self.random.uniform(10.0, 30.0),
            roles,
            3,
            extra=extra,
            environment=environment,
            entries_per_worker=MANY_ENTRIES if self.long_list else 1,
            limits=limits,
        )
        self.strains = Strains(self.test_bed, seed) if has_strains(seed) else None
        self.endless_strains = (
            EndlessStrains(self.test_bed, self.readers, seed) if has_endless_answers(seed) else None
        )
        self.loop, self.operators = self.test_bed.loop, Operators(self.test_bed)
        self.idle_connections: list[ClientConnection] = []
        self.with_idle_connections = seed % IDLE_CONNECTION_SEEDS == 0
        self.in_pairs = seed % PAIR_SEEDS == PAIR_REST
        self.runner = ScriptRunner(self.loop)

    def script(self, count: int) -> Script:
        """Start all instances, inject `count` faults under load, and wait for the open requests."""
        test_bed = self.test_bed
        for instance in test_bed.instances:
            instance.start_process()
        yield lambda: all(route.healthy for route in test_bed.clients.routes)
        test_bed.clients.start()
        yield SETTLE_S
        if self.with_idle_connections:
            self.open_idle_connections()
        for _ in range(count):
            if self.strains is not None:
                self.start_strain(self.strains)
            if self.endless_strains is not None:
                self.start_strain(self.endless_strains)
            yield from self.pair() if self.in_pairs else self.fault(self.random.choice(FAULT_KINDS))
            yield self.random.uniform(*PAUSE_S)
        test_bed.clients.stopped = True
        yield lambda: not test_bed.clients.open_requests

    def start_strain(self, strains: Strains | EndlessStrains) -> None:
        """Start a strain beside the next fault."""
        name, script = strains.choose()
        self.record(name)
        self.runner.start(script())

    def fault(self, kind: Fault) -> Script:
        """Inject one fault and wait for its end."""
        self.record(kind.__name__)
        yield from kind(self)

    def pair(self) -> Script:
        """Inject two overlapping faults."""
        first, second = self.random.sample(FAULT_KINDS, 2)
        done: list[Fault] = []

        def second_fault() -> Script:
            yield self.random.uniform(*PAIR_OFFSET_S)
            yield from self.fault(second)
            done.append(second)

        if second is not first:
            self.runner.start(second_fault())
        yield from self.fault(first)
        yield lambda: bool(done) or second is first

    def record(self, what: str) -> None:
        """Add a line to the timeline."""
        self.operators.timeline.append(f"{self.loop.now - self.operators.started_at:6.2f} {what}")

    def most_of(self, names: list[str]) -> list[str]:
        """Choose all of these workers but one or two."""
        return self.random.sample(names, len(names) - self.random.randint(1, 2))

    def open_idle_connections(self) -> None:
        """Open idle client connections, spread over the instances."""
        for number in range(IDLE_CONNECTIONS):
            instance = self.test_bed.instances[number % len(self.test_bed.instances)]
            self.idle_connections.append(ClientConnection(self.loop, instance.address))

    # ---- faults ----

    def writers_hang(self) -> Script:
        """Most writers hang: they read, write and accept nothing; their connections stay open."""
        yield from self._hang(self.most_of(self.writers))

    def some_hang(self) -> Script:
        """Two workers of any role hang."""
        yield from self._hang(self.random.sample(self.readers + self.writers, 2))

    def _hang(self, names: list[str]) -> Script:
        self.test_bed.hang_workers(names)
        yield self.random.uniform(*HANG_S)
        self.test_bed.resume_workers(names)

    def cut_off(self) -> Script:
        """Most writers are isolated: connections break, and new ones are not established."""
        links = self.test_bed.links_to(self.most_of(self.writers))
        for link in links:
            link.isolate()
        yield self.random.uniform(*ISOLATION_S)
        for link in links:
            link.reconnect()

    def broken_connections(self) -> Script:
        """The connections to three workers are reset, with requests in flight."""
        for link in self.test_bed.links_to(self.random.sample(self.readers + self.writers, 3)):
            link.reset_connections()
        yield 0.1

    def watches_end(self) -> Script:
        """The discovery watches fall silent or break, and then a writer begins to drain."""
        endpoints = self.test_bed.discovery.endpoints
        silent = self.random.random() < 0.5
        for endpoint in endpoints:
            endpoint.silence_watches() if silent else endpoint.abort_watches()
        name = self.random.choice(self.writers)
        self.test_bed.change_entry(name, lifecycle="draining")
        yield NOTIFIED_WITHIN_S + 1.0
        self.test_bed.change_entry(name, lifecycle="up")

    def cold_start(self) -> Script:
        """The process of a worker is replaced at once by a new one, which is cold."""
        name = self.random.choice(self.readers + self.writers)
        worker = self.test_bed.workers.by_name[name]
        worker.restart()
        # With a long list, this worker would get the load allowed for hundreds of cold servers.
        if not self.long_list:
            worker.begin_slow_start()
        self.test_bed.change_entry(
            name, lifecycle="up", startedAtMs=round((self.loop.now + UNIX_OFFSET_S) * 1000.0)
        )
        yield 1.0

    def restarts(self) -> Script:
        """Rolling restart while clients keep using their connections; some processes get a second SIGTERM."""
        for instance in self.test_bed.instances:
            old: Process = instance.serving_process
            instance.terminate(old)
            if self.random.random() < 0.5:
                yield self.random.uniform(0.05, 0.5)
                old.send_signal(signal.SIGTERM)
            new = instance.start_process()
            yield from self.operators.wait_ready(instance, new)
            yield lambda old=old: not old.running  # type: ignore[misc]

    def reloads(self) -> Script:
        """Each instance reloads its configuration several times in a row."""
        for instance in self.test_bed.instances:
            for _ in range(3):
                instance.serving_process.send_signal(signal.SIGHUP)
        yield 0.5

    def held_up(self) -> Script:
        """All instances are suspended for a short time, several times."""
        for _ in range(5):
            running = [instance.serving_process for instance in self.test_bed.instances]
            for process in running:
                process.send_signal(signal.SIGSTOP)
            yield self.random.uniform(*SUSPENSION_S)
            for process in running:
                process.send_signal(signal.SIGCONT)
            yield self.random.uniform(0.1, 0.4)


Fault = Callable[[Soak], Script]
FAULT_KINDS: list[Fault] = [
    Soak.writers_hang, Soak.writers_hang, Soak.some_hang, Soak.cut_off, Soak.broken_connections,
    Soak.watches_end, Soak.cold_start, Soak.restarts, Soak.reloads, Soak.held_up,
]  # fmt: skip


def play(seed: int, count: int = 5, most: float = 150.0) -> Result:
    """Run one seed with `count` faults, for `most` seconds at the longest."""
    with tempfile.TemporaryDirectory(prefix="yewhook-soak-") as folder:
        soak = Soak(Path(folder), seed)
        try:
            return _run(soak, seed, count, most)
        finally:
            for side in soak.idle_connections:
                side.close()
            if soak.strains is not None:
                soak.strains.close()
            soak.test_bed.close()


def _run(soak: Soak, seed: int, count: int, most: float) -> Result:
    test_bed, tally = soak.test_bed, soak.test_bed.clients.tally
    soak.operators.start_clock()
    done = soak.runner.run(test_bed, soak.script(count), most)
    processes = [process for instance in test_bed.instances for process in instance.processes]
    faults = [
        f"{fault} in {process.log_path.name}"
        for process in processes
        for fault in FAULT_EVENTS
        if process.count_log_lines(fault)
    ]
    ended = (
        []
        if done
        else [f"script not finished after {most:.0f} s, {test_bed.clients.open_requests} requests open"]
    )
    limit_bytes = test_bed.limits["memory_mb"] * 2**20
    memory = soak.strains.over_limit(limit_bytes) if soak.strains is not None else []
    unanswered = (
        tally.requests - tally.answered_once - (tally.unanswered_on_new if soak.with_idle_connections else 0)
    )
    return Result(
        seed,
        tuple(soak.operators.timeline),
        (*test_bed.rules.broken, *faults, *ended, *memory),
        tally.requests,
        tally.served,
        unanswered,
    )
