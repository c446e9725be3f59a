"""Retries of calls that fail because the machine is short of file descriptors, buffers or memory.

Without retries such an error would end a process at its start, and make a running one keep its old
configuration.
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
RETRY_INTERVAL_S = 0.05
RETRY_TIMEOUT_S = 5.0  # for all retries of one call


def is_transient(error: BaseException | None) -> bool:
    """Whether an error, or the cause of a ConfigError, is a temporary lack of resources."""
    cause = error.__cause__ if isinstance(error, ConfigError) else error
    return isinstance(cause, OSError) and cause.errno in TRANSIENT_ERRNOS


def retry_transient(
    call: Callable[[], T],
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> T:
    """Repeat a call while it fails with a transient error, for up to RETRY_TIMEOUT_S.

    It blocks, so it is only for the start of a process. Raises what the call raises.
    """
    give_up_at = clock() + RETRY_TIMEOUT_S
    while True:
        try:
            return call()
        except (OSError, ConfigError) as error:
            if not is_transient(error) or clock() >= give_up_at:
                raise
        sleep(RETRY_INTERVAL_S)
