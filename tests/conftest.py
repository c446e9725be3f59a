"""Fixtures and plugins shared by several test files."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from test_platform import FLEET, Platform

pytest_plugins = ["pytester", "known_red"]
pytest.register_assert_rewrite("cases")


@pytest.fixture
def p() -> Iterator[Platform]:
    """A router of the platform with the workers of FLEET."""
    platform = Platform(FLEET)
    yield platform
    platform.end()


@pytest.fixture
def wide() -> Iterator[Platform]:
    """A router of the platform with one more reader and one more writer."""
    platform = Platform(FLEET | {"reader2": "prefill", "writer2": "decode"})
    yield platform
    platform.end()
