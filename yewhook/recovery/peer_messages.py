"""The messages between routers while service returns: one small datagram each, and when to send it. No I/O.

Times in a message are ages, so that the routers' clocks need not agree. A worker is reported as it was last
seen: running or unreachable.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from .phases import Phase

MARK = b"P"  # the first byte, by which these messages differ from those of the routing module
VERSION = 1  # messages of any other version are rejected
# Mark, version, flags, phase, number of workers, late share (255 = all), sampled turns (tenths), uptime
# (tenths of a second)
HEADER = struct.Struct("!cBBBBBBI")
WORKER_RECORD = struct.Struct("!QBB")  # number, whether it runs, age of that in tenths of a second
MAX_WORKERS = 20  # reported in one message, so that it stays below the limit on datagrams
MAX_MESSAGE_BYTES = 256  # the platform's limit on datagrams
ASKS_FLAG = 1  # bit of the flags: the others are to reply
FIRST_MESSAGE_DELAY_S = (0.05, 0.6)  # after the start, at random
MESSAGE_INTERVAL_S = 1.0  # while a router recovers; times 1 to 2 at random
MEAN_QUERIES = 3.0  # first messages of the whole fleet that ask the others to reply
MEAN_REPLIES = 4.0  # of the whole fleet to one query
REPLY_DELAY_S = (0.02, 0.3)  # after a query, at random


@dataclass(frozen=True, slots=True)
class WorkerStatus:
    """What a router last saw of a worker."""

    server: int
    running: bool
    age: float  # s


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """What a router tells the others."""

    asks: bool  # whether the others are to reply
    phase: Phase
    uptime: float  # s
    workers: tuple[WorkerStatus, ...] = ()
    late_share: float = 0.0  # of the worth, that was answered late or lost in the last second or so
    sampled_turns: float = 0.0  # number of turns that the late share is taken of


def pack(message: PeerMessage) -> bytes:
    """Encodes a message; workers beyond the limit are left out."""
    workers = message.workers[:MAX_WORKERS]
    uptime = min(0xFFFFFFFF, max(0, round(message.uptime * 10)))
    late, turns = (
        min(255, max(0, round(255 * message.late_share))),
        min(255, max(0, round(10 * message.sampled_turns))),
    )
    header = HEADER.pack(
        MARK, VERSION, ASKS_FLAG * message.asks, message.phase, len(workers), late, turns, uptime
    )
    records = (
        WORKER_RECORD.pack(status.server, status.running, min(255, max(0, round(status.age * 10))))
        for status in workers
    )
    return header + b"".join(records)


def unpack(data: bytes) -> PeerMessage:
    """Decodes a message. Raises ValueError if it is malformed or has another version."""
    if len(data) < HEADER.size or data[:1] != MARK:
        raise ValueError(f"a message of {len(data)} bytes that begins with {data[:1]!r}")
    _, version, flags, phase, count, late, turns, uptime = HEADER.unpack_from(data)
    if version != VERSION:
        raise ValueError(f"a message of version {version}, expected {VERSION}")
    if len(data) != HEADER.size + count * WORKER_RECORD.size or count > MAX_WORKERS:
        raise ValueError(f"a message of {len(data)} bytes for {count} workers")
    records = (WORKER_RECORD.unpack_from(data, HEADER.size + n * WORKER_RECORD.size) for n in range(count))
    workers = tuple(WorkerStatus(server, bool(running), age / 10) for server, running, age in records)
    return PeerMessage(bool(flags & ASKS_FLAG), Phase(phase), uptime / 10, workers, late / 255, turns / 10)


class MessageSchedule:
    """When a router sends a message. Nothing waits for a message, and none is sent again if it is lost."""

    def __init__(self, routers: int, random: Random, now: float) -> None:
        """`routers` = number of routers in the tier, including this one."""
        self._others, self._random = max(1, routers - 1), random
        self.next_at = now + random.uniform(*FIRST_MESSAGE_DELAY_S)  # s
        # In a large tier only a few routers ask, and all receive the replies.
        self._asks = random.random() < MEAN_QUERIES / max(1, routers)

    def due(self, now: float, recovering: bool) -> bool | None:
        """None if no message is due, else whether the message is to ask for replies."""
        if now < self.next_at:
            return None
        asks, self._asks = self._asks, False
        # At most about ten messages per second in the whole fleet, however many routers it has
        interval = MESSAGE_INTERVAL_S * max(1.0, self._others / 10.0)
        self.next_at = now + self._random.uniform(interval, 2 * interval) if recovering else float("inf")
        return asks

    def asked(self, now: float) -> None:
        """Another router asks: this one replies with a probability that keeps the number of replies low."""
        if self._random.random() < MEAN_REPLIES / self._others:
            self.next_at = min(self.next_at, now + self._random.uniform(*REPLY_DELAY_S))


def choose_workers(statuses: Sequence[WorkerStatus], random: Random) -> tuple[WorkerStatus, ...]:
    """The workers to report: all, or if they are too many, the latest seen and a sample of the rest."""
    if len(statuses) <= MAX_WORKERS:
        return tuple(statuses)
    latest_first = sorted(statuses, key=lambda status: status.age)
    half = MAX_WORKERS // 2
    return tuple(latest_first[:half]) + tuple(random.sample(latest_first[half:], MAX_WORKERS - half))
