"""Notices when this process gets too little processor."""

import asyncio
import time
from collections.abc import Callable

from marjoramyard.kernel.metrics import Metrics

INTERVAL_SECONDS = 0.05
LATE_SECONDS = 0.05
"""A wake-up that comes so late means that others wait as well. The smallest
hosts give a process a quarter of a core, in turns of up to 20 ms."""
LATE_HOLD_SECONDS = 0.5
"""How long one late wake-up counts."""


class LoopLag:
    """Whether the event loop has been late recently."""

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.late_at = float("-inf")
        self.on_wake_up: list[Callable[[float], None]] = []

    @property
    def is_late(self) -> bool:
        """Whether what is seen now may have happened a while ago."""
        return time.monotonic() - self.late_at < LATE_HOLD_SECONDS

    async def watch(self) -> None:
        """Measures until cancelled."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(INTERVAL_SECONDS)
            now = time.monotonic()
            late = now - began - INTERVAL_SECONDS
            self.metrics.observe("loop_late_seconds", late)
            if late > LATE_SECONDS:
                self.late_at = now
            for listener in self.on_wake_up:
                listener(late)
