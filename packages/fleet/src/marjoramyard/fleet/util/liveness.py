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

    def __init__(self, limit_seconds: float, step_seconds: float):
        self.step_seconds = step_seconds
        self.limit = round(limit_seconds / step_seconds)
        self.missed = 0

    @property
    def is_over_limit(self) -> bool:
        """Whether the peer has been silent for too long."""
        return self.missed >= self.limit

    def heard(self) -> None:
        """The peer said something."""
        self.missed = 0

    def step(self) -> None:
        """This process woke up once more; to be called once a step."""
        self.missed += 1

    async def guard(self, awaited: Awaitable[T]) -> T:
        """Awaits something that needs the peer, and counts its silence.

        Raises:
            TimeoutError: The peer has been silent for too long.
        """
        task = asyncio.ensure_future(awaited)
        counting = asyncio.ensure_future(self._count())
        try:
            await asyncio.wait(
                {task, counting}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                raise TimeoutError("the peer is silent")
            return task.result()
        finally:
            task.cancel()
            counting.cancel()
            await asyncio.gather(task, counting, return_exceptions=True)

    async def _count(self) -> None:
        while not self.is_over_limit:
            await asyncio.sleep(self.step_seconds)
            self.step()
