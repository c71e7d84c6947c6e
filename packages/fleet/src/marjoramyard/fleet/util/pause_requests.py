"""Pauses that servers ask for with `Retry-After`."""

from collections.abc import Mapping

from marjoramyard.kernel.util.numbers import read_number

HTTP_UNAVAILABLE = 503
MAX_PAUSE_SECONDS = 86_400.0
"""Longer pauses are taken for this one."""


def requested_pause(status: int, headers: Mapping[str, str]) -> float:
    """Returns for how many seconds a server wants no requests; 0.0 for none.

    Only a 503 speaks for all requests of the sender: a 429 may be about the
    limit of one workspace.
    """
    if status != HTTP_UNAVAILABLE:
        return 0.0
    return parse_retry_after(headers.get("Retry-After", ""))


def parse_retry_after(text: str) -> float:
    """Decodes `Retry-After` in seconds; returns 0.0 if it is invalid."""
    seconds = read_number(text)
    if seconds is None:
        return 0.0
    return max(0.0, min(seconds, MAX_PAUSE_SECONDS))
