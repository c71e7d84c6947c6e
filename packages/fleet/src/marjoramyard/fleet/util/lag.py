"""Measures the latency of the event loop."""

import asyncio
import time
from collections.abc import Callable

from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.util.thread_times import ThreadTimes, thread_clock

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

    def late_seconds(self) -> float:
        """Returns how late the loop is now."""
        return max(0.0, time.monotonic() - self.woken_at - INTERVAL_SECONDS)

    def up_to_date_until(self) -> float:
        """Returns the time up to which the loop has surely handled events.

        It is the current time, unless the loop is late.
        """
        return min(time.monotonic(), self.woken_at + INTERVAL_SECONDS)

    async def watch(self) -> None:
        """Measures until cancelled."""
        with thread_clock() as clock:
            while True:
                started_at = time.monotonic()
                times_before = clock.read()
                await asyncio.sleep(INTERVAL_SECONDS)
                now = self.woken_at = time.monotonic()
                late_seconds = now - started_at - INTERVAL_SECONDS
                self._record(late_seconds, now)
                if late_seconds > LOGGED_SECONDS:
                    log_late_wake_up(late_seconds, times_before, clock.read())
                self._tell_listeners(late_seconds)

    def _record(self, late_seconds: float, now: float) -> None:
        self.metrics.observe("loop_late_seconds", late_seconds)
        if late_seconds > LATE_SECONDS:
            self.late_at = now

    def _tell_listeners(self, late_seconds: float) -> None:
        for listener in self.on_wake_up:
            try:
                listener(late_seconds)
            except Exception:
                logger.exception("wake_up_listener_failed")


def log_late_wake_up(
    late_seconds: float, before: ThreadTimes | None, now: ThreadTimes | None
) -> None:
    """Logs a late wake-up, and where the time since the last one went.

    What is neither running nor waiting was spent blocked in the kernel, or
    suspended.
    """
    fields = {"seconds": late_seconds}
    if before is not None and now is not None:
        times = now.since(before)
        fields |= {
            "running_seconds": times.running,
            "waiting_seconds": times.waiting,
        }
    logger.info(
        "event_loop_late",
        **{name: round(value, 3) for name, value in fields.items()},
    )
