"""How the levels see a turn: its kind, its estimated work, and what refusing it would lose."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from hopshed.interface import RequestArrived, Settings
from hopshed.quota import Quotas

from .estimators import Mean, RecentKeys

PROMPT_TOKEN_WORK = 1.0 / 12.0  # work of reading one prompt token; generating one answer token is 1
MEAN_GAIN = 0.02  # weight of a sample in the means
# Share of a prompt that has to be read, until it is learnt: by whether the turn belongs to an open session
INITIAL_UNCACHED_SHARE = {True: 0.35, False: 0.8}
OPEN_SESSION_S = 60.0  # for which a session counts as open after a turn, at least


class RefusalLoss(IntEnum):
    """What refusing a turn now would lose, the largest loss first."""

    RESUMED_STREAM = 0  # the rest of a stream that broke, and with it all that was answered
    OPEN_SESSION = 1  # a further turn of a session: the text cached for it
    NEW_SESSION = 2
    CLIENT_RETRY = 3  # a retry by the client: nothing that was not lost before


class TurnKind(NamedTuple):
    """The properties by which turns are admitted; turns of one kind are admitted alike."""

    cls: int  # index of the request class
    refusal_loss: RefusalLoss
    over_share: bool  # beyond its tenant's quota
    long: bool  # far more work than the mean of its class


@dataclass(frozen=True, slots=True)
class Turn:
    """One arriving turn with its estimates."""

    kind: TurnKind
    tenant: int
    work: float  # in answer tokens
    worth: float  # of the whole turn if it is answered within its aim
    aim: float  # s, to the first token
    arrived: float  # s
    repeat: bool = False  # a retry by the client of a turn that was not served


class Turns:
    """Classifies arriving turns, and learns from served ones how much work turns are."""

    def __init__(self, settings: Settings, long_turn_factor: float) -> None:
        self.settings, self.long_turn_factor = settings, long_turn_factor
        classes = len(settings.classes)
        # Answer tokens by class, from the duration of streams at the token rate that the class aims at
        self._answer_tokens = [Mean(MEAN_GAIN) for _ in range(classes)]
        self._work = [Mean(MEAN_GAIN) for _ in range(classes)]
        # Share of a prompt that is not cached, by class and by whether the session was open
        self._uncached = {
            (cls, open_session): Mean(MEAN_GAIN) for cls in range(classes) for open_session in (True, False)
        }
        self._open_sessions = RecentKeys(OPEN_SESSION_S)
        self._quotas = Quotas(settings)

    def classify(self, event: RequestArrived, now: float) -> Turn:
        """Estimates an arriving turn, and counts it against its tenant's quota."""
        open_session = self._open_sessions.seen(event.session, now)
        work = self._estimated_work(event, open_session)
        mean = self._work[event.cls]
        over = self._quotas.over_quota(event.tenant, now)
        kind = TurnKind(event.cls, self._refusal_loss(event, open_session), over, self._is_long(work, mean))
        mean.add(work)
        cls = self.settings.classes[event.cls]
        worth = cls.worth * (work if self.settings.worth_by_work else 1.0)
        worth *= self.settings.over_share_worth if kind.over_share else 1.0
        tenant = min(event.tenant, max(0, len(self.settings.tenants) - 1))
        return Turn(kind, tenant, work, worth, cls.aim_of(event.prompt_tokens), now, event.repeat)

    def _is_long(self, work: float, mean: Mean) -> bool:
        return mean.count > 0 and work > self.long_turn_factor * mean.value

    @staticmethod
    def _refusal_loss(event: RequestArrived, open_session: bool) -> RefusalLoss:
        if event.resumed:
            return RefusalLoss.RESUMED_STREAM
        if open_session:
            return RefusalLoss.OPEN_SESSION
        return RefusalLoss.CLIENT_RETRY if event.repeat else RefusalLoss.NEW_SESSION

    def _estimated_work(self, event: RequestArrived, open_session: bool) -> float:
        answer_tokens = min(
            self._answer_tokens[event.cls].value_or(event.max_tokens / 2.0), event.max_tokens or 1e9
        )
        uncached_tokens = (
            self._uncached[event.cls, open_session].value_or(INITIAL_UNCACHED_SHARE[open_session])
            * event.prompt_tokens
        )
        return max(1.0, answer_tokens + PROMPT_TOKEN_WORK * uncached_tokens)

    @property
    def mean_work(self) -> list[float]:
        """Mean work of a turn by class.

        A class without any turns yet gets the mean of the others: at no cost it would seem the worthiest.
        """
        seen = [mean.value for mean in self._work if mean.count]
        default = sum(seen) / len(seen) if seen else 1.0
        return [mean.value_or(default) for mean in self._work]

    # ---- learning from served turns ----

    def turn_sent(self, session: str, now: float) -> None:
        """A turn of this session was sent to a server, so its text is cached for the next ones."""
        self._open_sessions.add(session, now)

    def prompt_read(self, cls: int, open_session: bool, prompt_tokens: float, cached_tokens: float) -> None:
        """A prompt was read; so many of its tokens were cached."""
        if prompt_tokens > 0:
            self._uncached[cls, open_session].add(max(0.0, 1.0 - cached_tokens / prompt_tokens))

    def answer_streamed(self, cls: int, seconds: float) -> None:
        """An answer was streamed to its end in so many seconds."""
        token_aim = self.settings.classes[cls].token_aim
        if token_aim > 0:
            self._answer_tokens[cls].add(seconds / token_aim)


def top_classes(settings: Settings, mean_work: Sequence[float]) -> frozenset[int]:
    """The classes with the highest worth per unit of work; all others are the lower-worth classes."""
    by_work = settings.worth_by_work
    worth = [
        cls.worth if by_work else cls.worth / max(1e-9, work)
        for cls, work in zip(settings.classes, mean_work, strict=True)
    ]
    return frozenset(n for n, value in enumerate(worth) if value >= 0.999 * max(worth))
