"""Tests of the broker's choice of engine and of its predicted waits."""

import itertools
import sys
from pathlib import Path

from marjoramyard.coordination.placement.requests import (
    PlacementRefusal,
    UnbrokeredRequest,
)
from marjoramyard.coordination.routing.table import PromptPart

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    RATE,
    make_broker,
    make_request,
)

GUIDE = PromptPart("guide", 6000)


def grant(broker, request, now=0.0):
    """Returns the grant of a request that ends at once."""
    assert broker.submit(request, now) is None
    (result,) = broker.dispatch(now)
    broker.record_first_token(request.key, now)
    broker.finish(request.key)
    return result


def test_an_urgent_short_prompt_is_not_refused_behind_long_ones():
    """Guards against refusals because of requests that are due later.

    Long prompts due in 800 ms fill the queue for more than 400 ms. A short
    prompt of the same workspace, due in 400 ms, is served before them.
    """
    broker = make_broker(1)
    for number in range(12):
        request = make_request(f"long-{number}", tokens=1800)
        assert not isinstance(broker.submit(request, 0.0), PlacementRefusal)
        broker.dispatch(0.0)
    assert broker.predicted_wait_ms("w") > 400
    urgent = make_request("urgent", tokens=400, first_token_due_at=400.0)
    assert broker.submit(urgent, 0.0) is None


def test_the_predicted_wait_includes_requests_that_are_due_earlier():
    broker = make_broker(1)
    for number in range(12):
        broker.submit(
            make_request(
                f"urgent-{number}", tokens=1500, first_token_due_at=700.0
            ),
            0.0,
        )
    assert broker.predicted_wait_ms("w", (False, 800.0)) > 400


def test_a_short_wait_is_preferred_to_a_copy_of_cached_parts():
    """Guards against copies that evict other cached parts.

    The engine with the cached part is busy for 50 ms, the other is idle.
    """
    broker = make_broker(2)
    preferred = grant(broker, make_request("first", shared=(GUIDE,))).endpoint
    broker.add_unbrokered(
        UnbrokeredRequest(
            key="busy",
            endpoint=preferred,
            prefill_tokens=50 * RATE,
            memory_tokens=0,
        ),
        0.0,
    )
    result = grant(broker, make_request("second", shared=(GUIDE,)))
    assert result.endpoint == preferred
    assert result.fetch_from == ""


def test_cached_parts_are_copied_when_the_wait_is_too_long():
    broker = make_broker(2)
    preferred = grant(broker, make_request("first", shared=(GUIDE,))).endpoint
    broker.add_unbrokered(
        UnbrokeredRequest(
            key="busy",
            endpoint=preferred,
            prefill_tokens=200 * RATE,
            memory_tokens=0,
        ),
        0.0,
    )
    result = grant(broker, make_request("second", shared=(GUIDE,)))
    assert result.endpoint != preferred
    assert result.fetch_from == preferred


def test_a_new_broker_chooses_the_same_engines_as_the_old_one():
    """Guards against cache misses for all shared parts on a change of broker.

    A new broker knows of no cached parts, so it uses the preferred engine.
    """
    parts = [PromptPart(f"guide-{n}", 4000) for n in range(20)]
    old, new = make_broker(5), make_broker(5)
    numbers = itertools.count()

    def chosen(broker):
        return [
            grant(
                broker, make_request(f"k{next(numbers)}", shared=(part,))
            ).endpoint
            for part in parts
        ]

    assert chosen(old) == chosen(new)
    assert len(set(chosen(old))) > 2


def test_a_prompt_waits_for_its_cache_while_others_use_the_idle_engine():
    """Guards against copies whenever an engine reaches its maximum backlog.

    A copy costs as much as a wait of 68 ms, so a backlog of 65 ms is waited
    for. A request without cached parts uses the idle engine meanwhile.
    """
    broker = make_broker(2)
    preferred = grant(broker, make_request("first", shared=(GUIDE,))).endpoint
    broker.add_unbrokered(
        UnbrokeredRequest(
            key="busy",
            endpoint=preferred,
            prefill_tokens=65 * RATE,
            memory_tokens=0,
        ),
        0.0,
    )
    assert (
        broker.submit(make_request("same-guide", shared=(GUIDE,)), 0.0) is None
    )
    assert broker.dispatch(0.0) == []
    assert broker.submit(make_request("other", workspace="x"), 0.0) is None
    (result,) = broker.dispatch(0.0)
    assert (result.key, result.endpoint != preferred) == ("other", True)
    broker.record_first_token("busy", 1.0)
    (result,) = broker.dispatch(1.0)
    assert (result.key, result.endpoint) == ("same-guide", preferred)


def test_a_prompt_does_not_wait_for_an_engine_without_free_memory():
    """Guards against waiting for memory that running requests occupy for
    seconds.
    """
    broker = make_broker(2)
    preferred = grant(broker, make_request("first", shared=(GUIDE,))).endpoint
    broker.add_unbrokered(
        UnbrokeredRequest(
            key="long",
            endpoint=preferred,
            prefill_tokens=0,
            memory_tokens=230_000,
        ),
        0.0,
    )
    result = grant(broker, make_request("second", shared=(GUIDE,)))
    assert result.endpoint != preferred


def test_a_restarted_engine_has_nothing_cached():
    """Guards against prompts that wait for a cache that a restart emptied."""
    broker = make_broker(2)
    for endpoint in ("e0", "e1"):
        broker.set_lifetime(endpoint, 1)
    first = grant(broker, make_request("a", shared=(GUIDE,)))
    other = "e1" if first.endpoint == "e0" else "e0"
    broker.engines[other].prefix_cache.add([GUIDE])
    broker.set_lifetime(first.endpoint, 1)
    assert broker.engines[first.endpoint].prefix_cache.tokens
    broker.set_lifetime(first.endpoint, 2)
    again = grant(broker, make_request("b", shared=(GUIDE,)))
    assert again.endpoint == other
    assert again.fetch_from == ""
