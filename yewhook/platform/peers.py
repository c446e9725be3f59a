"""Short UDP messages between the routers of a tier; they may be delayed or lost, and are never acknowledged.

A message does not wake the event loop: hundreds of routers send hundreds of messages a second, and a turn
costs far more than to read a message. The socket is polled in each turn that takes place anyway; the routing
module's periodic timer ensures that there are such turns.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from ..config import Address
from ..loop import Loop, Timer
from ..sockets import bind
from ..transient_errors import retry_transient

MAX_MESSAGE_BYTES = 256  # the platform's limit on datagrams
MAX_MESSAGES_PER_TURN = 64
BIND_RETRY_S = 0.05  # between attempts to bind while another process of this instance holds the address


class Peers:
    """Sends messages to all other routers of the tier and receives theirs."""

    def __init__(
        self,
        loop: Loop,
        listen: Address,
        peers: tuple[Address, ...],
        broadcast: Address,
        message_received: Callable[[int, bytes], None],
        may_be_bound: bool = False,
    ) -> None:
        """Bind the socket.

        `peers` are the addresses from which the routers send; a router's number is its index, and messages
        from other addresses are ignored. `may_be_bound` says that another process of this instance may still
        hold the address, so that binding is retried. Raises OSError.
        """
        self._loop, self._broadcast, self._message_received = loop, broadcast, message_received
        self._listen, self._numbers = listen, {address: number for number, address in enumerate(peers)}
        self._socket: socket.socket | None = None
        self._bind_timer = Timer(loop)
        if may_be_bound:
            self.open()
        else:
            retry_transient(self._bind)

    def _bind(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            bind(sock, self._listen)
        except OSError:
            sock.close()
            raise
        self._socket = sock
        self._loop.sockets += 1
        self._loop.pollers.append(self._receive)

    def open(self) -> None:
        """Bind the socket if it is closed, and retry for as long as another process holds the address."""
        if self._socket is None:
            try:
                self._bind()
            except OSError:
                self._bind_timer.set(BIND_RETRY_S, self.open)

    def tell(self, data: bytes) -> None:
        """Send a message to all other routers; one that cannot be sent is dropped and logged.

        Raises ValueError if it exceeds `MAX_MESSAGE_BYTES`.
        """
        if self._socket is None:
            return
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError(f"a message of {len(data)} bytes, at most {MAX_MESSAGE_BYTES} are permitted")
        try:
            self._socket.sendto(data, self._broadcast)
        except OSError as error:
            self._loop.log("message to routers lost", str(error))

    def _receive(self) -> None:
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self._socket is None:
                return
            try:
                data, sender = self._socket.recvfrom(MAX_MESSAGE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:
                self._loop.log("message from routers lost", str(error))
                return
            if (number := self._numbers.get(sender)) is not None:
                self._message_received(number, data)

    def close(self) -> None:
        """Close the socket and stop binding retries."""
        self._bind_timer.cancel()
        if self._socket is not None:
            self._loop.pollers.remove(self._receive)
            self._socket.close()
            self._loop.sockets -= 1
            self._socket = None
