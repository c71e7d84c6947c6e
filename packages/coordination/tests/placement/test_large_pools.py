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


@pytest.mark.parametrize("seed", range(8))
def test_sums_of_a_small_pool_are_always_up_to_date(seed):
    """Guards against refusals by the load of some time ago."""
    draw = random.Random(seed)
    names = [f"e{number}" for number in range(6)]
    broker = make_broker(6)
    broker.set_cold_limit(9)
    now, granted = 0.0, []

    def change():
        nonlocal now
        now += draw.expovariate(0.02)
        kind = draw.randrange(8)
        if kind == 0:
            broker.set_engines(draw.sample(names, draw.randrange(1, 7)))
        elif kind == 1:
            broker.set_cold_until(draw.choice(names), now + 500)
        elif kind == 2:
            broker.set_lifetime(draw.choice(names), draw.randrange(1, 9))
        elif kind == 3 and granted:
            broker.record_first_token(draw.choice(granted), now)
        elif kind == 4 and granted:
            broker.finish(granted.pop(draw.randrange(len(granted))))
        elif kind == 5:
            broker.finish_prefills_of("1", now)
        else:
            request = make_request(draw.randrange(10**6), draw.randrange(3))
            request.submitted_at = now
            request.first_token_due_at = now + 800
            request.deadline_at = now + 5000
            broker.submit(request, now)

    for step in range(400):
        change()
        results = broker.dispatch(now)
        granted += [r.key for r in results if isinstance(r, PlacementGrant)]
        assert broker.load.current() == broker.load._compute(), step


@pytest.mark.parametrize("seed", range(4))
def test_a_large_pool_waits_no_longer_than_a_full_comparison(seed, monkeypatch):
    """Guards against engines chosen from too few."""

    def served(engines_compared):
        monkeypatch.setattr(
            "marjoramyard.coordination.placement.pool_load.MIN_LIGHTEST",
            engines_compared,
        )
        draw = random.Random(seed)
        broker = make_broker(200)
        waits, ends = [], []
        busy_until = dict.fromkeys(broker.engines, 0.0)
        now = 0.0
        for number in range(1500):
            now += draw.expovariate(200 * RATE / 3000)
            while ends and ends[0][0] < now:
                _, key = ends.pop(0)
                broker.record_first_token(key, now)
                broker.finish(key)
            request = make_request(number, draw.randrange(100))
            request.submitted_at = now
            request.first_token_due_at = now + 800
            request.deadline_at = now + 5000
            broker.submit(request, now)
            for grant in broker.dispatch(now):
                if isinstance(grant, PlacementGrant):
                    start = max(now, busy_until[grant.endpoint])
                    end = start + grant.prefill_tokens / RATE
                    busy_until[grant.endpoint] = end
                    waits.append(end - now)
                    ends.append((end, grant.key))
            ends.sort()
        return len(waits), sum(waits) / len(waits)

    all_count, all_wait = served(200)
    few_count, few_wait = served(64)
    assert few_count > 0.98 * all_count
    assert few_wait < 1.1 * all_wait
