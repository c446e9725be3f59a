"""The program as a process: its command line, signals and logs."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from settings import ENV
from typer.testing import CliRunner

from yewhook import __version__
from yewhook.cli import app
from yewhook.log import BURST, MAX_DETAIL, SPAN, Log
from yewhook.memory_monitor import resident_bytes

ROOT = Path(__file__).parent.parent
LEAST_MEMORY_BYTES = 32 << 20


def config(folder: Path, **changes: object) -> Path:
    raw = {"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f", "settings": ENV}
    path = folder / "config.json"
    path.write_text(json.dumps(raw | changes))
    return path


@contextmanager
def started(command: list[str], env: dict[str, str]) -> Iterator[subprocess.Popen[str]]:
    """Start a process whose log can be read, and kill it at the end, also where a check fails before that."""
    with subprocess.Popen(
        command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def names_of_open_files(pid: int) -> list[str]:
    """What a process's descriptors refer to, listed anew where one was closed before it could be read."""
    while True:
        try:
            return [os.readlink(path) for path in Path(f"/proc/{pid}/fd").iterdir()]
        except FileNotFoundError:
            assert Path(f"/proc/{pid}").exists()


def test_sigterm_right_after_the_start_ends_the_process_in_order(tmp_path: Path) -> None:
    env = os.environ | {"PROXY_CONFIG": str(config(tmp_path)), "PROXY_NAME": "n3"}
    command = [sys.executable, "-m", "yewhook", "serve"]
    with started(command, env) as process:
        assert process.stderr is not None
        line = process.stderr.readline()
        # Signal handlers must be installed before this line is written, or the signal kills the process.
        assert " n3 serving: " in line
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
        rest = process.stderr.read()
    assert "to ending" in rest and "stopped" in rest and "Traceback" not in rest


# Guards against a process that passes the least memory that the platform gives before its first client.
def test_a_router_without_clients_takes_three_quarters_of_the_least_memory_at_most(tmp_path: Path) -> None:
    env = os.environ | {"PROXY_CONFIG": str(config(tmp_path)), "PROXY_NAME": "n3"}
    command = [sys.executable, "-m", "yewhook", "serve"]
    with started(command, env) as process:
        assert process.stderr is not None
        assert any(" state: starting to ready" in line for line in process.stderr)
        resident = resident_bytes(process.pid)
    assert resident < LEAST_MEMORY_BYTES * 3 / 4


def test_a_router_holds_no_unix_socket(tmp_path: Path) -> None:
    # The platform permits TCP and UDP over IPv4 only, so the wake-up for signals must not use a socket pair.
    program = (
        "import socket\n"
        "def refuse(*_, **__): raise OSError('no Unix sockets here')\n"
        "socket.socketpair = refuse\n"
        "from yewhook.cli import app\n"
        "app(['serve'])\n"
    )
    env = os.environ | {"PROXY_CONFIG": str(config(tmp_path)), "PROXY_NAME": "n3"}
    command = [sys.executable, "-c", program]
    with started(command, env) as process:
        assert process.stderr is not None
        assert " n3 serving: " in process.stderr.readline()
        unix_inodes = {line.split()[6] for line in Path("/proc/net/unix").read_text().splitlines()[1:]}
        open_files = names_of_open_files(process.pid)
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
    assert open_files and not [
        name for name in open_files if name.removeprefix("socket:[").rstrip("]") in unix_inodes
    ]


def test_sighup_reloads_the_configuration_and_never_ends_the_process(tmp_path: Path) -> None:
    # Without a handler SIGHUP ends the process. At a reload the file takes precedence over the environment,
    # which is as old as the process.
    path = config(tmp_path)
    env = os.environ | {"PROXY_CONFIG": str(path), "PROXY_NAME": "n3", "PROXY_DISCOVERY": "127.0.0.1:1"}
    command = [sys.executable, "-m", "yewhook", "serve"]
    with started(command, env) as process:
        assert process.stderr is not None

        def logged(text: str) -> bool:
            return any(text in line for line in iter(process.stderr.readline, ""))  # type: ignore[union-attr]

        assert logged(" n3 serving: ")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        assert logged(" n3 reload refused: ")
        config(tmp_path, discovery="127.0.0.1:2")
        process.send_signal(signal.SIGHUP)
        assert logged(" n3 reloaded: discovery is now at 127.0.0.1:2")
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0


@pytest.mark.parametrize(
    ("changes", "complaint"),
    [
        ({"listen": "nowhere"}, "PROXY_LISTEN: expected host:port"),
        ({"settings": {}}, "at least one request class"),
        ({"settings": 3}, "expected an object with 'settings'"),
        ({"seed": "xyz"}, "invalid literal"),
        ({"limits": {"sockets": 8}}, "limits.sockets = 8: expected a number of at least 32"),
        ({"limits": {"memory_mb": "all"}}, "limits.memory_mb = 'all': expected a number of at least 16"),
        ({"settings": {}}, "config.json: settings: "),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, changes: dict[str, object], complaint: str
) -> None:
    monkeypatch.setenv("PROXY_CONFIG", str(config(tmp_path, **changes)))
    for command in ("check", "serve"):
        done = CliRunner().invoke(app, [command])
        assert done.exit_code == 2 and complaint in done.output and "Traceback" not in done.output


def test_version_check_browse_and_status_commands(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    run = CliRunner().invoke
    monkeypatch.delenv("PROXY_CONFIG", raising=False)
    assert run(app, ["version"]).output.strip() == __version__
    assert "not set" in run(app, ["check"]).output
    good = run(app, ["check", "--toolcalls", "deploy/toolcalls.toml", "--fleet", "deploy/fleet.toml"])
    assert good.exit_code == 0 and "127.0.0.1:9443" in good.output
    zone = ["deploy/fleet.zone", "fleet.teranga.example.", "_yewhook-tool._tcp"]
    assert "repair-desk" in run(app, ["browse", *zone]).output
    assert run(app, ["browse", str(tmp_path / "none"), *zone[1:]]).exit_code == 2
    nobody = run(app, ["status", "--agent", "127.0.0.1:1"])
    assert nobody.exit_code == 1 and "no agent" in nobody.output


def test_a_long_detail_is_cut_in_the_log(capsys: pytest.CaptureFixture[str]) -> None:
    Log("n1")("something", "x" * 100_000)
    line = capsys.readouterr().err
    assert len(line) < 2 * MAX_DETAIL and "(100000 characters)" in line


def test_log_lines_of_one_event_are_limited(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    now = [0.0]
    monkeypatch.setattr("yewhook.log.time.monotonic", lambda: now[0])
    log = Log("n1")
    for _ in range(BURST + 5):
        log("accept failed", "why")
    log("stopped")
    now[0] = SPAN + 1
    log("accept failed", "why")
    # Suppressed lines must not create log records, since misbehaving clients cause hundreds of them.
    records: list[object] = []
    monkeypatch.setattr("yewhook.log.logging.LogRecord", lambda *args: records.append(args))
    for _ in range(BURST):
        log._limit.left_out("accept failed")
    log("accept failed", "why")
    assert not records
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == BURST + 2
    assert lines[-1].endswith("(5 lines like this were left out)")
