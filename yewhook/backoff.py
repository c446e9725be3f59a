"""How long one router of many waits before it asks again for what all of them ask of the same place.

What has fallen silent is asked again soon, and then waited for: whoever waits is answered as soon as it is
back, in its turn, and costs nothing meanwhile. What answers that it can't, or breaks off, is asked in
turns."""

from __future__ import annotations

from random import Random

FIRST, MOST = 0.05, 0.25  # s for each router of the tier: together they ask 20 times a s at first, then 4
# s that a router waits on average, however many there are: the first time, and later. What is missed counts
# as told 6 s after it could be heard, so with its spread no wait may come near to that.
FIRST_LONGEST, LONGEST = 1.0, 2.5
SOON = 0.3  # s
SPREAD = 0.8  # part of a wait by which it is longer or shorter


class Backoff:
    """Waits that double from one failure to the next, the longer the more routers there are, as far as a list
    may be late. Each is drawn anew, for routers that failed together would else come back together."""

    def __init__(self, routers: int, random: Random) -> None:
        self._first, self._most = min(FIRST * routers, FIRST_LONGEST), min(MOST * routers, LONGEST)
        self._random = random
        self.reset()

    def reset(self) -> None:
        """It has answered: the next failure is the first one again."""
        self._wait = self._first

    def short_delay(self) -> float:
        """s to wait before asking again what has only fallen silent: so little that nobody is late by it."""
        return self._random.uniform(0.0, SOON)

    def next_delay(self) -> float:
        """s to wait after one more failure."""
        wait, self._wait = self._wait, min(2 * self._wait, self._most)
        return wait * self._random.uniform(1 - SPREAD, 1 + SPREAD)
