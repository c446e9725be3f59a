"""Loopback addresses for processes that will listen there once they have started."""

from __future__ import annotations

import errno
import socket
from pathlib import Path
from random import SystemRandom

from yewhook.config import Address

FIRST_PORT, MAX_PORT = 10_000, 65_535
# The system takes the ports of outgoing connections from this range.
EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")

_returned: set[Address] = set()


def free_address(host: str) -> Address:
    """Return an address at which nobody listens now, each only once.

    Its port is none that the system gives to an outgoing connection before the process listens there. Raises
    OSError if the host is not an address of this machine.
    """
    first_ephemeral_port = int(EPHEMERAL_PORTS.read_text().split()[0])
    end = first_ephemeral_port if first_ephemeral_port > FIRST_PORT else MAX_PORT + 1
    while True:
        address = host, SystemRandom().randrange(FIRST_PORT, end)
        if address not in _returned and _is_free(address):
            _returned.add(address)
            return address


def _is_free(address: Address) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            return False
    return True
