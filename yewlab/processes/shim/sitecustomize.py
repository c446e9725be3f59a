"""Makes socket calls of a process fail at random with errors that Linux documents, and steps its wall clock.

Python imports this module at startup if this folder is on its path. The environment variable `YEWLAB_FAULTS`
has the seed; without it nothing changes.
"""

from __future__ import annotations

import errno
import os
import socket
import time
from collections.abc import Callable
from random import Random
from typing import Any

FAILURE_SHARE = 0.004  # of the calls
SHORT_SHARE = 0.05  # of the reads and writes, which transfer at most 200 bytes
CLOCK_STEP_INTERVAL_S = 3.0  # the wall clock steps forward and back in turn
CLOCK_STEP_S = 3600.0
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ECONNREFUSED, errno.EAGAIN)
SOCKET_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS)
TRANSFER_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)


def install(seed: str) -> None:
    """Replace methods of `socket.socket` and `time.time` by ones with faults."""
    random = Random(seed)
    socket_class = socket.socket
    Method = Callable[..., Any]

    def failing(method: Method, errors: tuple[int, ...]) -> Method:
        def call(self: socket.socket, *arguments: Any) -> Any:
            if random.random() < FAILURE_SHARE:
                number = random.choice(errors)
                raise OSError(number, os.strerror(number))
            return method(self, *arguments)

        return call

    def connect_ex(self: socket.socket, address: Any) -> int:
        return (
            random.choice(CONNECT_ERRORS)
            if random.random() < FAILURE_SHARE
            else original_connect_ex(self, address)
        )

    def recv(self: socket.socket, size: int, flags: int = 0) -> bytes:
        short = random.randint(1, 200) if random.random() < SHORT_SHARE else size
        return original_recv(self, min(size, short), flags)

    def send(self: socket.socket, data: Any, flags: int = 0) -> int:
        short = random.randint(1, 200) if random.random() < SHORT_SHARE else len(data)
        return original_send(self, data[:short], flags)

    original_connect_ex, original_recv = socket_class.connect_ex, socket_class.recv
    original_send = socket_class.send
    original_init = socket_class.__init__

    def init(self: socket.socket, *arguments: Any, **named: Any) -> None:
        opens = not named.get("fileno") and len(arguments) < 4
        if opens and random.random() < FAILURE_SHARE:
            number = random.choice(SOCKET_ERRORS)
            raise OSError(number, os.strerror(number))
        original_init(self, *arguments, **named)

    faults: dict[str, Any] = {
        "__init__": init, "accept": failing(socket_class.accept, ACCEPT_ERRORS), "connect_ex": connect_ex,
        "recv": failing(recv, TRANSFER_ERRORS), "send": failing(send, TRANSFER_ERRORS),
    }  # fmt: skip
    for name, fault in faults.items():
        setattr(socket_class, name, fault)
    started_at, original_time = time.monotonic(), time.time
    first_step = Random(f"clock {seed}").randrange(2)  # 1 if the clock starts one step ahead

    def stepped_time() -> float:
        return original_time() + CLOCK_STEP_S * (
            (first_step + int((time.monotonic() - started_at) / CLOCK_STEP_INTERVAL_S)) % 2
        )

    time.time = stepped_time


if "YEWLAB_FAULTS" in os.environ:
    install(os.environ["YEWLAB_FAULTS"])
