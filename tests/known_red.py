"""Pytest plugin for known failures that cannot be fixed yet, listed in `KNOWN-RED.txt`, one per line:

    tests/test_name.py::test_that_fails | its cause | its issue

These tests are run and reported, but do not fail the run. A line that names no test fails the run, and so do
more than MAX_KNOWN_RED lines.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MAX_KNOWN_RED = 3


class KnownRed(NamedTuple):
    """One line of the file."""

    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """Parse the content of the file. Raises ValueError."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise ValueError(f"{FILE}: {len(lines)} lines, {MAX_KNOWN_RED} at most")
    entries = []
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{FILE}: expected `test | cause | issue`, got {line!r}")
        entries.append(KnownRed(*parts))
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
        if (item := items_by_id.get(entry.test)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.issue}: {entry.cause}", strict=False))
        elif not _is_partial_run(config):
            raise pytest.UsageError(f"{FILE}: no test is called {entry.test}")


def _is_partial_run(config: pytest.Config) -> bool:
    """Whether only some tests were selected, so that a listed test may be absent."""
    paths = [Path(part.partition("::")[0]) for part in config.invocation_params.args if part[:1] != "-"]
    selection = config.option.keyword or config.option.markexpr
    return bool(selection or any((config.rootpath / path).exists() for path in paths))


def pytest_report_header(config: pytest.Config) -> list[str]:
    """Print the listed tests at the head of the run."""
    path = config.rootpath / FILE
    return [f"known red: {line}" for line in path.read_text().splitlines()] if path.exists() else []
