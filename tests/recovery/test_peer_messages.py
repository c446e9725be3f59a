"""What routers tell one another, and when."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from yewhook.recovery.peer_messages import (
    MAX_MESSAGE_BYTES,
    MAX_WORKERS,
    MessageSchedule,
    PeerMessage,
    Seen,
    choose,
    pack,
    unpack,
)
from yewhook.recovery.phases import Phase

seen = st.builds(
    Seen, st.integers(0, 2**48 - 1), st.booleans(), st.integers(0, 255).map(lambda tenths: tenths / 10)
)
words = st.builds(
    PeerMessage, st.booleans(), st.sampled_from(Phase), st.integers(0, 10**6).map(lambda tenths: tenths / 10),
    st.lists(seen, max_size=MAX_WORKERS).map(tuple),
)  # fmt: skip


@given(words)
def test_a_word_is_read_as_it_was_written_and_fits_a_datagram(word: PeerMessage) -> None:
    data = pack(word)
    assert len(data) <= MAX_MESSAGE_BYTES and unpack(data) == word


@given(words, st.data())
def test_a_damaged_word_is_passed_over(word: PeerMessage, data: st.DataObject) -> None:
    whole = pack(word)
    with pytest.raises(ValueError, match=r"a message|a word"):
        unpack(whole[: data.draw(st.integers(0, len(whole) - 1))])
    with pytest.raises(ValueError, match="version 9"):
        unpack(whole[:1] + b"\x09" + whole[2:])


@pytest.mark.parametrize("routers", [2, 6, 200])
def test_a_few_ask_and_a_few_answer_however_many_they_are(routers: int) -> None:
    speakers = [MessageSchedule(routers, Random(seed), 0.0) for seed in range(routers)]
    asks = sum(bool(speaker.due(0.7, recovers=True)) for speaker in speakers)
    assert asks <= 10 and (routers > 6 or asks > 0)
    soon = []
    for speaker in speakers:
        speaker.asked(1.0)
        soon.append(speaker.at <= 1.31)
    assert sum(soon) <= 14


def test_the_words_of_a_large_fleet_stay_few() -> None:
    speakers = [MessageSchedule(200, Random(seed), 0.0) for seed in range(200)]
    said = sum(
        speaker.due(tenth / 10, recovers=True) is not None for tenth in range(10, 310) for speaker in speakers
    )
    assert said < 200 + 200  # the first of each, and some ten in 3 s after that


def test_who_has_recovered_speaks_only_when_asked() -> None:
    speaker = MessageSchedule(2, Random(1), 0.0)
    assert speaker.due(0.7, recovers=False) is not None
    assert speaker.due(1000.0, recovers=False) is None
    speaker.asked(1000.0)
    assert speaker.due(1000.4, recovers=False) is not None


def test_the_latest_are_told_first_where_there_are_too_many() -> None:
    told = choose([Seen(n, True, float(n)) for n in range(60)], Random(1))
    assert len(told) == MAX_WORKERS and {one.server for one in told} >= set(range(10))
