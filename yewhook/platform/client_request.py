"""A client's request on the platform front, and its translation into the event for the routing module."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from hopshed.hashing import bounded_key
from hopshed.interface import RequestArrived

from ..block_buffer import BlockBuffer
from ..config import Names
from ..memory_budget import data_cost
from . import http
from .framing import FramingError

TRANSIT_ALLOWANCE_S = 0.001  # subtracted from a client's time for the transit of its request and its response
MAX_TOKENS = 1_000_000  # in a prompt, its prefix or its output; no body of the permitted size holds as many
MAX_PATIENCE_S = 3600.0  # a longer X-Remaining is reduced to this
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")
DURATION_PATTERN = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)([mu])")
COUNT_PATTERN = re.compile(r"[0-9]{1,9}")


class BadRequest(Exception):
    """A request that is answered with an error status; the message is the body of the answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def bad_request(error: Exception) -> BadRequest:
    """The answer to a request that was not understood; parsers wrap an exception that a callback raises."""
    cause = error if isinstance(error, FramingError) else error.__context__
    if isinstance(cause, BadRequest):
        return cause
    if isinstance(cause, FramingError):
        return BadRequest(cause.status, str(cause))
    return BadRequest(400, "not HTTP/1.1")


@dataclass(slots=True)
class HttpRequest:
    """A client's request as it is forwarded to workers."""

    method: bytes = b""
    target: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    body: BlockBuffer = field(default_factory=BlockBuffer)
    keep_alive: bool = True
    head_cost: int = 0  # bytes of memory that it takes without its body
    began: float = 0.0  # the loop's time in seconds at which it may have begun to arrive
    serve_by: float | None = None  # the loop's time until which it may wait for what follows it to be read
    rejected: BadRequest | None = None  # the error to answer with, in the order of the requests

    @property
    def cost(self) -> int:
        """The bytes of memory that it takes."""
        return self.head_cost + data_cost(len(self.body))


def parse_duration(text: str) -> float:
    """Returns a duration in seconds, given with its unit: `4800m` (ms) or `4800000u` (µs).

    Raises BadRequest.
    """
    if (found := DURATION_PATTERN.fullmatch(text)) is None:
        raise BadRequest(400, "X-Remaining: expected a number followed by m or u")
    return min(float(found[1]) * (1e-3 if found[2] == "m" else 1e-6), MAX_PATIENCE_S)


def _token_count(labels: dict[str, str], name: str) -> float:
    text = labels.get(name, "0")
    if not COUNT_PATTERN.fullmatch(text) or int(text) > MAX_TOKENS:
        raise BadRequest(400, f"X-Labels: {name} must be a whole number up to {MAX_TOKENS}")
    return float(text)


def _index_of(names: tuple[str, ...], name: str | None, header: str) -> int:
    if name not in names:
        raise BadRequest(400, f"{header}: {'unknown name' if name else 'missing'}")
    return names.index(name)


def parse_request(request: HttpRequest, names: Names, now: float) -> RequestArrived:
    """Translate a request into the event for the routing module. Raises BadRequest."""
    headers = request.headers
    request_id = headers.get("x-txn", "")
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        raise BadRequest(400, "X-Txn: missing or not a word")
    if invalid := next(
        (name for name in http.WORKER_HEADERS if not http.PRINTABLE_ASCII.fullmatch(headers.get(name, ""))),
        "",
    ):
        raise BadRequest(400, f"{invalid}: too long, or with characters that are not printable ASCII")
    parts = (part.partition("=") for part in headers.get("x-labels", "").split(",") if part)
    labels = {name.strip(): value.strip() for name, _, value in parts}
    remaining_s = parse_duration(headers.get("x-remaining", "")) - (now - request.began) - TRANSIT_ALLOWANCE_S
    return RequestArrived(
        id=request_id,
        cls=_index_of(names.classes, headers.get("x-lane"), "X-Lane"),
        tenant=_index_of(names.tenants, headers.get("x-org"), "X-Org") if names.tenants else 0,
        session=bounded_key(headers.get("x-entity") or request_id),
        patience=max(0.0, remaining_s),
        prompt_tokens=_token_count(labels, "prompt_len"),
        prefix=bounded_key(labels["prefix"]) if "prefix" in labels else None,
        prefix_tokens=_token_count(labels, "prefix_len"),
        max_tokens=_token_count(labels, "max_out"),
        resumed=headers.get("x-resent") == "again",
        repeat=headers.get("x-resent") == "1",
    )
