"""Short messages between the routers of a tier, by UDP: late or never, and nobody waits for one.

None wakes the process: hundreds of routers say hundreds of things a second. What has come is read in turns
that there are, the module's tick among them, and not in each of them.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Callable

from ..config import Address
from ..loop import Loop, Timer
from ..transient_errors import retry_transient

LONGEST = 256  # bytes of a message; a longer one is not permitted
AT_ONCE = 64  # messages read in a turn
PAUSE = 0.02  # s between looks at what has come
OPEN_AGAIN = 0.05  # s between tries for an address that another process of this instance still has


class Peers:
    def __init__(
        self,
        loop: Loop,
        listen: Address,
        peers: tuple[Address, ...],
        everyone: Address,
        heard: Callable[[int, bytes], None],
        waits: bool = False,
    ) -> None:
        """`peers` = whence each router's messages come, its number being its place; others are not heard.
        `waits` = another process of this instance may still have the address. Raises OSError."""
        self._loop, self._everyone, self._heard = loop, everyone, heard
        self._listen, self._numbers = listen, {address: number for number, address in enumerate(peers)}
        self._socket: socket.socket | None = None
        self._again, self._looked = Timer(loop), -math.inf
        if waits:
            self.open()
        else:
            retry_transient(self._open)

    def _open(self) -> None:
        mine = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        mine.setblocking(False)
        try:
            mine.bind(self._listen)
        except OSError:
            mine.close()
            raise
        self._socket = mine
        self._loop.sockets += 1
        self._loop.pollers.append(self._receive)

    def open(self) -> None:
        """Hear and speak again, once the other process has let the address go."""
        if self._socket is None:
            try:
                self._open()
            except OSError:
                self._again.set(OPEN_AGAIN, self.open)

    def tell(self, data: bytes) -> None:
        """Tell all other routers. What can't be sent is lost like what the network loses."""
        if self._socket is None:
            return
        if len(data) > LONGEST:
            raise ValueError(f"a message of {len(data)} bytes, at most {LONGEST} are permitted")
        try:
            self._socket.sendto(data, self._everyone)
        except OSError as error:
            self._loop.log("message to routers lost", str(error))

    def _receive(self) -> None:
        if self._loop.now - self._looked < PAUSE:
            return
        self._looked = self._loop.now
        for _ in range(AT_ONCE):
            if self._socket is None:
                return
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
        self._again.cancel()
        if self._socket is not None:
            self._loop.pollers.remove(self._receive)
            self._socket.close()
            self._loop.sockets -= 1
            self._socket = None
