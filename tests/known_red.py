"""Tests that fail for a fault which can't be mended yet: `KNOWN-RED.txt`, one line each.

    tests/test_name.py::test_that_fails | its cause | the issue that names it

They are run and printed, and do not fail the run. A line that names no test fails it, and so does a fourth.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE, MOST = "KNOWN-RED.txt", 3


class KnownRed(NamedTuple):
    test: str
    cause: str
    issue: str


def read(text: str) -> list[KnownRed]:
    """The entries of the file. Raises ValueError."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"{FILE}: {len(lines)} lines, {MOST} at most")
    entries = []
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{FILE}: expected `test | cause | issue`, got {line!r}")
        entries.append(KnownRed(*parts))
    return entries


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = config.rootpath / FILE
    try:
        entries = read(path.read_text()) if path.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error
    named = {item.nodeid: item for item in items}
    for entry in entries:
        if (item := named.get(entry.test)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.issue}: {entry.cause}", strict=False))
        elif not _partial(config):
            raise pytest.UsageError(f"{FILE}: no test is called {entry.test}")


def _partial(config: pytest.Config) -> bool:
    """Whether only a part of the tests was asked for, so that the others can't be missed."""
    asked = [Path(part.partition("::")[0]) for part in config.invocation_params.args if part[:1] != "-"]
    chosen = config.option.keyword or config.option.markexpr
    return bool(chosen or any((config.rootpath / path).exists() for path in asked))


def pytest_report_header(config: pytest.Config) -> list[str]:
    path = config.rootpath / FILE
    return [f"known red: {line}" for line in path.read_text().splitlines()] if path.exists() else []
