"""The order in which held requests leave the hold queue."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hopshed.hold_queue import PRIORITY_WAIT_FACTOR, STALE_ENTRIES, HoldQueue
from hopshed.interface import RequestArrived
from hopshed.state import Request

NOW = 100.0


def request(name: str, service_time: float = 0.0, over_quota: bool = False) -> Request:
    """A request of a session with this accumulated service time, in seconds."""
    event = RequestArrived(name, 0, 0, name, 60.0, 100.0)
    return Request(event, 0, NOW, NOW + 60.0, NOW + 1.0, service_time=service_time, over_quota=over_quota)


def names(queue: HoldQueue, now: float) -> list[str]:
    """Take out all requests; their ids, in order."""
    return [queue.pop(now).event.id for _ in range(queue.count)]


def test_the_lowest_service_time_leaves_first_and_equal_ones_in_order_of_arrival() -> None:
    queue = HoldQueue()
    for name, service_time in (("a", 2.0), ("b", 0.5), ("c", 2.0), ("d", 1.0)):
        queue.push(request(name, service_time), NOW)
    assert names(queue, NOW) == ["b", "d", "a", "c"]


def test_a_long_wait_gives_priority_over_lower_service_times() -> None:
    queue = HoldQueue()
    queue.push(request("heavy", 1.0), NOW)
    queue.push(request("light", 0.5), NOW + PRIORITY_WAIT_FACTOR)
    assert names(queue, NOW + PRIORITY_WAIT_FACTOR) == ["heavy", "light"]


def test_requests_over_their_quota_come_last_and_never_get_priority() -> None:
    queue = HoldQueue()
    queue.push(request("over", 0.0, over_quota=True), NOW)
    queue.push(request("usual", 9.0), NOW)
    assert names(queue, NOW + 1000.0) == ["usual", "over"]


@given(st.lists(st.tuples(st.floats(0, 10), st.booleans(), st.booleans()), max_size=60), st.floats(0, 60))
def test_each_request_leaves_once_by_pop_or_remove(rows: list[tuple[float, bool, bool]], wait: float) -> None:
    queue, remaining = HoldQueue(), []
    for number, (service_time, over_quota, leaves) in enumerate(rows):
        one = request(str(number), service_time, over_quota)
        queue.push(one, NOW)
        if leaves:
            queue.remove(one)
            queue.remove(one)
        else:
            remaining.append(one.event.id)
    assert queue.count == len(remaining)
    assert sorted(names(queue, NOW + wait)) == sorted(remaining)
    queue.compact()
    assert queue.count == 0 and not list(queue)


def test_entries_of_requests_that_left_are_dropped() -> None:
    queue = HoldQueue()
    stays = request("stays", 5.0)
    queue.push(stays, NOW)
    for number in range(10 * STALE_ENTRIES):
        one = request(str(number))
        queue.push(one, NOW)
        queue.remove(one)
        queue.compact()
        assert len(list(queue)) <= 4 * queue.count + STALE_ENTRIES
    assert queue.pop(NOW) is stays
