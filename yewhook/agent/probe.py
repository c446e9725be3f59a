"""Health checks of the fronts of an instance."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..channel import Channel
from ..config import Address
from ..jsonrpc import encode_message
from ..loop import Loop

PROBE_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16384  # in which the expected text has to appear


class Probe:
    """Checks one front once, by the protocol of that front."""

    REQUESTS: Mapping[str, bytes] = {
        "platform": b"GET /healthz HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n",
        "toolcalls": encode_message({"id": 1, "method": "ping", "params": {}}),
    }
    EXPECTED: Mapping[str, bytes] = {"platform": b"HTTP/1.1 200", "toolcalls": b'"result"'}

    EXPECTED_DRAINED: Mapping[str, bytes] = {"platform": b"HTTP/1.1 503", "toolcalls": b'"result"'}

    def __init__(
        self, loop: Loop, front: str, address: Address, drained: bool, answered: Callable[[bool], None]
    ) -> None:
        """Start the check; `answered` is called once, with whether the front answers as expected.

        A drained platform front is expected to fail its health check.
        """
        self._front, self._answered, self._received = front, answered, b""
        self._expected = (self.EXPECTED_DRAINED if drained else self.EXPECTED)[front]
        self._ended = False
        try:
            self._channel = Channel.connect(loop, address, self)
        except OSError:
            return self._end(False)
        self._channel.send(self.REQUESTS[front])
        loop.after(PROBE_TIMEOUT_S, lambda: self._end(False))

    def connected(self) -> None:
        """Channel callback; the request is already queued."""

    def drained(self) -> None:
        """Channel callback; nothing more is to be written."""

    def received(self, data: bytes) -> None:
        """Channel callback: look for the expected answer in what was received so far."""
        self._received += data
        if self._expected in self._received:
            self._end(True)
        elif len(self._received) > MAX_ANSWER_BYTES:
            self._end(False)

    def lost(self, error: OSError | None) -> None:
        """Channel callback: the connection is closed."""
        self._end(False)

    def _end(self, success: bool) -> None:
        if not self._ended:
            self._ended = True
            if hasattr(self, "_channel"):
                self._channel.abort()
            self._answered(success)
