"""Spreads out callers that come back."""

import random

RETRY_SPREAD = 0.5
"""Refused callers return over this share around the time they are told,
not all at the same moment."""


def spread(seconds: float) -> float:
    """Returns about as many seconds, another number for each caller."""
    return seconds * (1 + RETRY_SPREAD * (random.random() - 0.5))
