"""How fast an engine prefills, and whether the engines of a pool differ.

The time from a grant to the report of the first token has a part that depends
on the prompt's length and a part that does not: the latency of messages and of
a step. The latter is taken out of the times of prompts that found the engine
idle. Others are timed from the report of the prompt before them.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable

import msgspec

from marjoramyard.coordination.placement.latency_estimate import (
    LatencyEstimate,
)

MIN_TOKENS = 1500.0
"""The time of shorter prompts says little of the engine's speed."""
MIN_PREFILL_MS = 35.0
"""So does the time of prompts that are prefilled in less than this. They may
wait as long for a step to end."""
MAX_TOKENS = 8000.0
"""Longer prompts take more time per token, as attention is quadratic."""
MIN_MS_PER_TOKEN = 1e-4
"""No engine is faster. What is below is an error of the latency."""
MAX_SAMPLES = 16
"""Samples kept of an engine, for long and for short prompts each."""
MAX_AGE_MS = 20_000.0
"""Samples older than this are ignored."""
MIN_SAMPLES = 4
"""Engines with fewer samples are not compared."""
MIN_ENGINES = 9
"""Of fewer engines, one or two with much other work would decide."""
MIN_GROUP_SAMPLES = 16
"""Samples that the fast and the slow engines must have together, each."""
QUANTILE = 1 / 3
"""Of the times per token. Higher ones may include a temporary slowdown, and
the lowest a cached part that the broker does not know of."""
UNEVEN_RATIO = 1.2
"""The pool is uneven from this ratio of slow to fast engines on."""
EVEN_RATIO = 1.08
"""The pool is even again below this ratio."""
MIN_SIGNIFICANCE = 4.0
"""The ratio must differ from 1 by this many standard errors."""
CHECK_INTERVAL_MS = 500.0
"""Interval between comparisons of the engines."""
UNEVEN_CHECKS = 2
"""Comparisons in a row after which the pool is uneven."""
EVEN_CHECKS = 20
"""Comparisons in a row after which the pool is even again. Engines seldom
change their speed."""


class PrefillSample(msgspec.Struct, frozen=True):
    """The time that one prompt took.

    Attributes:
        at: When its first token was reported, in ms.
        tokens: Prompt tokens that were prefilled.
        elapsed_ms: Time from the grant until then if it found the engine idle,
            and else from the report of the prompt before it.
        found_idle: Whether it found the engine idle.
    """

    at: float
    tokens: float
    elapsed_ms: float
    found_idle: bool = True


class EngineSpeed:
    """Samples of one engine.

    Attributes:
        samples: Samples of prompts that are long enough to show its speed.
        short_samples: Samples of other prompts. They show the latency.
        min_tokens: Shorter prompts don't show its speed.
        adopted_ms_per_token: What another broker has estimated; 0.0 if none.
    """

    def __init__(self, rate: float):
        """Starts without samples.

        Args:
            rate: The initial prefill rate, in tokens per ms.
        """
        self.min_tokens = max(MIN_TOKENS, MIN_PREFILL_MS * rate)
        self.samples: deque[PrefillSample] = deque(maxlen=MAX_SAMPLES)
        self.short_samples: deque[PrefillSample] = deque(maxlen=MAX_SAMPLES)
        self.adopted_ms_per_token = 0.0

    def record(self, sample: PrefillSample) -> None:
        """Adds a sample, unless the prompt is too long."""
        if sample.tokens > MAX_TOKENS or sample.tokens <= 0:
            return
        if sample.tokens >= self.min_tokens:
            self.samples.append(sample)
        elif sample.found_idle:
            self.short_samples.append(sample)

    def forget_before(self, limit: float) -> None:
        """Removes samples that were taken before a time, in ms."""
        for samples in (self.samples, self.short_samples):
            while samples and samples[0].at < limit:
                samples.popleft()

    @property
    def idle_samples(self) -> list[PrefillSample]:
        """Samples of prompts that found the engine idle, of any length."""
        found_idle = [s for s in self.samples if s.found_idle]
        return [*found_idle, *self.short_samples]

    def times_per_token(self, latency_ms: float) -> list[float]:
        """Returns the time per token of each long sample, in ms.

        Args:
            latency_ms: The part of the time that doesn't depend on the length.
        """
        times = [
            max(0.0, s.elapsed_ms - s.found_idle * latency_ms) / s.tokens
            for s in self.samples
        ]
        if len(times) < MIN_SAMPLES and self.adopted_ms_per_token:
            return [self.adopted_ms_per_token] * MAX_SAMPLES
        return times

    def ms_per_token(self, latency_ms: float) -> float:
        """Returns the estimated time per token in ms; 0.0 if unknown.

        Args:
            latency_ms: See `times_per_token`.
        """
        times = self.times_per_token(latency_ms)
        return low_quantile(times) if len(times) >= MIN_SAMPLES else 0.0


def low_quantile(values: list[float]) -> float:
    """Returns the lower `QUANTILE` of values."""
    return sorted(values)[int(len(values) * QUANTILE)]


class SpeedDifference(msgspec.Struct, frozen=True):
    """How much slow engines differ from fast ones.

    Attributes:
        ratio: The time per token of the slowest third relative to that of the
            fastest third.
        error: The standard error of the logarithm of the ratio.
    """

    ratio: float
    error: float

    @property
    def is_clear(self) -> bool:
        """Whether the difference is large, and no noise."""
        return (
            self.ratio >= UNEVEN_RATIO
            and math.log(self.ratio) >= MIN_SIGNIFICANCE * self.error
        )


class SpeedComparison:
    """Compares the engines of a pool.

    Attributes:
        latency: The estimate of the latency.
        is_uneven: Whether the engines clearly differ in speed.
        difference: The last comparison; None if there was none.
        checked_at: When they were compared last, in ms.
        contradictions: Comparisons in a row that contradict `is_uneven`.
    """

    def __init__(self, latency_ms: float):
        self.latency = LatencyEstimate(latency_ms)
        self.is_uneven = False
        self.difference: SpeedDifference | None = None
        self.checked_at = -math.inf
        self.contradictions = 0

    def update(self, speeds: Iterable[EngineSpeed], now: float) -> bool:
        """Compares the engines, if it is time to.

        Args:
            speeds: The samples of the engines in service.
            now: The time, in ms.

        Returns:
            Whether `is_uneven` has changed.
        """
        if now - self.checked_at < CHECK_INTERVAL_MS:
            return False
        self.checked_at = now
        compared = list(speeds)
        for speed in compared:
            speed.forget_before(now - MAX_AGE_MS)
        self.latency.update([s.idle_samples for s in compared])
        times = [s.times_per_token(self.latency.ms) for s in compared]
        difference = compare([t for t in times if len(t) >= MIN_SAMPLES])
        if difference is None:
            return False
        self.difference = difference
        return self._decide(difference)

    def _decide(self, difference: SpeedDifference) -> bool:
        if self.is_uneven:
            contradicts = difference.ratio < EVEN_RATIO
            needed = EVEN_CHECKS
        else:
            contradicts = difference.is_clear
            needed = UNEVEN_CHECKS
        self.contradictions = self.contradictions + 1 if contradicts else 0
        if self.contradictions < needed:
            return False
        self.is_uneven = not self.is_uneven
        self.contradictions = 0
        return True


def compare(times: list[list[float]]) -> SpeedDifference | None:
    """Compares the slowest third of the engines with the fastest.

    One half of the samples tells which engines these are, and the other how
    much they differ. Equal engines would otherwise seem to differ by the noise
    that they were ranked by. Both ways are averaged.

    Args:
        times: The times per token of each engine.

    Returns:
        The difference, or None if there are too few samples.
    """
    count = len(times) // 3
    if len(times) < MIN_ENGINES or not _has_enough(times, count):
        return None
    halves = [
        (_log_quantile(engine[::2]), _log_quantile(engine[1::2]))
        for engine in times
    ]
    swapped = [(b, a) for a, b in halves]
    ratio = (_log_ratio(halves, count) + _log_ratio(swapped, count)) / 2
    # The variance of a half is a half of the variance of their difference.
    variance = statistics.fmean((a - b) ** 2 for a, b in halves) / 2
    return SpeedDifference(math.exp(ratio), math.sqrt(variance / count))


def _has_enough(times: list[list[float]], count: int) -> bool:
    fewest = sorted(len(engine) for engine in times)[:count]
    return sum(fewest) >= MIN_GROUP_SAMPLES


def _log_quantile(times: list[float]) -> float:
    return math.log(max(MIN_MS_PER_TOKEN, low_quantile(times)))


def _log_ratio(pairs: list[tuple[float, float]], count: int) -> float:
    """Returns the log ratio of the second values, ranked by the first ones."""
    ranked = [other for _, other in sorted(pairs)]
    slow = statistics.fmean(ranked[-count:])
    return slow - statistics.fmean(ranked[:count])
