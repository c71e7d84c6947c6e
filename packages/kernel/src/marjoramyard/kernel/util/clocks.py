"""Clocks that promises are kept by."""

import time


def seconds_since_boot() -> float:
    """Returns seconds on the clock that goes on while a host is suspended.

    The steady clock stands still meanwhile. A lease measured on that one
    would still look valid when the host wakes, long after it has ended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
