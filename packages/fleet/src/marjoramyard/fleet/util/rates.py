"""Rates that are averaged over the last moments."""

import math
import time
from collections.abc import Callable


class RateMeter:
    """The rate of a growing total, averaged exponentially.

    Attributes:
        read_total: Returns the total, such as the processor time used.
        time_constant: The time over which the rate is averaged, in seconds.
        rate: The increase of the total in a second.
    """

    def __init__(
        self,
        read_total: Callable[[], float],
        time_constant: float,
        now: Callable[[], float] = time.monotonic,
    ):
        self.read_total = read_total
        self.time_constant = time_constant
        self.now = now
        self.rate = 0.0
        self.measured_at = now()
        self.measured = read_total()

    def measure(self) -> None:
        """Updates the rate; to be called regularly."""
        now = self.now()
        seconds = now - self.measured_at
        if seconds <= 0:
            return
        total = self.read_total()
        latest = (total - self.measured) / seconds
        weight = 1 - math.exp(-seconds / self.time_constant)
        self.rate += weight * (latest - self.rate)
        self.measured_at = now
        self.measured = total
