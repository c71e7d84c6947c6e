"""Load: many routers and engines, so that connections are often idle.

A guess that turns out wrong only costs what would have been spent anyway: the
router opens a new connection.
"""

import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.connection_costs import (
    MAX_LOCAL_SHARED_TOKENS,
    NEW_CONNECTION_MS,
    REMOTE_ZONE_MS,
)
from marjoramyard.coordination.placement.idle_connections import (
    REUSABLE_MS,
    IdleConnections,
)
from marjoramyard.coordination.placement.requests import PlacementGrant
from marjoramyard.coordination.routing.table import PromptPart

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import make_broker, make_request  # noqa: E402

SHARED = (PromptPart("shared", 500),)


@pytest.fixture
def broker():
    """A broker of unequal engines that all have the same part cached."""
    broker = make_broker(6)
    broker.set_uneven(True)
    for engine in broker.engines.values():
        engine.prefix_cache.add(SHARED)
    return broker


def place(broker, key, now, router="r1", shared=SHARED, **changes):
    request = make_request(
        key, now=now, tokens=300, router=router, shared=shared, **changes
    )
    assert broker.submit(request, now) is None
    (grant,) = broker.dispatch(now)
    assert isinstance(grant, PlacementGrant)
    return grant.endpoint


def end(broker, key, now, is_idle=True):
    broker.record_first_token(key, now)
    broker.finish(key, now if is_idle else None)


def occupy(broker, endpoint, wait_ms):
    engine = broker.engines[endpoint]
    engine.prefill_tokens = wait_ms * engine.rate
    broker.load.forget()


def test_a_request_goes_where_its_router_has_an_idle_connection(broker):
    """Guards against a new connection for each request.

    The engine with the connection has the longer wait, by less than the cost
    of a connection.
    """
    first = place(broker, "first", 0.0)
    end(broker, "first", 100.0)
    occupy(broker, first, NEW_CONNECTION_MS / 2)
    assert place(broker, "same", 200.0) == first
    assert broker.reuse_count == 1


def test_an_idle_connection_is_not_worth_a_long_wait(broker):
    first = place(broker, "first", 0.0)
    end(broker, "first", 100.0)
    occupy(broker, first, 2 * NEW_CONNECTION_MS)
    assert place(broker, "same", 200.0) != first


@pytest.mark.parametrize(
    "loss", ["other router", "too late", "failed", "taken", "left", "restarted"]
)
def test_a_connection_that_is_gone_does_not_count(broker, loss):
    first = place(broker, "first", 0.0)
    end(broker, "first", 100.0, is_idle=loss != "failed")
    router, now = "r1", 200.0
    if loss == "other router":
        router = "r2"
    if loss == "too late":
        now = 101.0 + REUSABLE_MS
    if loss == "taken":
        assert place(broker, "second", now) == first
        broker.record_first_token("second", now)
    if loss == "left":
        broker.forget_connections("r1")
    if loss == "restarted":
        broker.set_lifetime(first, 1)
        broker.set_lifetime(first, 2)
        broker.engines[first].prefix_cache.add(SHARED)
    occupy(broker, first, NEW_CONNECTION_MS / 2)
    assert place(broker, "third", now, router) != first


def test_a_wrong_guess_changes_nothing_but_the_choice(broker):
    """The router finds the connection closed, and opens a new one."""
    first = place(broker, "first", 0.0)
    end(broker, "first", 100.0)
    assert place(broker, "wrong", 200.0) == first
    end(broker, "wrong", 300.0)
    assert broker.engines[first].running == 0
    assert place(broker, "next", 400.0) == first


def test_equal_engines_are_chosen_without_regard_to_connections(broker):
    broker.is_uneven = False
    first = place(broker, "first", 0.0)
    end(broker, "first", 100.0)
    occupy(broker, first, NEW_CONNECTION_MS / 2)
    assert place(broker, "same", 200.0) != first


def test_requests_at_the_same_time_spread_over_engines(broker):
    """Guards against a queue at the one engine with a connection."""
    first = place(broker, "first", 0.0)
    end(broker, "first", 100.0)
    chosen = [place(broker, f"k{number}", 200.0) for number in range(12)]
    assert first in chosen
    assert len(set(chosen)) >= 5


def test_the_connections_of_the_last_seconds_are_all_that_is_kept():
    """Guards against memory that grows with each pair of router and engine."""
    connections = IdleConnections()
    for number in range(20_000):
        connections.record(f"r{number}", float(number))
    assert len(connections.idle_since) <= REUSABLE_MS + 1
    assert len(connections.ends) <= REUSABLE_MS + 1


def test_each_idle_connection_is_taken_once():
    connections = IdleConnections()
    connections.record("r1", 0.0)
    connections.record("r1", 10.0)
    taken = [connections.take("r1", 20.0) for _ in range(3)]
    assert taken == [True, True, False]
    connections.record("r1", 30.0)
    assert connections.has_one("r1", 30.0 + REUSABLE_MS)
    assert not connections.has_one("r1", 31.0 + REUSABLE_MS)
    assert not connections.take("r1", 31.0 + REUSABLE_MS)


@pytest.fixture
def zoned(broker):
    for number, endpoint in enumerate(broker.engines):
        zone = "a" if number == 3 else "b"
        broker.set_availability_zone(endpoint, zone)
    return broker


def test_a_small_prompt_stays_in_the_zone_of_its_router(zoned):
    occupy(zoned, "e3", REMOTE_ZONE_MS / 2)
    assert place(zoned, "k", 0.0, availability_zone="a") == "e3"


def test_a_small_prompt_crosses_zones_rather_than_wait(zoned):
    occupy(zoned, "e3", 2 * REMOTE_ZONE_MS)
    assert place(zoned, "k", 0.0, availability_zone="a") != "e3"


def test_a_large_shared_part_is_worth_crossing_zones(zoned):
    shared = (PromptPart("large", MAX_LOCAL_SHARED_TOKENS + 1),)
    for engine in zoned.engines.values():
        engine.prefix_cache.add(shared)
    occupy(zoned, "e3", REMOTE_ZONE_MS / 2)
    chosen = place(zoned, "k", 0.0, shared=shared, availability_zone="a")
    assert chosen != "e3"


def test_an_unknown_zone_costs_nothing(zoned):
    occupy(zoned, "e3", REMOTE_ZONE_MS / 2)
    assert place(zoned, "k", 0.0) != "e3"
