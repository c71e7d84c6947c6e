"""Load: an engine that refuses every request at once.

It never has anything in flight. If it also counts as having cached the prompts
that it refused, the broker prefers it for them.
"""

import sys
from pathlib import Path

from marjoramyard.coordination.placement.requests import PlacementGrant
from marjoramyard.coordination.routing.table import PromptPart

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import make_broker, make_request  # noqa: E402

SHARED = (PromptPart("shared", 3000),)


def grant_next(broker, key, now=0.0, **changes):
    request = make_request(key, now=now, shared=SHARED, **changes)
    assert broker.submit(request, now) is None
    (grant,) = broker.dispatch(now)
    assert isinstance(grant, PlacementGrant)
    return grant


def test_an_engine_that_refuses_prompts_does_not_attract_more_of_them():
    """Guards against an engine that counts as having cached what it refused."""
    broker = make_broker(2)
    refused = grant_next(broker, "1")
    broker.undo_grant(refused.key)
    excluded = frozenset({refused.endpoint})
    served = grant_next(broker, "2", excluded_endpoints=excluded)
    broker.record_first_token(served.key, 200.0)
    broker.finish(served.key)
    for number in range(3, 8):
        grant = grant_next(broker, f"{number}", now=200.0 * number)
        assert grant.endpoint == served.endpoint
        broker.record_first_token(grant.key, 200.0 * number + 100)
        broker.finish(grant.key)


def test_a_refused_prompt_leaves_no_trace_at_the_broker():
    """Guards against a workspace that is charged for what it did not get, and
    so served less than its share.
    """
    broker = make_broker(1)
    broker.undo_grant(grant_next(broker, "1").key)
    engine = broker.engines["e0"]
    assert broker.virtual_time["w"] == 0.0
    assert (engine.running, engine.prefill_tokens) == (0, 0.0)
    assert engine.used_memory_tokens == 0.0
    assert not engine.prefix_cache.parts
    assert not broker.in_flight


def test_parts_that_were_cached_before_a_refusal_stay():
    broker = make_broker(1)
    served = grant_next(broker, "1")
    broker.record_first_token(served.key, 200.0)
    broker.finish(served.key)
    broker.undo_grant(grant_next(broker, "2", now=200.0).key)
    cached = broker.engines["e0"].prefix_cache.parts
    assert "shared" in cached
    assert "own-2" not in cached


def test_an_unknown_request_is_not_taken_back():
    broker = make_broker(1)
    broker.undo_grant("unknown")
    assert broker.virtual_time == {}
