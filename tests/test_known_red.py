"""The plugin known_red: which failures `KNOWN-RED.txt` permits, and which errors it raises."""

from __future__ import annotations

from pathlib import Path

import pytest

ENTRY = "test_it.py::test_red | pytest test_it.py, no seed | the sum is off | issue 28\n"
TESTS = "def test_red():\n    assert False\ndef test_green():\n    assert True\n"


def run(
    pytester: pytest.Pytester, known_red: str | None, tests: str = TESTS, *arguments: str
) -> pytest.RunResult:
    pytester.makepyfile(test_it=tests)
    if known_red is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(known_red)
    pytester.syspathinsert(Path(__file__).parent)
    return pytester.runpytest("-p", "known_red", "-rxX", *arguments)


def test_a_listed_test_that_fails_is_run_and_reported_as_xfailed(pytester: pytest.Pytester) -> None:
    result = run(pytester, ENTRY)
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["known red: test_it.py::test_red*", "XFAIL*test_red*issue 28*the sum*"])
    assert result.ret == 0


def test_unlisted_tests_still_fail_the_run(pytester: pytest.Pytester) -> None:
    tests = TESTS + "def test_other():\n    assert False\n"
    result = run(pytester, ENTRY, tests)
    result.assert_outcomes(passed=1, xfailed=1, failed=1)
    assert result.ret == 1


def test_without_the_file_no_failure_is_permitted(pytester: pytest.Pytester) -> None:
    assert run(pytester, None).ret == 1


@pytest.mark.parametrize(
    ("known_red", "message"),
    [
        (ENTRY.replace("test_red", "test_gone"), "*no test is called test_it.py::test_gone*"),
        ("".join(ENTRY.replace("red", f"red{n}") for n in range(4)), "*4 tests, 3 at most*"),
        (ENTRY * 2, "*a test is listed twice*"),
        ("test_it.py::test_red\n", "*expected `test or command | command and seed | what was seen | issue`*"),
        ("test_it.py::test_red | the sum is off | issue 28\n", "*expected `test or command |*"),
        ("test_it.py::test_red | | the sum is off | issue 28\n", "*expected `test or command |*"),
    ],
)
def test_an_invalid_file_fails_the_run(pytester: pytest.Pytester, known_red: str, message: str) -> None:
    result = run(pytester, known_red)
    assert result.ret != 0
    result.stderr.fnmatch_lines([message])


def test_a_partial_run_may_leave_out_the_listed_test(pytester: pytest.Pytester) -> None:
    result = run(pytester, ENTRY, TESTS, "test_it.py::test_green")
    result.assert_outcomes(passed=1)


def test_a_command_is_printed_and_permits_no_failure(pytester: pytest.Pytester) -> None:
    command = "yewhook lab soak --first 7 | yewhook lab soak --first 7, seed 7 | a lost request | issue 39\n"
    result = run(pytester, command)
    result.stdout.fnmatch_lines(["known red: yewhook lab soak --first 7 | *a lost request | issue 39"])
    result.assert_outcomes(passed=1, failed=1)
    assert result.ret == 1
