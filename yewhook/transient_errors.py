"""Calls that fail because the machine is short of files or buffers just now: they are worth another try.

A process that gives up at its start over one of them serves nobody, and one that refuses a configuration over
one goes on by the old one.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from .config import ConfigError

T = TypeVar("T")
TRANSIENT_ERRNOS = frozenset(
    {errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR}
)
RETRY_INTERVAL_S, RETRY_TIMEOUT_S = 0.05, 5.0  # s between tries, and for all of them


def is_transient(error: BaseException | None) -> bool:
    """Whether a call failed for want of something that may be there in a moment."""
    cause = error.__cause__ if isinstance(error, ConfigError) else error
    return isinstance(cause, OSError) and cause.errno in TRANSIENT_ERRNOS


def retry_transient(
    call: Callable[[], T],
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> T:
    """Call again while it fails for want of something, for some s. It blocks: for a process's start only.

    Raises what the call raises.
    """
    end = clock() + RETRY_TIMEOUT_S
    while True:
        try:
            return call()
        except (OSError, ConfigError) as error:
            if not is_transient(error) or clock() >= end:
                raise
        sleep(RETRY_INTERVAL_S)
