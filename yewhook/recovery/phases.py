"""The phases in which service returns, as a pure machine: steps up one at a time and after a while of calm,
down at once. Under steady evidence it moves up to where that evidence ends, and stays there."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Phase(IntEnum):
    NOTHING = 0
    COLD = 1
    TRICKLE = 2
    RAMP = 3
    FULL = 4

    @property
    def label(self) -> str:
        return LABELS[self]


LABELS = {
    Phase.NOTHING: "nothing known",
    Phase.COLD: "known but cold",
    Phase.TRICKLE: "trickle",
    Phase.RAMP: "ramp",
    Phase.FULL: "full",
}
WAITS_FOR = {
    Phase.NOTHING: "a list with a reader and a writer, or a mixed worker",
    Phase.COLD: "an answer or a new start of a reader and of a writer, or of a mixed worker",
    Phase.TRICKLE: "answers in time for a while",
    Phase.RAMP: "all that is asked fits what is warm, for a while",
    Phase.FULL: "",
}
WARM = 0.9  # part of the known workers' capacity that is warm, from which on all is as before


@dataclass(frozen=True, slots=True)
class PhaseEvidence:
    """What the phase goes by at one moment."""

    path: bool  # by the list there is a reader and a writer, or a mixed worker
    proven: bool  # such workers have answered somebody, or were started since the loss
    late: bool  # too much of the worth is late or lost
    fits: bool  # all that is asked for is admitted
    warm: float  # part of the known workers' capacity
    alone: bool = False  # only this router was restarted


def reached(sight: PhaseEvidence) -> Phase:
    """The best phase that the evidence of this moment carries."""
    if not sight.path:
        return Phase.NOTHING
    if sight.alone:
        return Phase.FULL
    if not sight.proven:
        return Phase.COLD
    if sight.late:
        return Phase.TRICKLE
    return Phase.FULL if sight.fits and sight.warm >= WARM else Phase.RAMP


@dataclass(frozen=True, slots=True)
class PhaseState:
    phase: Phase
    since: float  # s
    better: float | None = None  # since when the evidence carries a better phase

    def step(self, sight: PhaseEvidence, now: float, calm: float) -> PhaseState:
        """One look. Only want of workers takes full service back: lateness is then the levels' matter."""
        best = reached(sight)
        if self.phase is Phase.FULL:
            return PhaseState(Phase.NOTHING, now) if best is Phase.NOTHING else self
        if best < self.phase:
            return PhaseState(best, now)
        if best is self.phase:
            return self if self.better is None else PhaseState(self.phase, self.since)
        better = now if self.better is None else self.better
        # What is proven needs no calm: only the steps that load decides are waited for.
        waits = 0.0 if sight.alone or self.phase <= Phase.COLD else calm
        if now - better >= waits:
            up = Phase.FULL if sight.alone else Phase(self.phase + 1)
            return PhaseState(up, now)
        return PhaseState(self.phase, self.since, better)
