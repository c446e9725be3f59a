"""Health checks: whether a front of an instance serves."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..channel import Channel
from ..config import Address
from ..jsonrpc import encode_message
from ..loop import Loop

PROBE_TIMEOUT = 1.0  # s for an answer


class Probe:
    """Asks one front whether it serves; each front's own way of asking."""

    QUESTIONS: Mapping[str, bytes] = {
        "platform": b"GET /healthz HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n",
        "toolcalls": encode_message({"id": 1, "method": "ping", "params": {}}),
    }
    ANSWERS: Mapping[str, bytes] = {"platform": b"HTTP/1.1 200", "toolcalls": b'"result"'}

    DRAINED: Mapping[str, bytes] = {"platform": b"HTTP/1.1 503", "toolcalls": b'"result"'}

    def __init__(
        self, loop: Loop, front: str, place: Address, drained: bool, answered: Callable[[bool], None]
    ) -> None:
        self._front, self._answered, self._heard = front, answered, b""
        self._wanted = (self.DRAINED if drained else self.ANSWERS)[front]
        self._over = False
        try:
            self._channel = Channel.connect(loop, place, self)
        except OSError:
            return self._end(False)
        self._channel.send(self.QUESTIONS[front])
        loop.after(PROBE_TIMEOUT, lambda: self._end(False))

    def connected(self) -> None:
        """The question is on its way."""

    def drained(self) -> None:
        """The question is written."""

    def received(self, data: bytes) -> None:
        self._heard += data
        if self._wanted in self._heard:
            self._end(True)

    def lost(self, error: OSError | None) -> None:
        self._end(False)

    def _end(self, well: bool) -> None:
        if not self._over:
            self._over = True
            if hasattr(self, "_channel"):
                self._channel.abort()
            self._answered(well)
