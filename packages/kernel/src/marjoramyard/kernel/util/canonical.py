"""Canonical JSON encoding and SHA-256 digests."""

import hashlib
from typing import Any

import msgspec

_ENCODER = msgspec.json.Encoder(order="sorted")


def canonical_bytes(value: Any) -> bytes:
    """Returns the canonical JSON encoding of `value`, with sorted keys.

    Equal values have equal encodings, so they can be signed and hashed.
    """
    return _ENCODER.encode(value)


def digest(*parts: bytes) -> str:
    """Returns the SHA-256 of the length-prefixed parts, in hexadecimal."""
    sha256 = hashlib.sha256()
    for part in parts:
        sha256.update(len(part).to_bytes(8, "big"))
        sha256.update(part)
    return sha256.hexdigest()
