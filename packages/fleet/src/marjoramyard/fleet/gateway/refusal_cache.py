"""Refuses at once what the broker has just refused of the same kind."""

import time

from marjoramyard.fleet.gateway.broker_protocol import PlaceRefusal

MAX_HELD_SECONDS = 0.1
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
        self.known: dict[tuple[str, str], tuple[float, PlaceRefusal]] = {}

    def note(self, workspace: str, route: str, told: PlaceRefusal) -> None:
        """Remembers a refusal by the broker."""
        held = min(told.over_ms / 1000, MAX_HELD_SECONDS)
        if held > 0:
            until = time.monotonic() + held
            self.known[workspace, route] = (until, told)

    def find(self, workspace: str, route: str) -> PlaceRefusal | None:
        """Returns the refusal that still holds, if there is one."""
        found = self.known.get((workspace, route))
        if found is None:
            return None
        until, told = found
        if time.monotonic() < until:
            return told
        del self.known[workspace, route]
        return None
