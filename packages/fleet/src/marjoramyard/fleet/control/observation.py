"""For how long a control host knows of all endpoints."""

import time

from marjoramyard.coordination.membership.registrations import (
    DEPARTED_RETENTION_SECONDS,
)

EXCHANGE_SECONDS = 2.0
"""Within this time two control hosts that hear of each other have exchanged all
registrations, also of endpoints that departed lately."""


class Observation:
    """For how long a control host knows which endpoints have served.

    A host that starts learns from the others which endpoints have departed, so
    it knows for as long as they do. At the first start of the fleet no endpoint
    has served before. Times are in seconds on the monotonic clock.

    Attributes:
        since: From when on this host knows.
        complete_at: From when on it has what the others know.
        heard_since: Since when others have been heard of, by address.
    """

    def __init__(self, is_first_start: bool, settling_seconds: float):
        now = time.monotonic()
        self.since = now
        if is_first_start:
            self.since -= DEPARTED_RETENTION_SECONDS
        self.complete_at = now + settling_seconds
        self.heard_since: dict[str, float] = {}

    def seconds(self, is_isolated: bool) -> float:
        """Returns for how long this host knows; 0.0 if it doesn't.

        Args:
            is_isolated: Whether it hears of few other control hosts.
        """
        now = time.monotonic()
        if is_isolated:
            self.complete_at = now + EXCHANGE_SECONDS
        return now - self.since if now >= self.complete_at else 0.0

    def on_heard(self, address: str, seconds: float) -> None:
        """Notes another control host's announcement.

        Args:
            address: The other host.
            seconds: For how long it knows.
        """
        now = time.monotonic()
        since = self.heard_since.setdefault(address, now)
        if seconds > 0 and now - since >= EXCHANGE_SECONDS:
            self.since = min(self.since, now - seconds)

    def on_lost(self, address: str) -> None:
        """Notes that another control host was not heard of for long."""
        self.heard_since.pop(address, None)
