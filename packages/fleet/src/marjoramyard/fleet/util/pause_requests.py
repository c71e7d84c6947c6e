"""Pauses that servers ask for with `Retry-After`."""

import math
from collections.abc import Mapping

HTTP_UNAVAILABLE = 503


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
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds < math.inf else 0.0
