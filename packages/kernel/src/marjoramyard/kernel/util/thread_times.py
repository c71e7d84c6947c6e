"""How long a thread ran and waited for a processor, by the kernel's count."""

import contextlib
import os
from collections.abc import Iterator
from typing import NamedTuple

_SCHEDSTAT_PATH = "/proc/thread-self/schedstat"
_MAX_BYTES = 128
_NANOSECONDS = 1e9


class ThreadTimes(NamedTuple):
    """Times of a thread since its start, in seconds.

    Attributes:
        running: On a processor.
        waiting: Ready to run, but without a processor.
    """

    running: float
    waiting: float

    def since(self, before: "ThreadTimes") -> "ThreadTimes":
        """Returns the times that have passed since an earlier reading."""
        return ThreadTimes(
            self.running - before.running, self.waiting - before.waiting
        )


class ThreadClock:
    """Reads the times of the thread that has opened it."""

    def __init__(self, descriptor: int | None):
        self.descriptor = descriptor

    def read(self) -> ThreadTimes | None:
        """Returns the times; None if the kernel doesn't count them."""
        if self.descriptor is None:
            return None
        text = os.pread(self.descriptor, _MAX_BYTES, 0)
        running, waiting = text.split()[:2]
        return ThreadTimes(
            int(running) / _NANOSECONDS, int(waiting) / _NANOSECONDS
        )


@contextlib.contextmanager
def thread_clock() -> Iterator[ThreadClock]:
    """Opens the clock of the current thread."""
    try:
        descriptor = os.open(_SCHEDSTAT_PATH, os.O_RDONLY)
    except OSError:
        yield ThreadClock(None)
        return
    try:
        yield ThreadClock(descriptor)
    finally:
        os.close(descriptor)
