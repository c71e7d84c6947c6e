"""Caches refusals of the broker."""

import time

from marjoramyard.fleet.gateway.broker_protocol import PlaceRefusal

MAX_CACHED_SECONDS = 0.1
"""Upper limit, since a queue also shortens when callers disconnect."""


QueueKey = tuple[str, str, bool]
"""A workspace, a route, and whether the requests are overdue."""


class RefusalCache:
    """Refusals of the broker that still hold, by workspace and route.

    Submitting hundreds of requests per second that are all refused would use up
    the CPU of a small host. A queue shortens by at most one millisecond per
    millisecond, so the same refusal holds until then.
    """

    def __init__(self):
        self.refusals: dict[QueueKey, tuple[float, PlaceRefusal]] = {}

    def add(self, queue: QueueKey, refusal: PlaceRefusal) -> None:
        """Caches a refusal of the broker for as long as it holds."""
        held_seconds = min(refusal.over_ms / 1000, MAX_CACHED_SECONDS)
        if held_seconds > 0:
            until = time.monotonic() + held_seconds
            self.refusals[queue] = (until, refusal)

    def find(self, queue: QueueKey) -> PlaceRefusal | None:
        """Returns the cached refusal that still holds, or None."""
        found = self.refusals.get(queue)
        if found is None:
            return None
        until, refusal = found
        if time.monotonic() < until:
            return refusal
        del self.refusals[queue]
        return None
