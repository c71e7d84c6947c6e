"""The limit on the backlog of engines, under overload."""

import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.backlog_limit import (
    LONG_QUEUE_MS,
    MAX_BACKLOG_MS,
    MIN_BACKLOG_MS,
    SHORT_QUEUE_MS,
    BacklogLimit,
)

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    OBJECTIVE_MS,
    RATE,
    Simulation,
    make_broker,
    poisson_arrivals,
)

TOKENS = 2500
SECONDS = 20


def served_share(seed, gap_ratio):
    """Returns the prompts served on time, as a share of the capacity.

    Three times the capacity arrives, and a request or report takes 30 ms.
    """
    simulation = Simulation(
        make_broker(4), grant_ms=30.0, report_ms=30.0, gap_ratio=gap_ratio
    )
    per_s = 3 * 4 * RATE * 1000 / TOKENS
    simulation.run(poisson_arrivals({"w": (per_s, TOKENS)}, SECONDS, seed))
    on_time = [
        ms for ms in simulation.first_token_ms.values() if ms <= OBJECTIVE_MS
    ]
    return len(on_time) * TOKENS / (4 * RATE * 1000 * SECONDS)


@pytest.mark.parametrize("seed", range(4))
def test_engines_stay_busy_while_grants_and_reports_travel(seed):
    """Guards against engines that idle between prompts under overload."""
    assert served_share(seed, gap_ratio=0.5) >= 0.9


@pytest.mark.parametrize("seed", range(4))
def test_engines_that_delay_their_streams_get_less_backlog(seed):
    """Guards against prefills that delay the events of running streams."""
    assert served_share(seed, gap_ratio=2.0) <= 0.8


def test_the_limit_stays_within_its_bounds():
    limit = BacklogLimit()
    for _ in range(1000):
        limit.record_longest_gap(0.5)
    assert limit.limit_ms == MAX_BACKLOG_MS
    for _ in range(1000):
        limit.record_longest_gap(1.5)
    assert limit.limit_ms == MIN_BACKLOG_MS


def test_streams_without_a_known_gap_do_not_change_the_limit():
    limit = BacklogLimit()
    limit.record_longest_gap(0.0)
    assert limit.limit_ms == MIN_BACKLOG_MS


def test_a_short_queue_leaves_prompts_where_they_can_be_reordered():
    """Guards against urgent prompts that wait in an engine behind long ones on
    calm days.
    """
    limit = BacklogLimit()
    for _ in range(1000):
        limit.record_longest_gap(0.5)
    assert limit.for_queue(0.0) == MIN_BACKLOG_MS
    assert limit.for_queue(SHORT_QUEUE_MS) == MIN_BACKLOG_MS
    assert limit.for_queue(LONG_QUEUE_MS) == MAX_BACKLOG_MS
