"""Simulated times of prompts at idle engines, for tests of what they show."""

import random

from marjoramyard.coordination.placement.engine_speeds import (
    EngineSpeed,
    PrefillSample,
    SpeedComparison,
)

RATE = 36.0
"""The initial prefill rate of an engine, in tokens per ms."""
MS_PER_TOKEN = 0.0226
PAIR_MS = 0.737e-6
"""Time per pair of a prefilled token and one that precedes it, in ms."""
LATENCY_MS = 40.0
SLOW_MS = 100.0
"""Duration of a temporary slowdown."""
SLOW_FACTOR = 2.5
SLOW_SHARE = 0.15
"""Share of the time in which an engine is slowed down."""


def slow_periods(rng, seconds):
    """Returns (start, end) of the temporary slowdowns of an engine, in ms."""
    between_ms = SLOW_MS * (1 - SLOW_SHARE) / SLOW_SHARE
    periods, now = [], 0.0
    while now < seconds * 1000:
        start = now + rng.expovariate(1 / between_ms)
        now = start + SLOW_MS
        periods.append((start, now))
    return periods


def finished_at(start, work_ms, periods):
    """Returns when a prefill ends that takes `work_ms` without slowdowns."""
    now = start
    for begin, end in periods:
        if end <= now:
            continue
        if now + work_ms <= begin:
            break
        work_ms -= max(0.0, begin - now)
        now = max(now, begin)
        if work_ms * SLOW_FACTOR <= end - now:
            return now + work_ms * SLOW_FACTOR
        work_ms -= (end - now) / SLOW_FACTOR
        now = end
    return now + work_ms


def prompt_times(seed, factors, seconds, per_s, begin_s=0.0):
    """Returns (engine, sample) of Poisson arrivals, in order of their reports.

    Args:
        seed: The seed.
        factors: Factor by which each engine is slower.
        seconds: When the last prompt arrives.
        per_s: Prompts per second and engine.
        begin_s: When the first prompt arrives.
    """
    rng = random.Random(seed)
    samples = []
    for engine, factor in enumerate(factors):
        periods = slow_periods(rng, seconds)
        now = begin_s * 1000
        while (now := now + rng.expovariate(per_s / 1000)) < seconds * 1000:
            tokens = min(12_000.0, max(200.0, rng.lognormvariate(8.1, 0.6)))
            context = rng.choice((0, 0, 3000, 6000)) + tokens / 2
            work_ms = tokens * (MS_PER_TOKEN + context * PAIR_MS) * factor
            done_at = finished_at(now + LATENCY_MS / 2, work_ms, periods)
            done_at += LATENCY_MS / 2
            done_at += rng.uniform(0.0, 8.0) + rng.expovariate(0.2)
            sample = PrefillSample(done_at, tokens, done_at - now)
            samples.append((engine, sample))
    return sorted(samples, key=lambda pair: pair[1].at)


class ComparedEngines:
    """Engines whose times are compared as they are reported.

    Attributes:
        speeds: The samples of each engine.
        comparison: The comparison.
        changes: When `is_uneven` changed, in ms.
    """

    def __init__(self, count):
        self.speeds = [EngineSpeed(RATE) for _ in range(count)]
        self.comparison = SpeedComparison(25.0)
        self.changes = []

    def record(self, samples):
        for engine, sample in samples:
            self.speeds[engine].record(sample)
            if self.comparison.update(self.speeds, sample.at):
                self.changes.append(sample.at)
