"""File access of the recovery behind a narrow interface, so that tests can substitute one that fails."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """The files of one folder, by name. Every method may raise OSError."""

    def open(self, name: str) -> int:
        """Creates a file for writing, or truncates it; returns its descriptor."""

    def append(self, file: int, data: bytes) -> None:
        """Writes all of the data to the end of an open file."""

    def sync(self, file: int) -> None:
        """Makes the contents of an open file durable."""

    def close(self, file: int) -> None:
        """Closes a file."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing one of the new name."""

    def sync_folder(self) -> None:
        """Makes creations and renames durable."""

    def unlink(self, name: str) -> None:
        """Deletes a file if it exists."""

    def read(self, name: str) -> bytes:
        """The contents of a file."""


class Folder:
    """The files of a folder on disk, see `Files`."""

    def __init__(self, path: Path) -> None:
        """Creates the folder if it does not exist. Raises OSError."""
        self._path = path
        path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def open(self, name: str) -> int:
        """Creates a file for writing, or truncates it; returns its descriptor."""
        return os.open(self._path / name, os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_CLOEXEC, 0o600)

    def append(self, file: int, data: bytes) -> None:
        """Writes all of the data to the end of an open file."""
        left = memoryview(data)
        while left:
            left = left[os.write(file, left) :]

    def sync(self, file: int) -> None:
        """Makes the contents of an open file durable."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """Closes a file."""
        os.close(file)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing one of the new name."""
        os.replace(self._path / old, self._path / new)

    def sync_folder(self) -> None:
        """Makes creations and renames durable."""
        file = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def unlink(self, name: str) -> None:
        """Deletes a file if it exists."""
        (self._path / name).unlink(missing_ok=True)

    def read(self, name: str) -> bytes:
        """The contents of a file."""
        return (self._path / name).read_bytes()
