"""The part of the time to a first token that no prompt length explains."""

from collections.abc import Iterable, Sequence
from typing import Protocol

MAX_LATENCY_MS = 100.0
"""What is beyond is an error of the reports."""
MIN_VARIANCE = 0.01
"""Samples whose lengths vary less give no estimate. The variance of their
inverse, relative to the square of its mean."""
LOW_FRACTION = 0.1
"""The latency is at most this quantile of the complete times."""
WEIGHT = 0.3
"""Weight of a new estimate in the moving average."""
MIN_SAMPLES = 24
"""Fewer samples of all engines together give no estimate."""


class Timing(Protocol):
    """The time of one prompt.

    Attributes:
        tokens: Its length.
        elapsed_ms: Time from its grant to its first token.
    """

    tokens: float
    elapsed_ms: float


class LatencyEstimate:
    """Estimates the latency that prompts of all engines have in common.

    The time per token is a constant of the engine plus the latency divided by
    the length. So its slope over 1 / length is the latency, and differences
    between engines don't matter if only samples of one engine are compared.

    Attributes:
        ms: The latency.
    """

    def __init__(self, initial_ms: float):
        self.ms = initial_ms

    def update(self, samples: Iterable[Sequence[Timing]]) -> None:
        """Updates the estimate.

        Args:
            samples: The recent samples of each engine.
        """
        elapsed: list[float] = []
        covariance, variance, squares = 0.0, 0.0, 0.0
        for timings in samples:
            if len(timings) < 2:
                continue
            inverse = [1 / t.tokens for t in timings]
            times = [t.elapsed_ms / t.tokens for t in timings]
            mean_inverse = sum(inverse) / len(inverse)
            mean_time = sum(times) / len(times)
            squares += mean_inverse**2 * len(inverse)
            elapsed += [t.elapsed_ms for t in timings]
            for x, y in zip(inverse, times, strict=True):
                covariance += (x - mean_inverse) * (y - mean_time)
                variance += (x - mean_inverse) ** 2
        if len(elapsed) < MIN_SAMPLES or variance < MIN_VARIANCE * squares:
            return
        highest = sorted(elapsed)[int(len(elapsed) * LOW_FRACTION)]
        highest = min(highest, MAX_LATENCY_MS)
        estimate = min(highest, max(0.0, covariance / variance))
        self.ms += WEIGHT * (estimate - self.ms)
