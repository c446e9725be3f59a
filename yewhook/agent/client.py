"""A blocking JSON-RPC client of the agent, for the command line."""

from __future__ import annotations

import json
import socket
from typing import Any

from ..config import Address
from ..jsonrpc import RpcError, encode_message


def ask(address: Address, method: str, params: dict[str, Any], timeout: float = 5.0) -> Any:
    """Send one request and return its result; `timeout` in seconds. Raises OSError or RpcError."""
    with socket.create_connection(address, timeout) as sock, sock.makefile("rb") as lines:
        sock.sendall(encode_message({"id": 1, "method": method, "params": params}))
        line = lines.readline()
    try:
        answer = json.loads(line)
    except ValueError:
        raise OSError("the agent closed the connection without an answer") from None
    if "error" in answer:
        raise RpcError(answer["error"]["code"], answer["error"]["message"])
    return answer["result"]
