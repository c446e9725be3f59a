"""What several files of tests stand on."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from test_platform import FLEET, Platform

pytest_plugins = ["pytester", "known_red"]
pytest.register_assert_rewrite("cases")


@pytest.fixture
def p() -> Iterator[Platform]:
    platform = Platform(FLEET)
    yield platform
    platform.end()


@pytest.fixture
def wide() -> Iterator[Platform]:
    platform = Platform(FLEET | {"reader2": "prefill", "writer2": "decode"})
    yield platform
    platform.end()
