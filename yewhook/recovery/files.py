"""All file work of what is kept, through one narrow interface, so that a faulty one can take its place."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """Files of one folder, by name. Every call may raise OSError."""

    def open(self, name: str) -> int:
        """A new file to be written; what had that name is gone."""

    def append(self, file: int, data: bytes) -> None: ...

    def sync(self, file: int) -> None: ...

    def close(self, file: int) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def sync_folder(self) -> None: ...

    def unlink(self, name: str) -> None: ...

    def read(self, name: str) -> bytes: ...


class Folder:
    """The files of a folder on a disk."""

    def __init__(self, path: Path) -> None:
        """Raises OSError."""
        self._path = path
        path.mkdir(mode=0o700, parents=True, exist_ok=True)

    def open(self, name: str) -> int:
        return os.open(self._path / name, os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_CLOEXEC, 0o600)

    def append(self, file: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[os.write(file, left) :]

    def sync(self, file: int) -> None:
        os.fsync(file)

    def close(self, file: int) -> None:
        os.close(file)

    def rename(self, old: str, new: str) -> None:
        os.replace(self._path / old, self._path / new)

    def sync_folder(self) -> None:
        file = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def unlink(self, name: str) -> None:
        (self._path / name).unlink(missing_ok=True)

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()
