"""Identifies requests that repeat an earlier one, and parts of prompts.

A caller that repeats a request gives it a new id and may send it to any
instance, so all instances have to derive the same identity from its content.
"""

import hashlib

__all__ = ["DIGEST_BYTES", "is_part", "part_digest", "request_digest"]

DIGEST_BYTES = 12
# The kinds of digests differ in length.
_PART_BYTES = 9
# Separates the parts; it occurs in none of those that precede the body.
_SEPARATOR = b"\n"


def request_digest(
    method: str, host: str, raw_path: str, organisation: str, body: bytes
) -> bytes:
    """Returns the same digest for equal requests of an organisation.

    Args:
        method: HTTP method.
        host: Host header; its case and port are ignored.
        raw_path: Path and query as sent.
        organisation: Owner of the caller's key; "" on public routes.
        body: The complete body.

    Returns:
        DIGEST_BYTES bytes.
    """
    name = host.partition(":")[0].lower()
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, name, raw_path, organisation):
        digest.update(part.encode(errors="surrogateescape") + _SEPARATOR)
    digest.update(body)
    return digest.digest()


def part_digest(part: str) -> bytes:
    """Returns the digest of a part of prompts, given its id in one form."""
    return hashlib.blake2b(part.encode(), digest_size=_PART_BYTES).digest()


def is_part(digest: bytes) -> bool:
    """Returns whether a digest is one of a part of prompts."""
    return len(digest) == _PART_BYTES
