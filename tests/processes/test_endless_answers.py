"""Answers of workers that never end, although bytes keep arriving: clients are not left waiting for them."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from cases import Case

from hopshed.interface import Role
from yewlab.processes import endless_answers
from yewlab.processes.endless_answers import EndlessAnswer
from yewlab.processes.operate import Script

ROLES = (Role.READER,) * 3 + (Role.WRITER,) * 3
TURNS_PER_S = 8.0
ANSWERS_OF_EACH_KIND = 2

SETTLE_S = 12.0  # for all of them to be given, and ended


@pytest.fixture
def case(tmp_path: Path) -> Iterator[Case]:
    played = Case(tmp_path, 1, TURNS_PER_S, ROLES)
    yield played
    played.test_bed.close()


def answer_endlessly(case: Case, answers: dict[Role, tuple[EndlessAnswer, ...]]) -> None:
    """Give such answers under load, and check that every client is answered in time."""
    waiting = case.test_bed.workers.endless_answers

    def script() -> Script:
        for role, kinds in answers.items():
            waiting[role].extend(kinds * ANSWERS_OF_EACH_KIND)
        yield SETTLE_S
        assert not any(waiting.values())

    case.play(script)


# Guards against clients left waiting on answers whose stated size is never reached.
def test_clients_are_not_left_waiting_for_answers_that_state_more_than_a_body_may_have(case: Case) -> None:
    answer_endlessly(case, {Role.WRITER: endless_answers.OVERSIZED_ANSWERS})


# Guards against clients left waiting on streams whose framing is sound and which bring no event.
def test_clients_are_not_left_waiting_for_answers_without_events(case: Case) -> None:
    answer_endlessly(case, {Role.WRITER: endless_answers.EMPTY_ANSWERS})


# Guards against streams that are not ended since more bytes always wait to be read.
def test_clients_are_not_left_waiting_for_answers_that_arrive_faster_than_they_are_read(case: Case) -> None:
    answer_endlessly(case, {Role.WRITER: endless_answers.FLOODING_ANSWERS})
