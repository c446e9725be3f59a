"""Strains of the soak: crowds of clients, clients that leave, and servers that write their answers slowly."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from hopshed.interface import Effect
from yewhook.config import Address

from .http_connections import ClientConnection
from .misbehaving_clients import BEHAVIOURS, REQUEST_IDS, Crowd, sound_request
from .operate import Script
from .testbed import ProcessTestBed

STRAIN_REMAINDERS = (0, 2, 3)  # of a seed by STRAIN_SEEDS, of those with strains
STRAIN_SEEDS = 7
LEAST_MEMORY_MB = 32.0
SOCKETS = 1024.0
CROWD_SIZE = (100, 500)  # clients, over all instances
CROWD_S = (2.0, 5.0)
LEAVING_CLIENTS = (10, 40)
LEAVE_AFTER_S = (0.0, 1.5)
COME_AGAIN_AFTER_S = (0.0, 3.0)  # after a client has left, the same id is sent once more
JUNK_BYTES = (0, 200_000)  # that a client sends behind its request
JUNK = b"no request"
ANSWER_WRITING_S = (1.0, 3.0)  # from the first byte of an event to its last
SLOW_ANSWERS_S = (3.0, 6.0)
PATIENCE_S = 8.0  # of a request of `sound_request`
MEMORY_INTERVAL_S = 0.1  # between readings of the peak memory of the processes


def has_strains(seed: int) -> bool:
    """Whether a seed of the soak has strains."""
    return seed % STRAIN_SEEDS in STRAIN_REMAINDERS


class Strains:
    """The strains of one seed."""

    def __init__(self, test_bed: ProcessTestBed, seed: int) -> None:
        self.test_bed, self.loop, self.random = test_bed, test_bed.loop, Random(f"strain {seed}")
        self._crowds: list[Crowd] = []
        self._connections: list[ClientConnection] = []
        self.peaks: dict[str, int] = {}  # log of a process -> the most memory that it has had, in bytes
        self._note_peaks()

    def choose(self) -> tuple[str, Callable[[], Script]]:
        """Choose a strain at random; returns its name and its script."""
        kind = self.random.choice(
            [self.client_crowd, self.client_crowd, self.clients_leave, self.slow_answers]
        )
        if kind != self.client_crowd:
            return kind.__name__, kind
        behaviour = self.random.choice(BEHAVIOURS)
        return f"client_crowd of {behaviour.name}", lambda: self.client_crowd(BEHAVIOURS.index(behaviour))

    def client_crowd(self, behaviour: int = 0) -> Script:
        """Open connections of clients that write slowly, never finish, or read slowly."""
        addresses = [instance.address for instance in self.test_bed.instances]
        size = self.random.randint(*CROWD_SIZE)
        crowd = Crowd(self.loop, self.test_bed.rules, BEHAVIOURS[behaviour], addresses, size)
        self._crowds.append(crowd)
        crowd.start()
        yield self.random.uniform(*CROWD_S)
        crowd.stop()

    def clients_leave(self) -> Script:
        """Clients send a request and junk, and close soon after; their ids come again later."""
        for _ in range(self.random.randint(*LEAVING_CLIENTS)):
            self._send_and_leave(self.random.choice(self.test_bed.instances).address)
            yield self.random.uniform(0.0, 0.1)
        yield COME_AGAIN_AFTER_S[1]

    def _send_and_leave(self, address: Address) -> None:
        request_id = f"leaves{next(REQUEST_IDS)}"
        data = sound_request(request_id, lane="service-log")
        data += JUNK * (self.random.randint(*JUNK_BYTES) // len(JUNK))
        self.test_bed.rules.came(request_id, Effect.UNSAFE, self.loop.now + PATIENCE_S, self.loop.now)
        connection = self._send(address, data)

        def leave() -> None:
            connection.close()
            self.test_bed.rules.left(request_id, self.loop.now)
            self.loop.after(self.random.uniform(*COME_AGAIN_AFTER_S), come_again)

        def come_again() -> None:
            self.test_bed.rules.came_again(request_id)
            again = self._send(address, sound_request(request_id, lane="service-log"))
            self.loop.after(PATIENCE_S, again.close)

        self.loop.after(self.random.uniform(*LEAVE_AFTER_S), leave)

    def _send(self, address: Address, data: bytes) -> ClientConnection:
        connection = ClientConnection(self.loop, address)
        self._connections.append(connection)
        connection.channel.send(data)
        return connection

    def slow_answers(self) -> Script:
        """Servers write each event of their answers slowly, without ever being quiet."""
        self.test_bed.workers.event_writing_s = self.random.uniform(*ANSWER_WRITING_S)
        yield self.random.uniform(*SLOW_ANSWERS_S)
        self.test_bed.workers.event_writing_s = 0.0

    def _note_peaks(self) -> None:
        for instance in self.test_bed.instances:
            for process in instance.processes:
                if process.running:
                    log = f"{instance.folder.name}/{process.log_path.name}"
                    self.peaks[log] = max(self.peaks.get(log, 0), process.peak_resident_bytes)
        self.loop.after(MEMORY_INTERVAL_S, self._note_peaks)

    def over_limit(self, limit_bytes: float) -> list[str]:
        """The processes that have had more memory than allowed."""
        return [
            f"{log}: {peak / 2**20:.1f} MiB of {limit_bytes / 2**20:.0f}"
            for log, peak in self.peaks.items()
            if peak > limit_bytes
        ]

    def close(self) -> None:
        """Close all connections of the strains."""
        for crowd in self._crowds:
            crowd.stop()
        for connection in self._connections:
            connection.close()
