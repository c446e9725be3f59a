"""Answers of servers and of discovery that never end, although bytes keep arriving: framing and pace."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from yewhook.loop import Loop
from yewhook.platform import http

from .http_connections import ServerConnection

STREAM_FIELDS = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
CHUNKED_HEAD = http.head("HTTP/1.1 200 OK", STREAM_FIELDS)
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"more"},"finish_reason":null}]}\n\n'
STATED_BYTES = 4_000_000_000
OPEN_CHUNK = b"%x\r\n" % STATED_BYTES
INTERVAL_S = 0.24  # between two writes of an answer that never ends
MAX_UNSENT_BYTES = 1 << 16  # by an answer at full speed
ENDLESS_S = 20.0  # after which the server closes the connection all the same, so that a test ends
HEARTBEAT_S = 2.0  # between two empty lines of discovery


@dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """One answer: sound events, if any, then an opening, then the same bytes again and again."""

    name: str
    opening: bytes
    repeated: bytes
    sound_events: int = 3
    head: bytes = CHUNKED_HEAD
    interval_s: float = INTERVAL_S
    opens_with_event: bool = False  # the opening is a sound event, the last one


def _sized_head(status: str) -> bytes:
    fields = {"Content-Type": "text/event-stream", "Content-Length": str(STATED_BYTES)}
    return http.head(f"HTTP/1.1 {status}", fields)


# Of writers: a size is stated that no body may have, or a line for a size does not end.
OVERSIZED_ANSWERS = (
    EndlessAnswer("events in a chunk of 4 GB", OPEN_CHUNK, EVENT),
    EndlessAnswer("events in a first chunk of 4 GB", OPEN_CHUNK, EVENT, sound_events=0),
    EndlessAnswer("events in a body of 4 GB", b"", EVENT, sound_events=0, head=_sized_head("200 OK")),
    EndlessAnswer("size line of zeros", b"0", b"0"),
    EndlessAnswer("chunk extension", b"5;a=", b"x"),
)
# Of writers: all is sound in its framing, and no event comes.
EMPTY_ANSWERS = (
    EndlessAnswer("blank lines", b"", http.chunk(b"\n\n")),
    EndlessAnswer("blank lines first", b"", http.chunk(b"\n\n"), sound_events=0),
    EndlessAnswer("comments", b"", http.chunk(b": still here\n\n")),
    EndlessAnswer("comments first", b"", http.chunk(b": still here\n\n"), sound_events=0),
    EndlessAnswer("events without data", b"", http.chunk(b"event: ping\n\n")),
    EndlessAnswer("empty data", b"", http.chunk(b"data:\n\n")),
    EndlessAnswer("null", b"", http.chunk(b"data: null\n\n")),
    EndlessAnswer(
        "events after the last",
        http.chunk(b"data: [DONE]\n\n"),
        http.chunk(b"data: [DONE]\n\n"),
        opens_with_event=True,
    ),
    EndlessAnswer("an event", http.chunk(b"data: "), http.chunk(b"x")),
    EndlessAnswer("trailers", b"0\r\nX-Trailer: ", b"x"),
)
# Of writers: more arrives than the router reads.
FLOODING_ANSWERS = (
    EndlessAnswer("comments at full speed", b"", http.chunk(b": here\n\n") * 3000, interval_s=0.01),
)
# Of writers and readers: no answer to a request.
UNSTREAMED_ANSWERS = (
    EndlessAnswer("head", b"", b"x", sound_events=0, head=b"HTTP/1.1 200 OK\r\nX-Field: "),
    EndlessAnswer("error of 4 GB", b"", b"x", sound_events=0, head=_sized_head("500 Internal Server Error")),
    EndlessAnswer(
        "error in chunks",
        b"",
        http.chunk(b"x"),
        sound_events=0,
        head=http.head("HTTP/1.1 500 Internal Server Error", STREAM_FIELDS),
    ),
)
READER_ANSWERS = (
    *UNSTREAMED_ANSWERS,
    EndlessAnswer("read of 4 GB", b"", b" ", sound_events=0, head=_sized_head("202 Accepted")),
    EndlessAnswer(
        "read in chunks",
        b"",
        http.chunk(b" "),
        sound_events=0,
        head=http.head("HTTP/1.1 202 Accepted", STREAM_FIELDS),
    ),
)
WRITER_ANSWERS = (*OVERSIZED_ANSWERS, *EMPTY_ANSWERS, *UNSTREAMED_ANSWERS)
# Of discovery, on a watch that has been answered.
WATCH_ANSWERS = (
    EndlessAnswer("line", http.chunk(b'{"generation":'), http.chunk(b"1")),
    EndlessAnswer("size line", b"0", b"0"),
    EndlessAnswer("indented message", http.chunk(b'{\n"instances":[\n'), http.chunk(b'{"a":\n1},\n')),
    EndlessAnswer("chunk of 4 GB", OPEN_CHUNK, b"\n", interval_s=HEARTBEAT_S),
)


def write_endlessly(
    loop: Loop,
    connection: ServerConnection,
    answer: EndlessAnswer,
    after_s: float = 0.0,
    may_write: Callable[[], bool] = lambda: True,
    opened: Callable[[], None] = lambda: None,
) -> None:
    """Write an answer's opening after some seconds, and then the bytes that it repeats until it is closed.

    Nothing is written while `may_write` returns False; `opened` is called when the opening is written.
    """
    ends_at = loop.now + after_s + ENDLESS_S

    def write(data: bytes, written: Callable[[], None]) -> None:
        if loop.now >= ends_at:
            connection.channel.abort()
        elif not connection.channel.closed:
            can_write = may_write() and connection.channel.unsent < MAX_UNSENT_BYTES
            if can_write:
                connection.channel.send(data)
                written()
                data, written = answer.repeated, lambda: None
            loop.after(answer.interval_s, partial(write, data, written))

    loop.after(after_s, partial(write, answer.opening, opened))


def write_events(
    loop: Loop,
    connection: ServerConnection,
    answer: EndlessAnswer,
    written: Callable[[], None],
    may_write: Callable[[], bool],
) -> None:
    """Write an answer's head and its sound events, each one interval after the last, then all the rest.

    `written` is called with each sound event, or once where only events that are not sound follow. Nothing is
    written while `may_write` returns False.
    """
    connection.channel.send(answer.head)
    if not answer.sound_events and answer.repeated == EVENT:
        written()

    def write_event() -> None:
        if not connection.channel.closed and may_write():
            connection.channel.send(http.chunk(EVENT))
            written()

    for number in range(answer.sound_events):
        loop.after(answer.interval_s * number, write_event)
    opened = written if answer.opens_with_event else lambda: None
    write_endlessly(loop, connection, answer, answer.interval_s * answer.sound_events, may_write, opened)
