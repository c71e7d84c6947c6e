"""Health of endpoints, based on the outcome of their requests."""

import msgspec

INITIAL_BACKOFF_SECONDS = 0.3
"""Backoff after the first failure. A restart takes seconds, a reset connection
much less."""
MAX_BACKOFF_SECONDS = 2.0
"""Limits how long an endpoint that has recovered stays unused."""


SERVED_LATELY_SECONDS = 1.0
"""An endpoint that served a request so recently is not lost."""


class EndpointHealth(msgspec.Struct):
    """Recent request outcomes of one endpoint.

    Times are in seconds on a monotonic clock.

    Attributes:
        failures: Number of consecutive failures.
        backoff_until: End of the backoff. Until then requests are sent to
            other endpoints, unless all of them are backing off.
        last_success_at: Time of the last response.
    """

    failures: int = 0
    backoff_until: float = 0.0
    last_success_at: float = float("-inf")

    def record_success(self, now: float) -> None:
        """Records a response, which ends the backoff."""
        self.failures = 0
        self.backoff_until = 0.0
        self.last_success_at = now

    def record_failure(self, now: float) -> None:
        """Records a connection error or a missing response.

        The backoff doubles with each consecutive failure, once the endpoint has
        served nothing for a while.
        """
        self.failures += 1
        if now - self.last_success_at < SERVED_LATELY_SECONDS:
            self.backoff_until = now + INITIAL_BACKOFF_SECONDS
            return
        backoff = INITIAL_BACKOFF_SECONDS * 2 ** min(self.failures - 1, 10)
        self.backoff_until = now + min(backoff, MAX_BACKOFF_SECONDS)

    def is_failing_some(self, now: float) -> bool:
        """Returns whether it is backing off but has served a request lately."""
        served_lately = now - self.last_success_at < SERVED_LATELY_SECONDS
        return served_lately and self.is_backing_off(now)

    def is_backing_off(self, now: float) -> bool:
        """Returns whether requests should be sent to other endpoints."""
        return now < self.backoff_until
