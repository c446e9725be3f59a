"""The framing of HTTP/1.1 messages, checked as it is read: one reader for all connections.

The parser reports neither the size that a chunk states nor the bytes of a line that does not end. So each
read is followed through heads, sized bodies, chunks and trailers before the parser gets it. A size that is
too large is refused where it is stated, after what precedes it has been parsed.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import ClassVar, Protocol

MAX_SIZE_LINE_BYTES = 1024  # of the line that states a chunk's size, with its extensions
MAX_PLAIN_SIZE_BYTES = 10  # of a size line without an extension
SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]+")
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"


class FramingError(ValueError):
    """A message whose framing is refused; the message of the error says why."""

    status: ClassVar[int] = 400  # of the answer, where the message is a request


class HeadTooLargeError(FramingError):
    """A head, or a head with its trailers, that is longer than allowed."""

    status = 431


class BodyTooLargeError(FramingError):
    """A body, or a chunk of one, that states a larger size than allowed."""

    status = 413


@dataclass(frozen=True, slots=True)
class FramingLimits:
    """What a message may have, in bytes."""

    head: int  # with the trailers
    stated: int  # by a Content-Length, or by the line of one chunk
    body: int | None = None  # of all chunks together; None = not limited


class Parser(Protocol):
    """A parser that calls back for what it is fed."""

    def feed_data(self, data: bytes) -> None:
        """Parse bytes."""


class _Section(Enum):
    HEAD = auto()  # also between messages
    SIZED_BODY = auto()
    SIZE_LINE = auto()
    CHUNK = auto()
    TRAILERS = auto()
    UNTIL_CLOSE = auto()  # a response without a stated size


class FramedReader:
    """Feeds one connection's bytes to a parser; its owner reports from the parser's callbacks.

    `head_complete` is to be called for each head that a body may follow (not for informational responses),
    and `message_complete` at the end of each message.
    """

    __slots__ = (
        "_body_bytes", "_error", "_head_bytes", "_left", "_limits", "_parser", "_section", "_size_line",
        "_tail", "received_bytes", "stated_bytes",
    )  # fmt: skip

    def __init__(self, parser: Parser, limits: FramingLimits) -> None:
        self._parser, self._limits = parser, limits
        self.received_bytes = 0  # of all messages
        self.stated_bytes = 0  # by the last Content-Length or chunk
        self.message_complete()

    def message_complete(self) -> None:
        """Expect the head of another message."""
        self._section = _Section.HEAD
        self._head_bytes = self._body_bytes = 0
        self._left = 0  # bytes of the section, where its size is stated
        self._tail = b""  # of a head or of trailers, in which their end may have begun
        self._size_line = bytearray()
        self._error: FramingError | None = None

    def head_complete(self, headers: Mapping[str, str], is_response: bool) -> None:
        """Follow the body that a head announces; names of its fields are in lower case.

        Raises BodyTooLargeError.
        """
        if headers.get("transfer-encoding", "").lower().endswith("chunked"):
            self._section = _Section.SIZE_LINE
        elif "content-length" in headers:
            self._section = _Section.SIZED_BODY
            self._left = self._check_stated(int(headers["content-length"]))  # the parser has checked it
        elif is_response:
            self._section = _Section.UNTIL_CLOSE

    def feed(self, data: bytes) -> None:
        """Feed what has arrived. Raises FramingError, besides what the parser raises."""
        self.received_bytes += len(data)
        begin = 0
        while begin < len(data):
            end = self._section_end(data, begin)
            if end > begin:
                self._parser.feed_data(data[begin:end] if end - begin < len(data) else data)
            if self._error is not None:
                raise self._error
            begin = end

    def _section_end(self, data: bytes, begin: int) -> int:
        """Returns up to where the parser may be fed before its callbacks decide how to go on."""
        if self._section is _Section.HEAD:
            return self._lines_end(data, begin)
        if self._section is _Section.SIZED_BODY:
            end = min(len(data), begin + self._left)
            self._left -= end - begin
            if not self._left:
                self._section = _Section.HEAD
            return end
        if self._section is _Section.UNTIL_CLOSE:
            return len(data)
        return self._chunks_end(data, begin)

    def _lines_end(self, data: bytes, begin: int) -> int:
        """Returns where a head or trailers end, or the end of the data."""
        joined = self._tail + data[begin:]
        found = joined.find(HEAD_END)
        end = len(data) if found < 0 else begin + found + len(HEAD_END) - len(self._tail)
        self._tail = b"" if found >= 0 else joined[-len(HEAD_END) + 1 :]
        self._head_bytes += end - begin
        if self._head_bytes > self._limits.head:
            self._error = HeadTooLargeError("the head is too large")
        return end

    def _chunks_end(self, data: bytes, begin: int) -> int:
        """Returns where chunks and trailers end, the end of the data, or where the error in `_error` lies."""
        while begin < len(data):
            if self._section is _Section.TRAILERS:
                return self._lines_end(data, begin)
            if self._section is _Section.CHUNK:
                end = min(len(data), begin + self._left)
                self._left -= end - begin
                if not self._left:
                    self._section = _Section.SIZE_LINE
                begin = end
                continue
            if not self._size_line and (end := self._whole_chunks_end(data, begin)) > begin:
                begin = end
                continue
            found = data.find(b"\n", begin)
            end = len(data) if found < 0 else found + 1
            self._size_line += data[begin:end]
            try:
                self._size_line_grown(found >= 0)
            except FramingError as error:
                self._error = error
                return begin
            begin = end
        return begin

    def _whole_chunks_end(self, data: bytes, begin: int) -> int:
        """Returns where the chunks end that are whole, plainly framed and small enough.

        This is the usual case, and fast: a read may hold hundreds of chunks.
        """
        body_bytes, size, chunk_bytes = 0, len(data), self.stated_bytes
        most = self._limits.stated
        if self._limits.body is not None:
            most = min(most, self._limits.body - self._body_bytes)
        try:
            while (line_end := data.find(LINE_END, begin, begin + MAX_PLAIN_SIZE_BYTES)) > 0:
                stated = int(data[begin:line_end], 16)
                end = line_end + stated + 2 * len(LINE_END)
                if stated <= 0 or end > size or body_bytes + stated > most:
                    break
                begin, chunk_bytes = end, stated
                body_bytes += stated
        except ValueError:
            pass  # an extension, or no number
        self._body_bytes += body_bytes
        self.stated_bytes = chunk_bytes
        return begin

    def _size_line_grown(self, is_complete: bool) -> None:
        """Check the line that states a chunk's size, as far as it has arrived. Raises FramingError."""
        if len(self._size_line) > MAX_SIZE_LINE_BYTES:
            raise FramingError("the line of a chunk's size is too long")
        digits = self._size_line.partition(b";")[0].strip()
        if SIZE_PATTERN.fullmatch(digits):
            size = self._check_stated(int(digits, 16))
        elif digits or is_complete:
            raise FramingError(f"a chunk size that is not a number: {bytes(digits[:20])!r}")
        if not is_complete:
            return
        self._body_bytes += size
        if self._limits.body is not None and self._body_bytes > self._limits.body:
            raise BodyTooLargeError("the body is too large")
        self._size_line.clear()
        self._left = size + len(LINE_END)
        self._section = _Section.CHUNK if size else _Section.TRAILERS
        self._tail = LINE_END  # trailers end with an empty line, which may come at once

    def _check_stated(self, size: int) -> int:
        self.stated_bytes = size
        if size > self._limits.stated:
            raise BodyTooLargeError(f"a size of {size} bytes is stated, {self._limits.stated} are allowed")
        return size
