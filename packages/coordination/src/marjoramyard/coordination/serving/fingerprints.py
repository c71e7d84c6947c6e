"""Identifies requests, also when they are sent again, and their parts."""

import hashlib
from typing import Any

import msgspec

from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.util.decoding import decode_json

_FINGERPRINT_DIGITS = 32
MAX_SUSPECTED_PARTS = 256
"""Shared prompt parts of a request under which it may be suspected."""
MAX_DIGEST_LENGTH = 32
"""Longer digests of prompt parts, which callers choose, are hashed."""


def body_digest(method: str, target: str, path: str, body: bytes) -> str:
    """Returns the digest of what a request asks for.

    Args:
        method: The HTTP method.
        target: The service, or the host name, that the request is for.
        path: The path with its query.
        body: The body.
    """
    state = hashlib.sha256()
    for part in (method, target, path):
        state.update(part.encode() + b"\0")
    state.update(body)
    return state.hexdigest()


def request_fingerprint(workspace: str, digest: str) -> Fingerprint:
    """Returns the fingerprint of a workspace's request.

    Args:
        workspace: The workspace; "" for requests without a key.
        digest: The `body_digest` of the request.
    """
    text = f"{workspace}\0{digest}"
    state = hashlib.sha256(text.encode())
    return Fingerprint(state.hexdigest()[:_FINGERPRINT_DIGITS])


def part_fingerprint(service: str, digest: str) -> Fingerprint:
    """Returns the fingerprint of a prompt part at the engines of a service.

    Args:
        service: The service.
        digest: The digest of the part, in hexadecimal digits of any case.
    """
    digest = digest.lower()
    if len(digest) > MAX_DIGEST_LENGTH:
        digest = hashlib.sha256(digest.encode()).hexdigest()
        digest = digest[:MAX_DIGEST_LENGTH]
    return Fingerprint(f"part:{service}:{digest}")


class _Chat(msgspec.Struct):
    """The part of a chat request that is looked at."""

    messages: list[msgspec.Raw] = []


def message_fingerprints(service: str, body: bytes) -> list[Fingerprint]:
    """Returns the fingerprints of the messages of a chat, without the last one.

    They are the shared parts of its prompt. Other bodies have none.

    Args:
        service: The service.
        body: The body of the request.
    """
    if b'"messages"' not in body:
        return []
    try:
        messages = decode_json(body, _Chat).messages
        return [
            part_fingerprint(service, _message_digest(message))
            for message in messages[:-1][:MAX_SUSPECTED_PARTS]
        ]
    except (msgspec.DecodeError, UnicodeEncodeError, RecursionError):
        return []


def _message_digest(message: msgspec.Raw) -> str:
    """Returns a digest that doesn't depend on spaces or the order of fields."""
    plain = msgspec.json.encode(
        decode_json(message, Any), order="deterministic"
    )
    return hashlib.sha256(plain).hexdigest()[:MAX_DIGEST_LENGTH]
