"""A buffer of blocks of one size, for data of which much is held at once.

A buffer that grows in one piece is moved as it grows, and leaves gaps in the heap that no other one fits.
"""

from __future__ import annotations

BLOCK_BYTES = 4096


class BlockBuffer:
    """Bytes that are appended in small pieces and taken out together."""

    __slots__ = ("_blocks", "_size", "_tail")

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._tail = bytearray()  # shorter than a block
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Append bytes."""
        self._size += len(data)
        if not self._tail and len(data) >= BLOCK_BYTES:
            self._blocks.append(data)
            return
        self._tail += data
        if len(self._tail) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._tail))
            self._tail.clear()

    def joined(self) -> bytes:
        """All bytes in one piece."""
        return b"".join([*self._blocks, self._tail])

    def clear(self) -> None:
        """Drop all bytes."""
        self._blocks.clear()
        self._tail.clear()
        self._size = 0
