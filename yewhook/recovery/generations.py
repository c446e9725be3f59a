"""Two generations of a file that is written whole: whenever the power goes, an earlier whole one is there."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress

from .files import Files

PIECE = 64 * 1024  # bytes written at a time


class Generations:
    """`name` is the latest, `name.old` the one before, `name.new` one that is being written."""

    def __init__(self, files: Files, name: str) -> None:
        self._files, self._name = files, name

    def write(self, data: bytes) -> Iterator[None]:
        """One step at each `next`, each bounded by one call of the disk. Raises OSError; then what was there
        before can still be read."""
        files, new = self._files, f"{self._name}.new"
        file = files.open(new)
        try:
            for begin in range(0, len(data), PIECE):
                files.append(file, data[begin : begin + PIECE])
                yield
            files.sync(file)
            yield
        finally:
            files.close(file)
        with suppress(FileNotFoundError):  # the first one has nothing before it
            files.rename(self._name, f"{self._name}.old")
        files.rename(new, self._name)
        yield
        files.sync_folder()

    def write_whole(self, data: bytes) -> None:
        """All steps at once, for what is small and must be there before anybody acts on it. Raises
        OSError."""
        for _ in self.write(data):
            pass

    def read(self) -> Iterator[bytes]:
        """What is there, the latest first; whether it is whole is for its form to say."""
        for name in (self._name, f"{self._name}.old"):
            with suppress(OSError):
                yield self._files.read(name)
