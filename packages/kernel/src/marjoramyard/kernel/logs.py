"""structlog configuration for a daemon: non-blocking and rate-limited."""

import contextlib
import logging
import os
import select
import stat
import sys
import threading
import time
import traceback
from collections.abc import Callable, MutableMapping
from pathlib import Path
from typing import Any

import structlog

from marjoramyard.kernel.settings import LogSettings

LINES_PER_SECOND = 200.0
"""Rate limit for each event name; several times what a gateway
usually writes."""
FAILURE_LINES_PER_SECOND = 400.0
"""Rate limit for the failures of each event name, separate from successes."""
MAX_PENDING_BYTES = 256 << 10
"""Size of the buffer for a slow reader, for some seconds' worth of lines."""
MILLISECONDS = 1000
MIN_FAILED_STATUS = 400
"""The lowest HTTP status that counts as a failure."""
MAX_MESSAGE_CHARS = 300
"""Longer messages and errors of libraries are truncated."""
STDOUT_FD = 1
"""Written directly, because `sys.stdout` buffers and may block."""
STDERR_FD = 2

Event = MutableMapping[str, Any]


def nonblocking(descriptor: int) -> int:
    """Returns a descriptor of the same stream whose writes don't block.

    Writes to regular files have no reader to wait for, and are left as they
    are.
    """
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISCHR(mode) and os.isatty(descriptor):
        descriptor = _reopened(descriptor)
    elif not (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
        return descriptor
    os.set_blocking(descriptor, False)
    return descriptor


def _reopened(descriptor: int) -> int:
    """Opens a terminal anew, so that a shell doesn't share its flags."""
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
    try:
        return os.open(f"/proc/self/fd/{descriptor}", flags)
    except OSError:
        # Another user's terminal: better the shell's flags than a write that
        # blocks while nobody reads.
        return descriptor


def keep_errors_from_blocking() -> None:
    """Makes writes to standard error fail instead of waiting for a reader."""
    with contextlib.suppress(OSError):
        descriptor = nonblocking(STDERR_FD)
        if descriptor != STDERR_FD:
            os.dup2(descriptor, STDERR_FD, inheritable=False)
            os.close(descriptor)


class LineSink:
    """Writes lines to a file descriptor without blocking.

    A write to a full pipe, or to a terminal that nobody reads, would block the
    event loop. Lines that don't fit the buffer are dropped and counted.
    """

    def __init__(self, descriptor: int, limit: int = MAX_PENDING_BYTES):
        self.descriptor = descriptor
        self.limit = limit
        self.pending = bytearray()
        self.dropped = 0
        with contextlib.suppress(OSError):
            # A closed descriptor fails; all lines are dropped.
            self.descriptor = nonblocking(descriptor)

    def write(self, text: str) -> None:
        """Writes a line, or drops it if the buffer is full."""
        line = text.encode("utf-8", "replace") + b"\n"
        if len(self.pending) + len(line) > self.limit:
            self.flush()
        if len(self.pending) + len(line) > self.limit:
            self.dropped += 1
            return
        self.pending += line
        self.flush()

    msg = debug = info = warning = error = critical = write
    log = write
    exception = fatal = write

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts."""
        try:
            while self.pending:
                written = os.write(self.descriptor, self.pending)
                del self.pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; there is nowhere to report this.
            self.dropped += self.pending.count(b"\n")
            self.pending.clear()

    def flush_within(self, seconds: float) -> None:
        """Writes the buffer at the end, as far as its reader takes it.

        Args:
            seconds: How long the reader is waited for.
        """
        ends_at = time.monotonic() + seconds
        writable = select.poll()
        writable.register(self.descriptor, select.POLLOUT)
        while self.pending:
            left = max(0.0, ends_at - time.monotonic())
            if not writable.poll(left * MILLISECONDS):
                return
            self.flush()


class LogRateLimiter:
    """A structlog processor that limits the lines per second of each event.

    Each event name has two token buckets, one for failures and one for all
    other lines. The first line after omitted ones has their number in
    `lines_omitted_before`.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.buckets: dict[str, tuple[float, float]] = {}
        self.omitted: dict[str, int] = {}

    def __call__(self, _: Any, method: str, event: Event) -> Event:
        """Returns the event, or drops it.

        Raises:
            structlog.DropEvent: The rate limit is exceeded.
        """
        bucket, rate = self._bucket(method, event)
        now = self.clock()
        tokens, updated_at = self.buckets.get(bucket, (rate, now))
        tokens = min(rate, tokens + (now - updated_at) * rate)
        if tokens < 1.0:
            self.buckets[bucket] = (tokens, now)
            self.omitted[bucket] = self.omitted.get(bucket, 0) + 1
            raise structlog.DropEvent
        self.buckets[bucket] = (tokens - 1.0, now)
        omitted = self.omitted.pop(bucket, 0)
        if omitted:
            event["lines_omitted_before"] = omitted
        return event

    @staticmethod
    def _bucket(method: str, event: Event) -> tuple[str, float]:
        """Returns the name and the rate of the bucket for an event."""
        status = event.get("status")
        failed = status is not None and not 0 < status < MIN_FAILED_STATUS
        if failed or method not in ("debug", "info"):
            return f"{event.get('event')}!", FAILURE_LINES_PER_SECOND
        return str(event.get("event")), LINES_PER_SECOND


class StandardLoggingHandler(logging.Handler):
    """Passes records of the standard `logging` module to structlog.

    A record becomes one line with the error and its innermost frame instead
    of a traceback, and the rate limit applies to it.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record as one line."""
        error = record.exc_info[1] if record.exc_info else None
        logger = get_logger(record.name)
        method = (
            logger.error if record.levelno >= logging.ERROR else logger.info
        )
        method(
            "library",
            message=record.getMessage()[:MAX_MESSAGE_CHARS],
            error=repr(error)[:MAX_MESSAGE_CHARS] if error else None,
            at=_innermost_frame(error),
        )


def _innermost_frame(error: BaseException | None) -> str | None:
    if error is None or error.__traceback__ is None:
        return None
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{Path(frame.filename).name}:{frame.lineno} {frame.name}"


def _log_uncaught(kind, error, trace) -> None:
    get_logger(__name__).critical(
        "uncaught",
        error=repr(error)[:MAX_MESSAGE_CHARS],
        at=_innermost_frame(error),
    )


def _log_unraisable(unraisable) -> None:
    """Logs an exception of a finalizer or a thread."""
    _log_uncaught(unraisable.exc_type, unraisable.exc_value, None)


def _redirect_standard_logging(level: int) -> None:
    root = logging.getLogger()
    root.handlers[:] = [StandardLoggingHandler()]
    root.setLevel(max(level, logging.WARNING))
    logging.captureWarnings(True)
    sys.excepthook = _log_uncaught
    sys.unraisablehook = _log_unraisable
    threading.excepthook = _log_unraisable


def configure_logs(settings: LogSettings, **context: str) -> LineSink:
    """Configures structlog, `logging`, warnings and uncaught exceptions.

    Args:
        settings: Format and level.
        **context: Fields added to each line, such as role and name.

    Returns:
        The sink that writes to standard output.
    """
    level = logging.getLevelNamesMapping().get(settings.level.upper(), 20)
    if settings.format == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    sink = LineSink(STDOUT_FD)
    structlog.configure(
        processors=[
            LogRateLimiter(),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *_: sink,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)
    _redirect_standard_logging(level)
    return sink


def get_logger(name: str) -> structlog.stdlib.BoundLogger:
    """Returns a logger whose lines have the module name in `module`."""
    return structlog.get_logger(module=name)
