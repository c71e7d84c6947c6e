"""Wakes waiting polls when something has changed."""

import asyncio
from collections.abc import Callable


class ChangeSignal:
    """Counts changes and wakes those that wait for the next one.

    Many changes in a short time can be published together, since each one that
    is published costs a reply to every waiting poll.

    Attributes:
        count: How often changes were published.
        on_publish: Called before waiting polls are woken.
        event: Set, and then replaced, when changes are published.
        published_at: When changes were last published (loop time).
        pending: The planned publication, if any.
    """

    def __init__(self, on_publish: Callable[[], None]):
        self.count = 0
        self.on_publish = on_publish
        self.event = asyncio.Event()
        self.published_at = -1e9
        self.pending: asyncio.TimerHandle | None = None

    def publish(self) -> None:
        """Publishes all changes at once."""
        if self.pending is not None:
            self.pending.cancel()
            self.pending = None
        self.count += 1
        self.published_at = asyncio.get_running_loop().time()
        self.on_publish()
        self.event.set()
        self.event = asyncio.Event()

    def publish_after_gap(self, seconds: float) -> None:
        """Publishes changes together with others of a short time.

        Args:
            seconds: The shortest time between two publications.
        """
        if self.pending is not None:
            return
        loop = asyncio.get_running_loop()
        due_at = self.published_at + seconds
        if loop.time() >= due_at:
            self.publish()
        else:
            self.pending = loop.call_at(due_at, self.publish)

    async def wait(self, seconds: float) -> bool:
        """Waits for the next publication; returns whether there was one."""
        try:
            async with asyncio.timeout(seconds):
                await self.event.wait()
        except TimeoutError:
            return False
        return True
