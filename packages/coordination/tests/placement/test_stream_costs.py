"""Load: long streams, while some engines delay them."""

import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.stream_costs import (
    COST_MS,
    LONG_OUTPUT_TOKENS,
    MAX_COST_MS,
    gap_cost_ms,
)

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import make_broker, make_request  # noqa: E402

LONG = {"output_tokens": 280}
SHORT = {"output_tokens": LONG_OUTPUT_TOKENS - 1}


def broker_with_late_engine():
    """Returns an uneven pool whose first engine delays its streams."""
    broker = make_broker(2)
    broker.set_uneven(True)
    for _ in range(20):
        broker.engines["e0"].pace.record(1.1, 60.0)
        broker.engines["e1"].pace.record(0.4, 60.0)
    return broker


def granted_engine(broker, key, **changes):
    broker.submit(make_request(key, tokens=400, **changes), 0.0)
    (grant,) = broker.dispatch(0.0)
    broker.record_first_token(key, 0.0)
    return grant.endpoint


def engines_of(broker, **changes):
    return {granted_engine(broker, f"r{n}", **changes) for n in range(16)}


def test_long_streams_avoid_an_engine_that_delays_them():
    """Guards against late pauses while other engines have room."""
    assert engines_of(broker_with_late_engine(), **LONG) == {"e1"}


def test_short_streams_use_all_engines():
    """Guards against slow engines that idle."""
    assert engines_of(broker_with_late_engine(), **SHORT) == {"e0", "e1"}


def test_long_streams_use_all_engines_while_these_are_even():
    """Guards against changes to fleets of equal engines."""
    broker = broker_with_late_engine()
    broker.set_uneven(False)
    assert engines_of(broker, **LONG) == {"e0", "e1"}


@pytest.mark.parametrize(
    ("ratio", "cost_ms"),
    [(0.0, 0.0), (0.5, 0.0), (1.0, COST_MS), (2.0, MAX_COST_MS)],
)
def test_the_cost_grows_with_the_gaps_up_to_a_limit(ratio, cost_ms):
    """Guards against requests that wait for ever for an engine on time."""
    engine = make_broker(1).engines["e0"]
    engine.pace.adopt(ratio, 60.0)
    request = make_request("r", **LONG)
    assert gap_cost_ms(request, engine, 0.0) == pytest.approx(cost_ms)
