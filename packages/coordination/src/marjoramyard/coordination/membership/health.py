"""Judges endpoints by what became of the requests sent to them."""

import msgspec

INITIAL_BACKOFF_SECONDS = 0.3
"""After one failure; a restart takes seconds, a reset link much less."""
MAX_BACKOFF_SECONDS = 2.0
"""The longest time until a returned endpoint is tried again."""


class EndpointHealth(msgspec.Struct):
    """The recent outcomes at one endpoint.

    Attributes:
        failures: Failures in a row.
        paused_until: No request is sent before, unless all are paused.
        succeeded_at: When the last answer came.
    """

    failures: int = 0
    backoff_until: float = 0.0
    last_success_at: float = float("-inf")

    def record_success(self, now: float) -> None:
        """An answer came."""
        self.failures = 0
        self.backoff_until = 0.0
        self.last_success_at = now

    def record_failure(self, now: float) -> None:
        """A connection failed, broke, or brought no answer."""
        self.failures += 1
        pause = INITIAL_BACKOFF_SECONDS * 2 ** min(self.failures - 1, 10)
        self.backoff_until = now + min(pause, MAX_BACKOFF_SECONDS)

    def is_backing_off(self, now: float) -> bool:
        """Whether requests should go elsewhere."""
        return now < self.backoff_until
