"""Callers that have closed their sending side.

Such a caller may wait for its response, or may have closed its connection: both
look alike until something is written. The host of one that has left replies to
that with a reset.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from marjoramyard.fleet.util.connections import is_reset

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""A client has to accept it before the final response."""
LEADING_ZERO = b"0"
"""May precede the size of a chunk, so it does not change the body."""
PROBE_SECONDS = (0.0, 0.05, 0.2)
"""When probes are written, from the end of the sending side. Some clients
accept a few interim responses only."""
SETTLED_SECONDS = 0.05
"""The time in which the reset that follows the first probe mostly arrives."""
CHECK_SECONDS = 0.02
SLOW_CHECK_SECONDS = 0.1
"""The interval of checks once all probes are written."""
STALL_SECONDS = 60.0
"""How long a caller may read nothing of what has been written."""


class CallerEnd(Enum):
    """How the connection of a caller that closed its sending side ended."""

    ANSWERED = "answered"
    LEFT = "left"
    """The caller has closed or reset the connection."""
    STALLED = "stalled"
    """The caller did not read its response."""
    BROKEN_OFF = "broken-off"
    """This process has ended it before the response was complete."""


class HalfClosedCaller:
    """Finds out whether a caller still reads, until its connection is lost.

    The event loop no longer watches the connection, so a reset is looked for.

    Attributes:
        transport: The connection.
        next_probe: Returns the bytes to be written as a probe; none if nothing
            can be written at this point of the response.
        on_end: Called when the caller has left or does not read.
        began_at: When the sending side was closed, on the event loop clock in
            seconds.
        probe_count: The number of probes so far.
        unsent_size: Bytes that the caller had not read at the last check.
        unsent_since: Since when it has been as many, on that clock.
        is_flushed: Whether nothing was unsent at the last check.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        next_probe: Callable[[], bytes],
        on_end: Callable[[CallerEnd], None],
    ):
        self.transport = transport
        self.next_probe = next_probe
        self.on_end = on_end
        self.loop = asyncio.get_running_loop()
        self.began_at = self.loop.time()
        self.probe_count = 0
        self.unsent_size = 0
        self.unsent_since = self.began_at
        self.is_flushed = False
        self._probe_before_response()
        self.timer = self.loop.call_soon(self._check)

    @property
    def is_settled(self) -> bool:
        """Whether a caller that has left would mostly be known to have."""
        return self.loop.time() - self.began_at >= SETTLED_SECONDS

    def stop(self) -> None:
        """Ends the checks."""
        self.timer.cancel()

    def _probe_before_response(self) -> None:
        """Writes the first probe now if no response has begun.

        In a late event loop each further turn takes long, and a caller that
        has left keeps an endpoint at work until it is noticed.
        """
        if self.next_probe() == CONTINUE:
            self.probe_count += 1
            self.transport.write(CONTINUE)

    def _check(self) -> None:
        if is_reset(self.transport):
            self.on_end(CallerEnd.LEFT)
            return
        if self._has_stalled():
            self.on_end(CallerEnd.STALLED)
            return
        was_flushed, self.is_flushed = self.is_flushed, not self.unsent_size
        # A task that waited for the buffer to be sent goes on in between.
        if was_flushed and self.is_flushed and not self.transport.is_closing():
            self._probe()
        interval = self._interval() if was_flushed else 0.0
        if self.unsent_size:
            interval = CHECK_SECONDS
        self.timer = self.loop.call_later(interval, self._check)

    def _interval(self) -> float:
        is_probing = self.probe_count < len(PROBE_SECONDS)
        return CHECK_SECONDS if is_probing else SLOW_CHECK_SECONDS

    def _probe(self) -> None:
        if self.probe_count == len(PROBE_SECONDS):
            return
        due_at = self.began_at + PROBE_SECONDS[self.probe_count]
        if self.loop.time() < due_at:
            return
        probe = self.next_probe()
        if probe:
            self.probe_count += 1
            self.transport.write(probe)

    def _has_stalled(self) -> bool:
        now = self.loop.time()
        size = self.transport.get_write_buffer_size()
        if size != self.unsent_size or not size:
            self.unsent_size = size
            self.unsent_since = now
        return now - self.unsent_since > STALL_SECONDS
