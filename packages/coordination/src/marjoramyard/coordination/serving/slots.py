"""Limits how many requests an agent runs concurrently on its endpoint."""

TARGET_TOKEN_GAP_SECONDS = 0.066
"""Objective for the 95th percentile of the time between tokens."""
_WINDOW_GAPS = 200
"""Number of gaps after which the limit is adjusted."""
_PERCENTILE = 0.95
_DECREASE_FACTOR = 0.8
_INCREASE_THRESHOLD = 0.8
"""Fraction of the target below which the limit is increased."""


class SlotLimit:
    """Adapts the concurrency limit to the time between tokens.

    The limit is decreased multiplicatively when the 95th percentile exceeds
    the target, and increased by 1 when it is below the target by a margin.
    It is never below 1.

    Attributes:
        ceiling: Maximum that the endpoint has announced.
        limit: Current limit.
        target: Target for the 95th percentile, in seconds.
        gaps: Times between tokens since the last adjustment, in seconds.
    """

    def __init__(
        self, announced: int, target: float = TARGET_TOKEN_GAP_SECONDS
    ):
        self.ceiling = max(1, announced)
        self.limit = self.ceiling
        self.target = target
        self.gaps: list[float] = []

    def set_announced(self, slots: int) -> None:
        """Sets the maximum that the endpoint has announced."""
        slots = max(1, slots)
        if slots != self.ceiling:
            self.ceiling = slots
            self.limit = min(self.limit, slots) if self.gaps else slots

    def record_gap(self, gap: float) -> None:
        """Records one time between tokens, in seconds."""
        self.gaps.append(gap)
        if len(self.gaps) >= _WINDOW_GAPS:
            self._adapt()

    def _adapt(self) -> None:
        ordered = sorted(self.gaps)
        self.gaps.clear()
        percentile = ordered[int(len(ordered) * _PERCENTILE)]
        if percentile > self.target:
            self.limit = max(1, int(self.limit * _DECREASE_FACTOR))
        elif percentile < self.target * _INCREASE_THRESHOLD:
            self.limit = min(self.ceiling, self.limit + 1)
