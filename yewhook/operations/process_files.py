"""Files by which the processes of an instance find each other, in a folder that they share.

Processes are numbered in the order of their starts. Process N holds a lock on `N.process` while it lives; the
kernel drops the lock however the process ends, so an unlocked file belongs to a dead process. `N.ready`,
touched periodically, says that process N accepts clients. `N.handover` has the state of N's predecessor. The
process and ready files are empty, since empty files can still be created on a full file system.
"""

from __future__ import annotations

import fcntl
import os
import re
import time
from pathlib import Path

FILE_NAME = re.compile(r"([0-9]{1,9})\.(process|ready|handover)")  # process number and kind of file


class ProcessFiles:
    """This process's files in the folder, and what the files of the others say."""

    def __init__(self, folder: Path) -> None:
        """Register this process under the next free number. Raises OSError."""
        self._folder = folder
        folder.mkdir(mode=0o700, exist_ok=True)
        unnumbered = folder / f"new-{os.getpid()}-{time.monotonic_ns()}"
        self._lock = os.open(unnumbered, os.O_CREAT | os.O_RDWR | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.number = max(self._numbers(), default=0) + 1
        # The file is locked before it gets its name, so that no process takes it for that of a dead one.
        while True:
            try:
                os.link(unnumbered, self._path(self.number, "process"))
                break
            except FileExistsError:
                self.number += 1
        unnumbered.unlink()
        self._remove_dead()

    def _path(self, number: int, suffix: str) -> Path:
        return self._folder / f"{number}.{suffix}"

    def _numbers(self) -> set[int]:
        return {int(match[1]) for name in os.listdir(self._folder) if (match := FILE_NAME.fullmatch(name))}

    def _is_alive(self, number: int) -> bool:
        try:
            descriptor = os.open(self._path(number, "process"), os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        finally:
            os.close(descriptor)
        return False

    def _remove_dead(self) -> None:
        for number in self._numbers() - {self.number}:
            if number < self.number and not self._is_alive(number):
                self._remove(number)

    def _remove(self, number: int) -> None:
        for suffix in ("ready", "handover", "process"):
            self._path(number, suffix).unlink(missing_ok=True)

    def predecessor(self) -> int | None:
        """The number of the last living process started before this one."""
        earlier = sorted((number for number in self._numbers() if number < self.number), reverse=True)
        return next((number for number in earlier if self._is_alive(number)), None)

    def successors(self) -> list[int]:
        """The numbers of the living processes started after this one, in the order of their starts."""
        return sorted(number for number in self._numbers() if number > self.number and self._is_alive(number))

    def mark_ready(self) -> None:
        """Create or renew the mark that this process accepts clients. Raises OSError."""
        path = self._path(self.number, "ready")
        path.touch(mode=0o600)
        os.utime(path)

    def ready_age(self, number: int) -> float | None:
        """Seconds since a process renewed its ready mark; None if it has none."""
        try:
            return max(0.0, time.time() - self._path(number, "ready").stat().st_mtime)
        except OSError:
            return None

    def write_handover(self, number: int, data: bytes) -> None:
        """Write the hand-over for process `number`, atomically. Raises OSError."""
        path = self._path(number, "handover")
        temporary = path.with_name(f"part-{self.number}-{number}")
        try:
            temporary.write_bytes(data)
            temporary.replace(path)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise

    def take_handover(self) -> bytes | None:
        """Read and delete the hand-over for this process; None if there is none or it cannot be read."""
        path = self._path(self.number, "handover")
        try:
            data = path.read_bytes()
            path.unlink()
        except OSError:
            return None
        return data
