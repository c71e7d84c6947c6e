"""Load: prompts at engines of equal and of different speed."""

import statistics
import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.engine_speeds import (
    MAX_SAMPLES,
    MIN_SAMPLES,
    EngineSpeed,
    PrefillSample,
)

sys.path.insert(0, str(Path(__file__).parent))
from prefill_times import (  # noqa: E402
    LATENCY_MS,
    MS_PER_TOKEN,
    RATE,
    ComparedEngines,
    prompt_times,
)

PER_S = 5.0
"""Prompts per second and engine; 4 of them are long enough to compare."""


def compared(seed, factors, seconds):
    engines = ComparedEngines(len(factors))
    engines.record(prompt_times(seed, factors, seconds, PER_S))
    return engines


def detected_after(factors, seeds):
    """Returns when unevenness was detected, in s, for each seed."""
    times = []
    for seed in range(seeds):
        changes = compared(seed, factors, 6.0).changes
        times.append(changes[0] / 1000 if changes else 60.0)
    return sorted(times)


def test_a_third_of_slower_engines_is_found_within_seconds():
    """Guards against slow engines that delay streams for a whole overload.

    They take 1.3 times as long, while each engine is slowed down for 15% of
    the time.
    """
    times = detected_after([1.0, 1.0, 1.3] * 8 + [1.0, 1.0], 20)
    assert statistics.median(times) <= 2.5
    assert times[-2] <= 4.0


def test_three_speeds_in_a_small_pool_are_found_within_seconds():
    """Guards against pools of 13 engines whose differences go unnoticed."""
    times = detected_after([0.6, 1.0, 1.6] * 4 + [0.6], 20)
    assert statistics.median(times) <= 3.0
    assert times[-2] <= 4.0


@pytest.mark.parametrize("count", [4, 9, 13, 26])
def test_equal_engines_are_not_told_apart(count):
    """Guards against noise that is taken for a difference.

    A fortieth of the runs of 20 s may be mistaken.
    """
    mistaken = sum(
        bool(compared(seed, [1.0] * count, 20.0).changes) for seed in range(40)
    )
    assert mistaken <= 1


def test_a_difference_is_remembered_while_there_are_no_prompts():
    """Guards against engines that are alike again after each calm."""
    engines = compared(0, [0.6, 1.0, 1.6] * 4, 6.0)
    assert engines.comparison.is_uneven
    engines.comparison.update(engines.speeds, 100_000.0)
    assert engines.comparison.is_uneven


def test_engines_are_alike_again_once_their_speeds_are():
    """Guards against limits that stay after slow engines were replaced."""
    engines = compared(0, [0.6, 1.0, 1.6] * 4, 6.0)
    engines.record(prompt_times(1, [1.0] * 12, 40.0, PER_S, begin_s=6.0))
    assert not engines.comparison.is_uneven


def test_the_latency_of_messages_does_not_count_as_prefill():
    """Guards against short prompts that make an engine look slow."""
    engines = compared(0, [1.0] * 13, 10.0)
    latency_ms = engines.comparison.latency.ms
    assert abs(latency_ms - LATENCY_MS) <= 15.0
    estimates = [s.ms_per_token(latency_ms) for s in engines.speeds]
    assert MS_PER_TOKEN <= statistics.fmean(estimates) <= 1.3 * MS_PER_TOKEN


def test_a_prompt_behind_another_is_timed_from_the_report_before_it():
    """Guards against engines that look fast as the latency counts twice."""
    speed = EngineSpeed(RATE)
    for _ in range(MIN_SAMPLES):
        speed.record(PrefillSample(0.0, 4000.0, 100.0, found_idle=False))
    assert speed.ms_per_token(60.0) == 100.0 / 4000.0
    assert not speed.idle_samples


def test_what_another_broker_has_estimated_holds_until_samples_replace_it():
    """Guards against engines that are alike for a new broker."""
    speed = EngineSpeed(RATE)
    assert speed.ms_per_token(0.0) == 0.0
    speed.adopted_ms_per_token = 0.05
    assert speed.ms_per_token(0.0) == 0.05
    for _ in range(MIN_SAMPLES):
        speed.record(PrefillSample(0.0, 4000.0, 120.0))
    assert speed.ms_per_token(20.0) == 100.0 / 4000.0


def test_an_engine_that_becomes_slow_is_known_to_be_slow_soon():
    """Guards against an engine whose earlier speed is remembered for long."""
    speed = EngineSpeed(RATE)
    for number in range(MAX_SAMPLES):
        speed.record(PrefillSample(number, 4000.0, 100.0))
    for number in range(MAX_SAMPLES):
        speed.record(PrefillSample(number, 4000.0, 300.0))
    assert speed.ms_per_token(0.0) == 300.0 / 4000.0
    speed.forget_before(MAX_SAMPLES)
    assert speed.ms_per_token(0.0) == 0.0
