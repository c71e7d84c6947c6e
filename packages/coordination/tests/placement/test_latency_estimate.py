"""Load: prompts of all lengths, at engines of different speed."""

import random

from marjoramyard.coordination.placement.engine_speeds import PrefillSample
from marjoramyard.coordination.placement.latency_estimate import (
    LatencyEstimate,
)


def samples_of(rng, latency_ms, ms_per_token, lowest, highest):
    """Returns samples with up to 10 ms of noise."""
    samples = []
    for _ in range(16):
        tokens = rng.uniform(lowest, highest)
        elapsed_ms = latency_ms + tokens * ms_per_token + rng.uniform(0.0, 10.0)
        samples.append(PrefillSample(0.0, tokens, elapsed_ms))
    return samples


def estimated(latency_ms):
    """Returns the estimate if slow engines get the shorter prompts."""
    rng = random.Random(1)
    estimate = LatencyEstimate(25.0)
    for _ in range(20):
        fast = [samples_of(rng, latency_ms, 0.02, 2000, 6000) for _ in range(8)]
        slow = [samples_of(rng, latency_ms, 0.05, 200, 3000) for _ in range(8)]
        estimate.update(fast + slow)
    return estimate.ms


def test_slow_engines_with_short_prompts_do_not_change_the_latency():
    """Guards against a difference of engines that is taken for latency."""
    for latency_ms in (6.0, 25.0, 60.0):
        assert abs(estimated(latency_ms) - latency_ms) <= 10.0


def test_a_few_samples_do_not_change_the_latency():
    rng = random.Random(1)
    estimate = LatencyEstimate(25.0)
    estimate.update([samples_of(rng, 60.0, 0.02, 200, 6000)])
    assert estimate.ms == 25.0


def test_prompts_of_one_length_do_not_change_the_latency():
    estimate = LatencyEstimate(25.0)
    estimate.update([[PrefillSample(0.0, 2000.0, 90.0)] * 16] * 4)
    assert estimate.ms == 25.0
