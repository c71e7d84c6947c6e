"""Signals that processes inherit as blocked or ignored."""

import contextlib
import signal

import pytest

# The interpreter itself ignores these, and restores them for child processes.
_IGNORED_BY_PYTHON = {signal.SIGPIPE, signal.SIGXFSZ}


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


@contextlib.contextmanager
def usual():
    """Gives this process, and those that it starts, the usual signals.

    Whoever started the tests may have blocked or ignored some.
    """
    odd = [
        number
        for number in signal.valid_signals() - _IGNORED_BY_PYTHON
        if signal.getsignal(number) == signal.SIG_IGN
    ]
    for number in odd:
        signal.signal(number, signal.SIG_DFL)
    before = signal.pthread_sigmask(signal.SIG_SETMASK, ())
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
        for number in odd:
            signal.signal(number, signal.SIG_IGN)


@pytest.fixture(autouse=True)
def usual_signals():
    """For tests of signals: import it, and each test has the usual ones."""
    with usual():
        yield
