"""Whether a gateway's view is younger than its last pause."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from marjoramyard.kernel.util.clocks import seconds_since_boot

PAUSE_SECONDS = 0.9
"""An event loop that is so late has been suspended. Control hosts have ended
the polls of that time, so what they told is old."""
HOLD_SECONDS = 0.5
"""How long requests are held after a pause. Control hosts reply at once."""


class ViewAge:
    """Holds requests after a pause until a control host has told the news.

    What has arrived during the pause is handled first: requests would be
    decided on by what this gateway knew before.

    Attributes:
        late_seconds: Returns how late the event loop is now.
        resumed_at: When the last pause ended.
        heard_at: When the last poll was sent to which a control host replied
            that sends all changes. Both on the boot clock in seconds.
        up_to_date: Set when the view is up to date again.
    """

    def __init__(self):
        self.late_seconds: Callable[[], float] = lambda: 0.0
        self.resumed_at = float("-inf")
        self.heard_at = float("-inf")
        self.up_to_date = asyncio.Event()

    def on_wake_up(self, late_seconds: float) -> None:
        """Notes a pause; called at each wake-up of the event loop."""
        if late_seconds > PAUSE_SECONDS:
            self.resumed_at = seconds_since_boot()

    def on_heard(self, sent_at: float) -> None:
        """Notes the reply to a poll."""
        self.heard_at = max(self.heard_at, sent_at)
        if not self.is_outdated():
            self.up_to_date.set()

    def is_outdated(self) -> bool:
        """Whether nothing has been heard since a pause that has just ended."""
        if self.late_seconds() > PAUSE_SECONDS:
            return True
        if self.heard_at > self.resumed_at:
            return False
        return seconds_since_boot() - self.resumed_at < HOLD_SECONDS

    async def hold(self) -> None:
        """Returns once the view is up to date, or could not be updated."""
        if not self.is_outdated():
            return
        self.up_to_date.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(HOLD_SECONDS):
                await self.up_to_date.wait()
