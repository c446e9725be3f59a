"""Pytest plugin for known failures that cannot be fixed yet, listed in `KNOWN-RED.txt`, one per line:

    tests/test_name.py::test_that_fails | command and seed | what was seen | issue
    yewhook lab name --seed 7 | command and seed | what was seen | issue

A listed test is run and reported, but does not fail the run. An entry without `::` is a command that no test
runs; it is printed at the head of the run. A line that names no test fails the run, and so do more than
MAX_KNOWN_RED tests.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
FORM = "test or command | command and seed | what was seen | issue"
MAX_KNOWN_RED = 3


class KnownRed(NamedTuple):
    """One line of the file."""

    subject: str
    command: str
    seen: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Whether the subject is the id of a test; otherwise it is a command."""
        return "::" in self.subject


def read(text: str) -> list[KnownRed]:
    """Parse the content of the file. Raises ValueError."""
    entries = []
    for line in text.splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(KnownRed._fields) or not all(parts):
            raise ValueError(f"{FILE}: expected `{FORM}`, got {line!r}")
        entries.append(KnownRed(*parts))
    tests = [entry.subject for entry in entries if entry.is_test]
    if len(tests) > MAX_KNOWN_RED:
        raise ValueError(f"{FILE}: {len(tests)} tests, {MAX_KNOWN_RED} at most")
    if len(set(tests)) < len(tests):
        raise ValueError(f"{FILE}: a test is listed twice")
    return entries


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures. Raises UsageError for an invalid file."""
    path = config.rootpath / FILE
    try:
        entries = read(path.read_text()) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    items_by_id = {item.nodeid: item for item in items}
    for entry in entries:
        if not entry.is_test:
            continue
        if (item := items_by_id.get(entry.subject)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.issue}: {entry.seen}", strict=False))
        elif not _is_partial_run(config):
            raise pytest.UsageError(f"{FILE}: no test is called {entry.subject}")


def _is_partial_run(config: pytest.Config) -> bool:
    """Whether only some tests were selected, so that a listed test may be absent."""
    paths = [Path(part.partition("::")[0]) for part in config.invocation_params.args if part[:1] != "-"]
    selection = config.option.keyword or config.option.markexpr
    return bool(selection or any((config.rootpath / path).exists() for path in paths))


def pytest_report_header(config: pytest.Config) -> list[str]:
    """Print the listed tests and commands at the head of the run."""
    path = config.rootpath / FILE
    return [f"known red: {line}" for line in path.read_text().splitlines()] if path.exists() else []
