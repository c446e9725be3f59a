"""The messages between routers: encoding, and when they are sent."""

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
    WorkerStatus,
    choose_workers,
    pack,
    unpack,
)
from yewhook.recovery.phases import Phase

statuses = st.builds(
    WorkerStatus,
    st.integers(0, 2**48 - 1),
    st.booleans(),
    st.integers(0, 255).map(lambda tenths: tenths / 10),
)
messages = st.builds(
    PeerMessage, st.booleans(), st.sampled_from(Phase), st.integers(0, 10**6).map(lambda tenths: tenths / 10),
    st.lists(statuses, max_size=MAX_WORKERS).map(tuple),
)  # fmt: skip


@given(messages)
def test_a_message_round_trips_and_fits_a_datagram(message: PeerMessage) -> None:
    data = pack(message)
    assert len(data) <= MAX_MESSAGE_BYTES and unpack(data) == message


@given(messages, st.data())
def test_a_truncated_message_or_one_of_another_version_is_rejected(
    message: PeerMessage, data: st.DataObject
) -> None:
    whole = pack(message)
    with pytest.raises(ValueError, match="a message"):
        unpack(whole[: data.draw(st.integers(0, len(whole) - 1))])
    with pytest.raises(ValueError, match="version 9"):
        unpack(whole[:1] + b"\x09" + whole[2:])


@pytest.mark.parametrize("routers", [2, 6, 200])
def test_few_routers_ask_and_few_reply_in_a_fleet_of_any_size(routers: int) -> None:
    schedules = [MessageSchedule(routers, Random(seed), 0.0) for seed in range(routers)]
    asks = sum(bool(schedule.due(0.7, recovering=True)) for schedule in schedules)
    assert asks <= 10 and (routers > 6 or asks > 0)
    replies_soon = []
    for schedule in schedules:
        schedule.asked(1.0)
        replies_soon.append(schedule.next_at <= 1.31)
    assert sum(replies_soon) <= 14


def test_a_large_fleet_sends_few_messages() -> None:
    schedules = [MessageSchedule(200, Random(seed), 0.0) for seed in range(200)]
    sent = sum(
        schedule.due(tenth / 10, recovering=True) is not None
        for tenth in range(10, 310)
        for schedule in schedules
    )
    assert sent < 200 + 200  # the first of each, and at most one more of each within 30 s


def test_a_recovered_router_sends_only_when_asked() -> None:
    schedule = MessageSchedule(2, Random(1), 0.0)
    assert schedule.due(0.7, recovering=False) is not None
    assert schedule.due(1000.0, recovering=False) is None
    schedule.asked(1000.0)
    assert schedule.due(1000.4, recovering=False) is not None


def test_the_latest_seen_workers_are_reported_if_there_are_too_many() -> None:
    reported = choose_workers([WorkerStatus(n, True, float(n)) for n in range(60)], Random(1))
    assert len(reported) == MAX_WORKERS and {status.server for status in reported} >= set(range(10))
