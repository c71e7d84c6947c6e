"""Measures the latency of the event loop."""

import asyncio
import time
from collections.abc import Callable

from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

INTERVAL_SECONDS = 0.05
LATE_SECONDS = 0.05
"""A wake-up counts as late above this. Must exceed the scheduling pauses of a
host with a fraction of a core: with a quarter of one, a process runs in turns
of up to 20 ms."""
LATE_HOLD_SECONDS = 0.5
"""How long a late wake-up counts."""
LOGGED_SECONDS = 0.2
"""A wake-up that is later is logged."""


class LoopLag:
    """Measures how late the event loop wakes up.

    Attributes:
        late_at: The last late wake-up, on the monotonic clock in seconds.
        woken_at: The last wake-up, on the monotonic clock in seconds.
        on_wake_up: Called at each wake-up with its lateness in seconds.
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.late_at = float("-inf")
        self.woken_at = time.monotonic()
        self.on_wake_up: list[Callable[[float], None]] = []

    @property
    def is_lagging(self) -> bool:
        """Whether the loop was late recently, so that events may be too."""
        return time.monotonic() - self.late_at < LATE_HOLD_SECONDS

    def up_to_date_until(self) -> float:
        """Returns the time up to which the loop has surely handled events.

        It is the current time, unless the loop is late.
        """
        return min(time.monotonic(), self.woken_at + INTERVAL_SECONDS)

    async def watch(self) -> None:
        """Measures until cancelled."""
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(INTERVAL_SECONDS)
            now = self.woken_at = time.monotonic()
            late_seconds = now - started_at - INTERVAL_SECONDS
            self.metrics.observe("loop_late_seconds", late_seconds)
            if late_seconds > LATE_SECONDS:
                self.late_at = now
            if late_seconds > LOGGED_SECONDS:
                logger.info("event_loop_late", seconds=round(late_seconds, 3))
            for listener in self.on_wake_up:
                listener(late_seconds)
