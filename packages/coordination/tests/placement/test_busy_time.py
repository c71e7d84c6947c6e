"""Load: prompts that an engine gets one at a time, and several in a row."""

import pytest

from marjoramyard.coordination.placement.busy_time import BusyTime

RATE = 36.0
TOKENS = 2500.0
LATENCY_MS = 60.0
PREFILL_MS = TOKENS / RATE


def rates_of(grants):
    """Returns the rates estimated for prompts granted at the given times."""
    busy_time, rates, free_at = BusyTime(), [], 0.0
    for granted_at in grants:
        start = max(free_at, granted_at + LATENCY_MS)
        free_at = start + PREFILL_MS
        rate = busy_time.record(TOKENS, granted_at + LATENCY_MS, free_at)
        if rate:
            rates.append(rate)
    return rates


@pytest.mark.parametrize("interval_ms", [50.0, 70.0, 100.0, 200.0, 1000.0])
def test_the_rate_does_not_depend_on_how_many_prompts_an_engine_has(
    interval_ms,
):
    """Guards against engines that look slow as they get a prompt at a time."""
    rates = rates_of(interval_ms * number for number in range(40))
    assert rates
    assert all(rate == pytest.approx(RATE) for rate in rates)


def test_a_prompt_after_one_of_unknown_duration_is_not_counted():
    """Guards against rates from the time of two prompts."""
    busy_time = BusyTime()
    busy_time.record(TOKENS, 0.0, 100.0)
    busy_time.interrupt()
    assert busy_time.record(TOKENS, 0.0, 400.0) == 0.0
    assert busy_time.record(5000.0, 0.0, 600.0) == pytest.approx(25.0)
