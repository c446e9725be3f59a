"""Makes system calls of one process fail as Linux documents, by chance, and steps its wall clock.

Python imports this module at its start where this folder is on its path. `YEWLAB_FAULTS` = the seed; without
it nothing changes.
"""

from __future__ import annotations

import errno
import os
import socket
import time
from collections.abc import Callable
from random import Random
from typing import Any

FAILS = 0.004  # part of the calls that fail
SHORT = 0.05  # part of the reads and writes that are short
STEP_EVERY, STEP = 3.0, 3600.0  # s between steps of the wall clock, to and fro, and the size of one
ACCEPT = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT = (errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ECONNREFUSED, errno.EAGAIN)
SOCKET = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS)
TRANSFER = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)


def install(seed: str) -> None:
    """Put the faults in place of the calls."""
    random = Random(seed)
    plain = socket.socket
    Method = Callable[..., Any]

    def failing(method: Method, errors: tuple[int, ...]) -> Method:
        def call(self: socket.socket, *arguments: Any) -> Any:
            if random.random() < FAILS:
                number = random.choice(errors)
                raise OSError(number, os.strerror(number))
            return method(self, *arguments)

        return call

    def connect_ex(self: socket.socket, address: Any) -> int:
        return random.choice(CONNECT) if random.random() < FAILS else plain_connect_ex(self, address)

    def recv(self: socket.socket, size: int, flags: int = 0) -> bytes:
        short = random.randint(1, 200) if random.random() < SHORT else size
        return plain_recv(self, min(size, short), flags)

    def send(self: socket.socket, data: Any, flags: int = 0) -> int:
        short = random.randint(1, 200) if random.random() < SHORT else len(data)
        return plain_send(self, data[:short], flags)

    plain_connect_ex, plain_recv, plain_send = plain.connect_ex, plain.recv, plain.send
    kept = plain.__init__

    def init(self: socket.socket, *arguments: Any, **named: Any) -> None:
        opens = not named.get("fileno") and len(arguments) < 4
        if opens and random.random() < FAILS:
            number = random.choice(SOCKET)
            raise OSError(number, os.strerror(number))
        kept(self, *arguments, **named)

    faults: dict[str, Any] = {
        "__init__": init, "accept": failing(plain.accept, ACCEPT), "connect_ex": connect_ex,
        "recv": failing(recv, TRANSFER), "send": failing(send, TRANSFER),
    }  # fmt: skip
    for name, fault in faults.items():
        setattr(plain, name, fault)
    began, wall = time.monotonic(), time.time
    first = Random(f"clock {seed}").randrange(2)  # whether the process begins with its clock ahead

    def stepped() -> float:
        return wall() + STEP * ((first + int((time.monotonic() - began) / STEP_EVERY)) % 2)

    time.time = stepped


if "YEWLAB_FAULTS" in os.environ:
    install(os.environ["YEWLAB_FAULTS"])
