"""What a process hands to its successor, or leaves for one after it, as bytes: a line that says what it is,
its form, its length and its checksum, then the content. Imported only where that is done: the library is not
free."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from hopshed import interface as i
from hopshed.handover import LearnedState

from ..config import Address

FORMAT_VERSION = 1  # a process reads its own form and no other
NAME = b"yewhook-handover"


class DecodeError(Exception):
    """Why a hand-over is passed over."""


@dataclass(frozen=True, slots=True)
class Listed:
    """One worker of the list, and where it listens."""

    id: int
    kind: int
    zone: int
    cell: int
    state: i.ServerState
    started: float | None
    weight: float
    address: Address | None


def to_listed(servers: Iterable[tuple[i.Server, Address | None]]) -> list[Listed]:
    return [Listed(s.id, s.kind, s.zone, s.cell, s.state, s.started, s.weight, place) for s, place in servers]


def from_listed(entries: Iterable[Listed]) -> list[tuple[i.Server, Address | None]]:
    return [
        (i.Server(e.id, e.kind, e.zone, e.cell, e.state, e.started, e.weight), e.address) for e in entries
    ]


@dataclass(frozen=True, slots=True)
class HandOver:
    at: float  # s on the machine's monotonic clock
    drained: bool  # by an operator's order
    generation: int  # of the list
    servers: list[Listed]
    told_off: dict[int, float]  # server -> since when it is told to drain or be gone
    module: LearnedState


T = TypeVar("T")


def encode_checked(name: bytes, content: object) -> bytes:
    body = msgspec.msgpack.encode(content)
    return b"%s %d %d %08x\n" % (name, FORMAT_VERSION, len(body), zlib.crc32(body)) + body


def decode_checked(name: bytes, what: str, data: bytes, kind: type[T]) -> T:
    """`what` = that name for operators. Raises DecodeError where it is not whole, not of this name, or of
    another form."""
    head, _, body = data.partition(b"\n")
    words = head.split(b" ")
    if len(words) != 4 or words[0] != name:
        raise DecodeError(f"not a {what}")
    if words[1] != b"%d" % FORMAT_VERSION:
        raise DecodeError(f"of form {words[1].decode('latin-1')[:9]}, and {FORMAT_VERSION} is read here")
    if words[2] != b"%d" % len(body) or words[3] != b"%08x" % zlib.crc32(body):
        raise DecodeError("torn or damaged")
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise DecodeError(str(error)) from error


def pack(content: HandOver) -> bytes:
    return encode_checked(NAME, content)


def unpack(data: bytes, now: float) -> HandOver:
    """Raises DecodeError where it can't be read, or is not of this machine's present."""
    content = decode_checked(NAME, "hand-over", data, HandOver)
    if content.at > now:
        raise DecodeError("written on another clock")
    return content
