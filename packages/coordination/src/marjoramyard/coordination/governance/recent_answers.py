"""Remembers which requests, and prompt parts, were answered lately."""

ANSWERED_SECONDS = 10.0
"""A request that was answered so recently does not crash endpoints."""
MAX_ANSWERED = 16384


class RecentAnswers:
    """The requests that were answered lately, in that order.

    Times are in seconds on a monotonic clock.

    Attributes:
        answered_at: When each was last answered, by fingerprint.
    """

    def __init__(self):
        self.answered_at: dict[str, float] = {}

    def record(self, fingerprint: str, now: float) -> None:
        """Records a response to a request."""
        self.answered_at.pop(fingerprint, None)
        self.answered_at[fingerprint] = now
        if len(self.answered_at) > MAX_ANSWERED:
            del self.answered_at[next(iter(self.answered_at))]
        self._forget_oldest(now)

    def _forget_oldest(self, now: float) -> None:
        while self.answered_at:
            oldest = next(iter(self.answered_at))
            if now - self.answered_at[oldest] <= ANSWERED_SECONDS:
                return
            del self.answered_at[oldest]

    def contains(self, fingerprint: str, now: float) -> bool:
        """Returns whether a request was answered lately."""
        at = self.answered_at.get(fingerprint)
        return at is not None and now - at <= ANSWERED_SECONDS
