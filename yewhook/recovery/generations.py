"""Two generations of a file that is replaced as a whole, so that a complete one survives a power loss."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress

from .files import Files

CHUNK_BYTES = 64 * 1024  # written per call


class Generations:
    """The file `name` is the latest, `name.old` the one before, `name.new` one that is being written."""

    def __init__(self, files: Files, name: str) -> None:
        self._files, self._name = files, name

    def write(self, data: bytes) -> Iterator[None]:
        """Writes a new generation, one file operation per step, so that no step blocks for long.

        Raises OSError; then an earlier generation can still be read.
        """
        files, new = self._files, f"{self._name}.new"
        file = files.open(new)
        try:
            for begin in range(0, len(data), CHUNK_BYTES):
                files.append(file, data[begin : begin + CHUNK_BYTES])
                yield
            files.sync(file)
            yield
        finally:
            files.close(file)
        with suppress(FileNotFoundError):  # the first generation has no predecessor
            files.rename(self._name, f"{self._name}.old")
        files.rename(new, self._name)
        yield
        files.sync_folder()

    def write_synchronously(self, data: bytes) -> None:
        """Writes a new generation at once: for small data that must be durable before it is acted on.

        Raises OSError.
        """
        for _ in self.write(data):
            pass

    def read(self) -> Iterator[bytes]:
        """The contents of the generations that can be read, the latest first; they may be incomplete."""
        for name in (self._name, f"{self._name}.old"):
            with suppress(OSError):
                yield self._files.read(name)
