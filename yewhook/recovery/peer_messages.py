"""What routers tell one another while service returns: one small datagram, and when to send it. No I/O.

Times in a word are ages, so that clocks need not agree. A worker is told of as it was last seen: up or gone.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from .phases import Phase

MARK, VERSION = b"P", 1
# Mark, version, flags, phase, workers, lateness (255 = all), turns lately (tenths), up for (tenths of s)
HEAD = struct.Struct("!cBBBBBBI")
WORKER = struct.Struct("!QBB")  # number, up or gone, seen so many tenths of a s ago
MAX_WORKERS, MAX_MESSAGE_BYTES = 20, 256  # a datagram's limit is the platform's
ASKS = 1  # flag
FIRST = (0.05, 0.6)  # s after the start in which a router speaks first
AGAIN = 1.0  # s between words while it recovers, times up to two by chance
ASKERS, ANSWERS = 3.0, 4.0  # questions of a fleet, and answers to one, on average
ANSWER_IN = (0.02, 0.3)  # s


@dataclass(frozen=True, slots=True)
class Seen:
    server: int
    runs: bool
    age: float  # s


@dataclass(frozen=True, slots=True)
class PeerMessage:
    asks: bool
    phase: Phase
    up_for: float  # s
    workers: tuple[Seen, ...] = ()
    late: float = 0.0  # part of the worth that it answered late, or lost, in the last second or so
    turns: float = 0.0  # by how many turns it knows that


def pack(word: PeerMessage) -> bytes:
    workers = word.workers[:MAX_WORKERS]
    up = min(0xFFFFFFFF, max(0, round(word.up_for * 10)))
    late, turns = (min(255, max(0, round(255 * word.late))), min(255, max(0, round(10 * word.turns))))
    head = HEAD.pack(MARK, VERSION, ASKS * word.asks, word.phase, len(workers), late, turns, up)
    rest = (WORKER.pack(w.server, w.runs, min(255, max(0, round(w.age * 10)))) for w in workers)
    return head + b"".join(rest)


def unpack(data: bytes) -> PeerMessage:
    """Raises ValueError where it is not a word, or of another version."""
    if len(data) < HEAD.size or data[:1] != MARK:
        raise ValueError(f"a message of {len(data)} bytes that begins with {data[:1]!r}")
    _, version, flags, phase, count, late, turns, up = HEAD.unpack_from(data)
    if version != VERSION:
        raise ValueError(f"a word of version {version}, and {VERSION} is read here")
    if len(data) != HEAD.size + count * WORKER.size or count > MAX_WORKERS:
        raise ValueError(f"a word of {len(data)} bytes for {count} workers")
    seen = (WORKER.unpack_from(data, HEAD.size + n * WORKER.size) for n in range(count))
    workers = tuple(Seen(server, bool(runs), age / 10) for server, runs, age in seen)
    return PeerMessage(bool(flags & ASKS), Phase(phase), up / 10, workers, late / 255, turns / 10)


class MessageSchedule:
    """When a router speaks. Nobody waits for a word, and none is sent twice."""

    def __init__(self, routers: int, random: Random, now: float) -> None:
        """`routers` = of the tier, this one too."""
        self._others, self._random = max(1, routers - 1), random
        self.at = now + random.uniform(*FIRST)  # when it speaks next
        # One router alone in its tier has nobody to ask; of many a few ask, and all hear the answers.
        self._asks = random.random() < ASKERS / max(1, routers)

    def due(self, now: float, recovers: bool) -> bool | None:
        """Whether to speak now, and then whether to ask; None = be silent."""
        if now < self.at:
            return None
        asks, self._asks = self._asks, False
        # The fleet's words together stay at some ten in AGAIN, however many routers there are.
        spread = AGAIN * max(1.0, self._others / 10.0)
        self.at = now + self._random.uniform(spread, 2 * spread) if recovers else float("inf")
        return asks

    def asked(self, now: float) -> None:
        """Another one asks: a share of all answers."""
        if self._random.random() < ANSWERS / self._others:
            self.at = min(self.at, now + self._random.uniform(*ANSWER_IN))


def choose(alive: Sequence[Seen], random: Random) -> tuple[Seen, ...]:
    """The workers to tell of: what was seen last, and some by chance where there are more."""
    if len(alive) <= MAX_WORKERS:
        return tuple(alive)
    fresh = sorted(alive, key=lambda seen: seen.age)
    half = MAX_WORKERS // 2
    return tuple(fresh[:half]) + tuple(random.sample(fresh[half:], MAX_WORKERS - half))
