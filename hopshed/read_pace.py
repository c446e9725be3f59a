"""How fast servers of each role read, from reads of this router's own. No clock, no I/O."""

from __future__ import annotations

from .interface import Role

SMALL_READ, OUTLIER = 500.0, 2.0  # no pace is learnt from fewer tokens, or at so many times the pace
FASTER, SLOWER = 0.25, 0.02  # weight of a sample: what is over the pace may be waiting
DOUBT, SURE = 0.9, 5  # part that is left at a refusal after few reads, and how many are few


class ReadPaces:
    def __init__(self) -> None:
        self.by_role = dict.fromkeys(Role, 0.0)  # s a token read; 0 until measured: no refusal on a guess
        self.samples = 0  # reads that taught a pace
        self.measured: set[Role] = (
            set()
        )  # whose pace is not another role's, which stands in until it is known

    def learn(self, role: Role, fresh: float, latency: float) -> None:
        """A read of so many tokens took so many s, waiting included."""
        pace = self.by_role[role] if role in self.measured else 0.0
        if fresh >= SMALL_READ and (not pace or latency / fresh < pace * OUTLIER):
            self.samples += 1
            gain = 1.0 if not pace else FASTER if latency / fresh < pace else SLOWER
            self.by_role[role] = pace + gain * (latency / fresh - pace)
            self.by_role[Role.MIXED] = self.by_role[Role.MIXED] or self.by_role[role]
            self.measured.add(role)

    def lower_if_uncertain(self) -> None:
        """A turn is refused: a young pace would refuse for ever, on one read that had queued (patras)."""
        if self.samples < SURE:
            self.by_role = {role: pace * DOUBT for role, pace in self.by_role.items()}

    def restore(self, paces: dict[Role, float], learnt: int) -> None:
        """Go on from what another one has learnt."""
        self.by_role, self.samples = self.by_role | paces, learnt
        reader, mixed = self.by_role[Role.READER], self.by_role[Role.MIXED]
        self.measured |= {Role.READER} if reader else set()
        self.measured |= {Role.MIXED} if mixed and mixed != reader else set()
