"""Short messages between the routers of a tier, by UDP: late or never, and nobody waits for one."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

from ..config import Address
from ..loop import Loop

LONGEST = 256  # bytes of a message; a longer one is not permitted
AT_ONCE = 64  # messages read in a turn


class Peers:
    def __init__(
        self,
        loop: Loop,
        listen: Address,
        peers: tuple[Address, ...],
        everyone: Address,
        heard: Callable[[int, bytes], None],
    ) -> None:
        """`peers` = whence each router's messages come, its number being its place; others are not heard.
        Raises OSError."""
        self._loop, self._everyone, self._heard = loop, everyone, heard
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(listen)
        loop.sockets += 1
        loop.watch(self._socket, selectors.EVENT_READ, self._receive)

    def tell(self, data: bytes) -> None:
        """Tell all other routers. What can't be sent is lost like what the network loses."""
        if len(data) > LONGEST:
            raise ValueError(f"a message of {len(data)} bytes, at most {LONGEST} are permitted")
        try:
            self._socket.sendto(data, self._everyone)
        except OSError as error:
            self._loop.log("message to routers lost", str(error))

    def _receive(self, mask: int) -> None:
        for _ in range(AT_ONCE):
            try:
                data, sender = self._socket.recvfrom(LONGEST + 1)
            except BlockingIOError:
                return
            except OSError as error:
                self._loop.log("message from routers lost", str(error))
                return
            if (number := self._numbers.get(sender)) is not None:
                self._heard(number, data)

    def close(self) -> None:
        self._loop.watch(self._socket, 0, self._receive)
        self._socket.close()
        self._loop.sockets -= 1
