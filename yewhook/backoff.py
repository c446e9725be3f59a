"""How long one of many routers waits before it calls a service again that all of them use.

A service that has stopped responding is called again soon, and the call is then left open: the service
answers it as soon as it is back, and until then it costs nothing. A service that answers with an error, or
closes the connection, is called again after growing delays, which spread the calls of all routers.
"""

from __future__ import annotations

from random import Random

# Mean delays per router of the tier: all routers together call 20 times a second at first, 4 times later.
FIRST_DELAY_PER_ROUTER_S = 0.05
MAX_DELAY_PER_ROUTER_S = 0.25
# Upper bounds of the mean delays, however many routers there are. A router counts as knowing a change of the
# server list 6 s after it could have received it, so no delay may come near to that with its jitter.
FIRST_DELAY_CAP_S = 1.0
MAX_DELAY_CAP_S = 2.5
SHORT_DELAY_CAP_S = 0.3
JITTER = 0.8  # part of a delay by which it varies in both directions


class Backoff:
    """Delays that double with each failure up to a maximum, and grow with the number of routers up to a cap.

    Each delay is drawn with jitter: routers that failed together would otherwise call again together.
    """

    def __init__(self, routers: int, random: Random) -> None:
        self._first = min(FIRST_DELAY_PER_ROUTER_S * routers, FIRST_DELAY_CAP_S)
        self._max = min(MAX_DELAY_PER_ROUTER_S * routers, MAX_DELAY_CAP_S)
        self._random = random
        self.reset()

    def reset(self) -> None:
        """Start over with the first delay: the service has answered."""
        self._delay = self._first

    def short_delay(self) -> float:
        """Seconds to wait before a service that has only stopped responding is called again.

        It is too short for the server list to become outdated by it.
        """
        return self._random.uniform(0.0, SHORT_DELAY_CAP_S)

    def next_delay(self) -> float:
        """Seconds to wait after one more failure."""
        delay, self._delay = self._delay, min(2 * self._delay, self._max)
        return delay * self._random.uniform(1 - JITTER, 1 + JITTER)
