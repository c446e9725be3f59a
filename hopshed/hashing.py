"""BLAKE2b, without the memory that `hashlib` takes: importing it loads OpenSSL, some 4 MB.

Names that clients choose are kept in tables, long ones as their digests.
"""

from __future__ import annotations

try:
    from _blake2 import blake2b
except ImportError:  # an interpreter that is built without it
    from hashlib import blake2b

__all__ = ["blake2b", "bounded_key"]
MAX_KEY_LENGTH = 64  # characters of a name that is kept as it is
DIGEST_BYTES = 16


def bounded_key(name: str) -> str:
    """A name that may be kept in tables: itself, or a digest of it where it is long or not ASCII."""
    if len(name) <= MAX_KEY_LENGTH and name.isascii():
        return name
    # JSON texts may hold lone surrogates, which have no encoding.
    return blake2b(name.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()
