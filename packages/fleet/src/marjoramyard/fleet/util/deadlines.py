"""Deadlines of requests in an event loop that may be late."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

INPUT_TURNS = 6
"""Turns of the event loop in which a response that has arrived is read and
passed on."""


@asynccontextmanager
async def timeout_after_input(at: float) -> AsyncIterator[None]:
    """Like `asyncio.timeout_at`, but first reads what has arrived.

    When a late event loop goes on, a timer that is due would end the work
    before it gets to see data that arrived in time.

    Args:
        at: When the time is over, on the event loop clock in seconds.

    Raises:
        TimeoutError: The time is over.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:

        def expire(turns: int) -> None:
            nonlocal timer
            if turns:
                timer = loop.call_soon(expire, turns - 1)
            else:
                limit.reschedule(loop.time())

        timer = loop.call_at(at, expire, INPUT_TURNS)
        try:
            yield
        finally:
            timer.cancel()
