"""Load: a broker of thousands of engines."""

import random

import pytest

from marjoramyard.coordination.placement import plans
from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.prefix_cache import PrefixCache
from marjoramyard.coordination.placement.prefix_index import PrefixIndex
from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRequest,
)
from marjoramyard.coordination.routing.config import EngineProfile
from marjoramyard.coordination.routing.table import PromptPart

RATE = 25.0
OWN_TOKENS = 2000


def make_broker(engines):
    profile = EngineProfile(
        slots=64, memory_tokens=200_000, token_bytes=18_432, link_mbps=370_000
    )
    broker = Broker(profile, RATE)
    broker.set_engines(f"e{number}" for number in range(engines))
    return broker


def make_request(number, prefix):
    return PlacementRequest(
        key=f"1/{number}",
        workspace="w",
        parts=(
            PromptPart("common", 1000),
            PromptPart(f"prefix-{prefix}", 3000),
            PromptPart(f"own-{number}", OWN_TOKENS),
        ),
        output_tokens=20,
        first_token_due_at=800.0,
        deadline_at=5000.0,
        submitted_at=0.0,
    )


def place(broker, number, prefix):
    assert broker.submit(make_request(number, prefix), 0.0) is None
    (grant,) = broker.dispatch(0.0)
    assert isinstance(grant, PlacementGrant)
    return grant


@pytest.fixture
def compared(monkeypatch):
    """Counts the engines that are compared."""
    counts = [0]
    original = plans._plan

    def count(*args):
        counts[0] += 1
        return original(*args)

    monkeypatch.setattr(plans, "_plan", count)
    return counts


def test_few_of_thousands_of_engines_are_compared(compared):
    """Guards against a broker that decides slower than prompts arrive."""
    broker = make_broker(3000)
    for number in range(50):
        place(broker, number, prefix=number % 5)
    assert compared[0] < 50 * 200


def test_all_engines_of_a_small_pool_are_compared(compared):
    broker = make_broker(40)
    place(broker, 0, prefix=0)
    assert compared[0] == 40


def test_a_large_pool_uses_what_is_cached():
    broker = make_broker(1000)
    prefixes = list(range(20)) * 5
    random.Random(1).shuffle(prefixes)
    grants = [place(broker, n, prefix) for n, prefix in enumerate(prefixes)]
    whole = sum(grant.prefill_tokens > 1.5 * OWN_TOKENS for grant in grants)
    assert whole <= 20


def test_a_large_pool_spreads_prompts_without_a_common_prefix():
    """Guards against a queue at the engines that happen to be compared."""
    broker = make_broker(500)
    for number in range(500):
        parts = (PromptPart(f"own-{number}", 5000),)
        request = make_request(number, 0)
        request.parts = parts
        broker.submit(request, 0.0)
    grants = broker.dispatch(0.0)
    assert len(grants) == 500
    assert max(e.running for e in broker.engines.values()) <= 2


def test_the_index_follows_the_caches():
    """Guards against prefixes that are looked for where they were evicted."""
    index = PrefixIndex()
    caches = [PrefixCache(100, name, index) for name in ("a", "b")]
    draw = random.Random(2)
    for step in range(500):
        cache = draw.choice(caches)
        if draw.random() < 0.02:
            cache.clear()
        parts = [
            PromptPart(f"p{draw.randrange(6)}", draw.randrange(1, 60))
            for _ in range(draw.randrange(1, 4))
        ]
        cache.add(parts)
        wanted = {
            digest: {c.endpoint for c in caches if digest in c.parts}
            for c in caches
            for digest in c.parts
        }
        assert dict(index.endpoints) == wanted, step


def test_the_longest_prefix_is_that_of_the_engine_with_most_of_it():
    index = PrefixIndex()
    parts = [PromptPart("p", 10), PromptPart("q", 20), PromptPart("r", 5)]
    PrefixCache(100, "a", index).add(parts[:1])
    PrefixCache(100, "b", index).add(parts[:2])
    PrefixCache(100, "c", index).add(parts[2:])
    assert index.longest_prefix(parts) == (30, {"b"})
    assert index.longest_prefix([PromptPart("other", 1)]) == (0, set())
