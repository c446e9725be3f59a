"""Clocks of an answer that is being received: silence, and progress, which bytes alone do not make."""

from __future__ import annotations


class AnswerProgress:
    """When the last byte and the last useful unit of an answer arrived, in seconds of the loop's clock.

    A useful unit moves something forward: an event that a client gets, a message that is applied. The other
    side may send bytes for ever without one.
    """

    __slots__ = ("last_byte_at", "last_unit_at")

    def __init__(self, now: float) -> None:
        self.last_byte_at = self.last_unit_at = now

    def restart(self, now: float) -> None:
        """Count both clocks from now: the answer has begun, or was not read until now."""
        self.last_byte_at = self.last_unit_at = now

    def byte_received(self, now: float) -> None:
        """Bytes have arrived."""
        self.last_byte_at = now

    def unit_received(self, now: float) -> None:
        """A useful unit has arrived."""
        self.last_byte_at = self.last_unit_at = now

    def ends_at(self, silence_s: float, stall_s: float) -> float:
        """When it is to be given up: after so much silence, or so much time without a useful unit."""
        return min(self.last_byte_at + silence_s, self.last_unit_at + stall_s)
