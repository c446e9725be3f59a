"""The order in which held requests are let in, by itself."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hopshed.hold_queue import PRIORITY_WAIT_FACTOR, STALE_ENTRIES, HoldQueue
from hopshed.interface import RequestArrived
from hopshed.state import Request

NOW = 100.0


def request(name: str, cst: float = 0.0, over: bool = False) -> Request:
    event = RequestArrived(name, 0, 0, name, 60.0, 100.0)
    return Request(event, 0, NOW, NOW + 60.0, NOW + 1.0, service_time=cst, over_quota=over)


def names(queue: HoldQueue, now: float) -> list[str]:
    return [queue.pop(now).event.id for _ in range(queue.count)]


def test_the_lowest_cst_goes_first_and_equals_in_the_order_of_arrival() -> None:
    queue = HoldQueue()
    for name, cst in (("a", 2.0), ("b", 0.5), ("c", 2.0), ("d", 1.0)):
        queue.push(request(name, cst), NOW)
    assert names(queue, NOW) == ["b", "d", "a", "c"]


def test_a_long_wait_lifts_a_request_over_lower_cst() -> None:
    queue = HoldQueue()
    queue.push(request("heavy", 1.0), NOW)
    queue.push(request("light", 0.5), NOW + PRIORITY_WAIT_FACTOR)
    assert names(queue, NOW + PRIORITY_WAIT_FACTOR) == ["heavy", "light"]


def test_requests_beyond_their_quota_come_last_and_are_never_lifted() -> None:
    queue = HoldQueue()
    queue.push(request("over", 0.0, over=True), NOW)
    queue.push(request("usual", 9.0), NOW)
    assert names(queue, NOW + 1000.0) == ["usual", "over"]


@given(st.lists(st.tuples(st.floats(0, 10), st.booleans(), st.booleans()), max_size=60), st.floats(0, 60))
def test_each_request_leaves_once_by_pop_or_remove(rows: list[tuple[float, bool, bool]], wait: float) -> None:
    queue, stays = HoldQueue(), []
    for number, (cst, over, leaves) in enumerate(rows):
        one = request(str(number), cst, over)
        queue.push(one, NOW)
        if leaves:
            queue.remove(one)
            queue.remove(one)
        else:
            stays.append(one.event.id)
    assert queue.count == len(stays)
    assert sorted(names(queue, NOW + wait)) == sorted(stays)
    queue.compact()
    assert queue.count == 0 and not list(queue)


def test_what_has_left_does_not_pile_up() -> None:
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
