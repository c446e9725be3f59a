"""The little of HTTP/1.1 that clients' and workers' sides share: heads, chunks and events of a stream."""

from __future__ import annotations

import re

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    411: "Length Required", 413: "Content Too Large", 429: "Too Many Requests",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
# Fields of a client's request that workers act on, besides its id and its time: a request that has one of
# them twice, or with what no worker can read, makes no sense.
ACTED_ON = (
    "host", "x-lane", "x-org", "x-entity", "x-labels", "x-resent", "idempotency-key", "content-type",
)  # fmt: skip
# Fields of one connection or of the message's form there (RFC 9110, 7.6.1), or that a router words anew
OWN = {
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "x-txn", "x-remaining",
}  # fmt: skip
PLAIN = re.compile(r"[ -~]{0,1024}")  # what any worker can read in a head
BODY_LIMIT = 256 * 1024
HEAD_LIMIT = 32 * 1024
EVENT_LIMIT = 64 * 1024  # a worker sends an event every few tokens
GO_ON = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def decode_header(value: bytes) -> str:
    """A field's value without the white space that may stand behind it, which the parser leaves there."""
    return value.rstrip(b" \t").decode("latin-1")


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """The fields of a client's request that go on to the worker: all that are not of one connection. A worker
    may go by any of them; by `Idempotency-Key` it knows repeats of a request."""
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    return {n: v for n, v in headers.items() if n not in OWN and n not in named and PLAIN.fullmatch(v)}


def head(start: str, headers: dict[str, str]) -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    fields = {"Content-Type": "text/plain", "Content-Length": str(len(body))} | (headers or {})
    return head(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", fields) + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class EventSplitter:
    """Cuts a stream of server-sent events into whole events, wherever the reads fell."""

    END = re.compile(rb"\r?\n\r?\n")

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def unfinished(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """The events that are whole now, each with its blank line. ValueError if one has no end."""
        looked = max(0, len(self._rest) - 3)  # a blank line may stand across two reads
        self._rest += data
        ends = [found.end() for found in self.END.finditer(self._rest, looked)]
        events = [bytes(self._rest[begin:end]) for begin, end in zip([0, *ends], ends, strict=False)]
        if ends:
            del self._rest[: ends[-1]]
        if len(self._rest) > EVENT_LIMIT:
            raise ValueError("an event without end")
        return events

    def rest(self) -> bytes:
        """What stands after the last blank line, once the stream has ended."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest
