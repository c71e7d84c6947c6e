"""A gateway that knows the broker's next answer does not ask for it."""

from marjoramyard.fleet.gateway import refusal_cache
from marjoramyard.fleet.gateway.broker_protocol import PlaceRefusal


def refusal(over_ms):
    return PlaceRefusal(1, 1500.0, 700.0, over_ms)


def test_a_known_refusal_holds_as_long_as_the_line_is_too_long(monkeypatch):
    """A flood of one workspace takes all of a small host's processor.

    Each of its requests asks the broker, who says no. While the line can't
    have got short enough, the answer is given here; other workspaces and
    routes are not touched, and afterwards the broker is asked again.
    """
    now = 100.0
    monkeypatch.setattr(refusal_cache.time, "monotonic", lambda: now)
    known = refusal_cache.RefusalCache()
    known.add("flood", "chat", refusal(30.0))
    assert known.find("flood", "chat") == refusal(30.0)
    assert known.find("flood", "guide") is None
    assert known.find("small", "chat") is None
    now = 100.031
    assert known.find("flood", "chat") is None


def test_no_refusal_holds_for_long(monkeypatch):
    now = 100.0
    monkeypatch.setattr(refusal_cache.time, "monotonic", lambda: now)
    known = refusal_cache.RefusalCache()
    known.add("flood", "chat", refusal(5000.0))
    now = 100.0 + refusal_cache.MAX_CACHED_SECONDS
    assert known.find("flood", "chat") is None


def test_a_refusal_that_says_nothing_of_the_line_is_not_kept():
    known = refusal_cache.RefusalCache()
    known.add("w", "chat", refusal(0.0))
    assert known.find("w", "chat") is None
