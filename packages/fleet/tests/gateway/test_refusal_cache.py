"""Refusals of the broker that the gateway caches."""

from marjoramyard.fleet.gateway import refusal_cache
from marjoramyard.fleet.gateway.broker_protocol import PlaceRefusal


def refusal(over_ms):
    return PlaceRefusal(1, 1500.0, 700.0, over_ms)


def test_a_refusal_is_cached_until_the_queue_can_be_short_enough(monkeypatch):
    """A refusal holds for its workspace and route until it expires."""
    now = 100.0
    monkeypatch.setattr(refusal_cache.time, "monotonic", lambda: now)
    cache = refusal_cache.RefusalCache()
    cache.add(("large", "chat", False), refusal(30.0))
    assert cache.find(("large", "chat", False)) == refusal(30.0)
    assert cache.find(("large", "guide", False)) is None
    assert cache.find(("small", "chat", False)) is None
    assert cache.find(("large", "chat", True)) is None
    now = 100.031
    assert cache.find(("large", "chat", False)) is None


def test_caching_time_is_limited(monkeypatch):
    now = 100.0
    monkeypatch.setattr(refusal_cache.time, "monotonic", lambda: now)
    cache = refusal_cache.RefusalCache()
    cache.add(("large", "chat", False), refusal(5000.0))
    now = 100.0 + refusal_cache.MAX_CACHED_SECONDS
    assert cache.find(("large", "chat", False)) is None


def test_a_refusal_without_a_duration_is_not_cached():
    cache = refusal_cache.RefusalCache()
    cache.add(("w", "chat", False), refusal(0.0))
    assert cache.find(("w", "chat", False)) is None
