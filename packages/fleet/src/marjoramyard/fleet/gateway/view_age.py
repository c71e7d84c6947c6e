"""Whether a gateway's view is younger than its last pause."""

import asyncio
import time
from collections.abc import Callable

from marjoramyard.kernel.util.clocks import seconds_since_boot

PAUSE_SECONDS = 0.9
"""An event loop that is so late has been suspended. Control hosts have ended
the polls of that time, so what they told is old."""
HOLD_SECONDS = 0.5
"""How long requests are held after a pause. Control hosts reply at once."""
POLL_SECONDS = 0.005


class ViewAge:
    """Holds requests after a pause until a control host has told the news.

    What has arrived during the pause is handled first: requests would be
    decided on by what this gateway knew before.

    Attributes:
        late_seconds: Returns how late the event loop is now.
        resumed_at: When the last pause ended.
        heard_at: When the last poll was sent to which a control host replied
            that sends all changes. Both on the boot clock in seconds.
    """

    def __init__(self):
        self.late_seconds: Callable[[], float] = lambda: 0.0
        self.resumed_at = float("-inf")
        self.heard_at = float("-inf")

    def on_wake_up(self, late_seconds: float) -> None:
        """Notes a pause; called at each wake-up of the event loop."""
        if late_seconds > PAUSE_SECONDS:
            self.resumed_at = seconds_since_boot()

    def on_heard(self, sent_at: float) -> None:
        """Notes the reply to a poll."""
        self.heard_at = max(self.heard_at, sent_at)

    def is_outdated(self) -> bool:
        """Whether nothing has been heard since a pause that has just ended."""
        if self.late_seconds() > PAUSE_SECONDS:
            return True
        if self.heard_at > self.resumed_at:
            return False
        return seconds_since_boot() - self.resumed_at < HOLD_SECONDS

    async def hold(self) -> None:
        """Returns once the view is up to date, or could not be updated."""
        until = time.monotonic() + HOLD_SECONDS
        while self.is_outdated() and time.monotonic() < until:
            await asyncio.sleep(POLL_SECONDS)
