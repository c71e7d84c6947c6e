"""Signals that processes inherit as blocked or ignored."""

import contextlib
import signal


@contextlib.contextmanager
def blocked(numbers):
    """Blocks signals in this thread, and so in processes that it starts."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


@contextlib.contextmanager
def ignored(numbers):
    """Ignores signals in this process, and so in those that it starts."""
    before = {
        number: signal.signal(number, signal.SIG_IGN) for number in numbers
    }
    try:
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
