"""Detects peers that have stopped sending messages."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")


class LivenessTimer:
    """A receive timeout that is counted in event loop wake-ups.

    A wall-clock timeout would also expire when this process is late and the
    peer's messages are waiting in the socket. Between two wake-ups of the event
    loop the sockets have been read, however long that took.

    Attributes:
        tick_seconds: The interval between ticks.
        limit_ticks: The number of ticks after which the timer expires.
        missed_ticks: Ticks since the last message.
    """

    def __init__(self, timeout_seconds: float, tick_seconds: float):
        self.tick_seconds = tick_seconds
        self.limit_ticks = round(timeout_seconds / tick_seconds)
        self.missed_ticks = 0

    @property
    def has_expired(self) -> bool:
        """Whether no message was received within the timeout."""
        return self.missed_ticks >= self.limit_ticks

    def reset(self) -> None:
        """Restarts the timeout; to be called for each message."""
        self.missed_ticks = 0

    def tick(self) -> None:
        """Counts a tick; to be called every `tick_seconds`."""
        self.missed_ticks += 1

    async def wait_for(self, awaitable: Awaitable[T]) -> T:
        """Awaits an operation of the peer while counting ticks.

        Raises:
            TimeoutError: The timer expired first.
        """
        task = asyncio.ensure_future(awaitable)
        counter = asyncio.ensure_future(self._wait_for_expiry())
        try:
            await asyncio.wait(
                {task, counter}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                raise TimeoutError(
                    "no message from the peer within the timeout"
                )
            return task.result()
        finally:
            task.cancel()
            counter.cancel()
            await asyncio.gather(task, counter, return_exceptions=True)

    async def _wait_for_expiry(self) -> None:
        while not self.has_expired:
            await asyncio.sleep(self.tick_seconds)
            self.tick()
