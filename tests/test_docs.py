"""Checks that the documentation and the deployment files agree with the program."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

from yewhook.dnssd import Records
from yewhook.jsonrpc import Code
from yewhook.toolcalls.config import read

ROOT = Path(__file__).parent.parent


def test_the_on_call_page_lists_exactly_the_log_events() -> None:
    sources = "".join(path.read_text() for path in (ROOT / "yewhook").rglob("*.py"))
    written = set(re.findall(r'\b(?:log|_?say)\(\s*"([^"]+)"', sources))
    listed = set(re.findall(r"^\| `([^`]+)` \|", (ROOT / "docs" / "ON-CALL.md").read_text(), re.MULTILINE))
    assert written == listed


def test_the_tool_calls_page_lists_exactly_the_error_codes() -> None:
    text = (ROOT / "docs" / "TOOL-CALLS.md").read_text()
    assert {int(code) for code in re.findall(r"^\| (-32\d+) \|", text, re.MULTILINE)} == set(Code)


def test_the_deployed_tool_calls_files_are_valid() -> None:
    config = read(ROOT / "deploy" / "toolcalls.toml")
    records = Records(config.records, config.domain)
    assert [s.name for s in records.browse(config.tool_service)] == ["repair-desk"]
    assert {s.texts["kind"] for s in records.browse(config.worker_service)} <= set(config.names.kinds)


def test_the_tool_calls_front_is_off_on_the_platform() -> None:
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert command.endswith("-m yewhook serve")  # without --toolcalls, which would start the tool-calls front


def test_ci_runs_the_test_command_that_the_readme_names() -> None:
    assert "make lint test" in (ROOT / "README.md").read_text()
    assert "make lint test" in (ROOT / ".ci" / "run").read_text()


def test_the_tests_named_on_the_crossings_page_exist() -> None:
    tests = "".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))
    functions, files = re.findall(r"def (test_\w+)", tests), {p.stem for p in (ROOT / "tests").rglob("*.py")}
    named = re.findall(r"\btest_\w+", (ROOT / "docs" / "design" / "crossings.md").read_text())
    assert len(named) > 40
    for name in named:
        assert name in files or any(function.startswith(name.rstrip("_")) for function in functions), name


def test_files_written_next_to_sites_are_ignored_by_git() -> None:
    ignored = {Path(line).name for line in (ROOT / ".gitignore").read_text().splitlines()}
    assert {"real.json", "wire.json", "unlock.txt"} <= ignored
