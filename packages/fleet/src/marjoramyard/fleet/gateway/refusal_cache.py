"""Refuses at once what the broker has just refused of the same kind."""

import time

from marjoramyard.fleet.gateway.broker_protocol import PlaceRefusal

MAX_CACHED_SECONDS = 0.1
"""However long the line is: a workspace's line can also empty at once, when
its callers leave."""


class RefusalCache:
    """Which lines are known to be too long, and until when.

    One workspace can bring a gateway hundreds of requests a second that are
    all refused. Asking the broker for each costs processor here and there; a
    small host runs out of it, and its other callers' answers are late too. A
    line gets shorter by a millisecond each millisecond at the most, so until
    then the broker's answer is known.
    """

    def __init__(self):
        self.refusals: dict[tuple[str, str], tuple[float, PlaceRefusal]] = {}

    def add(self, workspace: str, route: str, refusal: PlaceRefusal) -> None:
        """Remembers a refusal by the broker."""
        held_seconds = min(refusal.over_ms / 1000, MAX_CACHED_SECONDS)
        if held_seconds > 0:
            until = time.monotonic() + held_seconds
            self.refusals[workspace, route] = (until, refusal)

    def find(self, workspace: str, route: str) -> PlaceRefusal | None:
        """Returns the refusal that still holds, if there is one."""
        found = self.refusals.get((workspace, route))
        if found is None:
            return None
        until, refusal = found
        if time.monotonic() < until:
            return refusal
        del self.refusals[workspace, route]
        return None
