"""A blocking JSON-RPC client of the agent, for the command line."""

from __future__ import annotations

import json
import socket
import time
from typing import Any

from ..config import Address
from ..jsonrpc import MAX_UNSENT_BYTES, RpcError, encode_message

TIMEOUT_S = 5.0
RECEIVE_SIZE_BYTES = 65536


def ask(address: Address, method: str, params: dict[str, Any], timeout: float = TIMEOUT_S) -> Any:
    """Send one request and return its result; `timeout` in seconds, for all of it.

    Raises OSError or RpcError.
    """
    deadline = time.monotonic() + timeout
    with socket.create_connection(address, timeout) as sock:
        sock.sendall(encode_message({"id": 1, "method": method, "params": params}))
        line = _receive_line(sock, deadline)
    try:
        answer = json.loads(line)
    except ValueError:
        raise OSError("the agent closed the connection without an answer") from None
    if "error" in answer:
        raise RpcError(answer["error"]["code"], answer["error"]["message"])
    return answer["result"]


def _receive_line(sock: socket.socket, deadline: float) -> bytes:
    """Receive up to the end of a line or of the stream, by a time of the monotonic clock. Raises OSError."""
    received = bytearray()
    while b"\n" not in received:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError(f"the agent's answer took too long, {len(received)} bytes of it have come")
        sock.settimeout(left_s)
        data = sock.recv(RECEIVE_SIZE_BYTES)
        if not data:
            break
        received += data
        if len(received) > MAX_UNSENT_BYTES:
            raise OSError(f"the agent's answer is longer than {MAX_UNSENT_BYTES} bytes")
    return bytes(received.partition(b"\n")[0])
