"""The operators' file: its defaults, and messages with key, value and what was expected."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from yewhook.cli import app
from yewhook.config import ConfigError
from yewhook.levels.level import Level
from yewhook.levels.settings import Mode, ServiceLevelSettings, Threshold
from yewhook.log import LogFormat
from yewhook.settings_file import read

DEPLOYED_FILE = Path(__file__).parents[2] / "deploy" / "service.toml"


def write(folder: Path, text: str) -> Path:
    path = folder / "service.toml"
    path.write_text(text)
    return path


def test_the_deployed_file_states_the_defaults() -> None:
    settings = read(DEPLOYED_FILE)
    assert settings.levels == ServiceLevelSettings(mode=Mode.ON)
    assert settings.log is LogFormat.CONSOLE and settings.pin is None


def test_omitted_keys_keep_their_defaults(tmp_path: Path) -> None:
    text = '[levels]\nmode = "watch"\nuse = ["guarded", "essential"]\nconfirm_s = 1\n'
    text += "[levels.guarded]\nload = { enter = 0.9, leave = 0.7 }\n"
    levels = read(write(tmp_path, text)).levels
    assert levels.mode is Mode.WATCH and levels.confirm == 1.0
    assert levels.known == (Level.FULL, Level.GUARDED, Level.ESSENTIAL)
    assert levels.levels[Level.GUARDED].conditions == {"load": Threshold(0.9, 0.7)}
    assert levels.levels[Level.ESSENTIAL] == ServiceLevelSettings().levels[Level.ESSENTIAL]


def test_a_pin_in_the_file_has_an_end_and_a_reason(tmp_path: Path) -> None:
    text = '[levels.pin]\nlevel = "thrifty"\nuntil = 2026-12-01T17:00:00Z\nreason = "drill"\n'
    pin = read(write(tmp_path, text)).pin
    assert pin is not None
    assert (pin.level, pin.until, pin.reason) == (Level.THRIFTY, 1796144400.0, "drill")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[levels]\nmode = 3", "levels.mode: got 3, expected"),
        ('[levels]\nmode = "maybe"', "levels.mode: got 'maybe', invalid enum value"),
        ("[levels]\nmood = 3", "levels.mood: got 3, expected no such key"),
        ("[levles]\nmode = 3", "levles: got {'mode': 3}, expected no such key"),
        (
            '[levels.guarded]\nload = { enter = "x", leave = 1 }',
            "levels.guarded.load.enter: got 'x', expected",
        ),
        (
            "[levels.guarded]\nload = { enter = 1 }",
            "levels.guarded.load.leave: got nothing, expected a value",
        ),
        (
            "[levels.guarded]\nload = { enter = 1, leave = 2 }",
            "levels.guarded.load.leave: got 2, expected 0 or",
        ),
        ("[levels.thrifty]\nretry_after_s = [1]", "levels.thrifty.retry_after_s: got [1], expected"),
        ("[levels.thrifty]\nretry_after_s = [2, 1]", "retry_after_s: got [2.0, 1.0], expected two times"),
        ("[levels]\ntarget = 1.5", "levels.target: got 1.5, expected 0.1 to 1"),
        ('[levels]\nuse = ["full"]', "levels.use"),
        ('[log]\nform = "xml"', "log.form: got 'xml'"),
        ('[recovery]\nmode = "on"', "levels.mode: got 'off', expected 'on' because recovery.mode is 'on'"),
        ("[recovery]\ncut = 1.5", "recovery.cut: got 1.5, expected 0.1 to 0.95"),
        ("[recovery]\nfolders = 1", "recovery.folders: got 1, expected no such key"),
        ("[levels", "service.toml"),
    ],
)
def test_a_mistake_is_reported_in_one_line(tmp_path: Path, text: str, message: str) -> None:
    path = write(tmp_path, text)
    with pytest.raises(ConfigError) as error:
        read(path)
    assert str(error.value).startswith(str(path)) and message in str(error.value)
    done = CliRunner().invoke(app, ["check", "--service", str(path)])
    assert done.exit_code == 2 and message in done.output and "Traceback" not in done.output


def test_the_command_prints_the_configured_levels(tmp_path: Path) -> None:
    text = '[levels]\nmode = "on"\nuse = ["guarded"]\n[levels.guarded]\nload = { enter = 0.9, leave = 0.7 }\n'
    shown = CliRunner().invoke(app, ["levels", "show", "--service", str(write(tmp_path, text))])
    assert shown.exit_code == 0
    assert "levels are on" in shown.output and "entered from 0.9, left under 0.7" in shown.output
    assert "guarded:" in shown.output and "thrifty" not in shown.output
    missing = CliRunner().invoke(app, ["levels", "show", "--service", str(tmp_path / "none.toml")])
    assert missing.exit_code == 2 and "none.toml" in missing.output


@pytest.mark.parametrize("options", [["--for", "10"], ["--for", "0s"], ["--for", "ten minutes"]])
def test_an_invalid_duration_is_rejected(options: list[str]) -> None:
    done = CliRunner().invoke(app, ["levels", "pin", "thrifty", "--reason", "x", *options])
    assert done.exit_code == 2 and "expected a time as 90s, 10m, 2h or 1d" in done.output


def test_the_recovery_is_off_by_default_and_its_paths_are_relative_to_the_file(tmp_path: Path) -> None:
    assert read(write(tmp_path, "")).recovery is None
    text = '[levels]\nmode = "on"\n[recovery]\nmode = "on"\nfolder = "kept"\nevery_s = 5\n'
    recovery = read(write(tmp_path, text)).recovery
    assert recovery is not None and recovery.every == 5.0
    assert recovery.folder == tmp_path / "kept"
