"""Tells a peer's silence from this process's own lateness."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")


class LivenessTimer:
    """How long a peer has been silent while this process could listen.

    Time alone doesn't tell: a process whose event loop is late finds that
    much time has passed, while the peer's words lie unread in its socket. So
    silence is counted in wake-ups of this process. Between two of them its
    sockets have been read, however long that took.
    """

    def __init__(self, timeout_seconds: float, tick_seconds: float):
        self.tick_seconds = tick_seconds
        self.limit_ticks = round(timeout_seconds / tick_seconds)
        self.missed_ticks = 0

    @property
    def has_expired(self) -> bool:
        """Whether the peer has been silent for too long."""
        return self.missed_ticks >= self.limit_ticks

    def reset(self) -> None:
        """The peer said something."""
        self.missed_ticks = 0

    def tick(self) -> None:
        """This process woke up once more; to be called once a step."""
        self.missed_ticks += 1

    async def wait_for(self, awaitable: Awaitable[T]) -> T:
        """Awaits something that needs the peer, and counts its silence.

        Raises:
            TimeoutError: The peer has been silent for too long.
        """
        task = asyncio.ensure_future(awaitable)
        counter = asyncio.ensure_future(self._wait_for_expiry())
        try:
            await asyncio.wait(
                {task, counter}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                raise TimeoutError("the peer is silent")
            return task.result()
        finally:
            task.cancel()
            counter.cancel()
            await asyncio.gather(task, counter, return_exceptions=True)

    async def _wait_for_expiry(self) -> None:
        while not self.has_expired:
            await asyncio.sleep(self.tick_seconds)
            self.tick()
