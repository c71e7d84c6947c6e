"""Load: engines that turn requests away and ask routers for pauses.

Such an engine has nothing in flight, so without the pauses it looks like the
best choice for every request.
"""

import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRefusal,
)
from marjoramyard.coordination.placement.router_pauses import RouterPauses

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import RATE, make_broker, make_request  # noqa: E402

PAUSE_MS = 3000.0
TOKENS = 1000


def submit(broker, key, router, now=0.0):
    request = make_request(key, now=now, tokens=TOKENS, router=router)
    return broker.submit(request, now)


def decide(broker, now=0.0):
    return {decision.key: decision for decision in broker.dispatch(now)}


def test_an_engine_gets_no_requests_of_a_router_that_it_asked_for_a_pause():
    """Guards against grants that a gateway must return."""
    broker = make_broker(2)
    broker.pause("r1", "e0", PAUSE_MS)
    for number in range(8):
        submit(broker, f"{number}", "r1")
    granted = decide(broker).values()
    assert granted
    assert {grant.endpoint for grant in granted} == {"e1"}


def test_an_engine_still_gets_requests_of_other_routers():
    """Guards against engines that idle because they refused one gateway."""
    broker = make_broker(2)
    broker.set_router_count(2)
    broker.pause("r1", "e0", PAUSE_MS)
    for number in range(4):
        submit(broker, f"{number}", "r2")
    found = {grant.endpoint for grant in decide(broker).values()}
    assert found == {"e0", "e1"}


def test_a_pause_ends_after_its_time():
    broker = make_broker(1)
    broker.pause("r1", "e0", PAUSE_MS)
    submit(broker, "1", "r1", PAUSE_MS)
    assert isinstance(decide(broker, PAUSE_MS)["1"], PlacementGrant)
    assert not broker.pauses.by_endpoint


def test_a_queued_request_is_refused_at_once_if_no_engine_may_get_it():
    """Guards against requests that wait until their deadline for nothing."""
    broker = make_broker(1)
    submit(broker, "1", "r1")
    broker.pause("r1", "e0", PAUSE_MS)
    refused = decide(broker)["1"]
    assert isinstance(refused, PlacementRefusal)
    assert refused.retry_after_ms == PAUSE_MS


@pytest.mark.parametrize(
    "pausing_routers, share", [((), 1.0), (("r1",), 0.75), (("r1", "r2"), 0.5)]
)
def test_waits_are_predicted_for_the_engines_that_routers_may_use(
    pausing_routers, share
):
    """Guards against more admitted requests than the other engines can serve,
    and against idle engines if the pauses are those of a few routers.
    """
    broker = make_broker(2)
    broker.set_router_count(2)
    for router in pausing_routers:
        broker.pause(router, "e0", PAUSE_MS)
    assert broker.total_prefill_rate == pytest.approx(2 * RATE * share)


def test_the_pauses_of_a_router_end_when_it_disconnects():
    broker = make_broker(1)
    broker.pause("r1", "e0", PAUSE_MS)
    broker.forget_pauses("r1")
    submit(broker, "1", "r1")
    assert isinstance(decide(broker)["1"], PlacementGrant)


def test_a_restarted_engine_has_not_asked_for_a_pause():
    broker = make_broker(1)
    broker.set_lifetime("e0", 1)
    broker.pause("r1", "e0", PAUSE_MS)
    broker.set_lifetime("e0", 2)
    submit(broker, "1", "r1")
    assert isinstance(decide(broker)["1"], PlacementGrant)


def test_a_prolonged_pause_ends_at_its_last_end():
    """Guards against requests in a pause of which an earlier one has ended."""
    broker = make_broker(1)
    broker.pause("r1", "e0", PAUSE_MS)
    broker.pause("r1", "e0", 2 * PAUSE_MS)
    broker.pause("r1", "e0", PAUSE_MS / 2)
    broker.end_pauses(PAUSE_MS)
    assert broker.pauses.of("r1") == {"e0"}
    broker.end_pauses(2 * PAUSE_MS)
    assert not broker.pauses.of("r1")
    assert not broker.pauses.ends


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["record", "expire", "router", "endpoint"]),
            st.sampled_from(["a", "b"]),
            st.sampled_from(["x", "y"]),
            st.integers(0, 20),
        ),
        max_size=30,
    )
)
def test_pauses_agree_with_a_plain_table(steps):
    pauses, table, now = RouterPauses(), {}, 0
    for action, router, endpoint, value in steps:
        if action == "record":
            until = now + value
            key = (router, endpoint)
            pauses.record(router, endpoint, until)
            table[key] = max(until, table.get(key, 0))
        elif action == "expire":
            now += value
        elif action == "router":
            pauses.forget_router(router)
            table = {k: v for k, v in table.items() if k[0] != router}
        else:
            pauses.forget_endpoint(endpoint)
            table = {k: v for k, v in table.items() if k[1] != endpoint}
        pauses.expire(now)
        table = {k: v for k, v in table.items() if v > now}
        for name in ("a", "b"):
            assert pauses.of(name) == {e for r, e in table if r == name}
