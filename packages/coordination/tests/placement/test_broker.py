"""Tests of the broker's admission and scheduling, and of local placement."""

import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.placement.backlog_limit import MIN_BACKLOG_MS
from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.local_placement import (
    EngineView,
    place_prompt,
    preferred_engine,
)
from marjoramyard.coordination.placement.prefix_cache import PrefixCache
from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    UnbrokeredRequest,
)
from marjoramyard.coordination.routing.table import PromptPart

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    OBJECTIVE_MS,
    PROFILE,
    RATE,
    Simulation,
    make_broker,
    make_request,
    poisson_arrivals,
)


def test_overload_is_refused_on_arrival_and_accepted_requests_are_on_time():
    """Guards against queues that grow under overload until all are late.

    Three times the capacity of two engines arrives for ten seconds.
    """
    simulation = Simulation(make_broker(2))
    simulation.run(poisson_arrivals({"a": (54, 2000), "b": (54, 2000)}, 10))
    responses = simulation.first_token_ms
    on_time = [ms for ms in responses.values() if ms <= OBJECTIVE_MS]
    assert len(on_time) >= 0.95 * len(responses)
    capacity = 2 * RATE * 10_000 / 2000
    assert len(on_time) >= 0.9 * capacity
    predicted = [r.predicted_ms for r in simulation.refused.values()]
    assert predicted
    assert all(r.retry_after_ms > 0 for r in simulation.refused.values())


def test_excess_load_of_one_workspace_does_not_reduce_the_others_share():
    """Guards against refusals in workspaces that stay below their share.

    One workspace sends ten times its share; two others send less than theirs.
    """
    simulation = Simulation(make_broker(2))
    simulation.run(
        poisson_arrivals(
            {"excess": (120, 2000), "b": (9, 2000), "c": (9, 2000)}, 10
        )
    )
    for name in ("b", "c"):
        submitted = sum(k.startswith(f"{name}-") for k in simulation.submitted)
        served = sum(
            k.startswith(f"{name}-") and ms <= OBJECTIVE_MS
            for k, ms in simulation.first_token_ms.items()
        )
        assert served >= 0.9 * submitted


def test_backlogged_workspaces_get_equal_service():
    simulation = Simulation(make_broker(2))
    simulation.run(
        poisson_arrivals(
            {"a": (60, 3000), "b": (90, 1000), "c": (120, 2000)}, 10
        )
    )
    served = dict.fromkeys("abc", 0.0)
    for key in simulation.first_token_ms:
        request = simulation.submitted[key]
        served[request.workspace] += request.prompt_tokens
    assert max(served.values()) <= 1.3 * min(served.values())


def test_a_prompt_that_is_too_large_for_its_objective_is_served():
    """Guards against refusing the largest prompts every time.

    The prefill of 39,000 tokens alone takes 1.1 s, more than the objective.
    """
    simulation = Simulation(make_broker(2))
    arrivals = poisson_arrivals({"a": (20, 2000)}, 5)
    arrivals.append((5000.0, make_request("large", "a", 5000.0, 39_000)))
    simulation.run(arrivals)
    assert "large" in simulation.first_token_ms


def test_an_unresponsive_engine_gets_no_more_than_the_maximum_backlog():
    """Guards against requests that queue behind an unresponsive engine.

    No report arrives from e0, so all requests beyond its backlog go to e1.
    """
    broker = make_broker(2)
    granted = []
    for number in range(60):
        now = number * 60.0
        assert broker.submit(make_request(f"k{number}", now=now), now) is None
        for result in broker.dispatch(now):
            granted.append(result.endpoint)
            if result.endpoint == "e1":
                broker.record_first_token(result.key, now + 55)
                broker.finish(result.key)
    assert granted.count("e0") <= MIN_BACKLOG_MS * RATE / 2000 + 1
    assert granted.count("e1") > 50


def test_the_rate_of_a_slow_engine_is_estimated():
    broker = make_broker(1)
    engine = broker.engines["e0"]
    now = 0.0
    for number in range(40):
        assert broker.submit(make_request(f"k{number}", now=now), now) is None
        (result,) = broker.dispatch(now)
        now += result.prefill_tokens / (RATE / 4) + 12.5
        broker.record_first_token(result.key, now)
        broker.finish(result.key)
    assert RATE / 5 < engine.rate < RATE / 3


def test_the_rate_of_a_continuously_busy_engine_is_estimated():
    """Guards against an estimate that is several times too high.

    Prompts take 16 ms each and follow each other without a gap. The report
    latency must be subtracted once for the whole sample, not for each prompt.
    """
    rate = 112.0
    broker = Broker(PROFILE, rate)
    broker.set_engines(["e0"])
    free_at, prefilling, now = 0.0, [], 0.0
    for number in range(200):
        broker.submit(make_request(f"k{number}", now=now, tokens=1800), now)
        for result in broker.dispatch(now):
            start = max(free_at, now + 12.5)
            free_at = start + result.prefill_tokens / rate
            prefilling.append((free_at, result.key))
        if len(prefilling) >= 3:
            now, key = prefilling.pop(0)
            broker.record_first_token(key, now)
            broker.finish(key)
    assert broker.engines["e0"].rate == pytest.approx(rate, rel=0.1)


def test_shared_parts_are_fetched_when_the_engine_that_caches_them_is_busy():
    shared = (PromptPart("guide", 6000),)
    broker = make_broker(2)
    results = []
    for number in range(3):
        broker.submit(
            make_request(f"k{number}", shared=shared, tokens=2500), 0.0
        )
        results += broker.dispatch(0.0)
        broker.record_first_token("k0", 1.0)
    assert {grant.endpoint for grant in results} == {"e0", "e1"}
    fetches = [grant for grant in results if grant.fetch_from]
    assert fetches
    assert all(grant.prefill_tokens == 2500 for grant in fetches)


def test_a_cancelled_request_takes_no_slot():
    broker = make_broker(1)
    broker.submit(make_request("gone"), 0.0)
    broker.cancel("gone")
    assert broker.dispatch(0.0) == []
    assert broker.engines["e0"].running == 0


def test_cancelled_requests_do_not_count_as_waiting():
    """Guards against refusing requests because of cancelled ones ahead.

    The queue is half a second long when all of its callers disconnect.
    """
    broker = make_broker(1)
    number = 0
    while broker.submit(make_request(f"k{number}"), 0.0) is None:
        number += 1
    assert broker.predicted_wait_ms("w") > 400
    for key in list(broker.queued):
        broker.cancel(key)
    assert broker.predicted_wait_ms("w") == 0
    assert broker.submit(make_request("next"), 0.0) is None
    (result,) = broker.dispatch(0.0)
    assert result.key == "next"


def test_a_new_broker_counts_requests_in_flight():
    broker = make_broker(1)
    broker.add_unbrokered(
        UnbrokeredRequest(
            key="old", endpoint="e0", prefill_tokens=3000, memory_tokens=3000
        ),
        0.0,
    )
    assert broker.engines["e0"].wait_ms == pytest.approx(3000 / RATE)
    broker.finish("old")
    assert broker.engines["e0"].wait_ms == 0
    assert broker.engines["e0"].running == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                ["submit", "dispatch", "first", "finish", "cancel"]
            ),
            st.integers(0, 9),
            st.integers(1, 9000),
        ),
        max_size=60,
    )
)
def test_counters_return_to_zero_after_any_sequence_of_events(events):
    """Guards against leaked load after lost, late or repeated reports."""
    broker = make_broker(2)
    now = 0.0
    for event, number, tokens in events:
        now += 20.0
        key = f"k{number}"
        known = key in broker.in_flight or key in broker.queued
        if event == "submit" and not known:
            broker.submit(make_request(key, f"w{number % 3}", now, tokens), now)
        elif event == "dispatch":
            broker.dispatch(now)
        elif event == "first":
            broker.record_first_token(key, now)
        elif event == "finish":
            broker.finish(key)
        elif event == "cancel":
            broker.cancel(key)
    for key in list(broker.queued):
        broker.cancel(key)
    for key in list(broker.in_flight):
        broker.finish(key)
    for engine in broker.engines.values():
        assert engine.running == 0
        assert engine.prefill_tokens == pytest.approx(0, abs=1e-6)
        assert engine.used_memory_tokens == pytest.approx(0, abs=1e-6)


def test_only_the_cached_prefix_counts_and_the_oldest_part_is_evicted():
    cache = PrefixCache(1000)
    a, b, c = (PromptPart(name, 400) for name in "abc")
    cache.add([a, b])
    assert cache.leading_tokens([a, b, c]) == 800
    assert cache.leading_tokens([b, a]) == 800
    assert cache.leading_tokens([c, a]) == 0
    cache.add([c])
    assert cache.leading_tokens([a]) == 0
    assert cache.tokens <= 1000


def test_a_preferred_engine_stays_when_other_engines_are_removed():
    names = [f"e{number}" for number in range(8)]
    by_part = {f"p{n}": preferred_engine(f"p{n}", names) for n in range(200)}
    moved = [
        part
        for part, preferred in by_part.items()
        if preferred != "e3"
        and preferred_engine(part, [n for n in names if n != "e3"]) != preferred
    ]
    assert moved == []


def test_local_placement_leaves_the_preferred_engine_only_for_a_shorter_wait():
    parts = (PromptPart("shared", 6000), PromptPart("own", 500))
    engines = [EngineView("e0", rate=RATE), EngineView("e1", rate=RATE)]
    preferred = place_prompt(parts, engines, 0.0004).endpoint
    busy = next(e for e in engines if e.endpoint == preferred)
    busy.prefill_tokens = 50 * RATE
    assert place_prompt(parts, engines, 0.0004).endpoint == preferred
    busy.prefill_tokens = 500 * RATE
    moved = place_prompt(parts, engines, 0.0004)
    assert moved.endpoint != preferred
    assert moved.fetch_from == preferred


def test_a_grant_contains_the_number_of_tokens_to_prefill():
    broker = make_broker(1)
    broker.submit(make_request("k"), 0.0)
    (result,) = broker.dispatch(0.0)
    assert result == PlacementGrant("k", "e0", "", 2000)
