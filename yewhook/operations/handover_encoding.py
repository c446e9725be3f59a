"""Encoding of the state that a process hands over to its successor or stores in a snapshot.

The data starts with a header line (name, format version, length in bytes and CRC-32 of the body); the body is
MessagePack. msgspec takes memory, so this module is imported only where a hand-over or a snapshot is enabled.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from hopshed import interface
from hopshed.handover import LearnedState

from ..config import Address

FORMAT_VERSION = 1  # data of any other version is rejected
HEADER_NAME = b"yewhook-handover"


class DecodeError(Exception):
    """The data cannot be used; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class Listed:
    """A worker of the worker list and its address; the fields are encoded under their names."""

    id: int
    kind: int
    zone: int
    cell: int
    state: interface.ServerState
    started: float | None
    weight: float
    address: Address | None


def to_listed(servers: Iterable[tuple[interface.Server, Address | None]]) -> list[Listed]:
    """Convert workers and their addresses to entries of the encoding."""
    return [
        Listed(
            server.id, server.kind, server.zone, server.cell,
            server.state, server.started, server.weight, address,
        )
        for server, address in servers
    ]  # fmt: skip


def from_listed(entries: Iterable[Listed]) -> list[tuple[interface.Server, Address | None]]:
    """Convert decoded entries to workers and their addresses."""
    return [
        (
            interface.Server(
                entry.id, entry.kind, entry.zone, entry.cell, entry.state, entry.started, entry.weight
            ),
            entry.address,
        )
        for entry in entries
    ]


@dataclass(frozen=True, slots=True)
class HandOver:
    """What a successor takes over; the fields are encoded under their names."""

    at: float  # seconds on the machine's monotonic clock at the time of encoding
    drained: bool  # whether an operator's drain order is in force
    generation: int  # of the worker list
    servers: list[Listed]
    told_off: dict[int, float]  # worker id -> since when the list has it draining or gone
    module: LearnedState


T = TypeVar("T")


def encode_checked(name: bytes, content: object) -> bytes:
    """Encode `content` behind a header line that starts with `name`."""
    body = msgspec.msgpack.encode(content)
    return b"%s %d %d %08x\n" % (name, FORMAT_VERSION, len(body), zlib.crc32(body)) + body


def decode_checked(name: bytes, description: str, data: bytes, content_type: type[T]) -> T:
    """Decode what `encode_checked` returned for `name`; `description` names it in error messages.

    Raises DecodeError if the data is damaged, has another name or another format version.
    """
    header, _, body = data.partition(b"\n")
    fields = header.split(b" ")
    if len(fields) != 4 or fields[0] != name:
        raise DecodeError(f"not a {description}")
    if fields[1] != b"%d" % FORMAT_VERSION:
        raise DecodeError(
            f"format version {fields[1].decode('latin-1')[:9]} is not supported, expected {FORMAT_VERSION}"
        )
    if fields[2] != b"%d" % len(body) or fields[3] != b"%08x" % zlib.crc32(body):
        raise DecodeError("truncated or damaged")
    try:
        return msgspec.msgpack.decode(body, type=content_type)
    except msgspec.MsgspecError as error:
        raise DecodeError(str(error)) from error


def pack(content: HandOver) -> bytes:
    """Encode a hand-over."""
    return encode_checked(HEADER_NAME, content)


def unpack(data: bytes, now: float) -> HandOver:
    """Decode a hand-over; `now` is the monotonic time in seconds.

    Raises DecodeError if it cannot be read or was written before a reboot (its time lies in the future).
    """
    content = decode_checked(HEADER_NAME, "hand-over", data, HandOver)
    if content.at > now:
        raise DecodeError("written on another clock")
    return content
