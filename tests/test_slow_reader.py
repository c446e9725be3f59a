"""How a peer that takes nothing of what is written to it is found out, in virtual time."""

from __future__ import annotations

from yewhook.log import Log
from yewhook.loop import Loop
from yewhook.slow_reader import CHECK_INTERVAL, STALL_TIMEOUT, SlowReader


class Peer:
    """Has so many bytes unsent to it, and notes what the watch says of it."""

    def __init__(self, caught_up_at: int = 0) -> None:
        self.now = 100.0
        self.loop = Loop(Log("test"), clock=lambda: self.now)
        self.unsent = 1000
        self.said: list[str] = []
        caught_up = (lambda: self.said.append("caught up")) if caught_up_at else None
        self.watch = SlowReader(
            self.loop, lambda: self.unsent, lambda: self.said.append("stalled"), caught_up_at, caught_up
        )

    def wait(self, seconds: float, takes: int = 0) -> None:
        """Time goes on; it takes so many bytes in each interval."""
        for _ in range(round(seconds / CHECK_INTERVAL)):
            self.unsent -= takes
            self.now += CHECK_INTERVAL
            self.loop.run_turn(0.0)


def test_a_peer_that_takes_nothing_is_given_up_once_after_the_timeout() -> None:
    peer = Peer()
    peer.watch.start()
    peer.wait(STALL_TIMEOUT)
    assert peer.said == [] and peer.watch.watching
    peer.wait(2 * CHECK_INTERVAL)
    assert peer.said == ["stalled"] and not peer.watch.watching
    peer.wait(2 * STALL_TIMEOUT)
    assert peer.said == ["stalled"]


def test_a_peer_that_takes_a_little_is_kept_though_more_is_written_meanwhile() -> None:
    peer = Peer()
    peer.watch.start()
    for _ in range(6):
        peer.wait(STALL_TIMEOUT / 2)
        peer.wait(CHECK_INTERVAL, takes=1)
        peer.unsent += 100
    assert peer.said == [] and peer.watch.watching


def test_a_peer_that_has_caught_up_is_not_watched_any_more() -> None:
    peer = Peer(caught_up_at=500)
    peer.watch.start()
    peer.wait(2.0, takes=100)
    assert peer.said == ["caught up"] and not peer.watch.watching
    peer.wait(2 * STALL_TIMEOUT)
    assert peer.said == ["caught up"]


def test_a_watch_that_is_stopped_says_nothing_and_may_begin_anew() -> None:
    peer = Peer()
    peer.watch.start()
    peer.wait(STALL_TIMEOUT - 1.0)
    peer.watch.stop()
    peer.wait(5.0)
    peer.watch.start()
    peer.wait(STALL_TIMEOUT - 1.0)
    assert peer.said == []
