"""Tests that a peer that does not read is detected, in simulated time."""

from __future__ import annotations

from yewhook.log import Log
from yewhook.loop import Loop
from yewhook.slow_reader import CHECK_INTERVAL_S, STALL_TIMEOUT_S, SlowReader


class Peer:
    """A peer with unsent bytes that records what its `SlowReader` reports."""

    def __init__(self, caught_up_at: int = 0) -> None:
        self.now = 100.0
        self.loop = Loop(Log("test"), clock=lambda: self.now)
        self.unsent = 1000
        self.reports: list[str] = []
        caught_up = (lambda: self.reports.append("caught up")) if caught_up_at else None
        self.watch = SlowReader(
            self.loop, lambda: self.unsent, lambda: self.reports.append("stalled"), caught_up_at, caught_up
        )

    def wait(self, seconds: float, taken: int = 0) -> None:
        """Advance the clock; the peer takes this number of bytes in each check interval."""
        for _ in range(round(seconds / CHECK_INTERVAL_S)):
            self.unsent -= taken
            self.now += CHECK_INTERVAL_S
            self.loop.run_turn(0.0)


def test_a_peer_that_reads_nothing_is_reported_once_after_the_timeout() -> None:
    peer = Peer()
    peer.watch.start()
    peer.wait(STALL_TIMEOUT_S)
    assert peer.reports == [] and peer.watch.watching
    peer.wait(2 * CHECK_INTERVAL_S)
    assert peer.reports == ["stalled"] and not peer.watch.watching
    peer.wait(2 * STALL_TIMEOUT_S)
    assert peer.reports == ["stalled"]


def test_a_peer_that_reads_a_little_is_kept_while_more_is_written() -> None:
    peer = Peer()
    peer.watch.start()
    for _ in range(6):
        peer.wait(STALL_TIMEOUT_S / 2)
        peer.wait(CHECK_INTERVAL_S, taken=1)
        peer.unsent += 100
    assert peer.reports == [] and peer.watch.watching


def test_a_peer_that_has_caught_up_is_no_longer_watched() -> None:
    peer = Peer(caught_up_at=500)
    peer.watch.start()
    peer.wait(2.0, taken=100)
    assert peer.reports == ["caught up"] and not peer.watch.watching
    peer.wait(2 * STALL_TIMEOUT_S)
    assert peer.reports == ["caught up"]


def test_a_stopped_watch_reports_nothing_and_can_be_restarted() -> None:
    peer = Peer()
    peer.watch.start()
    peer.wait(STALL_TIMEOUT_S - 1.0)
    peer.watch.stop()
    peer.wait(5.0)
    peer.watch.start()
    peer.wait(STALL_TIMEOUT_S - 1.0)
    assert peer.reports == []
