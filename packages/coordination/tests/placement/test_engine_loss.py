"""Tests of the time that a request loses at an engine."""

import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.engine_loss import best_engine
from marjoramyard.coordination.placement.plans import NOT_PREFERRED_MS
from marjoramyard.coordination.routing.table import PromptPart

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    PROFILE,
    RATE,
    make_broker,
    make_request,
)

GUIDE = PromptPart("guide", 3600)


def losses_ms(broker, request, rate=RATE):
    best = best_engine(
        request, broker.prefix_index, tuple(broker.engines), rate
    )
    engines = broker.engines.values()
    return [best.loss_ms(engine, PROFILE) for engine in engines]


def test_nothing_is_lost_where_the_parts_are_cached():
    broker = make_broker(2)
    broker.add_cached("e0", [GUIDE])
    cached, other = losses_ms(broker, make_request("k", shared=(GUIDE,)))
    assert cached == 0.0
    # 36 ms for another copy, 5 ms to set the transfer up, 1.4 ms for it.
    assert other == pytest.approx(36 + 5 + 3600 * 18_432 * 8 / 370_000_000)


def test_a_slower_engine_loses_the_time_to_prefill_the_own_part():
    broker = make_broker(2)
    broker.engines["e1"].rate = RATE / 2
    fast, slow = losses_ms(broker, make_request("k", tokens=3600))
    assert (fast, slow) == (0.0, pytest.approx(100.0))


def test_parts_that_nobody_has_belong_to_their_preferred_engine():
    """Guards against misses after a change of broker, which knows of none."""
    broker = make_broker(5)
    losses = losses_ms(broker, make_request("k", shared=(GUIDE,)))
    assert sorted(losses) == [0.0] + [NOT_PREFERRED_MS] * 4


def test_prompts_without_shared_parts_lose_nothing():
    broker = make_broker(3)
    assert losses_ms(broker, make_request("k")) == [0.0] * 3


def test_an_engine_that_gets_no_new_requests_is_not_the_best():
    """Guards against waiting for an engine that is lost or leaving."""
    broker = make_broker(2)
    broker.add_cached("e0", [GUIDE])
    best = best_engine(
        make_request("k", shared=(GUIDE,)), broker.prefix_index, ("e1",), RATE
    )
    assert best.loss_ms(broker.engines["e1"], PROFILE) == 0.0
