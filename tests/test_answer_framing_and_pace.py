"""A property of answers: sound ones arrive whole, however framed and paced, and all others end in time."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_platform import FLEET, Platform, begin

from yewhook.platform.http import LAST_CHUNK
from yewhook.platform.http import chunk as encode_chunk

EXAMPLES = 60
MAX_WAIT_AFTER_EVENT_S = 5.0  # of a client
PATIENCE_S = 2.0  # until the first event
ANSWER_SLACK_S = 0.5  # after which an answer is lost
MAX_WRITING_S = 4.0  # of one event that is sound
STEP_S = 0.2  # between two writes
TURN_S = 0.05  # of the clock
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CLIENT_END = "\r\n0\r\n\r\n"  # of a whole stream
SIZED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: "


@dataclass(frozen=True)
class SoundAnswer:
    """Events in chunks of so many events each; the first event comes at once, each further chunk slowly."""

    event_bytes: tuple[int, ...]
    events_per_chunk: int
    writing_s: float
    has_length: bool
    comments: bool

    @property
    def events(self) -> list[bytes]:
        """The events with their blank lines."""
        comment = b": comment\n\n" if self.comments else b""
        return [
            b"data: %d%s\n\n%s" % (number, b"x" * size, comment)
            for number, size in enumerate(self.event_bytes)
        ]

    @property
    def body_parts(self) -> list[bytes]:
        """The first event, and what is written slowly, one part after the other."""
        events, count = self.events, self.events_per_chunk
        groups = [b"".join(events[begin : begin + count]) for begin in range(1, len(events), count)]
        return [part if self.has_length else encode_chunk(part) for part in (events[0], *groups)]

    @property
    def head(self) -> bytes:
        """The head of the response."""
        return b"%s%d\r\n\r\n" % (SIZED_HEAD, len(b"".join(self.events))) if self.has_length else HEAD

    @property
    def end(self) -> bytes:
        """What ends the answer."""
        return b"" if self.has_length else LAST_CHUNK


SOUND_ANSWERS = st.builds(
    SoundAnswer,
    event_bytes=st.lists(st.integers(1, 20_000), min_size=1, max_size=5).map(tuple),
    events_per_chunk=st.integers(1, 6),
    writing_s=st.floats(0.0, MAX_WRITING_S),
    has_length=st.booleans(),
    comments=st.booleans(),
)
# What repeats without bringing the stream further, after an opening that may begin something
ENDLESS_PARTS = st.one_of(
    st.tuples(
        st.just(b""), st.sampled_from([b"\n\n", b": c\n\n", b"data:\n\n", b"event: e\n\n", b"id: 1\n\n"])
    ).map(lambda parts: (parts[0], encode_chunk(parts[1]))),
    st.tuples(
        st.sampled_from([b"0", b"1;a=", b"0\r\nX-T: ", encode_chunk(b"data: x"), b"10000\r\ndata: "]),
        st.sampled_from([b"0", b"00000"]),
    ),
    st.tuples(st.integers(2**18 + 1, 2**40).map(lambda size: b"%x\r\n" % size), st.just(b"data: more\n\n")),
)


def advance(p: Platform, seconds: float) -> None:
    """Let some time pass."""
    for _ in range(max(1, round(seconds / TURN_S))):
        p.turn(TURN_S)


def write_over(p: Platform, data: bytes, seconds: float) -> None:
    """The writer sends data in equal parts over a time, never quiet for long."""
    steps = max(1, round(seconds / STEP_S))
    for step in range(steps):
        p.parties["writer"].send(data[len(data) * step // steps : len(data) * (step + 1) // steps])
        advance(p, seconds / steps)


@settings(
    max_examples=EXAMPLES, deadline=None, suppress_health_check=[HealthCheck.too_slow], derandomize=True
)
@given(SOUND_ANSWERS)
def test_sound_answers_arrive_whole_however_they_are_framed_and_paced(answer: SoundAnswer) -> None:
    p = Platform(FLEET)
    try:
        p.play(begin())
        first, *others = answer.body_parts
        p.parties["writer"].send(answer.head + first)
        for part in others:
            write_over(p, part, answer.writing_s)
        p.parties["writer"].send(answer.end)
        p.until(lambda: p.parties["client"].heard.endswith(CLIENT_END), "the last chunk")
        heard = p.parties["client"].heard
        for event in answer.events:
            assert event.decode().partition("\n\n")[0] in heard
    finally:
        p.end()


@settings(
    max_examples=EXAMPLES, deadline=None, suppress_health_check=[HealthCheck.too_slow], derandomize=True
)
@given(ENDLESS_PARTS, st.integers(0, 2), st.floats(0.1, 0.9))
def test_answers_that_never_end_are_ended_in_time(
    parts: tuple[bytes, bytes], sound_events: int, interval_s: float
) -> None:
    p = Platform(FLEET)
    try:
        p.play(begin(f"left={PATIENCE_S * 1000:.0f}m"))
        sent_at = p.clock.now
        p.parties["writer"].send(HEAD + encode_chunk(b"data: one\n\n") * sound_events + parts[0])
        last_event_at = p.clock.now
        limit = last_event_at + MAX_WAIT_AFTER_EVENT_S if sound_events else sent_at + PATIENCE_S
        client, writer = p.parties["client"], p.parties["writer"]
        written_at = p.clock.now
        while not client.ended and "HTTP/1.1 5" not in client.heard and p.clock.now < limit + ANSWER_SLACK_S:
            if writer.sock is not None and p.clock.now - written_at >= interval_s:
                written_at = p.clock.now
                with contextlib.suppress(OSError):
                    writer.send(parts[1])
            p.turn(TURN_S)
        assert p.clock.now < limit + (0.0 if sound_events else ANSWER_SLACK_S)
        assert ("200 OK" in client.heard) == bool(sound_events)
        assert not client.heard.endswith(CLIENT_END)
    finally:
        p.end()
