"""The processes of an instance, in the order of their starts, as files in the folder that they share.

`N.process` is locked by its process for as long as that lives, whatever ends it: a lock that can be had is a
process that is gone. `N.ready`, renewed now and then, says that process N accepts clients. `N.handover` is
what N's predecessor knows. Marks are empty files, for a full folder still takes those.
"""

from __future__ import annotations

import fcntl
import os
import re
import time
from pathlib import Path

FILE = re.compile(r"([0-9]{1,9})\.(process|ready|handover)")


class ProcessFiles:
    def __init__(self, folder: Path) -> None:
        """Take the next place. Raises OSError."""
        self._folder = folder
        folder.mkdir(mode=0o700, exist_ok=True)
        fresh = folder / f"new-{os.getpid()}-{time.monotonic_ns()}"
        self._lock = os.open(fresh, os.O_CREAT | os.O_RDWR | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.number = max(self._numbers(), default=0) + 1
        while True:  # its name is there only with its lock on, so nobody takes it for a dead one
            try:
                os.link(fresh, self._path(self.number, "process"))
                break
            except FileExistsError:
                self.number += 1
        fresh.unlink()
        self._clean()

    def _path(self, number: int, what: str) -> Path:
        return self._folder / f"{number}.{what}"

    def _numbers(self) -> set[int]:
        return {int(found[1]) for name in os.listdir(self._folder) if (found := FILE.fullmatch(name))}

    def _lives(self, number: int) -> bool:
        try:
            file = os.open(self._path(number, "process"), os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        finally:
            os.close(file)
        return False

    def _clean(self) -> None:
        for number in self._numbers() - {self.number}:
            if number < self.number and not self._lives(number):
                self._remove(number)

    def _remove(self, number: int) -> None:
        for what in ("ready", "handover", "process"):
            self._path(number, what).unlink(missing_ok=True)

    def predecessor(self) -> int | None:
        """The living process next before this one."""
        earlier = sorted((n for n in self._numbers() if n < self.number), reverse=True)
        return next((n for n in earlier if self._lives(n)), None)

    def successors(self) -> list[int]:
        """The living processes after this one, the next one first."""
        return sorted(n for n in self._numbers() if n > self.number and self._lives(n))

    def mark_ready(self) -> None:
        """Say, or say again, that this process accepts clients. Raises OSError."""
        path = self._path(self.number, "ready")
        path.touch(mode=0o600)
        os.utime(path)

    def ready_age(self, number: int) -> float | None:
        """s since a process last said that it accepts; None where it has not."""
        try:
            return max(0.0, time.time() - self._path(number, "ready").stat().st_mtime)
        except OSError:
            return None

    def hand(self, number: int, data: bytes) -> None:
        """Give a process what this one knows, whole or not at all. Raises OSError."""
        path = self._path(number, "handover")
        part = path.with_name(f"part-{self.number}-{number}")
        try:
            part.write_bytes(data)
            part.replace(path)
        except OSError:
            part.unlink(missing_ok=True)
            raise

    def handed(self) -> bytes | None:
        """What the predecessor has given, once; its file's room is given back."""
        path = self._path(self.number, "handover")
        try:
            data = path.read_bytes()
            path.unlink()
        except OSError:
            return None
        return data
