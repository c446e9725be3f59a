"""Helpers for sockets."""

from __future__ import annotations

import socket

from .config import Address


def bind(sock: socket.socket, address: Address) -> None:
    """Bind a socket. Raises OSError, whose text names the address."""
    try:
        sock.bind(address)
    except OSError as error:
        host, port = address
        raise OSError(error.errno, f"{error.strerror}: {host}:{port}") from error
