"""How fast servers of each role read, from reads of this router's own. No clock, no I/O."""

from __future__ import annotations

from .interface import Role

SMALL_READ, OUTLIER = 500.0, 2.0  # no pace is learnt from fewer tokens, or at so many times the pace
FASTER, SLOWER = 0.25, 0.02  # weight of a sample: what is over the pace may be waiting
DOUBT, SURE = 0.9, 5  # part that is left at a refusal after few reads, and how many are few


class Paces:
    def __init__(self) -> None:
        self.of = dict.fromkeys(Role, 0.0)  # s a token read; 0 until measured: no refusal on a guess
        self.learnt = 0  # reads that taught a pace
        self.own: set[Role] = set()  # whose pace is not another role's, which stands in until it is known

    def learn(self, role: Role, fresh: float, latency: float) -> None:
        """A read of so many tokens took so many s, waiting included."""
        pace = self.of[role] if role in self.own else 0.0
        if fresh >= SMALL_READ and (not pace or latency / fresh < pace * OUTLIER):
            self.learnt += 1
            gain = 1.0 if not pace else FASTER if latency / fresh < pace else SLOWER
            self.of[role] = pace + gain * (latency / fresh - pace)
            self.of[Role.MIXED] = self.of[Role.MIXED] or self.of[role]
            self.own.add(role)

    def doubt(self) -> None:
        """A turn is refused: a young pace would refuse for ever, on one read that had queued (patras)."""
        if self.learnt < SURE:
            self.of = {role: pace * DOUBT for role, pace in self.of.items()}

    def resume(self, paces: dict[Role, float], learnt: int) -> None:
        """Go on from what another one has learnt."""
        self.of, self.learnt = self.of | paces, learnt
        reader, mixed = self.of[Role.READER], self.of[Role.MIXED]
        self.own |= {Role.READER} if reader else set()
        self.own |= {Role.MIXED} if mixed and mixed != reader else set()
