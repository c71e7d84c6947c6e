"""Identifies a request of a workspace, also when it is sent again."""

import hashlib

from marjoramyard.kernel.ids import Fingerprint

_FINGERPRINT_DIGITS = 32


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
