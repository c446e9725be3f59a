"""The phases in which service returns, as a pure state machine.

Phases advance one at a time, after their condition has held for a while, and fall back at once. Under steady
evidence the state settles in the best phase that the evidence supports.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Phase(IntEnum):
    """A phase, from no known workers to full service."""

    NOTHING_KNOWN = 0
    COLD = 1
    TRICKLE = 2
    RAMP = 3
    FULL = 4

    @property
    def label(self) -> str:
        """The name in logs and reports."""
        return LABELS[self]


# Names of the phases in logs and reports
LABELS = {
    Phase.NOTHING_KNOWN: "nothing known",
    Phase.COLD: "known but cold",
    Phase.TRICKLE: "trickle",
    Phase.RAMP: "ramp",
    Phase.FULL: "full",
}
# What each phase waits for before the next one begins; shown to operators
NEXT_PHASE_CONDITIONS = {
    Phase.NOTHING_KNOWN: "a list with a reader and a writer, or a mixed worker",
    Phase.COLD: "an answer or a new start of a reader and of a writer, or of a mixed worker",
    Phase.TRICKLE: "answers in time for a while",
    Phase.RAMP: "all turns admitted and the workers warm, for a while",
    Phase.FULL: "",
}
MIN_WARM_SHARE = 0.9  # of the known workers' capacity, for full service


@dataclass(frozen=True, slots=True)
class PhaseEvidence:
    """What the phase is determined by at one moment."""

    path_listed: bool  # the list has a reader and a writer, or a mixed worker
    path_confirmed: bool  # such workers have answered a router, or were started since the loss
    late: bool  # too much of the worth is late or lost
    all_admitted: bool  # practically no turn is refused
    warm_share: float  # of the known workers' capacity
    only_this_router: bool = False  # the workers were not restarted


def best_phase(evidence: PhaseEvidence) -> Phase:
    """The best phase that the evidence of this moment supports."""
    if not evidence.path_listed:
        return Phase.NOTHING_KNOWN
    if evidence.only_this_router:
        return Phase.FULL
    if not evidence.path_confirmed:
        return Phase.COLD
    if evidence.late:
        return Phase.TRICKLE
    return Phase.FULL if evidence.all_admitted and evidence.warm_share >= MIN_WARM_SHARE else Phase.RAMP


@dataclass(frozen=True, slots=True)
class PhaseState:
    """The present phase."""

    phase: Phase
    since: float  # s
    better_since: float | None = None  # s; since when the evidence supports a better phase

    def step(self, evidence: PhaseEvidence, now: float, calm: float) -> PhaseState:
        """The state after one evaluation; `calm` = seconds for which a better phase must be supported.

        Only a list without the needed workers ends full service: lateness is then left to the levels of
        service.
        """
        best = best_phase(evidence)
        if self.phase is Phase.FULL:
            return PhaseState(Phase.NOTHING_KNOWN, now) if best is Phase.NOTHING_KNOWN else self
        if best < self.phase:
            return PhaseState(best, now)
        if best is self.phase:
            return self if self.better_since is None else PhaseState(self.phase, self.since)
        better_since = now if self.better_since is None else self.better_since
        # Running workers are a fact and need no calm; only the steps that depend on load wait for it.
        required_calm = 0.0 if evidence.only_this_router or self.phase <= Phase.COLD else calm
        if now - better_since >= required_calm:
            next_phase = Phase.FULL if evidence.only_this_router else Phase(self.phase + 1)
            return PhaseState(next_phase, now)
        return PhaseState(self.phase, self.since, better_since)
