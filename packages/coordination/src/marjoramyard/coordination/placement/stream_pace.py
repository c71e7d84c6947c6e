"""How the long streams of one engine meet their objective for gaps."""

from marjoramyard.coordination.placement.backlog_limit import (
    MAX_BACKLOG_MS,
    MIN_BACKLOG_MS,
    BacklogLimit,
)

TARGET_RATIO = 0.8
"""The backlog grows while the longest gaps stay below this ratio."""
STEP_MS = 20.0
"""Change of the limit for a stream whose ratio differs from the target by one.
An engine sees only a few long streams per second."""
MAX_RATIO = 2.0
"""Higher ratios count as this one."""
MIN_STREAMS = 3
"""An engine with fewer long streams uses the common limit."""


class StreamPace:
    """Adapts an engine's backlog limit to the gaps of its own streams.

    Attributes:
        common: The limit that all engines share.
        own_limit_ms: The engine's own limit; 0.0 if unknown.
        streams: The number of its long streams so far.
    """

    def __init__(self, common: BacklogLimit):
        self.common = common
        self.own_limit_ms = 0.0
        self.streams = 0

    @property
    def limit_ms(self) -> float:
        """The limit while there is a long queue."""
        if self.streams < MIN_STREAMS:
            return self.common.limit_ms
        return self.own_limit_ms

    def record(self, ratio: float, latency_ms: float) -> None:
        """Adapts the limit to a stream that has ended.

        Args:
            ratio: The longest gap between two events, relative to the
                objective for it; 0.0 if unknown.
            latency_ms: Time from the end of a prefill until the next prompt
                reaches the engine. A longer backlog keeps it no busier.
        """
        if ratio <= 0.0:
            return
        ratio = min(ratio, MAX_RATIO)
        if not self.streams:
            self.own_limit_ms = self.common.limit_ms
        self.streams += 1
        limit_ms = self.own_limit_ms + STEP_MS * (TARGET_RATIO - ratio)
        ceiling_ms = min(MAX_BACKLOG_MS, MIN_BACKLOG_MS + latency_ms)
        self.own_limit_ms = min(ceiling_ms, max(MIN_BACKLOG_MS, limit_ms))

    def adopt(self, limit_ms: float) -> None:
        """Takes over what another broker has learnt.

        Args:
            limit_ms: The engine's own limit; 0.0 if unknown.
        """
        if limit_ms <= 0.0:
            return
        self.own_limit_ms = min(MAX_BACKLOG_MS, max(MIN_BACKLOG_MS, limit_ms))
        self.streams = MIN_STREAMS
