"""Judges endpoints by what became of the requests sent to them."""

import msgspec

FIRST_PAUSE_SECONDS = 0.3
"""After one failure; a restart takes seconds, a reset link much less."""
LONGEST_PAUSE_SECONDS = 2.0
"""The longest time until a returned endpoint is tried again."""


class EndpointHealth(msgspec.Struct):
    """The recent outcomes at one endpoint.

    Attributes:
        failures: Failures in a row.
        paused_until: No request is sent before, unless all are paused.
        succeeded_at: When the last answer came.
    """

    failures: int = 0
    paused_until: float = 0.0
    succeeded_at: float = float("-inf")

    def succeeded(self, now: float) -> None:
        """An answer came."""
        self.failures = 0
        self.paused_until = 0.0
        self.succeeded_at = now

    def failed(self, now: float) -> None:
        """A connection failed, broke, or brought no answer."""
        self.failures += 1
        pause = FIRST_PAUSE_SECONDS * 2 ** min(self.failures - 1, 10)
        self.paused_until = now + min(pause, LONGEST_PAUSE_SECONDS)

    def is_paused(self, now: float) -> bool:
        """Whether requests should go elsewhere."""
        return now < self.paused_until
