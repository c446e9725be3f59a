"""HTTP/1.1 message parts that the client and worker sides share: heads, chunks and server-sent events."""

from __future__ import annotations

import re

from .framing import FramingLimits

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    411: "Length Required", 413: "Content Too Large", 429: "Too Many Requests",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
# Request fields that workers interpret, besides the request's id and remaining time. A request is rejected
# where one of them is repeated or has a value that workers cannot read.
WORKER_HEADERS = (
    "host", "x-lane", "x-org", "x-entity", "x-labels", "x-resent", "idempotency-key", "content-type",
)  # fmt: skip
# Fields that are not forwarded: those of one connection or of the message's framing (RFC 9110, 7.6.1), and
# those that the router sets itself.
NOT_FORWARDED = {
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "x-txn", "x-remaining",
}  # fmt: skip
FRAMING_HEADERS = (b"transfer-encoding", b"content-length")
PRINTABLE_ASCII = re.compile(r"[ -~]{0,1024}")  # field values that any worker can read
MAX_BODY_BYTES = 256 * 1024
MAX_HEAD_BYTES = 32 * 1024
REQUEST_LIMITS = FramingLimits(head=MAX_HEAD_BYTES, stated=MAX_BODY_BYTES, body=MAX_BODY_BYTES)
ANSWER_LIMITS = FramingLimits(head=MAX_HEAD_BYTES, stated=MAX_BODY_BYTES)  # a stream may be longer in all
MAX_FIELDS = 128  # of a head with its trailers; a parsed field takes far more memory than its bytes
MAX_EVENT_BYTES = 64 * 1024  # a worker sends an event every few tokens
EMPTY_VALUES = frozenset({b"", b"null", b"{}", b"[]", b'""'})  # of an event's data
LAST_EVENTS = (b"data: [DONE]", b"data:[DONE]")
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def decode_header(value: bytes) -> str:
    """Decode a field value; the parser leaves trailing white space in it, which is removed."""
    return value.rstrip(b" \t").decode("latin-1")


def keep_framing_header(headers: dict[str, str], name: bytes, value: bytes) -> None:
    """Keep a field that decides how the body is framed, by its name in lower case; ignore all others."""
    if (lower_name := name.lower()) in FRAMING_HEADERS:
        headers[lower_name.decode("latin-1")] = decode_header(value)


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Returns the request fields to forward to a worker.

    All end-to-end fields are forwarded, since a worker may use any of them: by `Idempotency-Key`, for
    example, it recognizes a repeated request.
    """
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    return {
        name: value
        for name, value in headers.items()
        if name not in NOT_FORWARDED and name not in named and PRINTABLE_ASCII.fullmatch(value)
    }


def head(start: str, headers: dict[str, str]) -> bytes:
    """Encode a message head from its start line and header fields."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Encode a whole response with a plain-text body."""
    fields = {"Content-Type": "text/plain", "Content-Length": str(len(body))} | (headers or {})
    return head(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", fields) + body


def chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def has_content(event: bytes) -> bool:
    """Whether an event has data that is not empty; comments and other fields alone are no event."""
    data_lines = (line for line in event.splitlines() if line.startswith(b"data:"))
    return any(line[len(b"data:") :].strip() not in EMPTY_VALUES for line in data_lines)


class EventSplitter:
    """Splits a stream of server-sent events into whole events, wherever the reads divide it."""

    BLANK_LINE = re.compile(rb"\r?\n\r?\n")

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def unfinished(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)

    @property
    def buffered_bytes(self) -> int:
        """The size of the event that has begun and not ended."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that are complete now, each with its blank line.

        Raises ValueError if an event exceeds `MAX_EVENT_BYTES`.
        """
        search_from = max(0, len(self._rest) - 3)  # a blank line may be divided between two reads
        self._rest += data
        ends = [found.end() for found in self.BLANK_LINE.finditer(self._rest, search_from)]
        events = [bytes(self._rest[begin:end]) for begin, end in zip([0, *ends], ends, strict=False)]
        if ends:
            del self._rest[: ends[-1]]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("the event is too large")
        return events

    def rest(self) -> bytes:
        """Returns and removes what follows the last blank line, for the end of the stream."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest
