"""Spreads out callers that come back."""

import random

RETRY_JITTER = 0.5
"""Refused callers return over this share around the time they are told,
not all at the same moment."""


def jitter(seconds: float) -> float:
    """Returns about as many seconds, another number for each caller."""
    return seconds * (1 + RETRY_JITTER * (random.random() - 0.5))
