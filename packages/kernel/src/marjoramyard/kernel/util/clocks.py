"""Clocks for leases."""

import time


def seconds_since_boot() -> float:
    """Returns the seconds since boot, including time spent suspended.

    `time.monotonic` doesn't advance while a host is suspended; a lease
    measured with it would look valid after the host resumes, although it
    has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
