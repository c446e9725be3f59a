"""One call of discovery: parses its response and passes on each message."""

from __future__ import annotations

import json
import math
from typing import Any, Protocol

import httptools

from ..channel import Channel
from ..config import Address
from ..loop import Loop
from ..progress import AnswerProgress
from . import http
from .framing import FramedReader, FramingError, FramingLimits

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
LIST_LIMITS = FramingLimits(head=http.MAX_HEAD_BYTES, stated=MAX_MESSAGE_BYTES)
# From a message's beginning to its end, where bytes keep arriving; further calls are opened long before
MESSAGE_TIMEOUT_S = 10.0
RECEIVING_WITHIN_S = 1.0  # since its last byte, a call counts as being answered


class WatchOwner(Protocol):
    """What a call tells about itself."""

    def call_ended(self, call: WatchCall, why: str) -> None:
        """The call has ended and is closed."""

    def message_received(self, call: WatchCall, message: dict[str, Any] | None) -> None:
        """The call has brought a message, or None for an empty line. Raises ValueError."""


class WatchCall:
    """One call of discovery; its response brings a message with each change for as long as it lasts."""

    def __init__(self, watch: WatchOwner, loop: Loop, address: Address, generation: int) -> None:
        """Ask for the changes after a generation, or with 0 for the whole list. Raises OSError."""
        self._watch, self._loop = watch, loop
        self.address, self.after_generation = address, generation
        self.began_at = loop.now
        self.progress = AnswerProgress(loop.now)  # a message, or an empty line, is a unit
        self.answer_began_at = math.inf  # when the head of the answer was received
        self._parser = httptools.HttpResponseParser(self)
        self._reader = FramedReader(self._parser, LIST_LIMITS)
        self._headers: dict[str, str] = {}  # those that decide how the body is framed
        self._line = bytearray()  # the incomplete last line
        self._message: list[bytes] = []  # the lines so far of a message that spans several
        self._message_bytes = self._message_count = 0
        self._channel = Channel.connect(loop, address, self)
        target = f"/v1/servers?watch=1&after={generation}"
        self._channel.send(http.head(f"GET {target} HTTP/1.1", {"Host": "discovery"}))

    def close(self) -> None:
        """Close at once, without calling the watch."""
        self._channel.abort()

    def connected(self) -> None:
        """The connection is up; called by the channel."""

    def drained(self) -> None:
        """The request has been written; called by the channel."""

    def lost(self, error: OSError | None) -> None:
        """The connection was refused, closed or reset; called by the channel."""
        self._watch.call_ended(self, str(error or "ended"))

    def received(self, data: bytes) -> None:
        """Parse bytes from discovery; called by the channel."""
        self.progress.byte_received(self._loop.now)
        try:
            self._reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, FramingError) as error:
            self._channel.abort()
            self._watch.call_ended(self, f"not understood: {error.__context__ or error}")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a field of the head."""
        http.keep_framing_header(self._headers, name, value)

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete. Raises ValueError."""
        if (status := self._parser.get_status_code()) != 200:
            raise ValueError(f"status {status}")
        self._reader.head_complete(self._headers, is_response=True)
        self.answer_began_at = self._loop.now

    def on_body(self, body: bytes) -> None:
        """Parser callback: a part of the body."""
        *ended, rest = body.split(b"\n")
        for line in ended:
            self._line += line
            self._line_received(bytes(self._line))
            self._line.clear()
        self._line += rest
        if len(self._line) + self._message_bytes > MAX_MESSAGE_BYTES:
            raise ValueError("the message is too large")

    def on_message_complete(self) -> None:
        """Parser callback: the response ends, which a watch never does."""
        raise ValueError("the response ended")

    def __str__(self) -> str:
        """What it has brought, for the log."""
        host, port = self.address
        now, reader = self._loop.now, self._reader
        silent_s, stalled_s = now - self.progress.last_byte_at, now - self.progress.last_unit_at
        return (
            f"{host}:{port}, {reader.received_bytes} bytes, last stated {reader.stated_bytes}, and "
            f"{self._message_count} messages in {now - self.began_at:.2f} s, the last byte {silent_s:.2f} s "
            f"and message {stalled_s:.2f} s ago"
        )

    @property
    def is_receiving(self) -> bool:
        """Whether a message is arriving, however slowly."""
        progress = self.progress
        return (
            progress.last_byte_at > progress.last_unit_at
            and self._loop.now - progress.last_byte_at < RECEIVING_WITHIN_S
        )

    @property
    def is_overdue(self) -> bool:
        """Whether the message that is arriving has taken too long."""
        return self.is_receiving and self._loop.now - self.progress.last_unit_at >= MESSAGE_TIMEOUT_S

    def _line_received(self, line: bytes) -> None:
        """A message is on one line or, indented, on several; an empty line means that nothing changed."""
        if not line.strip():
            if self._message:
                raise ValueError("an empty line within a message")
            return self._pass_on(None)
        if not self._message and not line.lstrip().startswith(b"{"):
            raise ValueError("a message that is not a JSON object")
        self._message.append(line)
        self._message_bytes += len(line) + 1
        if not line.rstrip().endswith(b"}"):
            return None  # the message continues on the next line
        text = b"\n".join(self._message).decode().rstrip()
        try:
            message = json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text):
                raise
            return None  # this brace ended an inner object
        self._message.clear()
        self._message_bytes = 0
        return self._pass_on(message)

    def _pass_on(self, message: dict[str, Any] | None) -> None:
        self._message_count += 1
        self.progress.unit_received(self._loop.now)
        self._watch.message_received(self, message)
