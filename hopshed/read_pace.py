"""How fast servers of each role read prompts, learned from this router's own reads."""

from __future__ import annotations

from .interface import Role

MIN_SAMPLE_TOKENS = 500.0  # tokens; the pace of shorter reads says little
OUTLIER_FACTOR = 2.0  # samples over this multiple of the pace are ignored
FASTER_GAIN = 0.25  # weight of a sample below the pace
SLOWER_GAIN = 0.02  # weight of a sample above the pace, which may include time in the queue
UNCERTAIN_FACTOR = 0.9  # multiplies an uncertain pace when a turn is refused
CERTAIN_SAMPLES = 5  # samples from which on a pace is certain


class ReadPaces:
    """The pace of each role's servers, in seconds a token."""

    def __init__(self) -> None:
        self.by_role = dict.fromkeys(Role, 0.0)  # 0 = not measured yet, which refuses no turn
        self.samples = 0  # number of reads from which the paces were learned
        self.measured: set[Role] = set()  # others use the other role's pace

    def learn(self, role: Role, fresh: float, latency: float) -> None:
        """Learn from a read of `fresh` tokens that took `latency` seconds, time in the queue included."""
        pace = self.by_role[role] if role in self.measured else 0.0
        if fresh >= MIN_SAMPLE_TOKENS and (not pace or latency / fresh < pace * OUTLIER_FACTOR):
            self.samples += 1
            gain = 1.0 if not pace else FASTER_GAIN if latency / fresh < pace else SLOWER_GAIN
            self.by_role[role] = pace + gain * (latency / fresh - pace)
            self.by_role[Role.MIXED] = self.by_role[Role.MIXED] or self.by_role[role]
            self.measured.add(role)

    def lower_if_uncertain(self) -> None:
        """Lower an uncertain pace after a refusal: one read that had queued would cause lasting refusals."""
        if self.samples < CERTAIN_SAMPLES:
            self.by_role = {role: pace * UNCERTAIN_FACTOR for role, pace in self.by_role.items()}

    def restore(self, paces: dict[Role, float], samples: int) -> None:
        """Continue from the paces that another controller has learned."""
        self.by_role, self.samples = self.by_role | paces, samples
        reader, mixed = self.by_role[Role.READER], self.by_role[Role.MIXED]
        self.measured |= {Role.READER} if reader else set()
        self.measured |= {Role.MIXED} if mixed and mixed != reader else set()
