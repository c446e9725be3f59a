"""What a turn is to the levels: its kind, its work, and what its refusal would lose."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from hopshed.interface import RequestArrived, Settings
from hopshed.quota import Quotas

from .estimators import Mean, Recent

READ_COST = 1.0 / 12.0  # work of a prompt token that has to be read, where that of an answer's token is 1
GAIN = 0.02  # weight of a sample in the means
# Part of a prompt to be read, for sessions under way and for others, until it is learnt
FRESH_FIRST = {True: 0.35, False: 0.8}
SESSION_SPAN = 60.0  # s for which a session counts as under way, at least


class RefusalLoss(IntEnum):
    """What refusing a turn now would lose, the most first."""

    RESUMED_STREAM = 0  # the rest of a stream that broke: all that was answered
    OPEN_SESSION = 1  # a session's further turn: the text that is kept for it
    NEW_SESSION = 2
    CLIENT_RETRY = 3  # the client's own repeat: nothing that was not lost before


class TurnKind(NamedTuple):
    cls: int
    refusal_loss: RefusalLoss
    over_share: bool  # beyond its client's share
    long: bool  # far more work than its class's mean


@dataclass(frozen=True, slots=True)
class Turn:
    kind: TurnKind
    tenant: int
    work: float  # in tokens of answer
    worth: float  # of all of it, if answered within its aim
    aim: float  # s
    arrived: float
    repeat: bool = False  # the client asks again for what was not served


class Turns:
    """Sorts arriving turns, and learns what they cost from those that were served."""

    def __init__(self, settings: Settings, long_turn: float) -> None:
        self.settings, self.long_turn = settings, long_turn
        classes = len(settings.classes)
        self._answer = [Mean(GAIN) for _ in range(classes)]  # tokens, by streams' time at the class's pace
        self._work = [Mean(GAIN) for _ in range(classes)]
        self._fresh = {(cls, under_way): Mean(GAIN) for cls in range(classes) for under_way in (True, False)}
        self._sessions = Recent(SESSION_SPAN)
        self._quotas = Quotas(settings)

    def classify(self, ev: RequestArrived, now: float) -> Turn:
        under_way = self._sessions.seen(ev.session, now)
        work = self._work_of(ev, under_way)
        mean = self._work[ev.cls]
        over = self._quotas.over_quota(ev.tenant, now)
        kind = TurnKind(ev.cls, self._standing(ev, under_way), over, self._long(work, mean))
        mean.add(work)
        cls = self.settings.classes[ev.cls]
        worth = cls.worth * (work if self.settings.worth_by_work else 1.0)
        worth *= self.settings.over_share_worth if kind.over_share else 1.0
        tenant = min(ev.tenant, max(0, len(self.settings.tenants) - 1))
        return Turn(kind, tenant, work, worth, cls.aim_of(ev.prompt_tokens), now, ev.repeat)

    def _long(self, work: float, mean: Mean) -> bool:
        return mean.count > 0 and work > self.long_turn * mean.value

    @staticmethod
    def _standing(ev: RequestArrived, under_way: bool) -> RefusalLoss:
        if ev.resumed:
            return RefusalLoss.RESUMED_STREAM
        if under_way:
            return RefusalLoss.OPEN_SESSION
        return RefusalLoss.CLIENT_RETRY if ev.repeat else RefusalLoss.NEW_SESSION

    def _work_of(self, ev: RequestArrived, under_way: bool) -> float:
        answer = min(self._answer[ev.cls].known(ev.max_tokens / 2.0), ev.max_tokens or 1e9)
        fresh = self._fresh[ev.cls, under_way].known(FRESH_FIRST[under_way]) * ev.prompt_tokens
        return max(1.0, answer + READ_COST * fresh)

    @property
    def mean_work(self) -> list[float]:
        """By class; one that never came counts as the others do, and not as one that costs nothing."""
        seen = [mean.value for mean in self._work if mean.count]
        otherwise = sum(seen) / len(seen) if seen else 1.0
        return [mean.known(otherwise) for mean in self._work]

    # ---- what is learnt ----

    def begun(self, session: str, now: float) -> None:
        """A turn of this session is on its way: the next ones find its text kept."""
        self._sessions.add(session, now)

    def read(self, cls: int, under_way: bool, prompt: float, kept: float) -> None:
        if prompt > 0:
            self._fresh[cls, under_way].add(max(0.0, 1.0 - kept / prompt))

    def streamed(self, cls: int, seconds: float) -> None:
        pace = self.settings.classes[cls].token_aim
        if pace > 0:
            self._answer[cls].add(seconds / pace)


def top_classes(settings: Settings, mean_work: Sequence[float]) -> frozenset[int]:
    """The classes of the highest worth for a unit of work; the others are the lesser ones."""
    by_work = settings.worth_by_work
    worth = [
        c.worth if by_work else c.worth / max(1e-9, w)
        for c, w in zip(settings.classes, mean_work, strict=True)
    ]
    return frozenset(n for n, value in enumerate(worth) if value >= 0.999 * max(worth))
