"""A machine that is short of files or buffers for a moment: a process starts, and reads its files."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from yewhook.config import ConfigError
from yewhook.log import Log
from yewhook.loop import Loop
from yewhook.platform.peers import Peers
from yewhook.service import RELOAD_RETRY_S, RELOAD_TRIES, Service, listen
from yewhook.transient_errors import RETRY_INTERVAL_S, RETRY_TIMEOUT_S, is_transient, retry_transient

FREE = ("127.0.0.1", 0)


class Failing:
    """A call that fails so many times before it succeeds."""

    def __init__(self, times: int, number: int) -> None:
        self.times, self.number, self.calls = times, number, 0

    def __call__(self) -> str:
        self.calls += 1
        if self.calls <= self.times:
            raise OSError(self.number, os.strerror(self.number))
        return "done"


class Time:
    """A clock that moves on by what is slept."""

    def __init__(self) -> None:
        self.now = 0.0

    def sleep(self, seconds: float) -> None:
        self.now += seconds


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EINTR])
def test_a_call_that_fails_for_want_of_something_is_made_again(number: int) -> None:
    time, call = Time(), Failing(20, number)
    assert retry_transient(call, lambda: time.now, time.sleep) == "done"
    assert time.now == pytest.approx(20 * RETRY_INTERVAL_S)


def test_what_is_never_there_is_given_up_in_time() -> None:
    time = Time()
    with pytest.raises(OSError, match="files"):
        retry_transient(Failing(10**6, errno.ENFILE), lambda: time.now, time.sleep)
    assert RETRY_TIMEOUT_S <= time.now <= RETRY_TIMEOUT_S + 2 * RETRY_INTERVAL_S


@pytest.mark.parametrize("number", [errno.EADDRINUSE, errno.EACCES, errno.ENOENT])
def test_what_no_wait_mends_is_told_at_once(number: int) -> None:
    call = Failing(1, number)
    with pytest.raises(OSError):
        retry_transient(call)
    assert call.calls == 1


def test_a_file_that_cannot_be_opened_for_want_of_descriptors_is_no_wrong_setting() -> None:
    wrong = ConfigError("limits: wrong")
    short = ConfigError("cannot be read")
    short.__cause__ = OSError(errno.EMFILE, "too many")
    assert is_transient(short) and not is_transient(wrong)


@pytest.fixture
def scarce(monkeypatch: pytest.MonkeyPatch) -> Callable[[int], None]:
    """Let so many sockets fail to open."""

    def fail(times: int) -> None:
        left, plain = [times], socket.socket.__init__

        def init(self: socket.socket, *arguments: int, **named: int) -> None:
            if left[0] and "fileno" not in named and len(arguments) < 4:
                left[0] -= 1
                raise OSError(errno.ENOBUFS, "injected")
            plain(self, *arguments, **named)

        monkeypatch.setattr(socket.socket, "__init__", init)

    return fail


def test_a_process_listens_though_its_first_sockets_fail(scarce: Callable[[int], None]) -> None:
    # One error of `socket` as a process began was the end of it.
    scarce(2)
    with listen(FREE) as listener:
        assert listener.getsockname()[1] > 0


def test_routers_hear_one_another_though_the_first_socket_fails(scarce: Callable[[int], None]) -> None:
    loop = Loop(Log("test"))
    scarce(1)
    peers = Peers(loop, FREE, (), FREE, lambda number, data: None)
    assert loop.sockets == 1
    peers.close()


@pytest.mark.parametrize(("fails", "taken"), [(RELOAD_TRIES - 1, True), (RELOAD_TRIES, False)])
def test_a_reload_waits_for_descriptors(fails: int, taken: bool, tmp_path: Path) -> None:
    # Discovery's new address counts 4 s after SIGHUP, and one file that could not be opened kept the old one.
    now, read = [0.0], list[str]()
    loop = Loop(Log("test"), lambda: now[0])
    service = Service(Log("test"), loop)
    tries = Failing(fails, errno.ENFILE)

    def put_in_force() -> str:
        read.append("new")
        return ""

    def configuration() -> Callable[[], str]:
        try:
            tries()
        except OSError as error:
            raise ConfigError("the file cannot be read") from error
        return put_in_force

    service.reloaders.append(configuration)
    service.reload()
    while now[0] < RELOAD_TRIES * RELOAD_RETRY_S + 0.5:
        now[0] += RELOAD_RETRY_S / 2
        loop.run_turn(0.0)
    assert bool(read) is taken and tries.calls <= RELOAD_TRIES
