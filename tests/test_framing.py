"""Tests of the reader of framing that HTTP connections share: sizes, cuts of reads, and endless lines."""

from __future__ import annotations

import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yewhook.platform.framing import (
    MAX_SIZE_LINE_BYTES,
    BodyTooLargeError,
    FramedReader,
    FramingError,
    FramingLimits,
    HeadTooLargeError,
)

LIMITS = FramingLimits(head=200, stated=1000, body=3000)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
LAST = b"0\r\n\r\n"


class Owner:
    """An owner of a reader that keeps what it is told."""

    def __init__(self, limits: FramingLimits = LIMITS) -> None:
        self.body, self.complete = b"", 0
        self._headers: dict[str, str] = {}
        self._parser = httptools.HttpResponseParser(self)
        self.reader = FramedReader(self._parser, limits)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        headers, self._headers = self._headers, {}
        self._informational = self._parser.get_status_code() < 200
        if not self._informational:
            self.reader.head_complete(headers, is_response=True)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if not self._informational:
            self.complete += 1
            self.reader.message_complete()


def feed(owner: Owner, data: bytes, cuts: list[int]) -> None:
    """Feed data in reads of these sizes, in turn."""
    begin = number = 0
    while begin < len(data):
        end = begin + cuts[number % len(cuts)]
        owner.reader.feed(data[begin:end])
        begin, number = end, number + 1


def encode(parts: list[bytes], extension: bytes, leading_zeros: int) -> bytes:
    """Encode chunks, with an extension and zeros before each size."""
    return b"".join(b"0" * leading_zeros + b"%x%s\r\n%s\r\n" % (len(part), extension, part) for part in parts)


PARTS = st.lists(st.binary(min_size=1, max_size=400), max_size=6)
CUTS = st.lists(st.integers(1, 600), min_size=1, max_size=6)
EXTENSIONS = st.sampled_from([b"", b";a", b';a="b c"'])
TRAILERS = st.sampled_from([b"", b"X-T: 1\r\n", b"X-T: 1\r\nX-U: 2\r\n"])


@settings(deadline=None)
@given(PARTS, CUTS, EXTENSIONS, st.integers(0, 5), TRAILERS, st.booleans())
def test_sound_messages_pass_whole_however_reads_divide_them(
    parts: list[bytes], cuts: list[int], extension: bytes, zeros: int, trailers: bytes, informational: bool
) -> None:
    owner = Owner()
    message = HEAD + encode(parts, extension, zeros) + b"0\r\n" + trailers + b"\r\n"
    feed(owner, (INFORMATIONAL if informational else b"") + message + message, cuts)
    assert owner.body == b"".join(parts) * 2 and owner.complete == 2


@settings(deadline=None)
@given(PARTS, CUTS, st.integers(1001, 2**70), st.integers(0, 5))
def test_a_size_over_the_limit_is_refused_where_it_is_stated(
    parts: list[bytes], cuts: list[int], size: int, zeros: int
) -> None:
    owner = Owner()
    with pytest.raises(BodyTooLargeError):
        feed(owner, HEAD + encode(parts, b"", 0) + b"0" * zeros + b"%x" % size, cuts)
    assert owner.body == b"".join(parts)  # what precedes it is passed on
    with pytest.raises((BodyTooLargeError, httptools.HttpParserError)):
        feed(Owner(), b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size, cuts)


@settings(deadline=None)
@given(st.binary(max_size=300), CUTS)
def test_anything_may_follow_a_head_and_only_expected_errors_are_raised(data: bytes, cuts: list[int]) -> None:
    for head in (b"", HEAD, HEAD + b"5\r\nhello\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"):
        try:
            feed(Owner(), head + data, cuts)
        except (FramingError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            continue


@pytest.mark.parametrize("line", [b"-5\r\n", b"+5\r\n", b"1_0\r\n", b"0x5\r\n", b"\r\n", b"g\r\n", b";a\r\n"])
def test_a_size_that_is_not_a_number_is_refused(line: bytes) -> None:
    for cuts in ([1], [1000]):
        with pytest.raises((FramingError, httptools.HttpParserError)):
            feed(Owner(), HEAD + line + b"hello\r\n" * 3, cuts)


@pytest.mark.parametrize("begin", [b"0", b"1;a="])
def test_the_line_of_a_size_may_not_be_endless(begin: bytes) -> None:
    owner = Owner()
    owner.reader.feed(HEAD + begin)
    with pytest.raises((FramingError, httptools.HttpParserError)):
        feed(owner, b"0" * (MAX_SIZE_LINE_BYTES + 1), [10])


def test_a_head_and_its_trailers_have_one_limit() -> None:
    with pytest.raises(HeadTooLargeError):
        feed(Owner(), b"HTTP/1.1 200 OK\r\nX: " + b"y" * 300, [50])
    with pytest.raises(HeadTooLargeError):
        feed(Owner(), HEAD + b"0\r\nX: " + b"y" * 300, [50])
    with pytest.raises(HeadTooLargeError):
        feed(Owner(), INFORMATIONAL * 10, [50])


def test_all_chunks_of_a_body_have_one_limit_where_it_is_set() -> None:
    data = HEAD + encode([b"x" * 600] * 6, b"", 0)
    with pytest.raises(BodyTooLargeError):
        feed(Owner(), data, [100])
    owner = Owner(FramingLimits(head=200, stated=1000))
    feed(owner, data + LAST, [100])
    assert (len(owner.body), owner.complete) == (3600, 1)


def test_a_response_without_a_size_lasts_until_its_connection_ends() -> None:
    owner = Owner()
    feed(owner, b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 5000, [100])
    assert (len(owner.body), owner.complete) == (5000, 0)
