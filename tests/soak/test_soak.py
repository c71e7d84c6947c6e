"""Soak runs with fixed seeds: a fleet under random, overlapping faults."""

import pytest

from soak.checks import violations
from soak.run import run_seed

SHORT_RUN_SECONDS = 8.0
LONG_RUN_SECONDS = 20.0
STOPS_SEED = 6101

REGRESSION_SEEDS = {
    # Stalled connections of callers were counted as late responses.
    100: LONG_RUN_SECONDS,
    105: LONG_RUN_SECONDS,
}


async def test_guarantees_hold_under_faults(tmp_path):
    """Guards against wrong responses, repeated requests and lost changes."""
    record = await run_seed(7, SHORT_RUN_SECONDS, tmp_path)
    assert violations(record) == []


async def test_stopping_processes_lose_no_request(tmp_path):
    """Guards against requests that are read and never answered."""
    record = await run_seed(
        STOPS_SEED, SHORT_RUN_SECONDS, tmp_path, stops_only=True
    )
    assert violations(record) == []


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
async def test_regression_seeds(tmp_path, seed):
    record = await run_seed(seed, REGRESSION_SEEDS[seed], tmp_path)
    assert violations(record) == []
