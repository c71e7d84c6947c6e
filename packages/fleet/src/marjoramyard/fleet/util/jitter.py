"""Random variation of retry times."""

import random

RETRY_JITTER = 0.5
"""Width of the variation, as a share of the time."""


def jitter(seconds: float) -> float:
    """Returns a time that is varied around the given seconds."""
    return seconds * (1 + RETRY_JITTER * (random.random() - 0.5))
