"""Watches discovery's list of workers.

One call is active and brings each change. When it ends or falls silent, another call is opened and replaces
it once it has been answered.

Every router is expected to know a change some seconds after discovery has it, even where the call that should
have brought it has failed. So a call that ends, in any way, is followed by another one within the bound of
`Backoff`, and a call that is not answered soon gets a second one beside it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Any

from hopshed import interface

from ..backoff import Backoff
from ..config import Address
from ..loop import Loop, Timer
from ..start_times import MessageTimes
from ..worker_list import WorkerList
from .watch_call import WatchCall

SILENCE_TIMEOUT_S = 2.5  # discovery sends an empty line every 2 s
# Time after which an unanswered call gets a second one beside it: its length for each router of the tier, and
# its bounds. Discovery answers many callers in turn, and each further call makes all the others wait longer.
# Silence, this wait and the interval between checks together stay under the 6 s after which every router is
# expected to know a list.
ANSWER_TIMEOUT_PER_ROUTER_S = 0.15
MIN_ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_TIMEOUT_S = 2.5
# Beyond this number the oldest call is closed. A single call that is closed and opened again would start at
# the end of discovery's queue each time.
MAX_UNANSWERED_CALLS = 2
CHECK_INTERVAL_S = 0.1  # between checks whether another call is needed
REJECT_OLDER_S = 2.0  # for which, after a hot restart, lists older than the one handed over are rejected
# Discovery sends what has changed along with the head of its answer. Changes that come this long after the
# head have happened since.
FIRST_CHANGES_TIMEOUT_S = 0.3


class Watch:
    """Keeps a call of discovery open and passes its lists on."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        generation: int,
        worker_list: WorkerList,
        listed: Callable[[interface.ListKind, tuple[interface.Server, ...]], None],
        routers: int,
        random: Random,
    ) -> None:
        """Open the first call.

        `generation` is that of the list already known; `listed` receives each list or change. `routers` is
        the number of routers that call the same discovery, and `random` spreads their retries.
        """
        self._loop, self._worker_list, self._listed = loop, worker_list, listed
        self._address = address  # of the next call
        # The generation of the known list, and the address of the discovery that counted it
        self._generation, self._generation_address = generation, address
        self._backoff = Backoff(routers, random)
        self._answer_timeout_s = min(
            MAX_ANSWER_TIMEOUT_S, max(MIN_ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_PER_ROUTER_S * routers)
        )
        self._reject_older_until = -math.inf
        self._last_message_at = loop.now
        self.answered = False  # whether any call has been
        self._active: WatchCall | None = None  # the answered call whose messages are used
        self._unanswered: list[WatchCall] = []  # in the order of their beginning
        self._retry_timer, self._check_timer = Timer(loop), Timer(loop)
        self._open_call()
        self._check()

    def reject_older_lists(self) -> None:
        """Reject older lists for a while: the known one was current in the preceding process until now."""
        self._reject_older_until = self._loop.now + REJECT_OLDER_S

    @property
    def generation(self) -> int:
        """The generation of the last list received."""
        return self._generation

    @property
    def last_message_at(self) -> float:
        """When discovery last sent a message or an empty line, by the loop's clock in seconds."""
        return self._last_message_at

    def switch_address(self, address: Address) -> None:
        """Call another address from now on.

        Its generations may be counted independently, so it is asked for the whole list. The active call to
        the old address is used until the new one has been answered.
        """
        self._address = address
        self._close_unanswered()
        self._backoff.reset()
        self._open_call()

    def close(self) -> None:
        """Close all calls."""
        self._retry_timer.cancel()
        self._check_timer.cancel()
        self._close_unanswered()
        if self._active is not None:
            self._active.close()
            self._active = None

    # ---- calling ----

    def _check(self) -> None:
        self._close_overdue()
        if not self._retry_timer.running and self._needs_call:
            if self._unanswered:
                self._loop.log("discovery watch called", f"again beside {self._unanswered[-1]}")
                self._open_call()
            else:
                self._loop.log(
                    "discovery watch silent",
                    f"for {self._loop.now - self._last_message_at:.2f} s: {self._active or 'no call'}",
                )
                self._retry_timer.set(self._backoff.short_delay(), self._open_call)
        self._check_timer.set(CHECK_INTERVAL_S, self._check)

    @property
    def _needs_call(self) -> bool:
        """Whether the active call brings no message or is missing, and the unanswered have had their time."""
        now, active = self._loop.now, self._active
        if (
            active is not None
            and active.address == self._address
            and now - active.progress.last_unit_at < SILENCE_TIMEOUT_S
        ):
            return False
        return not self._unanswered or now - self._unanswered[-1].began_at >= self._answer_timeout_s

    def _open_call(self) -> None:
        self._retry_timer.cancel()
        after = self._generation if self._generation_address == self._address else 0
        try:
            self._unanswered.append(WatchCall(self, self._loop, self._address, after))
        except OSError as error:
            return self._retry(str(error))
        if len(self._unanswered) > MAX_UNANSWERED_CALLS:
            self._close_one_unanswered()
        return None

    def _close_one_unanswered(self) -> None:
        """Close the oldest call that brings nothing; if all bring something, the last but the newest one.

        A long list that is written slowly arrives in the oldest call.
        """
        *earlier, _ = self._unanswered
        closed = next((call for call in earlier if not call.is_receiving), earlier[-1])
        self._unanswered.remove(closed)
        closed.close()

    def _close_overdue(self) -> None:
        """Close calls whose message does not end; others have been opened beside them."""
        for call in [*self._unanswered, *([self._active] if self._active is not None else [])]:
            if call.is_overdue:
                self._loop.log("discovery watch overdue", str(call))
                call.close()
                self._unanswered = [other for other in self._unanswered if other is not call]
                self._active = None if call is self._active else self._active

    def _retry(self, why: str) -> None:
        wait = self._backoff.next_delay()
        self._loop.log("discovery watch lost", f"{why}; again in {wait:.2f} s")
        if not self._retry_timer.running:
            self._retry_timer.set(wait, self._open_call)

    def _close_unanswered(self) -> None:
        for call in self._unanswered:
            call.close()
        self._unanswered.clear()

    # ---- responses ----

    def call_ended(self, call: WatchCall, why: str) -> None:
        """A call has ended and is closed; the list that it brought stays in use."""
        if call is self._active:
            self._active = None
        elif call in self._unanswered:
            self._unanswered.remove(call)
        self._retry(f"{why}: {call}")

    def message_received(self, call: WatchCall, message: dict[str, Any] | None) -> None:
        """A call has brought a message, or None for an empty line. Raises ValueError."""
        before, self._last_message_at = self._last_message_at, self._loop.now
        if message is not None:
            known_until = before if self.answered else self._first_known_until(message)
            self._apply(call, message, MessageTimes(self._loop.now, known_until))
        elif call.address != self._generation_address:
            return  # it was asked for the whole list and has not sent it yet
        if call is not self._active:
            self._make_active(call)

    def _first_known_until(self, message: dict[str, Any]) -> float:
        """Until when the list known at the start was current, by the loop's clock, at the first message.

        Minus infinity = that is not known, as a whole list or changes that were waiting may be of any age.
        """
        answer_began_at = min(call.answer_began_at for call in self._unanswered)
        waiting = self._loop.now - answer_began_at < FIRST_CHANGES_TIMEOUT_S
        return -math.inf if waiting or message.get("reset") else answer_began_at

    def _make_active(self, call: WatchCall) -> None:
        """Use a call that has been answered and close all others."""
        old, self._active, self.answered = self._active, call, True
        self._unanswered.remove(call)
        self._close_unanswered()
        self._retry_timer.cancel()
        self._backoff.reset()
        if old is not None:
            old.close()

    def _apply(self, call: WatchCall, message: dict[str, Any], received: MessageTimes) -> None:
        try:
            generation = int(message["generation"])
            known = self._generation if call.address == self._generation_address else 0
            if generation < known and self._loop.now < self._reject_older_until:
                # The known list is later and may contain a drain that this one does not. A discovery that has
                # started to count anew sends the same when called again, and is believed after that time.
                raise ValueError(f"a list of generation {generation}, and {known} is known")
            if call is not self._active and call.after_generation <= generation < known:
                return  # overtaken by a later list of the active call; this call sends that one next
            servers = self._worker_list.parse(message, received)
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"an entry: {type(error).__name__} {error}") from error
        self._generation, self._generation_address = generation, call.address
        self._listed(interface.ListKind.FULL if message.get("reset") else interface.ListKind.CHANGES, servers)
